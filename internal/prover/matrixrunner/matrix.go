// Package matrixrunner runs the fault matrix: each fault at each step of the work of a small deployment, with the
// guarantees checked from outside.
package matrixrunner

import (
	"strings"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

// Fault is a row of the matrix.
type Fault string

// The faults.
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

// The steps.
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

// Faults returns all rows, those first that have shown the most.
func Faults() []Fault {
	return []Fault{
		FaultKill, FaultSilence, FaultCut, FaultPlatformDown, FaultAnswerLost, FaultFreeze, FaultColdUpstream,
		FaultCrashingRequest, FaultOneWayCut, FaultDelay, FaultPlatformSlow, FaultStaleRead, FaultOperatorsRacing,
		FaultVMListLag, FaultCacheEvents, FaultStragglingRank, FaultLeaseLapsed, FaultIgnoredFence,
	}
}

// Steps returns all columns.
func Steps() []Step {
	return []Step{
		StepIdle, StepAccept, StepClaim, StepDispatch, StepFirstToken, StepMidStream, StepCompletion, StepResend,
		StepJoining, StepLeaving, StepDomainOut, StepDomainBack, StepMapPrepare, StepMapDecision, StepMapSwitch,
		StepConfigWrite, StepConfigSpread, StepEntryShutdown, StepAgentShutdown,
	}
}

// Cell is a fault at a step. A pair has two faults.
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

func (c Cell) has(faults ...Fault) bool {
	for _, f := range c.Faults {
		for _, other := range faults {
			if f == other {
				return true
			}
		}
	}
	return false
}

// severs tells whether the process of the step is ended, stopped or cut off, so that it cannot finish its streams.
func (c Cell) severs() bool {
	return c.has(FaultKill, FaultFreeze, FaultCut, FaultOneWayCut)
}

// ParseCell reads the name of a cell.
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

func contains[T comparable](list []T, wanted T) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// Impossible returns why a cell cannot exist, or an empty text.
func Impossible(c Cell) string {
	ofService := c.Step == StepClaim || c.Step == StepResend
	switch {
	case c.has(FaultCacheEvents) && c.ofMap():
		return "maps follow the reports of engines, not their cache events"
	case c.has(FaultCacheEvents) && ofService:
		return "claims and resends are those of service calls, and services have no prefix cache"
	case c.has(FaultStragglingRank) && ofService:
		return "claims and resends are those of service calls, and services have no ranks"
	case c.has(FaultIgnoredFence) && !c.ofMap():
		return "only orders of a map change carry a fencing number"
	default:
		return ""
	}
}

// siteKind tells which kind of deployment a cell needs.
type siteKind int

const (
	// sitePlain has engines that step alone.
	sitePlain siteKind = iota
	// siteLateEvents has engines that publish cache events late and with gaps.
	siteLateEvents
	// siteLockStep has engines in lock-step, of which every other one checks the fencing number.
	siteLockStep
	// siteNoFence has engines in lock-step that ignore the fencing number.
	siteNoFence
)

func (c Cell) ofMap() bool {
	return c.Step == StepMapPrepare || c.Step == StepMapDecision || c.Step == StepMapSwitch
}

func (c Cell) site() siteKind {
	switch {
	case c.has(FaultIgnoredFence):
		return siteNoFence
	case c.ofMap() || c.has(FaultLeaseLapsed):
		return siteLockStep
	case c.has(FaultCacheEvents):
		return siteLateEvents
	default:
		return sitePlain
	}
}

// All returns the cells of the whole matrix, row by row.
func All() []Cell {
	var cells []Cell
	for _, fault := range Faults() {
		for _, step := range Steps() {
			cells = append(cells, Cell{Faults: []Fault{fault}, Step: step})
		}
	}
	return cells
}

// Check returns the part of the matrix that is run with every change. It has each fault and each step at least once.
func Check() []Cell {
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
		// The names are constants, which a test parses.
		cells[i], _ = ParseCell(name)
	}
	return cells
}

// Pairs returns each fault together with an outage of the platform, at mid-stream and at a change of a failure domain. Each
// fault alone together with a change of a failure domain is a column of the matrix.
func Pairs() []Cell {
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

// Sequences returns random cells with one or two faults, in the order in which they share deployments.
func Sequences(seed uint64, count int) []Cell {
	var faults []Fault
	for _, f := range Faults() {
		if (Cell{Faults: []Fault{f}, Step: StepIdle}).site() == sitePlain {
			faults = append(faults, f)
		}
	}
	cell := rapid.Custom(func(t *rapid.T) Cell {
		chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(faults), 1, 2, rapid.ID[Fault]).Draw(t, "faults")
		return Cell{Faults: chosen, Step: rapid.SampledFrom(Steps()).Draw(t, "step")}
	}).Filter(func(c Cell) bool {
		endsAndStops := c.has(FaultKill) && c.has(FaultFreeze)
		return !endsAndStops && Impossible(c) == "" && c.site() == sitePlain
	})
	return rapid.SliceOfN(cell, count, count).Example(int(seed))
}
