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

// WriterConfig holds what a writer is built from.
type WriterConfig struct {
	Table Table
	// Store is brought to the newest revision before each write and adopts what was written.
	Store *Store
	// Attempts bounds the transactions and reads of one call.
	Attempts int
	// Wait pauses before another attempt, counted from 1. It returns an error once the context ends.
	Wait func(ctx context.Context, attempt int) error
}

const (
	defaultAttempts = 32
	baseWait        = 5 * time.Millisecond
	maxWait         = 250 * time.Millisecond
	scanLimit       = 500
)

// Match is the condition of a write on the resource's revision.
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

// MatchAny accepts any state of the resource.
func MatchAny() Match { return Match{} }

// MatchRevision requires that the resource has this revision; 0 requires that it does not exist.
func MatchRevision(r identifier.Revision) Match { return Match{mode: matchRevision, revision: r} }

// MatchPresent requires that the resource exists.
func MatchPresent() Match { return Match{mode: matchPresent} }

// Holds tells whether the condition holds for the current revision, which is 0 if the resource does not exist.
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

// ConflictError tells that the resource does not have the required revision. Current is 0 if it does not exist.
type ConflictError struct {
	Kind    declarer.Kind
	Name    string
	Current identifier.Revision
}

// Error names the current revision.
func (e *ConflictError) Error() string {
	if e.Current == 0 {
		return fmt.Sprintf("%s/%s does not exist; read the current state and try again", e.Kind, e.Name)
	}
	return fmt.Sprintf("%s/%s is at revision %d now; read it and try again", e.Kind, e.Name, e.Current)
}

// NotFoundError tells that the resource to delete does not exist.
type NotFoundError struct {
	Kind declarer.Kind
	Name string
}

// Error names the resource.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s/%s does not exist; list %s to see the names", e.Kind, e.Name, e.Kind)
}

// UnresolvedError tells that a change may or may not take effect, because the table stopped answering.
type UnresolvedError struct {
	Kind  declarer.Kind
	Name  string
	Cause error
}

// Error tells how to find out.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("the change of %s/%s may have taken effect, the table does not answer (%v); read the resource before trying again",
		e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error {
	return e.Cause
}

// errStale tells that reads do not fit together yet. It never leaves the package.
var errStale = errors.New("the table returned stale rows")

// Writer writes changes to the table and loads them. It is safe for concurrent use.
type Writer struct {
	table    Table
	store    *Store
	attempts int
	wait     func(ctx context.Context, attempt int) error
	// turn holds one token. Writes of one process would otherwise make each other fail on config/head.
	turn chan struct{}
}

// NewWriter returns a writer.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.Attempts == 0 {
		cfg.Attempts = defaultAttempts
	}
	if cfg.Wait == nil {
		cfg.Wait = pause
	}
	return &Writer{table: cfg.Table, store: cfg.Store, attempts: cfg.Attempts, wait: cfg.Wait, turn: make(chan struct{}, 1)}
}

// Put writes a resource and returns its revision. A resource that already has this value keeps its revision. The error
// is a *ConflictError, an *InvalidError if the resource does not fit the others, an *UnresolvedError, or says that
// nothing was written.
func (w *Writer) Put(ctx context.Context, r declarer.Resource, match Match) (identifier.Revision, error) {
	return w.write(ctx, intent{kind: r.Kind(), name: r.Identity(), resource: r, match: match})
}

// Delete deletes a resource and returns the revision of the deletion. It fails like Put, and with a *NotFoundError.
func (w *Writer) Delete(ctx context.Context, kind declarer.Kind, name string, match Match) (identifier.Revision, error) {
	return w.write(ctx, intent{kind: kind, name: name, match: match})
}

// Head returns the newest revision in the table; a stale read returns an older one.
func (w *Writer) Head(ctx context.Context) (identifier.Revision, error) {
	r, _, err := w.readHead(ctx)
	return r, err
}

// Load returns the changes after a revision, or every resource if the change log in the table does not reach back to
// it. A stale read can make the result end before the newest revision, but never makes it wrong.
func (w *Writer) Load(ctx context.Context, after identifier.Revision) (messenger.Changes, error) {
	var changes messenger.Changes
	err := w.retry(ctx, func() error {
		var err error
		changes, err = w.load(ctx, after)
		return err
	})
	return changes, err
}

// intent is what a caller wants; a nil resource means deletion.
type intent struct {
	kind     declarer.Kind
	name     string
	resource declarer.Resource
	match    Match
}

// plan is one transaction that carries out an intent at a certain head.
type plan struct {
	log        logRow
	conditions []Condition
	writes     []Write
}

func (w *Writer) write(ctx context.Context, in intent) (identifier.Revision, error) {
	select {
	case w.turn <- struct{}{}:
		defer func() { <-w.turn }()
	case <-ctx.Done():
		return 0, &UnavailableError{Cause: ctx.Err()}
	}
	var revision identifier.Revision
	err := w.retry(ctx, func() error {
		p, done, err := w.prepare(ctx, in)
		if err != nil {
			return err
		}
		if p == nil {
			revision = done
			return nil
		}
		if err := w.carryOut(ctx, in, p); err != nil {
			return err
		}
		revision = p.log.change.Revision
		// The store cannot lack changes before this one; if it already holds later ones, it ignores this one.
		_, _ = w.store.Adopt(messenger.Changes{Revision: revision, Changes: []messenger.Change{p.log.change}})
		return nil
	})
	return revision, err
}

// retry repeats a step while it meets stale rows or loses a race.
func (w *Writer) retry(ctx context.Context, step func() error) error {
	for attempt := 1; ; attempt++ {
		err := step()
		var conflict *RowConflictError
		if !errors.Is(err, errStale) && !errors.As(err, &conflict) {
			return err
		}
		if attempt == w.attempts {
			return &UnavailableError{Cause: err}
		}
		if waitErr := w.wait(ctx, attempt); waitErr != nil {
			return &UnavailableError{Cause: waitErr}
		}
	}
}

// prepare checks an intent against the newest configuration. Without a plan nothing needs to be written, and the
// resource has the returned revision.
func (w *Writer) prepare(ctx context.Context, in intent) (*plan, identifier.Revision, error) {
	head, headVersion, err := w.readHead(ctx)
	if err != nil {
		return nil, 0, err
	}
	snapshot, err := w.reach(ctx, head)
	if err != nil {
		return nil, 0, err
	}
	current, currentRevision, exists := snapshot.Resource(in.kind, in.name)
	if !in.match.Holds(currentRevision) {
		return nil, 0, &ConflictError{Kind: in.kind, Name: in.name, Current: currentRevision}
	}
	if in.resource == nil && !exists {
		return nil, 0, &NotFoundError{Kind: in.kind, Name: in.name}
	}
	change := messenger.Change{Revision: head + 1, Kind: string(in.kind), Name: in.name}
	if in.resource != nil {
		change.Value = declarer.Encode(in.resource)
		if exists && string(declarer.Encode(current)) == string(change.Value) {
			return nil, currentRevision, nil
		}
	}
	if err := checkFit(snapshot, in); err != nil {
		return nil, 0, err
	}
	p, err := w.plan(ctx, headVersion, currentRevision, change)
	return p, 0, err
}

// reach brings the store to exactly the head's revision.
func (w *Writer) reach(ctx context.Context, head identifier.Revision) (*Snapshot, error) {
	if have := w.store.Snapshot().Revision; have < head {
		changes, err := w.load(ctx, have)
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

func (w *Writer) plan(
	ctx context.Context, headVersion uint64, current identifier.Revision, change messenger.Change,
) (*plan, error) {
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
	if current != 0 {
		digest ^= resourceDigest(change.Kind, change.Name, current)
	}
	resource := Write{Key: key, Delete: true}
	if len(change.Value) > 0 {
		digest ^= resourceDigest(change.Kind, change.Name, change.Revision)
		resource = Write{Key: key, Value: encodeResourceRow(change)}
	}
	var raw [16]byte
	// Read never returns an error.
	_, _ = rand.Read(raw[:])
	p := &plan{log: logRow{change: change, write: newWriteID(raw), digest: digest}}
	p.conditions = []Condition{
		{Key: headKey, Version: headVersion},
		{Key: key, Version: rows[key].Version},
		{Key: logKey(change.Revision)},
	}
	p.writes = []Write{
		{Key: headKey, Value: encodeHead(change.Revision)},
		resource,
		{Key: logKey(change.Revision), Value: encodeLogRow(p.log)},
	}
	if change.Revision > logLength {
		p.writes = append(p.writes, Write{Key: logKey(change.Revision - logLength), Delete: true})
	}
	return p, nil
}

// carryOut sends a transaction until its fate is certain. Sending it again is safe: its conditions hold at most once,
// because it raises config/head itself.
func (w *Writer) carryOut(ctx context.Context, in intent, p *plan) error {
	mayHaveApplied := false
	for attempt := 1; ; attempt++ {
		_, err := w.table.Transact(ctx, p.conditions, p.writes)
		var conflict *RowConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			return w.recognise(ctx, in, p, conflict, mayHaveApplied)
		case !certainlyNot(err):
			mayHaveApplied = true
		}
		if attempt == w.attempts || w.wait(ctx, attempt) != nil {
			return outcome(in, mayHaveApplied, err)
		}
	}
}

// recognise tells after a conflict whether the change is in the log under its own write id. Without a lost answer it
// only looks at the rows of the conflict, which show a transaction that the table's client sent twice by itself.
func (w *Writer) recognise(
	ctx context.Context, in intent, p *plan, conflict *RowConflictError, mayHaveApplied bool,
) error {
	key := logKey(p.log.change.Revision)
	for _, row := range conflict.Rows {
		if row.Key == key && len(row.Value) > 0 {
			return own(p, row, conflict)
		}
	}
	if !mayHaveApplied {
		return conflict
	}
	var err error
	for attempt := 1; attempt <= w.attempts; attempt++ {
		var rows map[string]Row
		rows, err = w.get(ctx, key)
		if row, ok := rows[key]; ok {
			return own(p, row, conflict)
		}
		if err == nil {
			err = errStale
		}
		if w.wait(ctx, attempt) != nil {
			break
		}
	}
	return outcome(in, true, err)
}

func own(p *plan, row Row, conflict *RowConflictError) error {
	written, err := decodeLogRow(row)
	if err != nil {
		return err
	}
	if written.write == p.log.write {
		return nil
	}
	return conflict
}

func outcome(in intent, mayHaveApplied bool, cause error) error {
	if mayHaveApplied {
		return &UnresolvedError{Kind: in.kind, Name: in.name, Cause: cause}
	}
	return cause
}

func certainlyNot(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && !unavailable.MayHaveApplied
}

// checkFit refuses a change that leads to a fault between resources that was not there before.
func checkFit(snapshot *Snapshot, in intent) error {
	before := map[declarer.Problem]bool{}
	var others []declarer.Resource
	for _, r := range snapshot.All() {
		if r.Kind() != in.kind || r.Identity() != in.name {
			others = append(others, r)
		}
	}
	for _, f := range declarer.CheckSet(snapshot.All()) {
		before[f.Problem()] = true
	}
	// The changed resource comes last, so that it is the one that is named when two resources contradict each other.
	after := others
	if in.resource != nil {
		after = append(after, in.resource)
	}
	var problems []declarer.Problem
	for _, f := range declarer.CheckSet(after) {
		if !before[f.Problem()] {
			problems = append(problems, f.Problem())
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

// loadLog reads the log rows that follow a revision without a gap.
func (w *Writer) loadLog(ctx context.Context, after, head identifier.Revision) (messenger.Changes, error) {
	changes := messenger.Changes{Revision: after}
	for changes.Revision < head {
		rows, err := w.table.Scan(ctx, logPrefix, logKey(changes.Revision), scanLimit)
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
		if len(rows) < scanLimit {
			return changes, nil
		}
	}
	return changes, nil
}

// loadAll scans every resource and accepts the result only if its digest is that of the head's log row.
func (w *Writer) loadAll(ctx context.Context, head identifier.Revision) (messenger.Changes, error) {
	rows, err := w.get(ctx, logKey(head))
	if err != nil {
		return messenger.Changes{}, err
	}
	row, ok := rows[logKey(head)]
	if !ok {
		return messenger.Changes{}, errStale
	}
	want, err := decodeLogRow(row)
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
	if digest != want.digest {
		return messenger.Changes{}, errStale
	}
	return messenger.Changes{Revision: head, Full: true, Changes: all}, nil
}

func (w *Writer) scanResources(ctx context.Context) ([]messenger.Change, error) {
	var all []messenger.Change
	last := ""
	for {
		rows, err := w.table.Scan(ctx, resourcePrefix, last, scanLimit)
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
		if len(rows) < scanLimit {
			return all, nil
		}
	}
}

// pause waits for a time that grows with the attempts and is jittered, so that racing writers spread out.
func pause(ctx context.Context, attempt int) error {
	most := min(maxWait, baseWait*time.Duration(math.Exp2(float64(min(attempt, 16)))))
	timer := time.NewTimer(mathrand.N(most))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
