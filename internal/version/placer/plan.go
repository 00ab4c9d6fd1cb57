package placer

import (
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Rank is what the placer knows about one rank.
type Rank struct {
	FailureDomain identifier.FailureDomain
	// Slots is the number of replicas that the rank can hold.
	Slots int
	// Speed is the measured speed relative to the other ranks.
	Speed float64
	// InForce is false for a rank that is out, leaving or not reachable.
	InForce bool
}

// Policy decides when and how the map changes.
type Policy interface{ policy() }

// Adaptive changes the map when the predicted saving outweighs the cost of the bytes moved.
type Adaptive struct {
	// Horizon is the time over which a change has to pay off.
	Horizon time.Duration
	// MoveRate is the number of bytes whose move is as costly as one second of step time.
	MoveRate identifier.Bytes
	// SwitchCost is the step time that a change of map costs besides the bytes.
	SwitchCost time.Duration
	// MaxMoves bounds the replicas loaded by one change.
	MaxMoves int
}

// DefaultAdaptive returns the usual settings. A change has to pay off within a minute, because popularity drifts
// further in longer times.
func DefaultAdaptive() Adaptive {
	return Adaptive{
		Horizon:    time.Minute,
		MoveRate:   1 << 30,
		SwitchCost: 200 * time.Millisecond,
		MaxMoves:   12,
	}
}

// Static never changes the map. It is a baseline.
type Static struct{}

// Resolve solves the map anew each time. It is a baseline.
type Resolve struct {
	// Relabel gives each rank the solved contents that it already holds most of; otherwise the bytes moved are
	// disregarded.
	Relabel bool
}

func (Adaptive) policy() {}
func (Static) policy()   {}
func (Resolve) policy()  {}

// Input is what a plan is made from.
type Input struct {
	Policy Policy
	// Current is the map in force; it has no experts before the first plan.
	Current Map
	// Popularity is the expected part of all tokens by expert.
	Popularity  []float64
	Ranks       []Rank
	ExpertBytes identifier.Bytes
}

// Decision is the result of a plan.
type Decision struct {
	Map     Map
	Changed bool
	// Bytes is the amount of weights that the change loads.
	Bytes identifier.Bytes
	// Before and After are the predicted slowest ÷ ideal step time without and with the change.
	Before float64
	After  float64
	Reason Reason
}

// Reason explains a decision.
type Reason string

// The reasons of a decision.
const (
	ReasonFirst      Reason = "first map of the group"
	ReasonSaving     Reason = "saving outweighs the bytes moved"
	ReasonKept       Reason = "saving does not outweigh the cost"
	ReasonRepair     Reason = "replicas on ranks not in force"
	ReasonResolved   Reason = "solved anew"
	ReasonStatic     Reason = "static policy"
	ReasonImpossible Reason = "too few slots in force"
)

// NoRoomError is returned when the ranks in force cannot hold every expert.
type NoRoomError struct {
	Experts int
	Slots   int
}

// Error names the remedy.
func (e *NoRoomError) Error() string {
	return errors.Newf("%d experts do not fit into %d slots in force; return ranks or raise their slots", e.Experts, e.Slots).Error()
}

// Plan decides the next map. It returns the current map and a *NoRoomError if the experts do not fit.
func Plan(in Input) (Decision, error) {
	in.Ranks = normalised(in.Ranks)
	slots := 0
	for _, r := range in.Ranks {
		if r.InForce {
			slots += r.Slots
		}
	}
	if slots < len(in.Popularity) {
		return Decision{Map: in.Current, Reason: ReasonImpossible}, &NoRoomError{Experts: len(in.Popularity), Slots: slots}
	}
	if len(in.Current.Experts) != len(in.Popularity) {
		return in.decision(solve(in.Popularity, in.Ranks), ReasonFirst, 0), nil
	}
	switch p := in.Policy.(type) {
	case Static:
		return Decision{Map: in.Current, Reason: ReasonStatic}, nil
	case Resolve:
		l := solve(in.Popularity, in.Ranks)
		if p.Relabel {
			l = relabel(l, in.Current)
		}
		return in.decision(l, ReasonResolved, 0), nil
	case Adaptive:
		return adapted(in, p), nil
	default:
		return Decision{}, errors.Newf("policy %T is unknown; use Adaptive, Static or Resolve", p)
	}
}

// minSpeed keeps a rank whose measured speed is near zero from making finishing times infinite.
const minSpeed = 0.05

func normalised(ranks []Rank) []Rank {
	out := append([]Rank(nil), ranks...)
	for i := range out {
		out[i].Speed = max(out[i].Speed, minSpeed)
	}
	return out
}

func (in Input) decision(l *layout, reason Reason, before float64) Decision {
	next := l.toMap(in.Current.Version + 1)
	moved := in.Current.Moved(next)
	return Decision{
		Map:     next,
		Changed: true,
		Bytes:   identifier.Bytes(moved) * in.ExpertBytes,
		Before:  before,
		After:   l.slowest() / l.ideal(),
		Reason:  reason,
	}
}

// adapted improves the current map move by move and keeps the prefix of moves with the largest net saving.
func adapted(in Input, p Adaptive) Decision {
	l, forced := layoutOf(in.Current, in.Popularity, in.Ranks)
	l.repair()
	reason := ReasonSaving
	if forced {
		reason = ReasonRepair
	}
	ideal := l.ideal()
	before := l.slowest() / ideal
	l.split(splitSweeps)
	best := l.clone()
	bestNet := p.net(before, l.slowest()/ideal, 0, in.ExpertBytes)
	moved := 0
	for moved < p.MaxMoves {
		step := l.improve(ideal)
		if step == 0 {
			break
		}
		moved += step
		net := p.net(before, l.slowest()/ideal, moved, in.ExpertBytes)
		if net > bestNet {
			bestNet = net
			best = l.clone()
		}
	}
	if bestNet <= 0 && !forced {
		return Decision{Map: in.Current, Before: before, After: before, Reason: ReasonKept}
	}
	return in.decision(best, reason, before)
}

// net is the step time saved over the horizon less the cost of the change, in seconds.
func (p Adaptive) net(before, after float64, moved int, expertBytes identifier.Bytes) float64 {
	saving := p.Horizon.Seconds() * (before - after)
	cost := p.SwitchCost.Seconds()
	if moved > 0 {
		cost += float64(moved) * float64(expertBytes) / float64(p.MoveRate)
	}
	return saving - cost
}
