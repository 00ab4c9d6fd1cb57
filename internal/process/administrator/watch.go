package administrator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// The types of the lines of a watch.
const (
	// LinePut carries a resource that was created or changed.
	LinePut = "put"
	// LineDelete names a resource that was deleted.
	LineDelete = "delete"
	// LineFull precedes all resources as put lines: the receiver forgets those it knew, because the change log does
	// not reach back to the revision that it asked for.
	LineFull = "full"
	// LineRevision tells that everything up to the revision was sent. It is also the sign of life.
	LineRevision = "revision"
)

type wireLine struct {
	Type     string          `json:"type"`
	Revision uint64          `json:"revision"`
	Kind     string          `json:"kind,omitempty"`
	Name     string          `json:"name,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// lineTimeout ends the watch of a receiver that reads nothing.
const lineTimeout = 30 * time.Second

// watch sends the changes of a kind, or of one resource if a name is given, until the receiver or the server stops.
func (h resourceHandler) watch(ctx iris.Context, name string) {
	if on := ctx.URLParam("watch"); on != "true" {
		badField(ctx, "watch", on, "write true or leave it out")
		return
	}
	after, err := strconv.ParseUint(ctx.URLParamDefault("revision", "0"), 10, 64)
	if err != nil {
		badField(ctx, "revision", ctx.URLParam("revision"), "write the revision after which changes are wanted, or leave it out")
		return
	}
	ctx.StatusCode(http.StatusOK)
	ctx.Header("Content-Type", "application/x-ndjson")
	ctx.Header("Cache-Control", "no-store")
	stream := &lineStream{controller: http.NewResponseController(ctx.ResponseWriter().Naive()), write: ctx.Write}
	h.stream(ctx, stream, name, identifier.Revision(after))
}

func (h resourceHandler) stream(ctx iris.Context, out *lineStream, name string, after identifier.Revision) {
	a := h.administrator
	for {
		changes := a.cfg.Store.After(after)
		if err := out.send(h.lines(changes, name, after)); err != nil {
			return
		}
		after = max(after, changes.Revision)
		timer := time.NewTimer(a.cfg.KeepAlive)
		select {
		case <-a.cfg.Store.Changed(after):
		case <-timer.C:
		case <-ctx.Request().Context().Done():
			timer.Stop()
			return
		case <-a.stopping:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// lines returns the lines of the wanted changes, closed by the revision that they lead to.
func (h resourceHandler) lines(changes messenger.Changes, name string, after identifier.Revision) []wireLine {
	var lines []wireLine
	if changes.Full {
		lines = append(lines, wireLine{Type: LineFull, Revision: uint64(changes.Revision)})
	}
	for _, c := range changes.Changes {
		if c.Kind != string(h.kind) || (name != "" && c.Name != name) {
			continue
		}
		line := wireLine{Type: LinePut, Revision: uint64(c.Revision), Kind: c.Kind, Name: c.Name, Value: c.Value}
		if len(c.Value) == 0 {
			line.Type = LineDelete
		}
		lines = append(lines, line)
	}
	return append(lines, wireLine{Type: LineRevision, Revision: uint64(max(after, changes.Revision))})
}

// lineStream writes JSON lines and flushes them.
type lineStream struct {
	controller *http.ResponseController
	write      func([]byte) (int, error)
}

func (s *lineStream) send(lines []wireLine) error {
	// The deadline is an extra protection; a connection that does not support it is still served.
	_ = s.controller.SetWriteDeadline(time.Now().Add(lineTimeout))
	for _, line := range lines {
		text, err := json.Marshal(line)
		if err != nil {
			return err
		}
		if _, err := s.write(append(text, '\n')); err != nil {
			return err
		}
	}
	return s.controller.Flush()
}
