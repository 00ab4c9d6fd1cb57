// Package headchecker rejects responses whose head HTTP does not allow. What follows such a head cannot be interpreted, so no
// later byte of its connection is a response.
package headchecker

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"currantledge.example/currantledge/internal/connection/resetdetector"
)

const (
	minFinal = 200
	maxFinal = 599
	// minInformational is the lowest status of a response that precedes the final one.
	minInformational = 100
)

var (
	// ErrInvalidStatus marks errors of responses with an invalid status. The request may have run.
	ErrInvalidStatus = errors.New("invalid status of the response; check what serves at the address")
	// ErrInvalidField marks errors of responses with an invalid field. The request may have run.
	ErrInvalidField = errors.New("invalid field in the head of the response; check what serves at the address")
)

// IsInformational reports whether a response with this status precedes the final one. 101 does not: it ends HTTP on its
// connection, and no client of the system asks for that.
func IsInformational(status int) bool {
	return status >= minInformational && status < minFinal && status != http.StatusSwitchingProtocols
}

// CheckFinal returns an error marked with ErrInvalidStatus unless the status is that of a final response, 200 to 599.
func CheckFinal(status int) error {
	if status < minFinal || status > maxFinal {
		return errors.Wrapf(ErrInvalidStatus, "%03d", status)
	}
	return nil
}

// CheckFieldNames returns an error marked with ErrInvalidField unless the names of all fields are valid. net/http accepts
// blanks in a name, so that "Content-Length : 5" is a field of its own that does not delimit the body.
func CheckFieldNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalidField, "name %.40q", name)
		}
	}
	return nil
}

// Transport is an http.RoundTripper that returns an error for an invalid head of a final response and does not use the
// connection again. The body of a response ends with an error if the connection broke, also during a write of the request.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport with the settings of base.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: resetdetector.New(raw)}, nil
	}
	return &Transport{base: base}
}

// connection is a connection of a Transport. net/http offers a connection to the next request before it returns a
// response without a body, so the next request waits until the head of that response is checked.
type connection struct {
	net.Conn
	// unchecked is held by a request from the choice of the connection until the head of its response is checked.
	unchecked sync.Mutex
	// failure is the error for an invalid head, after which the connection is closed, or nil. It is guarded by unchecked.
	failure error
}

// ofTransport returns the connection of a Transport below c, or nil for HTTP/2, where responses cannot follow each other
// out of order.
func ofTransport(c net.Conn) *connection {
	if secure, ok := c.(*tls.Conn); ok {
		if secure.ConnectionState().NegotiatedProtocol == "h2" {
			return nil
		}
		c = secure.NetConn()
	}
	out, _ := c.(*connection)
	return out
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *connection
	release := func() {
		if used != nil {
			used.unchecked.Unlock()
			used = nil
		}
	}
	defer func() { release() }()
	// net/http calls GotConn again if it repeats a request on another connection.
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		release()
		if c := ofTransport(info.Conn); c != nil {
			c.unchecked.Lock()
			used = c
		}
	}})
	response, err := t.base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err = CheckFinal(response.StatusCode); err == nil {
		err = CheckFieldNames(response.Header)
	}
	if used != nil && used.failure != nil {
		// The request could not be sent, since the connection was closed; the response was read ahead.
		err = errors.Wrap(used.failure, "an earlier response on the connection")
	}
	if err == nil {
		return response, nil
	}
	if used != nil {
		used.failure = err
		_ = used.Close()
	}
	_ = response.Body.Close()
	return nil, err
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
