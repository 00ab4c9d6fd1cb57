package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/request/admitter"
)

// maxEvent bounds the memory of one event.
const maxEvent = 1 << 20

// stream is the answer to the client of a streaming route, over all upstreams that contribute to it.
type stream struct {
	writer    http.ResponseWriter
	names     HeaderNames
	started   bool
	lastEvent string
	onStart   func()
	// granted is the latest send.
	granted admitter.Granted
	// first is the time from the latest send to the first byte of its answer, or 0.
	first time.Duration
}

// start sends the head of the first upstream.
func (s *stream) start(header http.Header, status int) {
	if s.onStart != nil {
		s.onStart()
	}
	if s.started {
		return
	}
	copyHeader(s.writer.Header(), header)
	s.writer.WriteHeader(status)
	s.started = true
}

var (
	errGap   = errors.New("the stream goes on with a gap")
	errEvent = errors.New("the stream ends within an event")
)

// pass writes the complete events at the start of data and returns the rest.
func (s *stream) pass(data []byte) ([]byte, error) {
	var out []byte
	for {
		end := eventEnd(data)
		if end < 0 {
			break
		}
		event := data[:end]
		data = data[end:]
		repeated, err := s.follow(event)
		if err != nil {
			return data, err
		}
		if !repeated {
			out = append(out, event...)
		}
	}
	if len(data) > maxEvent {
		return data, errors.Newf("an event is larger than %d bytes", maxEvent)
	}
	if len(out) == 0 {
		return data, nil
	}
	if _, err := s.writer.Write(out); err != nil {
		return data, err
	}
	return data, http.NewResponseController(s.writer).Flush()
}

// follow checks the id of an event against the last one and tells whether the client already has it.
func (s *stream) follow(event []byte) (bool, error) {
	id, found := eventID(event)
	if !found {
		return false, nil
	}
	last, errLast := strconv.ParseUint(s.lastEvent, 10, 64)
	next, errNext := strconv.ParseUint(id, 10, 64)
	if s.lastEvent != "" && errLast == nil && errNext == nil {
		if next <= last {
			return true, nil
		}
		if next != last+1 {
			return false, errGap
		}
	}
	s.lastEvent = id
	return false, nil
}

// eventEnd returns the length of the first complete event, or -1.
func eventEnd(data []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(data, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		event = rest
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// receiveStream passes on events until the stream ends or breaks.
func (f *Forwarder) receiveStream(client context.Context, c *call, s *stream, got *requester.Response, sent time.Time) result {
	var pending []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := got.Body.Read(buffer)
		if n > 0 {
			f.cfg.Admitter.Progressed(time.Now(), c.service)
			if s.first == 0 {
				s.first = time.Since(sent)
				f.cfg.Admitter.Started(time.Now(), s.granted)
			}
			pending = append(pending, buffer[:n]...)
			if eventEnd(pending) >= 0 {
				s.start(got.Header, got.Status)
			}
			rest, passErr := s.pass(pending)
			if passErr != nil {
				return f.failed(client, c, passErr)
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0:
			s.start(got.Header, got.Status)
			f.logEnd(c, got.Status, "complete")
			return result{belief: f.served(got, sent, s.first), done: true}
		case errors.Is(err, io.EOF):
			return f.failed(client, c, errEvent)
		case err != nil:
			return f.failed(client, c, err)
		}
	}
}
