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

// maxLineBytes bounds one line of an engine's NDJSON stream.
const maxLineBytes = 1 << 20

// Generation is a request to a model engine.
type Generation struct {
	Request identifier.Request
	// Customer is a salted digest of the customer's name. Engines never receive the name.
	Customer identifier.Digest
	Model    identifier.Model
	Adapter  string
	// Prompt and Generated are UTF-8 text. Generated is set when a generation is resumed; the engine continues after it.
	Prompt, Generated []byte
	// MaxTokens bounds the tokens of the complete output, those of Generated included, since a caller of Generate does
	// not know how many tokens a text has.
	MaxTokens identifier.Tokens
	Priority  identifier.Priority
	// Prefix is a digest that names the prefix of the prompt in the engine's prefix cache.
	Prefix identifier.Digest
}

// Report is the state that an upstream reports of itself. Plain services set only Boot and Running.
type Report struct {
	Boot identifier.Boot
	// Running and Waiting count requests.
	Running, Waiting int
	// Step is the engine's last step.
	Step identifier.Step
	// StepTime is the time that the engine itself spent on its last step, without the wait for other ranks.
	StepTime time.Duration
	// MapVersion is the version of the expert map of the last step. PreparedMap is the lowest version of a prepared map
	// that is not decided yet, or 0.
	MapVersion, PreparedMap identifier.MapVersion
	// ExpertTokens counts, by expert, the tokens that the rank has processed since it booted.
	ExpertTokens []identifier.Tokens
	Models       []LoadedModel
	Role         string
	// KVUsed and KVSize are the used and the total size of the engine's KV cache.
	KVUsed, KVSize identifier.Bytes
	// AsOf is when the engine had the reported state.
	AsOf time.Time
}

// LoadedModel is a model that an engine has loaded.
type LoadedModel struct {
	Model    identifier.Model
	Version  string
	Adapters []string
}

// CacheEvent reports that a prefix was added to the engine's prefix cache or removed from it.
type CacheEvent struct {
	Sequence uint64
	Prefix   identifier.Digest
	Added    bool
}

// Engine is the client of one model engine. Its methods may be called concurrently.
type Engine struct{ client client }

// NewEngine returns the client of a model engine.
func NewEngine(cfg Config) *Engine {
	return &Engine{client: newClient(cfg)}
}

// Close closes the idle connections.
func (e *Engine) Close() { e.client.close() }

// Generate runs a generation, passes the text to emit as it arrives and returns the number of generated tokens. The
// error is *NotStartedError, *BrokenError or the error of emit.
func (e *Engine) Generate(ctx context.Context, g Generation, emit func(text []byte) error) (identifier.Tokens, error) {
	body, err := json.Marshal(encodeGeneration(g))
	if err != nil {
		return 0, &NotStartedError{Reason: messenger.ReasonMalformed, Cause: err}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	response, err := e.client.sendOnce(ctx, http.MethodPost, "/engine/v1/generate", header, body)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, generationError(response)
	}
	return readStream(response.Body, emit)
}

// generationError returns the error for a response to a generation whose status is not 200.
func generationError(response *http.Response) error {
	code := readErrorCode(response.Body)
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

// readErrorCode returns the error code in the body of a response, or "" if there is none.
func readErrorCode(body io.Reader) string {
	var problem wireProblem
	raw, err := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	if err != nil || json.Unmarshal(raw, &problem) != nil {
		return ""
	}
	return problem.Error
}

// readStream passes the text of an NDJSON stream to emit until the line that marks its end.
func readStream(body io.Reader, emit func(text []byte) error) (identifier.Tokens, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line wireLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return 0, &BrokenError{Cause: errors.Wrap(err, "decode a line of the stream")}
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

// Cancel cancels a generation. An unknown request is not an error.
func (e *Engine) Cancel(ctx context.Context, id identifier.Request) error {
	status, _, err := e.client.query(ctx, http.MethodPost, "/engine/v1/cancel", wireRequest{Request: id.String()})
	if err != nil {
		return err
	}
	if status != http.StatusNoContent && status != http.StatusOK {
		return errors.Newf("engine returned status %d for a cancellation; check that it implements the engine protocol", status)
	}
	return nil
}

// Report reads the engine's report. It lags behind the engine's state.
func (e *Engine) Report(ctx context.Context) (Report, error) {
	var w wireReport
	if err := e.client.getJSON(ctx, "/engine/v1/report", &w); err != nil {
		return Report{}, err
	}
	return decodeReport(w), nil
}

// CacheEvents returns the cache events after a sequence number, and the sequence number for the next call.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error) {
	var w wireCacheEvents
	path := "/engine/v1/cacheEvents?after=" + strconv.FormatUint(after, 10)
	if err := e.client.getJSON(ctx, path, &w); err != nil {
		return nil, after, err
	}
	return decodeCacheEvents(w.Events), w.Next, nil
}
