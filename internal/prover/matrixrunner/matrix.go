// Package matrixrunner runs the fault matrix: it injects each fault at each step of a small deployment's work, and
// checks the guarantees against what callers received and upstreams recorded.
package matrixrunner

import (
	"strings"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// Fault is a row of the matrix.
type Fault string

// The faults of the matrix.
const (
	FaultKill            Fault = "kill"
	FaultFreeze          Fault = "freeze"
	FaultCut             Fault = "cut"
	FaultOneWayCut       Fault = "oneWayCut"
	FaultSilence         Fault = "silence"
	FaultDelay           Fault = "delay"
	FaultPlatformDown    Fault = "platformDown"
	FaultPlatformSlow    Fault = "platformSlow"
	FaultAnswerLost      Fault = "answerLost"
	FaultStaleRead       Fault = "staleRead"
	FaultLeaseLapsed     Fault = "leaseLapsed"
	FaultOperatorsRacing Fault = "operatorsRacing"
	FaultColdUpstream    Fault = "coldUpstream"
	FaultCrashingRequest Fault = "crashingRequest"
	FaultVMListLag       Fault = "vmListLag"
	FaultCacheEvents     Fault = "cacheEvents"
	FaultStragglingRank  Fault = "stragglingRank"
	FaultIgnoredFence    Fault = "ignoredFence"
)

// Step is a column of the matrix.
type Step string

// The steps of the matrix.
const (
	StepIdle          Step = "idle"
	StepAccept        Step = "accept"
	StepClaim         Step = "claim"
	StepDispatch      Step = "dispatch"
	StepFirstToken    Step = "firstToken"
	StepMidStream     Step = "midStream"
	StepCompletion    Step = "completion"
	StepResend        Step = "resend"
	StepJoining       Step = "joining"
	StepLeaving       Step = "leaving"
	StepDomainOut     Step = "domainOut"
	StepDomainBack    Step = "domainBack"
	StepMapPrepare    Step = "mapPrepare"
	StepMapDecision   Step = "mapDecision"
	StepMapSwitch     Step = "mapSwitch"
	StepConfigWrite   Step = "configWrite"
	StepConfigSpread  Step = "configSpread"
	StepEntryShutdown Step = "entryShutdown"
	StepAgentShutdown Step = "agentShutdown"
)

// Faults returns all faults in the order of the rows. Those that have revealed the most defects come first.
func Faults() []Fault {
	return []Fault{
		FaultKill, FaultSilence, FaultCut, FaultPlatformDown, FaultAnswerLost, FaultFreeze, FaultColdUpstream,
		FaultCrashingRequest, FaultOneWayCut, FaultDelay, FaultPlatformSlow, FaultStaleRead, FaultOperatorsRacing,
		FaultVMListLag, FaultCacheEvents, FaultStragglingRank, FaultLeaseLapsed, FaultIgnoredFence,
	}
}

// Steps returns all steps in the order of the columns.
func Steps() []Step {
	return []Step{
		StepIdle, StepAccept, StepClaim, StepDispatch, StepFirstToken, StepMidStream, StepCompletion, StepResend,
		StepJoining, StepLeaving, StepDomainOut, StepDomainBack, StepMapPrepare, StepMapDecision, StepMapSwitch,
		StepConfigWrite, StepConfigSpread, StepEntryShutdown, StepAgentShutdown,
	}
}

// Cell is one fault, or a pair of faults, at a step.
type Cell struct {
	Faults []Fault
	Step   Step
}

// String returns the name of the cell, such as kill/idle or kill+platformDown/idle.
func (c Cell) String() string {
	names := make([]string, len(c.Faults))
	for i, f := range c.Faults {
		names[i] = string(f)
	}
	return strings.Join(names, "+") + "/" + string(c.Step)
}

// hasFault reports whether the cell has one of the faults.
func (c Cell) hasFault(faults ...Fault) bool {
	for _, f := range c.Faults {
		for _, other := range faults {
			if f == other {
				return true
			}
		}
	}
	return false
}

// interruptsStreams reports whether a fault kills, freezes or cuts off the process of the step, so that it cannot
// finish its streams.
func (c Cell) interruptsStreams() bool {
	return c.hasFault(FaultKill, FaultFreeze, FaultCut, FaultOneWayCut)
}

// ParseCell parses the name of a cell, as returned by String.
func ParseCell(name string) (Cell, error) {
	rows, column, found := strings.Cut(name, "/")
	if !found {
		return Cell{}, errors.Newf("cell %q: write FAULT/STEP", name)
	}
	cell := Cell{Step: Step(column)}
	if !contains(Steps(), cell.Step) {
		return Cell{}, errors.Newf("cell %q: step %q is not one of %v", name, column, Steps())
	}
	for _, row := range strings.Split(rows, "+") {
		if !contains(Faults(), Fault(row)) {
			return Cell{}, errors.Newf("cell %q: fault %q is not one of %v", name, row, Faults())
		}
		cell.Faults = append(cell.Faults, Fault(row))
	}
	return cell, nil
}

func contains[T comparable](list []T, value T) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}

// ImpossibleReason returns the reason why a cell cannot exist, or an empty string.
func ImpossibleReason(c Cell) string {
	isServiceStep := c.Step == StepClaim || c.Step == StepResend
	switch {
	case c.hasFault(FaultCacheEvents) && c.isMapStep():
		return "maps follow the reports of engines, not their cache events"
	case c.hasFault(FaultCacheEvents) && isServiceStep:
		return "only service calls have claims and resends, and services have no prefix cache"
	case c.hasFault(FaultStragglingRank) && isServiceStep:
		return "only service calls have claims and resends, and services have no ranks"
	case c.hasFault(FaultIgnoredFence) && !c.isMapStep():
		return "only orders of a map change carry a fencing number"
	default:
		return ""
	}
}

// testbedKind is the kind of deployment that a cell needs.
type testbedKind int

const (
	// testbedPlain has engines that run their steps independently.
	testbedPlain testbedKind = iota
	// testbedLateEvents has engines that publish cache events late and with gaps.
	testbedLateEvents
	// testbedLockStep has engines in lock-step, of which every other one checks the fencing number.
	testbedLockStep
	// testbedNoFence has engines in lock-step that ignore the fencing number.
	testbedNoFence
)

// isMapStep reports whether the step is part of a change of the expert map.
func (c Cell) isMapStep() bool {
	return c.Step == StepMapPrepare || c.Step == StepMapDecision || c.Step == StepMapSwitch
}

func (c Cell) testbedKind() testbedKind {
	switch {
	case c.hasFault(FaultIgnoredFence):
		return testbedNoFence
	case c.isMapStep() || c.hasFault(FaultLeaseLapsed):
		return testbedLockStep
	case c.hasFault(FaultCacheEvents):
		return testbedLateEvents
	default:
		return testbedPlain
	}
}

// AllCells returns all cells of the matrix, row by row.
func AllCells() []Cell {
	var cells []Cell
	for _, fault := range Faults() {
		for _, step := range Steps() {
			cells = append(cells, Cell{Faults: []Fault{fault}, Step: step})
		}
	}
	return cells
}

// CheckCells returns the cells that make check runs. They contain each fault and each step at least once.
func CheckCells() []Cell {
	names := []string{
		"kill/claim", "kill/midStream", "kill/completion", "silence/midStream", "silence/dispatch", "cut/resend",
		"cut/configSpread", "cut/domainOut", "platformDown/claim", "platformDown/leaving", "answerLost/claim",
		"answerLost/configWrite", "freeze/midStream", "freeze/domainOut", "coldUpstream/midStream",
		"crashingRequest/idle", "oneWayCut/accept", "delay/firstToken", "platformSlow/entryShutdown",
		"staleRead/configSpread", "operatorsRacing/idle", "vmListLag/joining", "cacheEvents/agentShutdown",
		"stragglingRank/domainBack", "kill/mapDecision", "platformDown/mapSwitch", "leaseLapsed/mapPrepare",
		"ignoredFence/mapDecision",
	}
	cells := make([]Cell, len(names))
	for i, name := range names {
		// The names are constant; a test checks that they are valid.
		cells[i], _ = ParseCell(name)
	}
	return cells
}

// PairCells returns each fault paired with an outage of the platform, at StepMidStream and StepDomainOut. A fault
// during a change of a failure domain needs no pair, since it is a cell of the matrix.
func PairCells() []Cell {
	var cells []Cell
	for _, fault := range Faults() {
		if fault == FaultPlatformDown {
			continue
		}
		for _, step := range []Step{StepMidStream, StepDomainOut} {
			cells = append(cells, Cell{Faults: []Fault{fault, FaultPlatformDown}, Step: step})
		}
	}
	return cells
}

// SequenceCells returns random cells with one or two faults, in the order in which they run on shared deployments.
func SequenceCells(seed uint64, count int) []Cell {
	var faults []Fault
	for _, f := range Faults() {
		if (Cell{Faults: []Fault{f}, Step: StepIdle}).testbedKind() == testbedPlain {
			faults = append(faults, f)
		}
	}
	cell := rapid.Custom(func(t *rapid.T) Cell {
		chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(faults), 1, 2, rapid.ID[Fault]).Draw(t, "faults")
		return Cell{Faults: chosen, Step: rapid.SampledFrom(Steps()).Draw(t, "step")}
	}).Filter(func(c Cell) bool {
		killsAndFreezes := c.hasFault(FaultKill) && c.hasFault(FaultFreeze)
		return !killsAndFreezes && ImpossibleReason(c) == "" && c.testbedKind() == testbedPlain
	})
	return rapid.SliceOfN(cell, count, count).Example(int(seed))
}
