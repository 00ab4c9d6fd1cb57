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

// The types of lines that a watch sends.
const (
	// LinePut carries a resource that was created or changed.
	LinePut = "put"
	// LineDelete names a resource that was deleted.
	LineDelete = "delete"
	// LineFull precedes a put line for each existing resource that the watch selects. The client discards the resources
	// that it holds, because the change log does not reach back to the revision that it requested.
	LineFull = "full"
	// LineRevision marks that all changes up to the revision were sent. It also serves as keep-alive.
	LineRevision = "revision"
)

// wireLine is one line of a watch.
type wireLine struct {
	Type     string          `json:"type"`
	Revision uint64          `json:"revision"`
	Kind     string          `json:"kind,omitempty"`
	Name     string          `json:"name,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// lineTimeout bounds each write to a client, so that a client that does not read cannot keep a watch open.
const lineTimeout = 30 * time.Second

// watch streams the changes of all resources of the kind, or of one resource if a name is given, until the client
// disconnects or the server stops.
func (h resourceHandler) watch(ctx iris.Context, name string) {
	if value := ctx.URLParam("watch"); value != "true" {
		respondBadField(ctx, "watch", value, "write true or leave it out")
		return
	}
	after, err := strconv.ParseUint(ctx.URLParamDefault("revision", "0"), 10, 64)
	if err != nil {
		respondBadField(ctx, "revision", ctx.URLParam("revision"), "write the revision after which changes are wanted, or leave it out")
		return
	}
	ctx.StatusCode(http.StatusOK)
	ctx.Header("Content-Type", "application/x-ndjson")
	ctx.Header("Cache-Control", "no-store")
	stream := &lineWriter{controller: http.NewResponseController(ctx.ResponseWriter().Naive()), write: ctx.Write}
	h.stream(ctx, stream, name, identifier.Revision(after))
}

func (h resourceHandler) stream(ctx iris.Context, out *lineWriter, name string, after identifier.Revision) {
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

// lines returns a line for each change that the watch selects, followed by the revision that they lead to. An empty name
// selects all resources of the kind.
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

// lineWriter writes JSON lines to a response and flushes them.
type lineWriter struct {
	controller *http.ResponseController
	write      func([]byte) (int, error)
}

func (w *lineWriter) send(lines []wireLine) error {
	// The error is ignored: a connection that supports no write deadline is served without one.
	_ = w.controller.SetWriteDeadline(time.Now().Add(lineTimeout))
	for _, line := range lines {
		encoded, err := json.Marshal(line)
		if err != nil {
			return err
		}
		if _, err := w.write(append(encoded, '\n')); err != nil {
			return err
		}
	}
	return w.controller.Flush()
}
