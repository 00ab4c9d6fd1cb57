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

// RevisionHeader is the response header with the revision of the configuration that the response reflects.
const RevisionHeader = "Currantledge-Revision"

// resourceHandler serves all resources of one kind.
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
	respondJSON(ctx, list)
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
		respondError(ctx, &configurer.NotFoundError{Kind: h.kind, Name: name})
		return
	}
	setETag(ctx, revision)
	respondJSON(ctx, json.RawMessage(declarer.Encode(r)))
}

func (h resourceHandler) put(ctx iris.Context) {
	match, ok := parseMatch(ctx)
	if !ok {
		return
	}
	body, ok := readBody(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	r, err := declarer.DecodeNamed(h.kind, name, "", body)
	if err != nil {
		respondError(ctx, err)
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	revision, err := h.administrator.cfg.Writer.Put(writeCtx, r, match)
	if err != nil {
		h.respondWriteError(ctx, name, err)
		return
	}
	h.recordWrite(ctx, name, revision)
	setETag(ctx, revision)
	respondJSON(ctx, json.RawMessage(declarer.Encode(r)))
}

func (h resourceHandler) delete(ctx iris.Context) {
	match, ok := parseMatch(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	writeCtx, cancel := context.WithTimeout(ctx.Request().Context(), writeTimeout)
	defer cancel()
	revision, err := h.administrator.cfg.Writer.Delete(writeCtx, h.kind, name, match)
	if err != nil {
		h.respondWriteError(ctx, name, err)
		return
	}
	h.recordWrite(ctx, name, revision)
	ctx.StatusCode(http.StatusNoContent)
}

// recordWrite logs an accepted change and sets the header with its revision.
func (h resourceHandler) recordWrite(ctx iris.Context, name string, revision identifier.Revision) {
	setRevision(ctx, revision)
	h.administrator.cfg.Log.Event(logger.EventConfigWritten).
		Str("operator", ctx.Values().GetString(operatorContextKey)).
		Str("kind", string(h.kind)).Str("name", h.logName(name)).
		Uint64("revision", uint64(revision)).Send()
}

// respondWriteError logs a change that failed and writes the error response.
func (h resourceHandler) respondWriteError(ctx iris.Context, name string, err error) {
	p := problemFor(err)
	event := logger.EventPlatformFailed
	if p.Status < http.StatusInternalServerError {
		event = logger.EventConfigRejected
	}
	h.administrator.cfg.Log.Event(event).
		Str("operator", ctx.Values().GetString(operatorContextKey)).
		Str("kind", string(h.kind)).Str("name", h.logName(name)).
		Int("status", p.Status).Send()
	respondError(ctx, err)
}

// logName returns the name for the log. It is empty for customers, whose names must not be logged.
func (h resourceHandler) logName(name string) string {
	if h.kind == declarer.KindCustomers {
		return ""
	}
	return name
}

// parseMatch reads the condition of a write from If-Match and If-None-Match. If they are invalid, it writes the error
// response and returns false.
func parseMatch(ctx iris.Context) (configurer.Match, bool) {
	ifMatch, ifNoneMatch := ctx.GetHeader("If-Match"), ctx.GetHeader("If-None-Match")
	switch {
	case ifNoneMatch != "" && (ifNoneMatch != "*" || ifMatch != ""):
		respondBadField(ctx, "If-None-Match", ifNoneMatch, "write * to create a resource that must not exist, and leave If-Match out")
		return configurer.Match{}, false
	case ifNoneMatch == "*":
		return configurer.MatchRevision(0), true
	case ifMatch == "":
		return configurer.MatchAny(), true
	case ifMatch == "*":
		return configurer.MatchPresent(), true
	}
	digits, hasOpeningQuote := strings.CutPrefix(ifMatch, `"`)
	digits, hasClosingQuote := strings.CutSuffix(digits, `"`)
	revision, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !hasOpeningQuote || !hasClosingQuote || revision == 0 {
		respondBadField(ctx, "If-Match", ifMatch, `write one ETag as the resource has it, for example "17"`)
		return configurer.Match{}, false
	}
	return configurer.MatchRevision(identifier.Revision(revision)), true
}

// readBody reads the request's body. If that fails or the body is too large, it writes the error response and returns
// false.
func readBody(ctx iris.Context) ([]byte, bool) {
	writer := ctx.ResponseWriter().Naive()
	// The error is ignored: a connection that supports no read deadline is served without one.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(ctx.Request().Body, parser.MaxBytes+1))
	_ = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	if err != nil {
		respondProblem(ctx, problem{Status: http.StatusBadRequest, Detail: "the body did not arrive completely", Outcome: "notRun", Remedy: "send the request again"})
		return nil, false
	}
	if len(body) > parser.MaxBytes {
		respondProblem(ctx, problem{
			Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large", Outcome: "notRun",
			Remedy: fmt.Sprintf("send at most %d bytes", parser.MaxBytes),
		})
		return nil, false
	}
	return body, true
}

func setRevision(ctx iris.Context, r identifier.Revision) {
	ctx.Header(RevisionHeader, strconv.FormatUint(uint64(r), 10))
}

func setETag(ctx iris.Context, r identifier.Revision) {
	ctx.Header("ETag", `"`+strconv.FormatUint(uint64(r), 10)+`"`)
}

// respondJSON writes a value as the response.
func respondJSON(ctx iris.Context, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		respondError(ctx, err)
		return
	}
	ctx.Header("Content-Type", "application/json")
	_, _ = ctx.Write(append(encoded, '\n'))
}
