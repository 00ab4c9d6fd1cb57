package claimer

import (
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// ErrClaimLost is returned when a row was changed by something other than this claimer.
var ErrClaimLost = errors.New("the claim row was changed by another writer; check that nothing else writes rows under claim/")

// writeResult is the result of one conditional write: applied or conflict.
type writeResult interface{ writeResult() }

type (
	applied struct{ version uint64 }
	// conflict carries the current row; version 0 means that the row is absent.
	conflict struct{ row Row }
)

func (applied) writeResult()  {}
func (conflict) writeResult() {}

// stateMachine computes the writes to one row, without I/O. propose returns the conditional write to try next. observe
// processes the result of that write and reports whether the machine is done.
type stateMachine interface {
	propose() (Condition, Write)
	observe(r writeResult) bool
}

// owner identifies one claim of an agent incarnation. The serial distinguishes claims of the same attempt.
type owner struct {
	node        identifier.Node
	incarnation identifier.Incarnation
	serial      uint64
}

// record returns the content of a row in state s for a call, without a response.
func (o owner) record(s rowState, k Call, at time.Time) record {
	return record{
		state: s, owner: o, request: k.Request, attempt: k.Attempt, digest: k.Digest, at: at,
	}
}

func (o owner) sameProcess(other owner) bool {
	return o.node == other.node && o.incarnation == other.incarnation
}

// claimMachine claims a row that is absent or released.
type claimMachine struct {
	self    owner
	key     string
	call    Call
	at      time.Time
	version uint64

	won    bool
	result Result
	// completed is set when the call has run and its response is recorded.
	completed *record
}

func (m *claimMachine) propose() (Condition, Write) {
	return proposal(m.key, m.version, m.self.record(stateClaimed, m.call, m.at))
}

func (m *claimMachine) observe(r writeResult) bool {
	switch r := r.(type) {
	case applied:
		m.version = r.version
		m.won = true
		return true
	case conflict:
		return m.observeRow(r.row)
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
		// A row that cannot be decoded may belong to a call that has run.
		m.result = ClaimUnknown{Cause: err, MayHaveRun: true}
		return true
	}
	switch {
	case found.state == stateClaimed && found.owner == m.self:
		// The write took effect although its response was lost.
		m.won = true
	case found.digest != "" && found.digest != m.call.Digest:
		m.result = KeyReused{}
	case found.state == stateCompleted:
		m.completed = &found
	case found.state == stateClaimed && !found.owner.sameProcess(m.self):
		m.result = Held{Node: found.owner.node, Incarnation: found.owner.incarnation}
	default:
		// The claim was released, or it is an earlier claim of this process. That claim started nothing, since the
		// key was not in use within this process.
		return false
	}
	return true
}

// finalizeMachine replaces the row of a won claim with its final state: completed or never started.
type finalizeMachine struct {
	self    owner
	key     string
	version uint64
	final   record
	err     error
}

func (m *finalizeMachine) propose() (Condition, Write) {
	return proposal(m.key, m.version, m.final)
}

func (m *finalizeMachine) observe(r writeResult) bool {
	c, isConflict := r.(conflict)
	if !isConflict {
		return true
	}
	m.version = c.row.Version
	if c.row.Version == 0 {
		// The row has expired in the table. Its final state is written all the same, since the response is still of use.
		return false
	}
	found, err := decodeRecord(c.row.Value)
	if err != nil || found.owner != m.self {
		m.err = ErrClaimLost
		return true
	}
	return found.state == m.final.state
}

// resolveMachine releases the claim of a call that has not started. The row that it writes makes a delayed claim write
// fail.
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
	return proposal(m.key, m.version, m.self.record(stateNeverStarted, m.call, m.at))
}

func (m *resolveMachine) observe(r writeResult) bool {
	c, isConflict := r.(conflict)
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
	// Another process holds the claim, or the claim was released, so this process started nothing.
	return true
}

// proposal returns a write of r to a row under the condition that the row has the version.
func proposal(key string, version uint64, r record) (Condition, Write) {
	return Condition{Key: key, Version: version}, Write{Key: key, Value: encodeRecord(r)}
}
