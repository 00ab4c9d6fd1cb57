// Package switcher changes the expert map of a group in two phases, so that all ranks use the same map in every step.
package switcher

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/placer"
)

// Scheduled is a map and the first step that uses it.
type Scheduled struct {
	Version identifier.MapVersion
	Step    identifier.Step
	Map     placer.Map
}

// Record is the value of the table row of a group. Every write raises Last by one, so a row that has Last at or
// above a version has decided it: it is committed if it is Committed.Version, and aborted otherwise.
type Record struct {
	Fence identifier.Fence
	// Last is the newest version that is decided, committed or aborted.
	Last      identifier.MapVersion
	Committed Scheduled
	// Previous is the map that was committed before Committed; it is used before Committed.Step.
	Previous Scheduled
}

// aborted returns the record that aborts the next version.
func (r Record) aborted() Record {
	r.Last++
	return r
}

// committed returns the record that commits the next version.
func (r Record) committed(s Scheduled) Record {
	r.Last = s.Version
	r.Previous = r.Committed
	r.Committed = s
	return r
}

// Row is a record with the version that the table gave it; version 0 is an absent row.
type Row struct {
	Version uint64
	Record  Record
}

// Event is something that a leader or a rank learns.
type Event interface{ event() }

// Events from clock and table, for both machines.
type (
	// Tick passes time.
	Tick struct{}
	// RowRead is a row read from the table. It may be stale.
	RowRead struct{ Row Row }
	// RowWritten confirms the write of the machine with the given serial.
	RowWritten struct {
		Serial uint64
		Row    Row
	}
	// RowConflict refuses the write of the machine with the given serial and shows the row as it is.
	RowConflict struct {
		Serial uint64
		Row    Row
	}
	// RowUnsure tells that the write of the machine may have taken effect.
	RowUnsure struct{}
)

// Events of a leader.
type (
	// Propose asks for a change to a map.
	Propose struct{ Map placer.Map }
	// Progress is the load report of a rank: the step that it had reached at AsOf.
	Progress struct {
		Rank     identifier.Rank
		Step     identifier.Step
		StepTime time.Duration
		AsOf     time.Time
	}
	// Deposed tells that the lease is lost.
	Deposed struct{}
	// Fetched tells that a rank has the weights of a version.
	Fetched struct {
		Rank    identifier.Rank
		Version identifier.MapVersion
	}
	// Prepared tells that a rank holds at the switch step of a version until it is decided, or refuses it.
	Prepared struct {
		Rank     identifier.Rank
		Version  identifier.MapVersion
		Accepted bool
	}
	// Learned tells the newest row that a rank knows.
	Learned struct {
		Rank identifier.Rank
		Row  Row
	}
)

// Events of a rank.
type (
	// Fetch asks a rank to fetch the weights that a map needs.
	Fetch struct {
		Fence   identifier.Fence
		Row     Row
		Version identifier.MapVersion
		Map     placer.Map
	}
	// Prepare asks a rank to hold at the switch step until the version is decided.
	Prepare struct {
		Fence identifier.Fence
		Row   Row
		Next  Scheduled
	}
	// Decide tells a rank the row that decides its open preparation.
	Decide struct {
		Fence identifier.Fence
		Row   Row
	}
	// WeightsFetched tells that the weights of a version have arrived.
	WeightsFetched struct{ Version identifier.MapVersion }
	// EngineReport is the engine's own report.
	EngineReport struct {
		Boot identifier.Boot
		Step identifier.Step
		// Prepared is the lowest version that the engine has prepared and that is not decided, or 0.
		Prepared identifier.MapVersion
	}
	// OrderDone is the engine's answer to the order with the given serial.
	OrderDone struct {
		Serial uint64
		Result OrderResult
	}
	// Inquiry asks a rank for the decision on a version.
	Inquiry struct {
		From    identifier.Rank
		Version identifier.MapVersion
	}
	// Answer is the reply of another rank.
	Answer struct{ Row Row }
)

// OrderResult is the outcome of an order to the engine.
type OrderResult int

// The outcomes of an order.
const (
	OrderAccepted OrderResult = iota + 1
	OrderRefused
	// OrderUnsure means that the order may have taken effect.
	OrderUnsure
)

func (Tick) event()           {}
func (RowRead) event()        {}
func (RowWritten) event()     {}
func (RowConflict) event()    {}
func (RowUnsure) event()      {}
func (Propose) event()        {}
func (Progress) event()       {}
func (Deposed) event()        {}
func (Fetched) event()        {}
func (Prepared) event()       {}
func (Learned) event()        {}
func (Fetch) event()          {}
func (Prepare) event()        {}
func (Decide) event()         {}
func (WeightsFetched) event() {}
func (EngineReport) event()   {}
func (OrderDone) event()      {}
func (Inquiry) event()        {}
func (Answer) event()         {}

// Action is something that the shell does for a machine.
type Action interface{ action() }

type (
	// ReadRow reads the row of the group.
	ReadRow struct{}
	// WriteRow writes the record if the row still has the version Condition. A machine has one write in progress.
	WriteRow struct {
		Serial    uint64
		Condition uint64
		Record    Record
	}
	// SendRank sends an event to the machine of a rank.
	SendRank struct {
		Rank  identifier.Rank
		Event Event
	}
	// SendLeader sends an event to the leader with the given fence.
	SendLeader struct {
		Fence identifier.Fence
		Event Event
	}
	// FetchWeights fetches the weights that this rank lacks for a map, within the store's rate.
	FetchWeights struct {
		Version identifier.MapVersion
		Map     placer.Map
	}
	// OrderPrepare orders the engine to hold at the switch step.
	OrderPrepare struct {
		Serial uint64
		Fence  identifier.Fence
		Next   Scheduled
	}
	// OrderDecide tells the engine the decision.
	OrderDecide struct {
		Serial  uint64
		Fence   identifier.Fence
		Version identifier.MapVersion
		Commit  bool
	}
	// Finished tells the shell of the leader how a proposal ended.
	Finished struct {
		Version identifier.MapVersion
		Outcome Outcome
	}
)

// Outcome is the end of a proposal.
type Outcome string

// The outcomes of a proposal.
const (
	OutcomeCommitted Outcome = "committed"
	OutcomeAborted   Outcome = "aborted"
	OutcomeNotBegun  Outcome = "weights did not arrive in time"
	OutcomeBusy      Outcome = "another change is in progress"
	OutcomeDeposed   Outcome = "lease lost"
)

func (ReadRow) action()      {}
func (WriteRow) action()     {}
func (SendRank) action()     {}
func (SendLeader) action()   {}
func (FetchWeights) action() {}
func (OrderPrepare) action() {}
func (OrderDecide) action()  {}
func (Finished) action()     {}
