package configurer

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	mathrand "math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/parser"
	"currantledge.example/currantledge/internal/version/declarer"
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	Table Table
	// Store is brought to the newest revision before each write and adopts each successful write.
	Store *Store
	// MaxAttempts bounds the attempts of each retry loop within one call.
	MaxAttempts int
	// Backoff waits after a failed attempt; attempt counts from 1. It returns an error once the context ends.
	Backoff func(ctx context.Context, attempt int) error
}

const (
	defaultMaxAttempts = 32
	baseBackoff        = 5 * time.Millisecond
	maxBackoff         = 250 * time.Millisecond
	// scanPageRows is the number of rows that one scan of the table returns at most.
	scanPageRows = 500
)

// Match is the precondition of a write on the current revision of the resource, as in the If-Match header of HTTP.
type Match struct {
	mode     matchMode
	revision identifier.Revision
}

type matchMode int

const (
	matchAny matchMode = iota
	matchRevision
	matchPresent
)

// MatchAny accepts any revision, and a resource that does not exist.
func MatchAny() Match { return Match{} }

// MatchRevision requires that the resource has this revision; 0 requires that it does not exist.
func MatchRevision(r identifier.Revision) Match { return Match{mode: matchRevision, revision: r} }

// MatchPresent requires that the resource exists.
func MatchPresent() Match { return Match{mode: matchPresent} }

// Holds reports whether the precondition holds for the current revision, which is 0 if the resource does not exist.
func (m Match) Holds(current identifier.Revision) bool {
	switch m.mode {
	case matchRevision:
		return current == m.revision
	case matchPresent:
		return current != 0
	default:
		return true
	}
}

// ConflictError reports that the resource does not have the required revision. Current is 0 if it does not exist.
type ConflictError struct {
	Kind    declarer.Kind
	Name    string
	Current identifier.Revision
}

// Error states the current revision and the remedy.
func (e *ConflictError) Error() string {
	if e.Current == 0 {
		return fmt.Sprintf("%s/%s does not exist; read the current state and try again", e.Kind, e.Name)
	}
	return fmt.Sprintf("%s/%s is at revision %d now; read it and try again", e.Kind, e.Name, e.Current)
}

// NotFoundError reports that a resource does not exist.
type NotFoundError struct {
	Kind declarer.Kind
	Name string
}

// Error names the resource and the remedy.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s/%s does not exist; list %s to see the names", e.Kind, e.Name, e.Kind)
}

// UnresolvedError reports that the outcome of a write is unknown: the table stopped responding before it confirmed or
// rejected the transaction, which may still take effect.
type UnresolvedError struct {
	Kind  declarer.Kind
	Name  string
	Cause error
}

// Error names the resource, the cause and how to determine the outcome.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("the change of %s/%s may have taken effect, the table does not answer (%v); read the resource before trying again",
		e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error {
	return e.Cause
}

// errStale reports that rows of different revisions were read. The operation is retried then; callers see errStale only
// as the cause of an UnavailableError or UnresolvedError.
var errStale = errors.New("the table returned stale rows")

// Writer writes configuration changes to the table and loads them from there. Writers of different processes use
// optimistic concurrency control: each transaction requires the version of config/head that was read before. Writer is
// safe for concurrent use.
type Writer struct {
	table       Table
	store       *Store
	maxAttempts int
	backoff     func(ctx context.Context, attempt int) error
	// writeLock is a mutex that can be awaited with a context. It serializes the writes of this process, which would
	// otherwise conflict with each other on config/head.
	writeLock chan struct{}
}

// NewWriter returns a writer.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.Backoff == nil {
		cfg.Backoff = backoff
	}
	return &Writer{table: cfg.Table, store: cfg.Store, maxAttempts: cfg.MaxAttempts, backoff: cfg.Backoff, writeLock: make(chan struct{}, 1)}
}

// Put writes a resource and returns its revision. A resource that already has this value keeps its revision. The error
// is a *ConflictError, a *declarer.InvalidError if the resource is inconsistent with the others, or an
// *UnresolvedError. After any other error nothing was written.
func (w *Writer) Put(ctx context.Context, r declarer.Resource, match Match) (identifier.Revision, error) {
	return w.write(ctx, mutation{kind: r.Kind(), name: r.Identity(), resource: r, match: match})
}

// Delete deletes a resource and returns the revision of the deletion. Its errors are those of Put and *NotFoundError.
func (w *Writer) Delete(ctx context.Context, kind declarer.Kind, name string, match Match) (identifier.Revision, error) {
	return w.write(ctx, mutation{kind: kind, name: name, match: match})
}

// Head returns the newest revision in the table. A stale read returns an older one.
func (w *Writer) Head(ctx context.Context) (identifier.Revision, error) {
	r, _, err := w.readHead(ctx)
	return r, err
}

// Load returns the changes after a revision, or every resource if the change log in the table does not reach back to
// it. After a stale read the result may end before the newest revision, but it is still consistent.
func (w *Writer) Load(ctx context.Context, after identifier.Revision) (messenger.Changes, error) {
	var changes messenger.Changes
	err := w.retry(ctx, func() error {
		var err error
		changes, err = w.load(ctx, after)
		return err
	})
	return changes, err
}

// mutation is a requested write of a resource, or its deletion if resource is nil.
type mutation struct {
	kind     declarer.Kind
	name     string
	resource declarer.Resource
	match    Match
}

// transaction applies a mutation on top of one revision of the configuration.
type transaction struct {
	logRow     logRow
	conditions []Condition
	writes     []Write
}

func (w *Writer) write(ctx context.Context, m mutation) (identifier.Revision, error) {
	select {
	case w.writeLock <- struct{}{}:
		defer func() { <-w.writeLock }()
	case <-ctx.Done():
		return 0, &UnavailableError{Cause: ctx.Err()}
	}
	var revision identifier.Revision
	err := w.retry(ctx, func() error {
		tx, current, err := w.stage(ctx, m)
		if err != nil {
			return err
		}
		if tx == nil {
			revision = current
			return nil
		}
		if err := w.commit(ctx, m, tx); err != nil {
			return err
		}
		revision = tx.logRow.change.Revision
		// The store has all changes before this one. If it already has later ones, it ignores this one.
		_, _ = w.store.Adopt(messenger.Changes{Revision: revision, Changes: []messenger.Change{tx.logRow.change}})
		return nil
	})
	return revision, err
}

// retry repeats a step while it reads stale rows or its transaction conflicts with another writer's.
func (w *Writer) retry(ctx context.Context, step func() error) error {
	for attempt := 1; ; attempt++ {
		err := step()
		var conflict *RowConflictError
		if !errors.Is(err, errStale) && !errors.As(err, &conflict) {
			return err
		}
		if attempt == w.maxAttempts {
			return &UnavailableError{Cause: err}
		}
		if ctxErr := w.backoff(ctx, attempt); ctxErr != nil {
			return &UnavailableError{Cause: ctxErr}
		}
	}
}

// stage brings the store to the newest revision, checks a mutation against it and returns the transaction that applies
// the mutation. If the resource already has the value, the transaction is nil and the current revision of the resource
// is returned.
func (w *Writer) stage(ctx context.Context, m mutation) (*transaction, identifier.Revision, error) {
	head, headVersion, err := w.readHead(ctx)
	if err != nil {
		return nil, 0, err
	}
	snapshot, err := w.catchUp(ctx, head)
	if err != nil {
		return nil, 0, err
	}
	current, currentRevision, exists := snapshot.Resource(m.kind, m.name)
	if !m.match.Holds(currentRevision) {
		return nil, 0, &ConflictError{Kind: m.kind, Name: m.name, Current: currentRevision}
	}
	if m.resource == nil && !exists {
		return nil, 0, &NotFoundError{Kind: m.kind, Name: m.name}
	}
	change := messenger.Change{Revision: head + 1, Kind: string(m.kind), Name: m.name}
	if m.resource != nil {
		change.Value = declarer.Encode(m.resource)
		if exists && string(declarer.Encode(current)) == string(change.Value) {
			return nil, currentRevision, nil
		}
	}
	if err := checkConsistency(snapshot, m); err != nil {
		return nil, 0, err
	}
	tx, err := w.buildTransaction(ctx, headVersion, currentRevision, change)
	return tx, 0, err
}

// catchUp brings the store to the revision head and returns its snapshot. It returns errStale if the store does not have
// exactly this revision afterwards.
func (w *Writer) catchUp(ctx context.Context, head identifier.Revision) (*Snapshot, error) {
	if current := w.store.Snapshot().Revision; current < head {
		changes, err := w.load(ctx, current)
		if err != nil {
			return nil, err
		}
		if _, err := w.store.Adopt(changes); err != nil {
			return nil, err
		}
	}
	snapshot := w.store.Snapshot()
	if snapshot.Revision != head {
		return nil, errStale
	}
	return snapshot, nil
}

// buildTransaction returns the transaction that writes a change and its log row and deletes the oldest log row.
// headVersion is the version of the row config/head, currentRevision the revision of the resource before the change.
func (w *Writer) buildTransaction(
	ctx context.Context, headVersion uint64, currentRevision identifier.Revision, change messenger.Change,
) (*transaction, error) {
	head := change.Revision - 1
	key := resourceKey(change.Kind, change.Name)
	rows, err := w.get(ctx, logKey(head), key)
	if err != nil {
		return nil, err
	}
	var digest uint64
	if head > 0 {
		last, ok := rows[logKey(head)]
		if !ok {
			return nil, errStale
		}
		lastRow, err := decodeLogRow(last)
		if err != nil {
			return nil, err
		}
		digest = lastRow.digest
	}
	if currentRevision != 0 {
		digest ^= resourceDigest(change.Kind, change.Name, currentRevision)
	}
	resource := Write{Key: key, Delete: true}
	if len(change.Value) > 0 {
		digest ^= resourceDigest(change.Kind, change.Name, change.Revision)
		resource = Write{Key: key, Value: encodeResourceRow(change)}
	}
	var raw [16]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(raw[:])
	tx := &transaction{logRow: logRow{change: change, writeID: encodeWriteID(raw), digest: digest}}
	tx.conditions = []Condition{
		{Key: headKey, Version: headVersion},
		{Key: key, Version: rows[key].Version},
		{Key: logKey(change.Revision)},
	}
	tx.writes = []Write{
		{Key: headKey, Value: encodeHead(change.Revision)},
		resource,
		{Key: logKey(change.Revision), Value: encodeLogRow(tx.logRow)},
	}
	if change.Revision > logLength {
		tx.writes = append(tx.writes, Write{Key: logKey(change.Revision - logLength), Delete: true})
	}
	return tx, nil
}

// commit sends a transaction until its outcome is known. Sending it again is safe: it changes config/head itself, so
// its condition on that row holds at most once.
func (w *Writer) commit(ctx context.Context, m mutation, tx *transaction) error {
	mayHaveApplied := false
	for attempt := 1; ; attempt++ {
		_, err := w.table.Transact(ctx, tx.conditions, tx.writes)
		var conflict *RowConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return w.resolveConflict(ctx, m, tx, conflict, mayHaveApplied)
		case !notApplied(err):
			mayHaveApplied = true
		}
		if attempt == w.maxAttempts || w.backoff(ctx, attempt) != nil {
			return outcomeError(m, mayHaveApplied, err)
		}
	}
}

// resolveConflict determines after a conflict whether the transaction took effect in an earlier attempt, and returns
// nil if it did: the log row of its revision then has its write ID. Without a lost response it inspects only the rows of
// the conflict, which reveal a transaction that the client of the table itself sent twice.
func (w *Writer) resolveConflict(
	ctx context.Context, m mutation, tx *transaction, conflict *RowConflictError, mayHaveApplied bool,
) error {
	key := logKey(tx.logRow.change.Revision)
	for _, row := range conflict.Rows {
		if row.Key == key && len(row.Value) > 0 {
			return checkWriteID(tx, row, conflict)
		}
	}
	if !mayHaveApplied {
		return conflict
	}
	var err error
	for attempt := 1; attempt <= w.maxAttempts; attempt++ {
		var rows map[string]Row
		rows, err = w.get(ctx, key)
		if row, ok := rows[key]; ok {
			return checkWriteID(tx, row, conflict)
		}
		if err == nil {
			err = errStale
		}
		if w.backoff(ctx, attempt) != nil {
			break
		}
	}
	return outcomeError(m, true, err)
}

// checkWriteID returns nil if the log row was written by the transaction, and otherwise the conflict.
func checkWriteID(tx *transaction, row Row, conflict *RowConflictError) error {
	written, err := decodeLogRow(row)
	if err != nil {
		return err
	}
	if written.writeID == tx.logRow.writeID {
		return nil
	}
	return conflict
}

// outcomeError returns an *UnresolvedError if the mutation may have taken effect, and otherwise the cause.
func outcomeError(m mutation, mayHaveApplied bool, cause error) error {
	if mayHaveApplied {
		return &UnresolvedError{Kind: m.kind, Name: m.name, Cause: cause}
	}
	return cause
}

// notApplied reports whether the error rules out that the transaction took effect.
func notApplied(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && !unavailable.MayHaveApplied
}

// checkConsistency rejects a mutation that adds an inconsistency between resources. It tolerates existing ones.
func checkConsistency(snapshot *Snapshot, m mutation) error {
	before := map[declarer.Problem]bool{}
	var others []declarer.Resource
	for _, r := range snapshot.All() {
		if r.Kind() != m.kind || r.Identity() != m.name {
			others = append(others, r)
		}
	}
	for _, found := range declarer.CheckSet(snapshot.All()) {
		before[found.Problem()] = true
	}
	// The changed resource comes last, so that the problem is reported for it when two resources contradict each other.
	after := others
	if m.resource != nil {
		after = append(after, m.resource)
	}
	var problems []declarer.Problem
	for _, found := range declarer.CheckSet(after) {
		if !before[found.Problem()] {
			problems = append(problems, found.Problem())
		}
	}
	return parser.NewInvalidError(problems)
}

func (w *Writer) readHead(ctx context.Context) (identifier.Revision, uint64, error) {
	rows, err := w.get(ctx, headKey)
	if err != nil {
		return 0, 0, err
	}
	row, ok := rows[headKey]
	if !ok {
		return 0, 0, nil
	}
	r, err := decodeHead(row)
	return r, row.Version, err
}

func (w *Writer) get(ctx context.Context, keys ...string) (map[string]Row, error) {
	rows, err := w.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	byKey := make(map[string]Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey, nil
}

func (w *Writer) load(ctx context.Context, after identifier.Revision) (messenger.Changes, error) {
	head, _, err := w.readHead(ctx)
	if err != nil || head <= after {
		return messenger.Changes{Revision: head}, err
	}
	if head-after > logLength {
		return w.loadAll(ctx, head)
	}
	changes, err := w.loadLog(ctx, after, head)
	if err == nil && len(changes.Changes) == 0 {
		return w.loadAll(ctx, head)
	}
	return changes, err
}

// loadLog reads the log rows after a revision up to the first gap, which a stale read can cause.
func (w *Writer) loadLog(ctx context.Context, after, head identifier.Revision) (messenger.Changes, error) {
	changes := messenger.Changes{Revision: after}
	for changes.Revision < head {
		rows, err := w.table.Scan(ctx, logPrefix, logKey(changes.Revision), scanPageRows)
		if err != nil {
			return changes, err
		}
		for _, row := range rows {
			l, err := decodeLogRow(row)
			if err != nil {
				return changes, err
			}
			if l.change.Revision != changes.Revision+1 {
				return changes, nil
			}
			changes.Changes = append(changes.Changes, l.change)
			changes.Revision = l.change.Revision
		}
		if len(rows) < scanPageRows {
			return changes, nil
		}
	}
	return changes, nil
}

// loadAll scans every resource and accepts the result only if its digest is that of the log row of head. Otherwise it
// returns errStale.
func (w *Writer) loadAll(ctx context.Context, head identifier.Revision) (messenger.Changes, error) {
	rows, err := w.get(ctx, logKey(head))
	if err != nil {
		return messenger.Changes{}, err
	}
	row, ok := rows[logKey(head)]
	if !ok {
		return messenger.Changes{}, errStale
	}
	headRow, err := decodeLogRow(row)
	if err != nil {
		return messenger.Changes{}, err
	}
	all, err := w.scanResources(ctx)
	if err != nil {
		return messenger.Changes{}, err
	}
	var digest uint64
	for _, c := range all {
		digest ^= resourceDigest(c.Kind, c.Name, c.Revision)
	}
	if digest != headRow.digest {
		return messenger.Changes{}, errStale
	}
	return messenger.Changes{Revision: head, Full: true, Changes: all}, nil
}

func (w *Writer) scanResources(ctx context.Context) ([]messenger.Change, error) {
	var all []messenger.Change
	last := ""
	for {
		rows, err := w.table.Scan(ctx, resourcePrefix, last, scanPageRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			c, err := decodeResourceRow(row)
			if err != nil {
				return nil, err
			}
			all = append(all, c)
			last = row.Key
		}
		if len(rows) < scanPageRows {
			return all, nil
		}
	}
}

// backoff waits for a random time whose upper bound doubles with each attempt, so that racing writers spread out.
// The exponent is capped, so that the product cannot overflow.
func backoff(ctx context.Context, attempt int) error {
	bound := min(maxBackoff, baseBackoff*time.Duration(math.Exp2(float64(min(attempt, 16)))))
	timer := time.NewTimer(mathrand.N(bound))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
