// Package quarantiner keeps suspicions: for the digest of a request, the crashes of upstreams that were running it. From
// their number it decides whether the request may run, so that a request which crashes every upstream that runs it is
// quarantined. The package does no I/O and reads no clock, and its types are not safe for concurrent use.
package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	defaultExpiry     = 10 * time.Minute
	defaultMaxDigests = 4096
	// minCrashesToRefuse is the number of crashes from which a digest is refused.
	minCrashesToRefuse = 2
	// maxCrashes is the number of crashes that are kept of a digest; further ones change no verdict.
	maxCrashes = 4
	// maxReportedSuspicions limits the suspicions of one heartbeat to a few KB.
	maxReportedSuspicions = 64
	// maxReportDelay is the longest assumed delay of a report. A reported crash counts as a later one only if its time
	// exceeds the known time by more than this. Otherwise, suspicions that nodes report to each other would never expire,
	// since each delay would make them appear younger.
	maxReportDelay = 5 * time.Second
)

// Verdict is the condition on which a request may run.
type Verdict int

// The verdicts.
const (
	// VerdictClear lets the request run without a condition.
	VerdictClear Verdict = iota
	// VerdictAlone lets the digest run on at most one upstream at a time, with no other request beside it where possible.
	VerdictAlone
	// VerdictRefuse refuses the request as not run.
	VerdictRefuse
)

// Config sets up a Quarantiner.
type Config struct {
	// Expiry is the time from the last crash of a digest until its suspicion expires; 10 minutes by default.
	Expiry time.Duration
	// MaxDigests limits the number of suspicions; 4096 by default. Beyond it, suspicions with the fewest crashes are
	// removed first, and of these the ones with the oldest last crash.
	MaxDigests int
}

// suspicion holds the crashes of upstreams that were running a digest.
type suspicion struct {
	digest identifier.Digest
	// crashes is sorted, holds no duplicates and has at most maxCrashes elements.
	crashes   []identifier.Crash
	lastCrash time.Time
}

// add returns the suspicion with further crashes.
func (s suspicion) add(crashes []identifier.Crash) suspicion {
	all := slices.Concat(s.crashes, crashes)
	slices.Sort(all)
	all = slices.Compact(all)
	s.crashes = all[:min(len(all), maxCrashes)]
	return s
}

// Quarantiner holds the suspicions that one process knows.
type Quarantiner struct {
	expiry     time.Duration
	maxDigests int
	suspicions map[identifier.Digest]suspicion
}

// New returns a Quarantiner without suspicions.
func New(cfg Config) *Quarantiner {
	if cfg.Expiry <= 0 {
		cfg.Expiry = defaultExpiry
	}
	if cfg.MaxDigests <= 0 {
		cfg.MaxDigests = defaultMaxDigests
	}
	return &Quarantiner{
		expiry:     cfg.Expiry,
		maxDigests: cfg.MaxDigests,
		suspicions: map[identifier.Digest]suspicion{},
	}
}

// RecordCrash records a crash of an upstream for each digest that was running on it.
func (q *Quarantiner) RecordCrash(now time.Time, crash identifier.Crash, running []identifier.Digest) {
	q.dropExpired(now)
	for _, d := range running {
		if d == "" {
			continue
		}
		known := q.suspicions[d].add([]identifier.Crash{crash})
		known.digest, known.lastCrash = d, now
		q.suspicions[d] = known
	}
	q.enforceLimit()
}

// Merge adds the suspicions that another process reports. The crashes of a digest are merged by their ids, so that two
// upstreams that crash at the same time count as two crashes, and a crash that several processes report counts once.
func (q *Quarantiner) Merge(now time.Time, reports []messenger.Suspicion) {
	q.dropExpired(now)
	for _, r := range reports {
		reported := suspicion{digest: r.Digest, crashes: r.Crashes, lastCrash: now.Add(-max(0, r.Age))}
		// Other processes may already have dropped a suspicion that is about to expire; a report must not restore it.
		if r.Digest == "" || len(r.Crashes) == 0 || q.expired(now.Add(maxReportDelay), reported) {
			continue
		}
		q.suspicions[r.Digest] = mergeReport(q.suspicions[r.Digest], reported)
	}
	q.enforceLimit()
}

// Verdict returns the condition on which a request with this digest may run.
func (q *Quarantiner) Verdict(now time.Time, d identifier.Digest) Verdict {
	known, found := q.suspicions[d]
	switch {
	case !found || q.expired(now, known):
		return VerdictClear
	case len(known.crashes) >= minCrashesToRefuse:
		return VerdictRefuse
	}
	return VerdictAlone
}

// Suspicions returns the suspicions to report to other processes: at most 64, those with the latest crash first.
func (q *Quarantiner) Suspicions(now time.Time) []messenger.Suspicion {
	q.dropExpired(now)
	suspicions := q.sorted(func(a, b suspicion) int {
		return cmp.Or(b.lastCrash.Compare(a.lastCrash), cmp.Compare(a.digest, b.digest))
	})
	suspicions = suspicions[:min(len(suspicions), maxReportedSuspicions)]
	out := make([]messenger.Suspicion, 0, len(suspicions))
	for _, s := range suspicions {
		out = append(out, messenger.Suspicion{Digest: s.digest, Crashes: s.crashes, Age: max(0, now.Sub(s.lastCrash))})
	}
	return out
}

// mergeReport returns a known suspicion, or an empty one, with the crashes of a reported suspicion of the same digest.
func mergeReport(known, reported suspicion) suspicion {
	known = known.add(reported.crashes)
	if known.digest == "" || reported.lastCrash.Sub(known.lastCrash) > maxReportDelay {
		known.lastCrash = reported.lastCrash
	}
	known.digest = reported.digest
	return known
}

func (q *Quarantiner) expired(now time.Time, s suspicion) bool {
	return now.Sub(s.lastCrash) >= q.expiry
}

func (q *Quarantiner) dropExpired(now time.Time) {
	for d, s := range q.suspicions {
		if q.expired(now, s) {
			delete(q.suspicions, d)
		}
	}
}

// enforceLimit removes suspicions beyond MaxDigests.
func (q *Quarantiner) enforceLimit() {
	excess := len(q.suspicions) - q.maxDigests
	if excess <= 0 {
		return
	}
	suspicions := q.sorted(func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), a.lastCrash.Compare(b.lastCrash), cmp.Compare(a.digest, b.digest))
	})
	for _, s := range suspicions[:excess] {
		delete(q.suspicions, s.digest)
	}
}

// sorted returns all suspicions in the given order.
func (q *Quarantiner) sorted(order func(a, b suspicion) int) []suspicion {
	suspicions := make([]suspicion, 0, len(q.suspicions))
	for _, s := range q.suspicions {
		suspicions = append(suspicions, s)
	}
	slices.SortFunc(suspicions, order)
	return suspicions
}
