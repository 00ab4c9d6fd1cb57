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
	headerIdempotencyKey = "Idempotency-Key"
	headerRequest        = "Currantledge-Request"
	// chunkBytes bounds one read of a response body.
	chunkBytes = 32 << 10
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Call is a request to a plain service.
type Call struct {
	Request      identifier.Request
	Method, Path string
	Headers      []messenger.Header
	Body         []byte
	// Key is sent as Idempotency-Key unless it is empty.
	Key identifier.Key
}

// Service is the client of one plain service. Its methods may be called concurrently.
type Service struct{ client client }

// NewService returns the client of a plain service.
func NewService(cfg Config) *Service {
	return &Service{client: newClient(cfg)}
}

// Close closes the idle connections.
func (s *Service) Close() { s.client.close() }

// Call sends a call once, passes the status and headers of the response to head, then the body to emit as it arrives. The
// error is *NotStartedError, *BrokenError or the error of head or emit.
func (s *Service) Call(
	ctx context.Context, c Call, head func(status int, headers []messenger.Header) error, emit func([]byte) error,
) error {
	response, err := s.client.sendOnce(ctx, c.Method, c.Path, requestHeader(c), c.Body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := io.Reader(response.Body)
	if response.StatusCode == http.StatusServiceUnavailable {
		prefix, overloaded, err := readOverload(response.Body)
		if err != nil {
			return &BrokenError{Cause: err}
		}
		if overloaded {
			return &NotStartedError{Reason: messenger.ReasonOverloaded, Cause: errors.New("status 503 overloaded")}
		}
		body = io.MultiReader(bytes.NewReader(prefix), response.Body)
	}
	if err := head(response.StatusCode, responseHeaders(response.Header)); err != nil {
		return err
	}
	if err := streamBody(body, emit); err != nil {
		return err
	}
	return checkBodyLength(c.Method, response)
}

// checkBodyLength returns an error for a body that only the end of the connection delimits, because its truncation cannot
// be detected.
func checkBodyLength(method string, response *http.Response) error {
	if method == http.MethodHead || response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return nil
	}
	return &BrokenError{Cause: errors.New("body has neither Content-Length nor chunks; make the service send one of them")}
}

// readOverload reads the beginning of a 503 body, returns it, and reports whether its error code is codeOverloaded. With
// this code the service guarantees that the call did not start.
func readOverload(body io.Reader) ([]byte, bool, error) {
	prefix, err := io.ReadAll(io.LimitReader(body, maxProblemBytes))
	if err != nil {
		return nil, false, err
	}
	return prefix, readErrorCode(bytes.NewReader(prefix)) == codeOverloaded, nil
}

// streamBody passes a body to emit as it arrives.
func streamBody(body io.Reader, emit func([]byte) error) error {
	for {
		// emit may keep the chunk, so each read gets a new one.
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

func requestHeader(c Call) http.Header {
	header := http.Header{}
	for _, h := range c.Headers {
		header.Add(h.Name, h.Value)
	}
	removeHopByHopHeaders(header)
	header.Del("Host")
	header.Del("Content-Length")
	if header.Get("User-Agent") == "" {
		// An empty value prevents net/http from adding its own.
		header.Set("User-Agent", "")
	}
	if c.Key != "" {
		header.Set(headerIdempotencyKey, string(c.Key))
	}
	header.Set(headerRequest, c.Request.String())
	return header
}

func responseHeaders(header http.Header) []messenger.Header {
	header = header.Clone()
	removeHopByHopHeaders(header)
	out := make([]messenger.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			out = append(out, messenger.Header{Name: name, Value: value})
		}
	}
	// Headers are sorted by name, so that a recorded response is always replayed with the same bytes. Values of one name
	// keep their order.
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func removeHopByHopHeaders(header http.Header) {
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// Report reads the service's report.
func (s *Service) Report(ctx context.Context) (Report, error) {
	var w wireReport
	if err := s.client.getJSON(ctx, "/report", &w); err != nil {
		return Report{}, err
	}
	return decodeReport(w), nil
}
