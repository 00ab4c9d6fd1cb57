package driver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	headerKey     = "Idempotency-Key"
	headerRequest = "Currantledge-Request"
	chunkBytes    = 32 << 10
)

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call is a request to a plain service.
type Call struct {
	Request      identifier.Request
	Method, Path string
	Headers      []messenger.Header
	Body         []byte
	Key          identifier.Key
}

// Service is the client of one plain service.
type Service struct{ upstream upstream }

// NewService returns a client.
func NewService(cfg Config) *Service {
	return &Service{upstream: newUpstream(cfg)}
}

// Close closes the idle connections.
func (s *Service) Close() { s.upstream.close() }

// Call forwards a call once, passes status and headers to head, then the body to emit as it arrives.
// It returns *NotStartedError, *BrokenError or the error of head or emit.
func (s *Service) Call(
	ctx context.Context, c Call, head func(status int, headers []messenger.Header) error, emit func([]byte) error,
) error {
	response, err := s.upstream.start(ctx, c.Method, c.Path, callHeader(c), c.Body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := io.Reader(response.Body)
	if response.StatusCode == http.StatusServiceUnavailable {
		start, overloaded, err := inspectProblem(response.Body)
		if err != nil {
			return &BrokenError{Cause: err}
		}
		if overloaded {
			return &NotStartedError{Reason: messenger.ReasonOverloaded, Cause: errors.New("status 503 overloaded")}
		}
		body = io.MultiReader(bytes.NewReader(start), response.Body)
	}
	if err := head(response.StatusCode, answerHeaders(response.Header)); err != nil {
		return err
	}
	if err := forward(body, emit); err != nil {
		return err
	}
	return checkDelimited(c.Method, response)
}

// checkDelimited refuses a body that only the end of the connection delimits, because its truncation cannot be noticed.
func checkDelimited(method string, response *http.Response) error {
	if method == http.MethodHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	return &BrokenError{Cause: errors.New("body has neither Content-Length nor chunks; make the service send one of them")}
}

// inspectProblem reads the start of a 503 body and tells whether it promises that nothing ran.
func inspectProblem(body io.Reader) ([]byte, bool, error) {
	start, err := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	if err != nil {
		return nil, false, err
	}
	return start, readCode(bytes.NewReader(start)) == codeOverloaded, nil
}

func forward(body io.Reader, emit func([]byte) error) error {
	for {
		// emit may keep the chunk, so each has memory of its own.
		chunk := make([]byte, chunkBytes)
		n, err := body.Read(chunk)
		if n > 0 {
			if emitErr := emit(chunk[:n]); emitErr != nil {
				return emitErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &BrokenError{Cause: err}
		}
	}
}

func callHeader(c Call) http.Header {
	header := http.Header{}
	for _, h := range c.Headers {
		header.Add(h.Name, h.Value)
	}
	removeHopHeaders(header)
	header.Del("Host")
	header.Del("Content-Length")
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	if c.Key != "" {
		header.Set(headerKey, string(c.Key))
	}
	header.Set(headerRequest, c.Request.String())
	return header
}

func answerHeaders(header http.Header) []messenger.Header {
	header = header.Clone()
	removeHopHeaders(header)
	out := make([]messenger.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			out = append(out, messenger.Header{Name: name, Value: value})
		}
	}
	// Stable order by name, so that a recorded answer replays byte for byte; values of one name keep theirs.
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func removeHopHeaders(header http.Header) {
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// Report reads the service's report.
func (s *Service) Report(ctx context.Context) (Report, error) {
	var w wireReport
	if err := s.upstream.fetch(ctx, "/report", &w); err != nil {
		return Report{}, err
	}
	return decodeReport(w), nil
}
