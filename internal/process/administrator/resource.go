package administrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/parser"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// RevisionHeader carries the revision of the configuration that an answer is about.
const RevisionHeader = "Currantledge-Revision"

// resourceHandler serves the resources of one kind.
type resourceHandler struct {
	administrator *Administrator
	kind          declarer.Kind
}

type wireItem struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

type wireList struct {
	Revision uint64     `json:"revision"`
	Items    []wireItem `json:"items"`
}

func (h resourceHandler) list(ctx iris.Context) {
	if ctx.URLParamExists("watch") {
		h.watch(ctx, "")
		return
	}
	snapshot := h.administrator.cfg.Store.Snapshot()
	list := wireList{Revision: uint64(snapshot.Revision), Items: []wireItem{}}
	for _, r := range snapshot.Resources(h.kind) {
		_, revision, _ := snapshot.Resource(h.kind, r.Identity())
		list.Items = append(list.Items, wireItem{Revision: uint64(revision), Value: declarer.Encode(r)})
	}
	setRevision(ctx, snapshot.Revision)
	answer(ctx, list)
}

func (h resourceHandler) get(ctx iris.Context) {
	name := ctx.Params().Get("name")
	if ctx.URLParamExists("watch") {
		h.watch(ctx, name)
		return
	}
	snapshot := h.administrator.cfg.Store.Snapshot()
	setRevision(ctx, snapshot.Revision)
	r, revision, ok := snapshot.Resource(h.kind, name)
	if !ok {
		failWith(ctx, &configurer.NotFoundError{Kind: h.kind, Name: name})
		return
	}
	setETag(ctx, revision)
	answer(ctx, json.RawMessage(declarer.Encode(r)))
}

func (h resourceHandler) put(ctx iris.Context) {
	match, ok := readMatch(ctx)
	if !ok {
		return
	}
	text, ok := readBody(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	r, err := declarer.DecodeNamed(h.kind, name, "", text)
	if err != nil {
		failWith(ctx, err)
		return
	}
	limited, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	revision, err := h.administrator.cfg.Writer.Put(limited, r, match)
	if err != nil {
		h.failed(ctx, name, err)
		return
	}
	h.written(ctx, name, revision)
	setETag(ctx, revision)
	answer(ctx, json.RawMessage(declarer.Encode(r)))
}

func (h resourceHandler) delete(ctx iris.Context) {
	match, ok := readMatch(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	limited, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	revision, err := h.administrator.cfg.Writer.Delete(limited, h.kind, name, match)
	if err != nil {
		h.failed(ctx, name, err)
		return
	}
	h.written(ctx, name, revision)
	ctx.StatusCode(http.StatusNoContent)
}

func (h resourceHandler) written(ctx iris.Context, name string, revision identifier.Revision) {
	setRevision(ctx, revision)
	h.administrator.cfg.Log.Event(logger.EventConfigWritten).
		Str("operator", ctx.Values().GetString(operatorValue)).
		Str("kind", string(h.kind)).Str("name", h.logName(name)).
		Uint64("revision", uint64(revision)).Send()
}

func (h resourceHandler) failed(ctx iris.Context, name string, err error) {
	p := problemOf(err)
	event := logger.EventPlatformFailed
	if p.Status < http.StatusInternalServerError {
		event = logger.EventConfigConflict
	}
	h.administrator.cfg.Log.Event(event).
		Str("operator", ctx.Values().GetString(operatorValue)).
		Str("kind", string(h.kind)).Str("name", h.logName(name)).
		Int("status", p.Status).Send()
	failWith(ctx, err)
}

// logName leaves the names of customers out of the log.
func (h resourceHandler) logName(name string) string {
	if h.kind == declarer.KindCustomers {
		return ""
	}
	return name
}

// readMatch reads If-Match and If-None-Match. It answers the request itself if they are not acceptable.
func readMatch(ctx iris.Context) (configurer.Match, bool) {
	must, mustNot := ctx.GetHeader("If-Match"), ctx.GetHeader("If-None-Match")
	switch {
	case mustNot != "" && (mustNot != "*" || must != ""):
		badField(ctx, "If-None-Match", mustNot, "write * to create a resource that must not exist, and leave If-Match out")
		return configurer.Match{}, false
	case mustNot == "*":
		return configurer.MatchRevision(0), true
	case must == "":
		return configurer.MatchAny(), true
	case must == "*":
		return configurer.MatchPresent(), true
	}
	digits, quoted := strings.CutPrefix(must, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !quoted || !closed || revision == 0 {
		badField(ctx, "If-Match", must, `write one ETag as the resource has it, for example "17"`)
		return configurer.Match{}, false
	}
	return configurer.MatchRevision(identifier.Revision(revision)), true
}

func readBody(ctx iris.Context) ([]byte, bool) {
	writer := ctx.ResponseWriter().Naive()
	// The deadline is an extra protection; a connection that does not support it is still served.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	text, err := io.ReadAll(io.LimitReader(ctx.Request().Body, parser.MaxBytes+1))
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	if err != nil {
		fail(ctx, problem{Status: http.StatusBadRequest, Detail: "the body did not arrive completely", Outcome: "notRun", Remedy: "send the request again"})
		return nil, false
	}
	if len(text) > parser.MaxBytes {
		fail(ctx, problem{
			Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large", Outcome: "notRun",
			Remedy: fmt.Sprintf("send at most %d bytes", parser.MaxBytes),
		})
		return nil, false
	}
	return text, true
}

func setRevision(ctx iris.Context, r identifier.Revision) {
	ctx.Header(RevisionHeader, strconv.FormatUint(uint64(r), 10))
}

func setETag(ctx iris.Context, r identifier.Revision) {
	ctx.Header("ETag", `"`+strconv.FormatUint(uint64(r), 10)+`"`)
}

func answer(ctx iris.Context, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		failWith(ctx, err)
		return
	}
	ctx.Header("Content-Type", "application/json")
	_, _ = ctx.Write(append(text, '\n'))
}
