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
	// chunkBytes is the unit in which memory is allocated and freed, since model tokens have only a few bytes each. It
	// also bounds the payload of one Data message.
	chunkBytes = 16 << 10
)

// OffsetError reports an offset of a peer whose bytes are no longer or not yet in the buffer.
type OffsetError struct {
	Offset identifier.Bytes
	// First is the offset of the first byte in the buffer, Next that of the next byte to append.
	First, Next identifier.Bytes
}

// Error returns the offsets and the remedy.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is outside of the buffered bytes %d to %d; attach from the last acknowledged offset", e.Offset, e.First, e.Next)
}

// ReplacedError is returned to a reader after a newer one was attached to the buffer.
type ReplacedError struct{}

// Error returns the cause and the remedy.
func (*ReplacedError) Error() string {
	return "another connection reads this response now; close this one"
}

// EndedError is returned by Append after the response has ended. Reason is empty if it ended with Finish.
type EndedError struct{ Reason messenger.Reason }

// Error returns the cause and the remedy.
func (e *EndedError) Error() string {
	if e.Reason == "" {
		return "the response is already finished; append before Finish"
	}
	return "the response has failed (" + string(e.Reason) + "); stop the upstream call"
}

// BufferConfig configures a Buffer.
type BufferConfig struct {
	// MaxBytes bounds the unacknowledged bytes; 1 MiB by default.
	MaxBytes identifier.Bytes
	// Clock returns the current time; time.Now by default.
	Clock func() time.Time
}

// chunk is a part of the response in one allocation.
type chunk struct {
	// start is the offset of the first byte.
	start identifier.Bytes
	data  []byte
}

func (c chunk) end() identifier.Bytes {
	return c.start + identifier.Bytes(len(c.data))
}

// Buffer holds the response of one attempt until it is acknowledged. It has one writer and one current reader. It is safe
// for concurrent use.
type Buffer struct {
	maxBytes identifier.Bytes
	clock    func() time.Time

	mu sync.Mutex
	// changed is closed at the next change; nil without a waiter.
	changed chan struct{}
	head    *messenger.Head
	chunks  []chunk
	// first is the offset of the first unacknowledged byte.
	first identifier.Bytes
	// next is the offset of the next byte to append.
	next identifier.Bytes
	// digest covers all appended bytes.
	digest *xxhash.Digest
	// final is the message that ends the response, End or Broken; nil until then.
	final   messenger.Message
	endedAt time.Time
	// reader is the current reader; nil before Attach.
	reader *Reader
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

// SetHead sets the status and header fields, which each reader receives before the first byte. It must be called before
// Append. Further calls have no effect.
func (b *Buffer) SetHead(head messenger.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.head == nil && b.final == nil {
		b.head = &head
		b.notify()
	}
}

// Append copies payload to the end of the response. While the buffer is full of unacknowledged bytes, it blocks. It
// returns *EndedError if the response has ended, or the error of ctx.
func (b *Buffer) Append(ctx context.Context, payload []byte) error {
	for len(payload) > 0 {
		n, wait, err := b.appendPart(payload)
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

// Finish ends the response as complete. It has no effect on a response that has ended.
func (b *Buffer) Finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endWith(messenger.End{Length: b.next, Digest: b.digest.Sum64()})
}

// Fail ends the response as incomplete. Readers receive the reason after the appended bytes. It has no effect on a
// response that has ended.
func (b *Buffer) Fail(reason messenger.Reason, mayHaveRun bool) {
	b.FailWith(messenger.Broken{Reason: reason, MayHaveRun: mayHaveRun})
}

// FailWith is like Fail, but takes the complete message for readers.
func (b *Buffer) FailWith(cause messenger.Broken) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endWith(cause)
}

// Acknowledge frees the bytes before offset. It ignores offsets that were acknowledged before, since acknowledgements of
// an older connection may arrive late. It returns *OffsetError for an offset after the appended bytes.
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
	// The freed entries are cleared, so that the underlying array does not retain their payload.
	clear(b.chunks[:kept])
	b.chunks = b.chunks[kept:]
	b.notify()
	return nil
}

// Attach returns a reader from offset and makes every earlier reader fail with *ReplacedError. It returns *OffsetError if
// the offset is outside of the buffered bytes.
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

// Ended returns the time at which the response ended, and reports whether it has.
func (b *Buffer) Ended() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endedAt, b.final != nil
}

// Unacknowledged returns the number of unacknowledged bytes.
func (b *Buffer) Unacknowledged() identifier.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.next - b.first
}

// appendPart appends as much of payload as fits into the buffer and one chunk, and returns the number of bytes. If none
// fits, it returns a channel that is closed at the next change.
func (b *Buffer) appendPart(payload []byte) (int, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.final != nil {
		return 0, nil, b.endedError()
	}
	free := b.maxBytes - (b.next - b.first)
	if free <= 0 {
		return 0, b.nextChange(), nil
	}
	part := payload[:min(len(payload), int(free), chunkBytes)]
	if n := len(b.chunks); n == 0 || len(b.chunks[n-1].data)+len(part) > chunkBytes {
		b.chunks = append(b.chunks, chunk{start: b.next, data: make([]byte, 0, chunkBytes)})
	}
	tail := &b.chunks[len(b.chunks)-1]
	tail.data = append(tail.data, part...)
	b.next += identifier.Bytes(len(part))
	// xxhash never returns an error.
	_, _ = b.digest.Write(part)
	b.notify()
	return len(part), nil, nil
}

// endWith ends the response with a final message, unless it has ended. It is called with the lock held.
func (b *Buffer) endWith(final messenger.Message) {
	if b.final != nil {
		return
	}
	b.final = final
	b.endedAt = b.clock()
	b.notify()
}

func (b *Buffer) endedError() error {
	if broken, ok := b.final.(messenger.Broken); ok {
		return &EndedError{Reason: broken.Reason}
	}
	return &EndedError{}
}

func (b *Buffer) offsetError(offset identifier.Bytes) error {
	return &OffsetError{Offset: offset, First: b.first, Next: b.next}
}

// nextChange returns a channel that is closed by the next call of notify. It is called with the lock held.
func (b *Buffer) nextChange() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify wakes the writer and the readers that wait for a change. It is called with the lock held.
func (b *Buffer) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// bytesFrom returns the buffered bytes from offset to the end of their chunk.
func (b *Buffer) bytesFrom(offset identifier.Bytes) []byte {
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

// Reader returns one response as messages for an entry.
type Reader struct {
	buffer    *Buffer
	offset    identifier.Bytes
	headSent  bool
	finalSent bool
}

// Next waits for the next message: Head, then Data in order, then End or Broken. After these it returns io.EOF. It
// returns *ReplacedError once a newer reader is attached. The caller must not modify the payload.
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

// poll returns the next message, or a channel that is closed at the next change if there is none yet.
func (r *Reader) poll() (messenger.Message, <-chan struct{}, error) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.reader != r:
		return nil, nil, &ReplacedError{}
	case r.finalSent:
		return nil, nil, io.EOF
	case b.head != nil && !r.headSent:
		r.headSent = true
		return *b.head, nil, nil
	case r.offset < b.first:
		return nil, nil, b.offsetError(r.offset)
	case r.offset < b.next:
		payload := b.bytesFrom(r.offset)
		m := messenger.Data{Offset: r.offset, Payload: payload}
		r.offset += identifier.Bytes(len(payload))
		return m, nil, nil
	case b.final != nil:
		r.finalSent = true
		return b.final, nil, nil
	}
	return nil, b.nextChange(), nil
}
