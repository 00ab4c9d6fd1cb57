package driver

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// maxLineBytes bounds one NDJSON line of an engine.
const maxLineBytes = 1 << 20

// Generation is a request to a model engine.
type Generation struct {
	Request identifier.Request
	// Customer is a salted digest, never the name.
	Customer identifier.Digest
	Model    identifier.Model
	Adapter  string
	// Prompt and Generated are UTF-8 text. The engine continues after Generated.
	Prompt, Generated []byte
	// MaxTokens bounds the tokens of the whole answer, those of Generated included, since a caller of Generate does
	// not know how many tokens a text has.
	MaxTokens identifier.Tokens
	Priority  identifier.Priority
	Prefix    identifier.Digest
}

// Report is what an upstream tells of itself. Plain services fill Boot and Running only.
type Report struct {
	Boot             identifier.Boot
	Running, Waiting int
	Step             identifier.Step
	// StepTime is the engine's own part of its last step, without waiting for other ranks.
	StepTime time.Duration
	// MapVersion is the expert map of the last step, PreparedMap the prepared but undecided one or 0.
	MapVersion, PreparedMap identifier.MapVersion
	// Experts counts, by expert, the tokens that the rank has processed since it booted.
	Experts        []identifier.Tokens
	Models         []LoadedModel
	Role           string
	KVUsed, KVSize identifier.Bytes
	AsOf           time.Time
}

// LoadedModel is a model that an engine holds.
type LoadedModel struct {
	Model    identifier.Model
	Version  string
	Adapters []string
}

// CacheEvent tells that a prefix entered or left the engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Prefix   identifier.Digest
	Added    bool
}

// Engine is the client of one model engine.
type Engine struct{ upstream upstream }

// NewEngine returns a client.
func NewEngine(cfg Config) *Engine {
	return &Engine{upstream: newUpstream(cfg)}
}

// Close closes the idle connections.
func (e *Engine) Close() { e.upstream.close() }

// Generate runs a generation, passes the text to emit as it arrives and returns the number of tokens generated.
// It returns *NotStartedError, *BrokenError or the error of emit.
func (e *Engine) Generate(ctx context.Context, g Generation, emit func(text []byte) error) (identifier.Tokens, error) {
	body, err := json.Marshal(encodeGeneration(g))
	if err != nil {
		return 0, &NotStartedError{Reason: messenger.ReasonMalformed, Cause: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := e.upstream.start(ctx, http.MethodPost, "/engine/v1/generate", header, body)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, refusedGeneration(response)
	}
	return readStream(response.Body, emit)
}

func refusedGeneration(response *http.Response) error {
	code := readCode(response.Body)
	cause := errors.Newf("status %d %s", response.StatusCode, code)
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && code == codeOverloaded:
		return &NotStartedError{Reason: messenger.ReasonOverloaded, Cause: cause}
	case response.StatusCode == http.StatusNotFound:
		return &NotStartedError{Reason: messenger.ReasonUnknownTarget, Cause: cause}
	case response.StatusCode == http.StatusBadRequest:
		return &NotStartedError{Reason: messenger.ReasonMalformed, Cause: cause}
	}
	return &BrokenError{Cause: cause}
}

func readCode(body io.Reader) string {
	var problem wireProblem
	raw, err := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	if err != nil || json.Unmarshal(raw, &problem) != nil {
		return ""
	}
	return problem.Error
}

func readStream(body io.Reader, emit func(text []byte) error) (identifier.Tokens, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line wireLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return 0, &BrokenError{Cause: errors.Wrap(err, "unreadable line")}
		}
		switch {
		case line.Done:
			return identifier.Tokens(line.Tokens), nil
		case line.Error != "":
			return 0, &BrokenError{Cause: errors.Newf("engine reported %s", line.Error)}
		}
		if err := emit([]byte(line.Text)); err != nil {
			return 0, err
		}
	}
	if err := lines.Err(); err != nil {
		return 0, &BrokenError{Cause: err}
	}
	return 0, &BrokenError{Cause: io.ErrUnexpectedEOF}
}

// Cancel stops a generation. An unknown request is not an error.
func (e *Engine) Cancel(ctx context.Context, id identifier.Request) error {
	status, _, err := e.upstream.query(ctx, http.MethodPost, "/engine/v1/cancel", wireRequest{Request: id.String()})
	if err != nil {
		return err
	}
	if status != http.StatusNoContent && status != http.StatusOK {
		return errors.Newf("engine answered status %d to a cancellation; check that it speaks the protocol", status)
	}
	return nil
}

// Report reads the engine's report, which lags.
func (e *Engine) Report(ctx context.Context) (Report, error) {
	var w wireReport
	if err := e.upstream.fetch(ctx, "/engine/v1/report", &w); err != nil {
		return Report{}, err
	}
	return decodeReport(w), nil
}

// CacheEvents reads the cache events after a sequence number and the number to continue from.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error) {
	var w wireCacheEvents
	path := "/engine/v1/cacheEvents?after=" + strconv.FormatUint(after, 10)
	if err := e.upstream.fetch(ctx, path, &w); err != nil {
		return nil, after, err
	}
	return decodeCacheEvents(w.Events), w.Next, nil
}
