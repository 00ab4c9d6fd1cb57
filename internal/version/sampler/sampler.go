// Package sampler decides when the leader of the expert maps reads the expert counts of a group, and from how many ranks.
// Each read pauses the group and is priced by the numbers read, whereas a shift of demand that is noticed late leaves the
// load uneven. So the counts are read soon after a sign of a shift, after a new map and after the group has formed; rarely
// while passes keep their usual pace and the last counts were steady; and not while the group is idle.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package sampler

import (
	"time"

	"currantledge.example/currantledge/internal/version/estimator"
)

const (
	// steadyInterval bounds the time between two reads of a group in use. Shifts that even slow passes do not show are noticed
	// after it.
	steadyInterval = 2 * time.Second
	// unseenInterval is the time between two reads of a group in use whose passes are not noticed, so that nothing but the
	// counts shows a shift. An even load within 1.2 s of a shift needs it: a switch takes up to 0.45 s of that.
	unseenInterval = 500 * time.Millisecond
	// formedInterval is the time between the first reads of a group that has formed: demand may have changed while it was
	// closed. It also applies to reads of other ranks after idle ones.
	formedInterval = 200 * time.Millisecond
	// maxQuickReads is how many reads of idle ranks in a row are followed by another one after formedInterval.
	maxQuickReads = 4
	// unevenInterval is the time before the read after a switch that left the group uneven, since a rank may load few experts
	// at a time. The ranks have taken the new map by then.
	unevenInterval = 100 * time.Millisecond
	// switchedInterval is the time before the read after any other switch. The ranks have loaded their experts by then.
	switchedInterval = 500 * time.Millisecond
	// shiftedInterval is the time before the read after one that has shown a shift, and shiftedPasses the least number of
	// passes in it: long enough for a sample of only the new demand, short since the load is uneven meanwhile.
	shiftedInterval = 100 * time.Millisecond
	shiftedPasses   = 2
	// unseenAfter is the time without a pass, or missedPasses times the duration of a pass if that is longer, after which
	// passes count as unseen. Passes take 40 to 130 ms.
	unseenAfter  = 300 * time.Millisecond
	missedPasses = 3
	// signSpacing is the least time between a sign of a shift and one that another gateway noticed: the gateways notice a
	// shift at different times, and demand shifts every 3 s at most.
	signSpacing = 2 * time.Second
	// maxSignAge is the age from which on a sign says nothing new: those of gateways of other failure domains are up to 0.6 s
	// old, and one lost datagram adds 0.2 s.
	maxSignAge = time.Second
)

const (
	// UsualRanks is the number of ranks whose counts are read. Requests are spread evenly over the ranks, so a few ranks are
	// a sample of the whole group.
	UsualRanks = 2
	// ShiftedRanks is the number of ranks whose counts are read after a shift, since the next map is planned from these alone.
	// If single ranks differ by 14 % from their group, the load was even within 1.2 s of 40 to 41 of 60 shifts with 2 ranks,
	// of 54 to 58 with 4, of 56 to 60 with 5 and of 58 to 60 with 6; 5 cost a fifth less than reads every 0.5 s.
	ShiftedRanks = 5
)

// Reason is why the counts are read.
type Reason string

// The reasons.
const (
	// ReasonFormed means that the group has formed or opened.
	ReasonFormed Reason = "formed"
	// ReasonSlowed means that passes have become slower, a sign of a shift.
	ReasonSlowed Reason = "slowed"
	// ReasonShifted means that the last counts, or slower passes, have shown a shift, and that this read samples the new demand.
	ReasonShifted Reason = "shifted"
	// ReasonIdleRanks means that the ranks that were read last have served nothing.
	ReasonIdleRanks Reason = "idleRanks"
	// ReasonUneven means that the last switch has left the group uneven.
	ReasonUneven Reason = "uneven"
	// ReasonSwitched means that a switch has ended.
	ReasonSwitched Reason = "switched"
	// ReasonUnseen means that the group is in use, but its passes are not noticed.
	ReasonUnseen Reason = "unseen"
	// ReasonSteady means that the last read is steadyInterval ago.
	ReasonSteady Reason = "steady"
)

// Use is what the leader knows of the use of a group.
type Use struct {
	// Busy is set while requests run on the group, also those of other gateways, or if that is not known.
	Busy bool
	// PassAt is when the leader's gateway last noticed a pass, zero if it noticed none, and PassTook how long that took.
	PassAt   time.Time
	PassTook time.Duration
}

// sees reports whether passes are noticed.
func (u Use) sees(now time.Time) bool {
	return !u.PassAt.IsZero() && now.Sub(u.PassAt) < max(unseenAfter, missedPasses*u.PassTook)
}

// Reading is a read of counts that is due at a time.
type Reading struct {
	At     time.Time
	Reason Reason
	// Ranks is the number of ranks.
	Ranks int
}

// Sampler decides on the reads of the counts of one group. The zero value is that of a group that has just formed.
type Sampler struct {
	// readAt is when the counts were last read, and verdict what they showed.
	readAt  time.Time
	verdict estimator.Verdict
	// formed is set until the second read, and idleReads counts the reads of idle ranks in a row.
	formed    bool
	idleReads int
	// slowed is set if passes have become slower since the last read, and shiftSeenAt is when that or a sample last showed a
	// shift.
	slowed      bool
	shiftSeenAt time.Time
	// switchedAt is when a switch ended after which the counts have not been used; zero if there is none. uneven is set if
	// it left the group uneven.
	switchedAt time.Time
	uneven     bool
}

// Next returns the next read of the counts. It returns false if none is due as long as the use stays as it is.
func (s *Sampler) Next(now time.Time, use Use) (Reading, bool) {
	seen := use.sees(now)
	switch {
	case s.readAt.IsZero():
		return Reading{At: now, Reason: ReasonFormed, Ranks: UsualRanks}, true
	case s.slowed:
		return Reading{At: now, Reason: ReasonSlowed, Ranks: UsualRanks}, true
	case !use.Busy && !seen:
		return Reading{}, false
	case s.verdict == estimator.VerdictShifted:
		return s.after(max(shiftedInterval, shiftedPasses*use.PassTook), ReasonShifted, ShiftedRanks), true
	case s.uneven:
		return s.after(unevenInterval, ReasonUneven, UsualRanks), true
	case s.verdict == estimator.VerdictIdle && s.idleReads <= maxQuickReads:
		return s.after(formedInterval, ReasonIdleRanks, UsualRanks), true
	case s.formed:
		return s.after(formedInterval, ReasonFormed, UsualRanks), true
	case s.verdict == estimator.VerdictIdle:
		return s.after(unseenInterval, ReasonIdleRanks, UsualRanks), true
	case !s.switchedAt.IsZero():
		return s.after(switchedInterval, ReasonSwitched, UsualRanks), true
	case !seen:
		return s.after(unseenInterval, ReasonUnseen, UsualRanks), true
	}
	return s.after(steadyInterval, ReasonSteady, UsualRanks), true
}

// after returns a read that is due some time after the last read or switch, whichever was later.
func (s *Sampler) after(d time.Duration, reason Reason, ranks int) Reading {
	from := s.readAt
	if s.switchedAt.After(from) {
		from = s.switchedAt
	}
	return Reading{At: from.Add(d), Reason: reason, Ranks: ranks}
}

// Verdict returns what the last counts showed.
func (s *Sampler) Verdict() estimator.Verdict {
	return s.verdict
}

// RecordRead records that counts were read and what they showed.
func (s *Sampler) RecordRead(now time.Time, verdict estimator.Verdict) {
	// The first counts of a rank cover all the time since its start, so they are no sample.
	s.formed = s.readAt.IsZero() || verdict == estimator.VerdictFirst && s.idleReads <= maxQuickReads
	s.readAt, s.verdict, s.slowed = now, verdict, false
	switch verdict {
	case estimator.VerdictIdle:
		s.idleReads++
	case estimator.VerdictSteady:
		s.idleReads = 0
	case estimator.VerdictShifted:
		s.shiftSeenAt = now
	case estimator.VerdictFirst:
	}
}

// RecordKept records that the counts were used and that the map stays as it is.
func (s *Sampler) RecordKept() {
	s.switchedAt, s.uneven = time.Time{}, false
}

// RecordSwitch records that a switch of the map has ended, with or without success, and whether the load of the map in use
// is known to be uneven enough for another one.
func (s *Sampler) RecordSwitch(now time.Time, uneven bool) {
	s.switchedAt, s.uneven = now, uneven
}

// RecordOpened records that the group was reported to have opened, after which its ranks may have another epoch.
func (s *Sampler) RecordOpened() {
	s.readAt = time.Time{}
}

// RecordSlowed records that passes became slower at a time, and whether another gateway noticed that. It reports whether
// that is a new sign of a shift: while a sample of the new demand is due already, and for signs of other gateways also
// soon after the last one, it is not.
func (s *Sampler) RecordSlowed(now, at time.Time, byPeer bool) bool {
	if s.readAt.IsZero() || s.slowed || s.verdict == estimator.VerdictShifted || now.Sub(at) > maxSignAge {
		return false
	}
	if byPeer && at.Sub(s.shiftSeenAt) < signSpacing {
		return false
	}
	s.slowed, s.shiftSeenAt = true, now
	return true
}
