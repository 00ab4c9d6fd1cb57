// Package switcher changes the expert map of a model group in two phases, so that all ranks use the same map in every
// step.
//
// The leader of the group lets every rank fetch the weights of the next map, chooses the step that switches to it, and
// orders every rank to prepare: the engine then does not run the switch step before the version is decided. The leader
// commits or aborts the version by a conditional write of the table row of the group, and any rank may abort it by such
// a write. Leader and Rank are state machines without I/O: Step handles an event and returns the actions that the
// caller executes. They are not safe for concurrent use.
package switcher

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
)

// ScheduledMap is a map with its version and the first step that uses it.
type ScheduledMap struct {
	Version identifier.MapVersion
	Step    identifier.Step
	Map     placer.Map
}

// Record is the value of the table row of a group. Every write increments LastDecided, so a row whose LastDecided is at
// or above a version decides that version: it is committed if it equals Committed.Version, and aborted otherwise.
type Record struct {
	// Fence is the fencing number of the leader that fenced the row last.
	Fence identifier.Fence
	// LastDecided is the newest version that is decided, committed or aborted.
	LastDecided identifier.MapVersion
	Committed   ScheduledMap
	// Previous is the map that was committed before Committed. It applies to the steps before Committed.Step.
	Previous ScheduledMap
}

// withAbort returns the record that aborts the next version.
func (r Record) withAbort() Record {
	r.LastDecided++
	return r
}

// withCommit returns the record that commits the next version.
func (r Record) withCommit(s ScheduledMap) Record {
	r.LastDecided = s.Version
	r.Previous = r.Committed
	r.Committed = s
	return r
}

// Row is a record with the version of its table row. Version 0 is an absent row.
type Row struct {
	Version uint64
	Record  Record
}

// Event is an input of a state machine: the passage of time, a message, a report or the result of an action.
type Event interface{ event() }

// Events of both machines.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// RowRead is the result of ReadRow, which may be stale.
	RowRead struct{ Row Row }
	// RowWritten reports that the write with the given serial took effect.
	RowWritten struct {
		Serial uint64
		Row    Row
	}
	// RowConflict reports that the write with the given serial did not take effect, and carries the current row.
	RowConflict struct {
		Serial uint64
		Row    Row
	}
	// RowWriteUnknown reports that the outcome of the write is unknown.
	RowWriteUnknown struct{}
)

// Events of a leader.
type (
	// Propose requests a change to a map.
	Propose struct{ Map placer.Map }
	// Progress is a load report of a rank: the step that it had reached at AsOf, and its step time.
	Progress struct {
		Rank     identifier.Rank
		Step     identifier.Step
		StepTime time.Duration
		AsOf     time.Time
	}
	// LeaseLost reports that the leader has lost its lease.
	LeaseLost struct{}
	// Fetched reports that a rank has fetched the weights of a version.
	Fetched struct {
		Rank    identifier.Rank
		Version identifier.MapVersion
	}
	// Prepared reports that the engine of a rank holds at the switch step of a version until it is decided, or that it
	// refused to prepare the version.
	Prepared struct {
		Rank     identifier.Rank
		Version  identifier.MapVersion
		Accepted bool
	}
	// Learned reports the newest row that a rank has adopted.
	Learned struct {
		Rank identifier.Rank
		Row  Row
	}
)

// Events of a rank.
type (
	// Fetch requests that a rank fetch the weights that a map needs.
	Fetch struct {
		Fence   identifier.Fence
		Row     Row
		Version identifier.MapVersion
		Map     placer.Map
	}
	// Prepare requests that a rank hold at the switch step until the version is decided.
	Prepare struct {
		Fence identifier.Fence
		Row   Row
		Next  ScheduledMap
	}
	// Decide sends a rank the row that decides its pending preparation.
	Decide struct {
		Fence identifier.Fence
		Row   Row
	}
	// WeightsFetched reports that the weights of a version have been fetched.
	WeightsFetched struct{ Version identifier.MapVersion }
	// EngineReport is a report of the engine of the rank.
	EngineReport struct {
		Boot identifier.Boot
		Step identifier.Step
		// Prepared is the lowest version that the engine has prepared and that is not decided, or 0.
		Prepared identifier.MapVersion
	}
	// OrderDone is the result of the order with the given serial.
	OrderDone struct {
		Serial uint64
		Result OrderResult
	}
	// Inquiry requests the decision on a version from another rank.
	Inquiry struct {
		From    identifier.Rank
		Version identifier.MapVersion
	}
	// Answer is the response to an Inquiry: the newest row of the other rank.
	Answer struct{ Row Row }
)

// OrderResult is the outcome of an order to the engine.
type OrderResult int

// The outcomes of an order.
const (
	OrderAccepted OrderResult = iota + 1
	OrderRefused
	// OrderUnknown means that the order may have taken effect.
	OrderUnknown
)

func (Tick) event()            {}
func (RowRead) event()         {}
func (RowWritten) event()      {}
func (RowConflict) event()     {}
func (RowWriteUnknown) event() {}
func (Propose) event()         {}
func (Progress) event()        {}
func (LeaseLost) event()       {}
func (Fetched) event()         {}
func (Prepared) event()        {}
func (Learned) event()         {}
func (Fetch) event()           {}
func (Prepare) event()         {}
func (Decide) event()          {}
func (WeightsFetched) event()  {}
func (EngineReport) event()    {}
func (OrderDone) event()       {}
func (Inquiry) event()         {}
func (Answer) event()          {}

// Action is an operation that the caller of Step executes for a machine.
type Action interface{ action() }

type (
	// ReadRow reads the row of the group.
	ReadRow struct{}
	// WriteRow writes the record if the row still has the version Condition. A machine has at most one write in progress.
	WriteRow struct {
		Serial    uint64
		Condition uint64
		Record    Record
	}
	// SendToRank sends an event to the machine of a rank.
	SendToRank struct {
		Rank  identifier.Rank
		Event Event
	}
	// SendToLeader sends an event to the leader with the given fence.
	SendToLeader struct {
		Fence identifier.Fence
		Event Event
	}
	// FetchWeights fetches the weights that this rank lacks for a map, within the rate limit of the weight store.
	FetchWeights struct {
		Version identifier.MapVersion
		Map     placer.Map
	}
	// OrderPrepare orders the engine to hold at the switch step of a map.
	OrderPrepare struct {
		Serial uint64
		Fence  identifier.Fence
		Next   ScheduledMap
	}
	// OrderDecide orders the engine to commit or drop a prepared map.
	OrderDecide struct {
		Serial  uint64
		Fence   identifier.Fence
		Version identifier.MapVersion
		Commit  bool
	}
	// Finished reports the outcome of a proposal to the caller of the leader.
	Finished struct {
		Version identifier.MapVersion
		Outcome Outcome
	}
)

// Outcome is the result of a proposal.
type Outcome string

// The outcomes of a proposal.
const (
	OutcomeCommitted    Outcome = "committed"
	OutcomeAborted      Outcome = "aborted"
	OutcomeFetchTimeout Outcome = "weights did not arrive in time"
	OutcomeBusy         Outcome = "another change is in progress"
	OutcomeLeaseLost    Outcome = "lease lost"
)

func (ReadRow) action()      {}
func (WriteRow) action()     {}
func (SendToRank) action()   {}
func (SendToLeader) action() {}
func (FetchWeights) action() {}
func (OrderPrepare) action() {}
func (OrderDecide) action()  {}
func (Finished) action()     {}
