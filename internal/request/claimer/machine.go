package claimer

import (
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// ErrClaimLost is returned when a row was changed by something other than this claimer.
var ErrClaimLost = errors.New("the claim row was changed by another writer; check that nothing else writes rows under claim/")

// outcome is what the table tells of one conditional write: applied or conflict.
type outcome interface{ outcome() }

type (
	applied struct{ version uint64 }
	// conflict carries the current row; version 0 means that the row is absent.
	conflict struct{ row Row }
)

func (applied) outcome()  {}
func (conflict) outcome() {}

// machine decides on one row. It is a pure state machine: propose gives the conditional write to try, observe takes its
// outcome and reports whether the machine is done.
type machine interface {
	propose() (Condition, Write)
	observe(o outcome) bool
}

// owner identifies one claim of an agent incarnation. The serial tells apart claims of the same attempt.
type owner struct {
	node        identifier.Node
	incarnation identifier.Incarnation
	serial      uint64
}

func (o owner) row(s state, k Call, at time.Time) record {
	return record{
		state: s, owner: o, request: k.Request, attempt: k.Attempt, digest: k.Digest, at: at,
	}
}

func (o owner) sameProcess(other owner) bool {
	return o.node == other.node && o.incarnation == other.incarnation
}

// claimMachine turns an absent or given-up row into a claimed one.
type claimMachine struct {
	self    owner
	key     string
	call    Call
	at      time.Time
	version uint64

	won     bool
	verdict Verdict
	// completed is set when the call has run and its response is recorded.
	completed *record
}

func (m *claimMachine) propose() (Condition, Write) {
	return proposal(m.key, m.version, m.self.row(stateClaimed, m.call, m.at))
}

func (m *claimMachine) observe(o outcome) bool {
	switch o := o.(type) {
	case applied:
		m.version = o.version
		m.won = true
		return true
	case conflict:
		return m.observeRow(o.row)
	}
	return false
}

func (m *claimMachine) observeRow(row Row) bool {
	m.version = row.Version
	if row.Version == 0 {
		return false
	}
	found, err := decodeRecord(row.Value)
	if err != nil {
		// A row that cannot be read may belong to a call that ran.
		m.verdict = Unsure{Cause: err, MayHaveRun: true}
		return true
	}
	switch {
	case found.state == stateClaimed && found.owner == m.self:
		// The write took effect although its response was lost.
		m.won = true
	case found.digest != "" && found.digest != m.call.Digest:
		m.verdict = Mismatch{}
	case found.state == stateCompleted:
		m.completed = &found
	case found.state == stateClaimed && !found.owner.sameProcess(m.self):
		m.verdict = Held{Node: found.owner.node, Incarnation: found.owner.incarnation}
	default:
		// The row was given up, or it is an earlier claim of this process, which started nothing because the slot
		// of the key was free.
		return false
	}
	return true
}

// settleMachine replaces the row of a won claim by its final row.
type settleMachine struct {
	self    owner
	key     string
	version uint64
	row     record
	err     error
}

func (m *settleMachine) propose() (Condition, Write) {
	return proposal(m.key, m.version, m.row)
}

func (m *settleMachine) observe(o outcome) bool {
	c, isConflict := o.(conflict)
	if !isConflict {
		return true
	}
	m.version = c.row.Version
	if c.row.Version == 0 {
		// The row has passed its lifetime; the response is still worth keeping.
		return false
	}
	found, err := decodeRecord(c.row.Value)
	if err != nil || found.owner != m.self {
		m.err = ErrClaimLost
		return true
	}
	return found.state == m.row.state
}

// resolveMachine gives up the claim of a call that has not started, so that no late write can bring it back.
type resolveMachine struct {
	self      owner
	key       string
	at        time.Time
	version   uint64
	call      Call
	completed *record
	err       error
}

func (m *resolveMachine) propose() (Condition, Write) {
	return proposal(m.key, m.version, m.self.row(stateNeverStarted, m.call, m.at))
}

func (m *resolveMachine) observe(o outcome) bool {
	c, isConflict := o.(conflict)
	if !isConflict {
		return true
	}
	m.version = c.row.Version
	if c.row.Version == 0 {
		return false
	}
	found, err := decodeRecord(c.row.Value)
	if err != nil {
		m.err = err
		return true
	}
	switch {
	case found.state == stateCompleted:
		m.completed = &found
		return true
	case found.state == stateClaimed && found.owner.sameProcess(m.self):
		m.call = Call{Request: found.request, Attempt: found.attempt, Digest: found.digest}
		return false
	}
	// Another process holds the claim or the claim was given up, so this one started nothing.
	return true
}

func proposal(key string, version uint64, r record) (Condition, Write) {
	return Condition{Key: key, Version: version}, Write{Key: key, Value: encodeRecord(r)}
}
