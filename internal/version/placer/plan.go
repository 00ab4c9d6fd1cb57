package placer

import (
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Rank is the state of one rank.
type Rank struct {
	FailureDomain identifier.FailureDomain
	// Slots is the number of replicas that the rank can hold.
	Slots int
	// Speed is the measured speed relative to the median of the ranks.
	Speed float64
	// Available is false for a rank that is leaving, unreachable, or in a failure domain that is out. Reasons and
	// errors call an available rank "in force".
	Available bool
}

// Policy decides when and how the map changes: Adaptive, Static or Resolve.
type Policy interface{ policy() }

// Adaptive changes the map when the predicted saving outweighs the cost of the weights loaded.
type Adaptive struct {
	// Horizon is the time over which a change has to pay off.
	Horizon time.Duration
	// MoveRate is the number of bytes whose load costs as much as one second of step time.
	MoveRate identifier.Bytes
	// SwitchCost is the step time that a change of map costs besides the load of weights.
	SwitchCost time.Duration
	// MaxReplicaLoads bounds the replicas loaded by one change.
	MaxReplicaLoads int
}

// DefaultAdaptive returns the default settings. A change has to pay off within a minute, because the popularity drifts
// further over longer times.
func DefaultAdaptive() Adaptive {
	return Adaptive{
		Horizon:         time.Minute,
		MoveRate:        1 << 30,
		SwitchCost:      200 * time.Millisecond,
		MaxReplicaLoads: 12,
	}
}

// Static never changes the map. It is a baseline for comparison.
type Static struct{}

// Resolve solves the map anew for each plan. It is a baseline for comparison.
type Resolve struct {
	// Relabel assigns the ranks of the solved map so that each rank keeps as many of its experts as possible. Without
	// it, the solution disregards which weights the ranks hold.
	Relabel bool
}

func (Adaptive) policy() {}
func (Static) policy()   {}
func (Resolve) policy()  {}

// Input is the input of a plan.
type Input struct {
	Policy Policy
	// Current is the map in use. It has no experts before the first plan.
	Current Map
	// Popularity is the expected fraction of all tokens by expert.
	Popularity  []float64
	Ranks       []Rank
	ExpertBytes identifier.Bytes
}

// Decision is the result of a plan.
type Decision struct {
	Map     Map
	Changed bool
	// Bytes is the size of the weights that the change loads.
	Bytes identifier.Bytes
	// SkewBefore and SkewAfter are the predicted ratios of the slowest to the ideal step time without and with the
	// change.
	SkewBefore float64
	SkewAfter  float64
	Reason     Reason
}

// Reason is the reason for a decision.
type Reason string

// The reasons of a decision.
const (
	ReasonFirstMap          Reason = "first map of the group"
	ReasonSaving            Reason = "saving outweighs the bytes moved"
	ReasonNoSaving          Reason = "saving does not outweigh the cost"
	ReasonRepair            Reason = "replicas on ranks not in force"
	ReasonSolvedAnew        Reason = "solved anew"
	ReasonStatic            Reason = "static policy"
	ReasonInsufficientSlots Reason = "too few slots in force"
)

// InsufficientSlotsError reports that the available ranks have fewer slots than the group has experts.
type InsufficientSlotsError struct {
	Experts int
	Slots   int
}

// Error returns a message that names the remedy.
func (e *InsufficientSlotsError) Error() string {
	return errors.Newf("%d experts do not fit into %d slots in force; return ranks or raise their slots", e.Experts, e.Slots).Error()
}

// Plan decides the next map. It returns the current map and an *InsufficientSlotsError if the experts do not fit into
// the slots.
func Plan(in Input) (Decision, error) {
	in.Ranks = withMinSpeed(in.Ranks)
	slots := 0
	for _, r := range in.Ranks {
		if r.Available {
			slots += r.Slots
		}
	}
	if slots < len(in.Popularity) {
		return Decision{Map: in.Current, Reason: ReasonInsufficientSlots}, &InsufficientSlotsError{Experts: len(in.Popularity), Slots: slots}
	}
	if len(in.Current.Experts) != len(in.Popularity) {
		return in.newDecision(solve(in.Popularity, in.Ranks), ReasonFirstMap, 0), nil
	}
	switch p := in.Policy.(type) {
	case Static:
		return Decision{Map: in.Current, Reason: ReasonStatic}, nil
	case Resolve:
		l := solve(in.Popularity, in.Ranks)
		if p.Relabel {
			l = relabel(l, in.Current)
		}
		return in.newDecision(l, ReasonSolvedAnew, 0), nil
	case Adaptive:
		return planAdaptive(in, p), nil
	default:
		return Decision{}, errors.Newf("policy %T is unknown; use Adaptive, Static or Resolve", p)
	}
}

// minSpeed is the lower bound of the speed, so that a measured speed near zero does not make finishing times infinite.
const minSpeed = 0.05

// withMinSpeed returns a copy of the ranks in which every speed is at least minSpeed.
func withMinSpeed(ranks []Rank) []Rank {
	out := append([]Rank(nil), ranks...)
	for i := range out {
		out[i].Speed = max(out[i].Speed, minSpeed)
	}
	return out
}

// newDecision returns the decision to change to the map of a layout.
func (in Input) newDecision(l *layout, reason Reason, skewBefore float64) Decision {
	next := l.toMap(in.Current.Version + 1)
	loads := in.Current.ReplicaLoads(next)
	return Decision{
		Map:        next,
		Changed:    true,
		Bytes:      identifier.Bytes(loads) * in.ExpertBytes,
		SkewBefore: skewBefore,
		SkewAfter:  l.slowestTime() / l.idealTime(),
		Reason:     reason,
	}
}

// planAdaptive improves the current map move by move. It keeps the moves up to the one after which the net saving is
// largest.
func planAdaptive(in Input, p Adaptive) Decision {
	l, dropped := newLayoutFromMap(in.Current, in.Popularity, in.Ranks)
	l.repair()
	reason := ReasonSaving
	if dropped {
		reason = ReasonRepair
	}
	ideal := l.idealTime()
	skewBefore := l.slowestTime() / ideal
	l.split(splitSweeps)
	best := l.clone()
	bestSaving := p.netSaving(skewBefore, l.slowestTime()/ideal, 0, in.ExpertBytes)
	loads := 0
	for loads < p.MaxReplicaLoads {
		moveLoads := l.improve(ideal)
		if moveLoads == 0 {
			break
		}
		loads += moveLoads
		saving := p.netSaving(skewBefore, l.slowestTime()/ideal, loads, in.ExpertBytes)
		if saving > bestSaving {
			bestSaving = saving
			best = l.clone()
		}
	}
	if bestSaving <= 0 && !dropped {
		return Decision{Map: in.Current, SkewBefore: skewBefore, SkewAfter: skewBefore, Reason: ReasonNoSaving}
	}
	return in.newDecision(best, reason, skewBefore)
}

// netSaving returns the step time saved over the horizon less the cost of the change, in seconds.
func (p Adaptive) netSaving(skewBefore, skewAfter float64, loads int, expertBytes identifier.Bytes) float64 {
	saving := p.Horizon.Seconds() * (skewBefore - skewAfter)
	cost := p.SwitchCost.Seconds()
	if loads > 0 {
		cost += float64(loads) * float64(expertBytes) / float64(p.MoveRate)
	}
	return saving - cost
}
