package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxBatch = 64
	// maxInFlight lets claims go on while one transaction gets no answer.
	maxInFlight = 4
	minBackoff  = 50 * time.Millisecond
	// maxBackoff gives each claim at least one try within its wait.
	maxBackoff = time.Second
)

func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures, 8))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// operation is a machine on its way through the table. It is owned by the batcher until done is closed or it is
// abandoned.
type operation struct {
	machine machine
	done    chan struct{}
	// alone keeps the operation out of shared transactions.
	alone     bool
	abandoned bool
}

// batcher joins the writes that arrive within a short delay in one transaction.
type batcher struct {
	ctx      context.Context
	table    Table
	delay    time.Duration
	timeout  time.Duration
	inFlight chan struct{}
	work     sync.WaitGroup

	mu       sync.Mutex
	queue    []*operation
	full     chan struct{}
	running  bool
	failures int
}

func newBatcher(ctx context.Context, table Table, delay, timeout time.Duration) *batcher {
	return &batcher{
		ctx:      ctx,
		table:    table,
		delay:    delay,
		timeout:  timeout,
		inFlight: make(chan struct{}, maxInFlight),
		full:     make(chan struct{}, 1),
	}
}

// run takes a machine through the table until it is done. After an error the machine's last write may still take
// effect later.
func (b *batcher) run(ctx context.Context, m machine) error {
	o := &operation{machine: m, done: make(chan struct{})}
	b.enqueue(o)
	select {
	case <-o.done:
		return nil
	case <-ctx.Done():
	case <-b.ctx.Done():
	}
	return b.abandon(ctx, o)
}

// abandon ends an operation unless it is done already, so that an outcome counts either for both sides or for none.
func (b *batcher) abandon(ctx context.Context, o *operation) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-o.done:
		return nil
	default:
	}
	o.abandoned = true
	if b.ctx.Err() != nil {
		return ErrClosed
	}
	return ctx.Err()
}

// wait returns once all goroutines have ended; the context must have ended before.
func (b *batcher) wait() {
	// Whoever takes the lock after this sees that the context has ended and starts no goroutine.
	b.mu.Lock()
	b.running = true
	b.mu.Unlock()
	b.work.Wait()
}

func (b *batcher) enqueue(operations ...*operation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, operations...)
	if len(b.queue) >= maxBatch {
		select {
		case b.full <- struct{}{}:
		default:
		}
	}
	if !b.running && b.ctx.Err() == nil && len(b.queue) > 0 {
		b.running = true
		b.work.Go(b.flush)
	}
}

// flush commits batches until the queue is empty.
func (b *batcher) flush() {
	for {
		b.gather()
		select {
		case b.inFlight <- struct{}{}:
		case <-b.ctx.Done():
			return
		}
		batch := b.take()
		if len(batch) == 0 {
			<-b.inFlight
			return
		}
		b.work.Go(func() {
			defer func() { <-b.inFlight }()
			b.commit(batch)
		})
	}
}

// gather waits until a batch is full or the delay has passed; after failures it waits for the table to recover.
func (b *batcher) gather() {
	b.mu.Lock()
	failures := b.failures
	b.mu.Unlock()
	if failures > 0 {
		// The context's error shows at the next step of flush.
		_ = sleep(b.ctx, backoff(failures-1))
		return
	}
	timer := time.NewTimer(b.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.full:
	case <-b.ctx.Done():
	}
}

func (b *batcher) take() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*operation
	for _, o := range b.queue {
		switch {
		case o.abandoned:
		case len(batch) >= maxBatch, len(batch) > 0 && (o.alone || batch[0].alone):
			rest = append(rest, o)
		default:
			batch = append(batch, o)
		}
	}
	b.queue = rest
	b.running = len(batch) > 0
	return batch
}

// commit writes a batch. The operations in conflict leave it, so that they do not fail the others.
func (b *batcher) commit(batch []*operation) {
	for len(batch) > 0 {
		conditions, writes := b.propose(batch)
		ctx, cancel := context.WithTimeout(b.ctx, b.timeout)
		versions, err := b.table.Transact(ctx, conditions, writes)
		cancel()
		var conflicted *ConflictError
		switch {
		case err == nil:
			b.applied(batch, conditions, versions)
			return
		case errors.As(err, &conflicted):
			batch = b.conflicted(batch, conditions, conflicted.Rows)
		default:
			b.failed(batch)
			return
		}
	}
}

func (b *batcher) propose(batch []*operation) ([]Condition, []Write) {
	b.mu.Lock()
	defer b.mu.Unlock()
	conditions := make([]Condition, 0, len(batch))
	writes := make([]Write, 0, len(batch))
	for _, o := range batch {
		condition, write := o.machine.propose()
		conditions = append(conditions, condition)
		writes = append(writes, write)
	}
	return conditions, writes
}

func (b *batcher) applied(batch []*operation, conditions []Condition, versions map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	for i, o := range batch {
		b.observe(o, applied{version: versions[conditions[i].Key]})
	}
}

// conflicted passes the current rows to their operations and returns the others.
func (b *batcher) conflicted(batch []*operation, conditions []Condition, rows []Row) []*operation {
	current := map[string]Row{}
	for _, row := range rows {
		current[row.Key] = row
	}
	var rest, again []*operation
	b.mu.Lock()
	b.failures = 0
	for i, o := range batch {
		row, found := current[conditions[i].Key]
		if !found && len(batch) > 1 {
			rest = append(rest, o)
			continue
		}
		// A conflict that names no row can only mean that the single row is absent.
		if !b.observe(o, conflict{row: row}) {
			again = append(again, o)
		}
	}
	unnamed := len(rest) == len(batch)
	for _, o := range rest {
		o.alone = o.alone || unnamed
	}
	b.mu.Unlock()
	if unnamed {
		b.enqueue(rest...)
		return nil
	}
	b.enqueue(again...)
	return rest
}

func (b *batcher) failed(batch []*operation) {
	b.mu.Lock()
	b.failures++
	b.mu.Unlock()
	b.enqueue(batch...)
}

func (b *batcher) observe(o *operation, result outcome) bool {
	if o.abandoned {
		return true
	}
	if !o.machine.observe(result) {
		return false
	}
	close(o.done)
	return true
}
