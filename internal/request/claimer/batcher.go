package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBatchOperations bounds the operations of one transaction.
	maxBatchOperations = 64
	// maxTransactionsInFlight lets claims proceed while one transaction gets no response.
	maxTransactionsInFlight = 4
	minBackoff              = 50 * time.Millisecond
	// maxBackoff leaves time for at least one try of each claim within the default of Config.Wait.
	maxBackoff = time.Second
)

// backoff returns the exponential delay after a number of consecutive failures. The exponent is bounded, so that the
// shift does not overflow.
func backoff(failures int) time.Duration {
	return min(maxBackoff, minBackoff<<min(failures, 8))
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
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

// operation is a state machine whose writes are to be applied to the table. The batcher owns it until done is closed or
// abandoned is set.
type operation struct {
	machine stateMachine
	done    chan struct{}
	// unbatched is set when the operation must not share a transaction with others.
	unbatched bool
	abandoned bool
}

// batcher groups the writes that arrive within a short delay into one transaction. It is safe for concurrent use.
type batcher struct {
	ctx   context.Context
	table Table
	// delay is how long a batch waits for more operations.
	delay time.Duration
	// timeout bounds one transaction.
	timeout time.Duration
	// inFlight is a semaphore that bounds the concurrent transactions.
	inFlight   chan struct{}
	goroutines sync.WaitGroup

	mu    sync.Mutex
	queue []*operation
	// batchFull receives a value when the queue holds a full batch.
	batchFull chan struct{}
	// flushing is set while a flush goroutine runs, and by wait.
	flushing bool
	// failures counts consecutive transactions without a known outcome.
	failures int
}

func newBatcher(ctx context.Context, table Table, delay, timeout time.Duration) *batcher {
	return &batcher{
		ctx:       ctx,
		table:     table,
		delay:     delay,
		timeout:   timeout,
		inFlight:  make(chan struct{}, maxTransactionsInFlight),
		batchFull: make(chan struct{}, 1),
	}
}

// run submits the writes of a state machine until the machine is done. After an error its last write may still take
// effect later.
func (b *batcher) run(ctx context.Context, m stateMachine) error {
	o := &operation{machine: m, done: make(chan struct{})}
	b.enqueue(o)
	select {
	case <-o.done:
		return nil
	case <-ctx.Done():
	case <-b.ctx.Done():
	}
	return b.abandonUnlessDone(ctx, o)
}

// abandonUnlessDone withdraws an operation unless it is done already. The check and the withdrawal hold one lock, so
// that caller and batcher agree on whether the outcome counts. It returns nil for an operation that is done, ErrClosed
// if the batcher's context has ended, or the error of ctx.
func (b *batcher) abandonUnlessDone(ctx context.Context, o *operation) error {
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

// wait blocks until all goroutines have ended. The batcher's context must have ended before the call.
func (b *batcher) wait() {
	// A later holder of the lock sees that the context has ended and starts no goroutine.
	b.mu.Lock()
	b.flushing = true
	b.mu.Unlock()
	b.goroutines.Wait()
}

// enqueue appends operations to the queue and starts flush unless it runs already.
func (b *batcher) enqueue(operations ...*operation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, operations...)
	if len(b.queue) >= maxBatchOperations {
		select {
		case b.batchFull <- struct{}{}:
		default:
		}
	}
	if !b.flushing && b.ctx.Err() == nil && len(b.queue) > 0 {
		b.flushing = true
		b.goroutines.Go(b.flush)
	}
}

// flush commits batches until the queue is empty.
func (b *batcher) flush() {
	for {
		b.awaitBatch()
		select {
		case b.inFlight <- struct{}{}:
		case <-b.ctx.Done():
			return
		}
		batch := b.takeBatch()
		if len(batch) == 0 {
			<-b.inFlight
			return
		}
		b.goroutines.Go(func() {
			defer func() { <-b.inFlight }()
			b.commit(batch)
		})
	}
}

// awaitBatch waits until a batch is full or the delay has passed. After failures it waits for the backoff instead, so
// that the table can recover.
func (b *batcher) awaitBatch() {
	b.mu.Lock()
	failures := b.failures
	b.mu.Unlock()
	if failures > 0 {
		// flush checks the context next, so the error is ignored here.
		_ = sleep(b.ctx, backoff(failures-1))
		return
	}
	timer := time.NewTimer(b.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.batchFull:
	case <-b.ctx.Done():
	}
}

// takeBatch removes the next batch from the queue and drops abandoned operations. It returns an empty batch if none is
// left.
func (b *batcher) takeBatch() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, remaining []*operation
	for _, o := range b.queue {
		switch {
		case o.abandoned:
		case len(batch) >= maxBatchOperations, len(batch) > 0 && (o.unbatched || batch[0].unbatched):
			remaining = append(remaining, o)
		default:
			batch = append(batch, o)
		}
	}
	b.queue = remaining
	b.flushing = len(batch) > 0
	return batch
}

// commit writes a batch in one transaction. After a conflict it removes the conflicting operations and commits the
// others, so that one conflict does not fail the batch.
func (b *batcher) commit(batch []*operation) {
	for len(batch) > 0 {
		conditions, writes := b.proposals(batch)
		ctx, cancel := context.WithTimeout(b.ctx, b.timeout)
		versions, err := b.table.Transact(ctx, conditions, writes)
		cancel()
		var conflictErr *ConflictError
		switch {
		case err == nil:
			b.handleApplied(batch, conditions, versions)
			return
		case errors.As(err, &conflictErr):
			batch = b.handleConflict(batch, conditions, conflictErr.Rows)
		default:
			b.requeueFailed(batch)
			return
		}
	}
}

// proposals returns the conditions and writes that the operations propose, in the order of the batch.
func (b *batcher) proposals(batch []*operation) ([]Condition, []Write) {
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

// handleApplied passes the new versions of the rows to the operations of a committed batch.
func (b *batcher) handleApplied(batch []*operation, conditions []Condition, versions map[string]uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	for i, o := range batch {
		b.observe(o, applied{version: versions[conditions[i].Key]})
	}
}

// handleConflict passes the current rows to the conflicting operations and returns the other operations of the batch.
// Conflicting operations that are not done are queued again. If the conflict names no row of the batch, all operations
// are queued again, each for a transaction of its own.
func (b *batcher) handleConflict(batch []*operation, conditions []Condition, rows []Row) []*operation {
	current := map[string]Row{}
	for _, row := range rows {
		current[row.Key] = row
	}
	var others, unfinished []*operation
	b.mu.Lock()
	b.failures = 0
	for i, o := range batch {
		row, found := current[conditions[i].Key]
		if !found && len(batch) > 1 {
			others = append(others, o)
			continue
		}
		// A conflict of a single operation that names no row means that the row is absent.
		if !b.observe(o, conflict{row: row}) {
			unfinished = append(unfinished, o)
		}
	}
	noRowNamed := len(others) == len(batch)
	for _, o := range others {
		o.unbatched = o.unbatched || noRowNamed
	}
	b.mu.Unlock()
	if noRowNamed {
		b.enqueue(others...)
		return nil
	}
	b.enqueue(unfinished...)
	return others
}

// requeueFailed queues a batch again after a transaction whose outcome is not known.
func (b *batcher) requeueFailed(batch []*operation) {
	b.mu.Lock()
	b.failures++
	b.mu.Unlock()
	b.enqueue(batch...)
}

// observe passes the result of a write to an operation and reports whether the operation is done or abandoned. It is
// called with the lock held.
func (b *batcher) observe(o *operation, result writeResult) bool {
	if o.abandoned {
		return true
	}
	if !o.machine.observe(result) {
		return false
	}
	close(o.done)
	return true
}
