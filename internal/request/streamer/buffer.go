package streamer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	defaultBufferBytes = identifier.Bytes(1 << 20)
	// chunkBytes is the unit in which memory is allocated and freed. Model tokens are a few bytes each, so they share it.
	// It also bounds one Data message.
	chunkBytes = 16 << 10
)

// OffsetError tells that a peer named bytes that are no longer or not yet in the buffer.
type OffsetError struct {
	Offset identifier.Bytes
	// First and Next bound the bytes that the buffer holds.
	First, Next identifier.Bytes
}

// Error names the offsets and the remedy.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is outside of the buffered bytes %d to %d; attach from the last acknowledged offset", e.Offset, e.First, e.Next)
}

// ReplacedError tells that a newer reader has taken over the buffer.
type ReplacedError struct{}

// Error names the cause and the remedy.
func (*ReplacedError) Error() string {
	return "another connection reads this response now; close this one"
}

// EndedError tells that the response has ended and takes no more bytes.
type EndedError struct{ Reason messenger.Reason }

// Error names the cause and the remedy.
func (e *EndedError) Error() string {
	if e.Reason == "" {
		return "the response is already finished; append before Finish"
	}
	return "the response has failed (" + string(e.Reason) + "); stop the upstream call"
}

// BufferConfig sets up a Buffer.
type BufferConfig struct {
	// MaxBytes bounds the bytes that are not acknowledged; 1 MiB by default.
	MaxBytes identifier.Bytes
	// Clock returns the current time; time.Now by default.
	Clock func() time.Time
}

type chunk struct {
	start identifier.Bytes
	data  []byte
}

func (c chunk) end() identifier.Bytes {
	return c.start + identifier.Bytes(len(c.data))
}

// Buffer holds the response of one attempt until it is acknowledged. It has one writer and one current reader, and is
// safe for concurrent use.
type Buffer struct {
	maxBytes identifier.Bytes
	clock    func() time.Time

	mu      sync.Mutex
	changed chan struct{}
	head    *messenger.Head
	chunks  []chunk
	first   identifier.Bytes
	next    identifier.Bytes
	digest  *xxhash.Digest
	last    messenger.Message
	endedAt time.Time
	reader  *Reader
}

// NewBuffer returns an empty buffer.
func NewBuffer(cfg BufferConfig) *Buffer {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultBufferBytes
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	return &Buffer{maxBytes: cfg.MaxBytes, clock: cfg.Clock, digest: xxhash.New()}
}

// SetHead records the status and header fields, which every reader receives before the first byte. It is called before
// Append; a second head is ignored.
func (b *Buffer) SetHead(head messenger.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil && b.last == nil {
		b.head = &head
		b.notify()
	}
}

// Append copies payload to the end of the response. While the unacknowledged bytes fill the buffer it waits for an
// acknowledgement. It returns *EndedError once the response has ended.
func (b *Buffer) Append(ctx context.Context, payload []byte) error {
	for len(payload) > 0 {
		n, wait, err := b.store(payload)
		if err != nil {
			return err
		}
		payload = payload[n:]
		if wait == nil {
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Finish ends the response as complete. The first of Finish and Fail counts.
func (b *Buffer) Finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(messenger.End{Length: b.next, Digest: b.digest.Sum64()})
}

// Fail ends the response as incomplete; readers receive the reason after the bytes that were appended.
func (b *Buffer) Fail(reason messenger.Reason, mayHaveRun bool) {
	b.Break(messenger.Broken{Reason: reason, MayHaveRun: mayHaveRun})
}

// Break is Fail with all that readers learn.
func (b *Buffer) Break(cause messenger.Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(cause)
}

// Acknowledge frees the bytes before offset. Offsets that were acknowledged before change nothing, since
// acknowledgements of an older connection may arrive late.
func (b *Buffer) Acknowledge(offset identifier.Bytes) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset > b.next {
		return b.offsetError(offset)
	}
	if offset <= b.first {
		return nil
	}
	b.first = offset
	kept := slices.IndexFunc(b.chunks, func(c chunk) bool { return c.end() > offset })
	if kept < 0 {
		kept = len(b.chunks)
	}
	// The freed entries are cleared, so that the array of chunks keeps no payload alive.
	clear(b.chunks[:kept])
	b.chunks = b.chunks[kept:]
	b.notify()
	return nil
}

// Attach returns a reader from offset and makes every earlier reader fail with *ReplacedError.
func (b *Buffer) Attach(offset identifier.Bytes) (*Reader, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < b.first || offset > b.next {
		return nil, b.offsetError(offset)
	}
	b.reader = &Reader{buffer: b, offset: offset}
	b.notify()
	return b.reader, nil
}

// Ended returns the time of Finish or Fail.
func (b *Buffer) Ended() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endedAt, b.last != nil
}

// Held returns the number of bytes that are not acknowledged.
func (b *Buffer) Held() identifier.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next - b.first
}

// store appends what fits. If nothing fits, it returns a channel that is closed at the next change.
func (b *Buffer) store(payload []byte) (int, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		return 0, nil, b.endedError()
	}
	room := b.maxBytes - (b.next - b.first)
	if room <= 0 {
		return 0, b.change(), nil
	}
	part := payload[:min(len(payload), int(room), chunkBytes)]
	if n := len(b.chunks); n == 0 || len(b.chunks[n-1].data)+len(part) > chunkBytes {
		b.chunks = append(b.chunks, chunk{start: b.next, data: make([]byte, 0, chunkBytes)})
	}
	tail := &b.chunks[len(b.chunks)-1]
	tail.data = append(tail.data, part...)
	b.next += identifier.Bytes(len(part))
	// Write of xxhash never returns an error.
	_, _ = b.digest.Write(part)
	b.notify()
	return len(part), nil, nil
}

func (b *Buffer) end(last messenger.Message) {
	if b.last != nil {
		return
	}
	b.last = last
	b.endedAt = b.clock()
	b.notify()
}

func (b *Buffer) endedError() error {
	if broken, ok := b.last.(messenger.Broken); ok {
		return &EndedError{Reason: broken.Reason}
	}
	return &EndedError{}
}

func (b *Buffer) offsetError(offset identifier.Bytes) error {
	return &OffsetError{Offset: offset, First: b.first, Next: b.next}
}

func (b *Buffer) change() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *Buffer) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// from returns the buffered bytes from offset to the end of their chunk.
func (b *Buffer) from(offset identifier.Bytes) []byte {
	at, found := slices.BinarySearchFunc(b.chunks, offset, func(c chunk, o identifier.Bytes) int {
		if c.end() <= o {
			return -1
		}
		if c.start > o {
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return slices.Clip(b.chunks[at].data[offset-b.chunks[at].start:])
}

// Reader yields one response as messages to an entry.
type Reader struct {
	buffer   *Buffer
	offset   identifier.Bytes
	headSent bool
	lastSent bool
}

// Next waits for the next message: Head, then Data in order, then End or Broken, then io.EOF. It returns
// *ReplacedError once a newer reader is attached. The payload must not be changed.
func (r *Reader) Next(ctx context.Context) (messenger.Message, error) {
	for {
		m, wait, err := r.poll()
		if m != nil || err != nil {
			return m, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (r *Reader) poll() (messenger.Message, <-chan struct{}, error) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.reader != r:
		return nil, nil, &ReplacedError{}
	case r.lastSent:
		return nil, nil, io.EOF
	case b.head != nil && !r.headSent:
		r.headSent = true
		return *b.head, nil, nil
	case r.offset < b.first:
		return nil, nil, b.offsetError(r.offset)
	case r.offset < b.next:
		payload := b.from(r.offset)
		m := messenger.Data{Offset: r.offset, Payload: payload}
		r.offset += identifier.Bytes(len(payload))
		return m, nil, nil
	case b.last != nil:
		r.lastSent = true
		return b.last, nil, nil
	}
	return nil, b.change(), nil
}
