package forwarder

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/requester"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/screener"
	"currantledge.example/currantledge/internal/request/workmeter"
)

// maxEventBytes bounds an event that has not arrived completely. A gateway with 160 MB forwards hundreds of streams.
const maxEventBytes = 128 << 10

// stream is the response as the client receives it. On a streaming route, several upstreams may contribute to it.
type stream struct {
	writer http.ResponseWriter
	names  HeaderNames
	// started is set once the client has received the head of the response.
	started bool
	// status and mediaType are those of the head that the client received.
	status    int
	mediaType string
	// hasEvents is set if the response that the client receives consists of events.
	hasEvents bool
	// lastEventID is the id of the last event that the client received, or empty.
	lastEventID string
	// stopResponseTimer stops the timer that cancels an attempt whose response does not arrive in time; nil if no attempt
	// has had a timer.
	stopResponseTimer func()
	// overdue is set if that timer has cancelled the latest attempt, for which it has taken a retry from the budget.
	overdue atomic.Bool
	// stall cancels the latest attempt if no event arrives in time.
	stall *stallTimer
	// run is the latest attempt as the screener knows it, which sets screened if it cancels the attempt.
	run      *screener.Run
	screened atomic.Bool
	// grant is that of the latest attempt.
	grant admitter.Granted
	// head is the time from sending the latest attempt to the head of its response, or 0.
	head time.Duration
	// limit is the text of the rate limit in the latest response, or empty.
	limit string
	// pause is the text of the Retry-After in the latest response, or empty.
	pause string
	// firstByte is the time from sending the latest attempt to the first event of its response, or 0.
	firstByte time.Duration
	// events is the number of events with content that the client received, and attemptEvents the number of those that the
	// latest attempt sent.
	events        int
	attemptEvents int
	// work is the estimated work of the latest attempt.
	work workmeter.Work
	// lastEventAt is when the latest attempt last received an event, and longestGap the longest time between two of its
	// events.
	lastEventAt time.Time
	longestGap  time.Duration
	// firstEventAt is when the first event of the response arrived, and longestWait the longest time between two of its
	// events, both over all attempts.
	firstEventAt time.Time
	longestWait  time.Duration
}

// sendHead stops the response timer and sends the head of the first upstream's response to the client; heads of later
// upstreams are dropped.
func (s *stream) sendHead(header http.Header, status int) {
	if s.stopResponseTimer != nil {
		s.stopResponseTimer()
	}
	if s.started {
		return
	}
	copyHeader(s.writer.Header(), header)
	s.writer.WriteHeader(status)
	s.started, s.status, s.mediaType = true, status, mediaType(header)
}

// isContinuedBy reports whether a response to a later attempt may be the rest of the stream that the client receives. A
// body that is not framed may end anywhere.
func (s *stream) isContinuedBy(got *requester.Response) bool {
	return got.Framed && got.Status == s.status && mediaType(got.Header) == s.mediaType
}

// mediaType returns the media type that a header declares, without its parameters, or the text of an invalid one.
func mediaType(header http.Header) string {
	text := header.Get("Content-Type")
	if parsed, _, err := mime.ParseMediaType(text); err == nil {
		return parsed
	}
	return text
}

var (
	errGap            = errors.New("events are missing from the stream")
	errNoEvent        = errors.New("the response to a resumed attempt has no event")
	errTruncatedEvent = errors.New("the stream ended within an event")
	errEventTooLarge  = errors.Newf("an event exceeds %d bytes", maxEventBytes)
)

// forwardEvents sends the complete events at the start of data to the client, without those that it already has. It
// returns the incomplete rest, and whether there was an event with an id or data.
func (s *stream) forwardEvents(data []byte) (rest []byte, progress bool, err error) {
	var out []byte
	for {
		end := eventEnd(data)
		if end < 0 {
			break
		}
		event := data[:end]
		data = data[end:]
		if hasContent(event) {
			progress = true
			s.attemptEvents++
		}
		duplicate, err := s.trackEvent(event)
		if err != nil {
			return data, progress, err
		}
		if !duplicate {
			if hasContent(event) {
				s.events++
			}
			out = append(out, event...)
		}
	}
	if len(data) > maxEventBytes {
		return data, progress, errEventTooLarge
	}
	if len(out) == 0 {
		return data, progress, nil
	}
	if _, err := (clientWriter{s.writer}).Write(out); err != nil {
		return data, progress, err
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil {
		return data, progress, errors.Mark(err, errClientWrite)
	}
	return data, progress, nil
}

// trackEvent records the id of an event and reports whether the client already has the event. It returns errGap if
// numeric ids skip events. Events without an id are never duplicates.
func (s *stream) trackEvent(event []byte) (bool, error) {
	id, found := eventID(event)
	if !found {
		return false, nil
	}
	last, errLast := strconv.ParseUint(s.lastEventID, 10, 64)
	next, errNext := strconv.ParseUint(id, 10, 64)
	if s.lastEventID != "" && errLast == nil && errNext == nil {
		if next <= last {
			return true, nil
		}
		if next != last+1 {
			return false, errGap
		}
	}
	s.lastEventID = id
	return false, nil
}

// eventEnd returns the length of the first complete event, or -1.
func eventEnd(data []byte) int {
	end := -1
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(data, separator); i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// eventID returns the id of an event and reports whether it has one.
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

// hasContent reports whether an event has an id or data. Comments and blank lines, which keep a connection open, have
// neither.
func hasContent(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("id:")) || bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// receiveStream forwards events to the client until the upstream's stream ends or breaks. Only events with content count
// as progress, so that an upstream that sends other bytes does not look alive.
func (f *Forwarder) receiveStream(clientCtx context.Context, c *call, s *stream, got *requester.Response, sent time.Time) attemptResult {
	var pending []byte
	buffer := make([]byte, 4<<10)
	memory := c.reserve(f.cfg.ResponseMemory, &responseAccount{holder: c.holder})
	resumed := s.started
	s.hasEvents = true
	for {
		n, err := got.Body.Read(buffer)
		if n > 0 {
			pending = append(pending, buffer[:n]...)
			if eventEnd(pending) >= 0 {
				s.sendHead(got.Header, got.Status)
			}
			s.stall.pause()
			rest, progress, forwardErr := s.forwardEvents(pending)
			s.stall.resume(progress)
			if progress {
				f.recordProgress(c, s, sent)
			}
			if forwardErr != nil {
				return f.classifyError(clientCtx, c, s, forwardErr)
			}
			pending = append(pending[:0], rest...)
			if !memory.Grow(cap(pending)) {
				return f.classifyError(clientCtx, c, s, errEventTooLarge)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && resumed && s.firstByte == 0:
			return f.classifyError(clientCtx, c, s, errNoEvent)
		case errors.Is(err, io.EOF) && len(pending) == 0:
			s.sendHead(got.Header, got.Status)
			f.logEnd(c, got.Status, "complete")
			f.longestGaps.Observe(s.longestGap)
			f.recordLength(c, s)
			return attemptResult{feedback: f.servedFeedback(got, sent, s.firstByte), complete: true}
		case errors.Is(err, io.EOF):
			return f.classifyError(clientCtx, c, s, errTruncatedEvent)
		case err != nil:
			return f.classifyError(clientCtx, c, s, err)
		}
	}
}

// recordProgress records that events of the latest attempt arrived.
func (f *Forwarder) recordProgress(c *call, s *stream, sent time.Time) {
	now := time.Now()
	gap := time.Duration(0)
	if s.firstByte > 0 {
		gap = now.Sub(s.lastEventAt)
	}
	s.longestGap = max(s.longestGap, gap)
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestWait = max(s.longestWait, now.Sub(s.lastEventAt))
	}
	f.cfg.Admitter.RecordProgress(now, s.grant.Upstream.ID, gap)
	s.lastEventAt = now
	if s.firstByte == 0 {
		s.firstByte = now.Sub(sent)
		f.cfg.Admitter.RecordFirstByte(now, s.grant)
	}
	f.recordEvents(c, s)
}
