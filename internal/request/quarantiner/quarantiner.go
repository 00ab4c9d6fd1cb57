// Package quarantiner remembers which request digests took part in crashes of upstreams, so that a request that
// crashes every upstream that runs it is stopped. It has no clock and no I/O of its own, and is not safe for concurrent
// use.
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
	// refuseAfter is the number of crashes after which a digest is refused.
	refuseAfter = 2
	// maxCrashes bounds the crashes that are kept of a digest; more change no verdict.
	maxCrashes = 4
	// maxReported bounds the suspicions of one heartbeat to a few KB.
	maxReported = 64
	// echoTolerance separates a later crash from a report of the same crash that was delayed on its way. If a delay
	// counted as a later crash, suspicions that nodes report to each other would never expire.
	echoTolerance = 5 * time.Second
)

// Verdict tells how a request may run.
type Verdict int

// The verdicts.
const (
	// VerdictClear puts no condition on the request.
	VerdictClear Verdict = iota
	// VerdictAlone lets the digest run on at most one upstream at a time, and there with no other request beside it
	// where possible.
	VerdictAlone
	// VerdictRefuse refuses the request as not run.
	VerdictRefuse
)

// Config sets up a Quarantiner.
type Config struct {
	// Expiry is how long after its last crash a digest is suspected; 10 minutes by default.
	Expiry time.Duration
	// MaxDigests bounds the memory; 4096 by default. Beyond it the digest with the fewest crashes, and of these the one
	// with the oldest crash, is forgotten first.
	MaxDigests int
}

type record struct {
	digest identifier.Digest
	// crashes is sorted, without repetition and holds at most maxCrashes.
	crashes []identifier.Crash
	last    time.Time
}

func (r record) add(crashes []identifier.Crash) record {
	all := slices.Concat(r.crashes, crashes)
	slices.Sort(all)
	all = slices.Compact(all)
	r.crashes = all[:min(len(all), maxCrashes)]
	return r
}

// Quarantiner holds the suspected digests that one process knows.
type Quarantiner struct {
	expiry     time.Duration
	maxDigests int
	records    map[identifier.Digest]record
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
		records:    map[identifier.Digest]record{},
	}
}

// Crashed adds a crash of an upstream to each digest that was running on it.
func (q *Quarantiner) Crashed(now time.Time, crash identifier.Crash, running []identifier.Digest) {
	q.expire(now)
	for _, d := range running {
		if d == "" {
			continue
		}
		known := q.records[d].add([]identifier.Crash{crash})
		known.digest, known.last = d, now
		q.records[d] = known
	}
	q.bound()
}

// Merge adds the suspicions of another process. Crashes are joined, so that two upstreams that die at the same time
// count as two and a crash that several processes report counts once.
func (q *Quarantiner) Merge(now time.Time, suspicions []messenger.Suspicion) {
	q.expire(now)
	for _, s := range suspicions {
		heard := record{digest: s.Digest, crashes: s.Crashes, last: now.Add(-max(0, s.Age))}
		// A report that is about to expire here may have expired elsewhere, and must not bring the suspicion back.
		if s.Digest == "" || len(s.Crashes) == 0 || q.expired(now.Add(echoTolerance), heard) {
			continue
		}
		q.records[s.Digest] = merged(q.records[s.Digest], heard)
	}
	q.bound()
}

// Verdict tells how a request with this digest may run.
func (q *Quarantiner) Verdict(now time.Time, d identifier.Digest) Verdict {
	known, found := q.records[d]
	switch {
	case !found || q.expired(now, known):
		return VerdictClear
	case len(known.crashes) >= refuseAfter:
		return VerdictRefuse
	}
	return VerdictAlone
}

// Suspicions returns what other processes should know, the latest crash first and at most 64.
func (q *Quarantiner) Suspicions(now time.Time) []messenger.Suspicion {
	q.expire(now)
	records := q.sorted(func(a, b record) int {
		return cmp.Or(b.last.Compare(a.last), cmp.Compare(a.digest, b.digest))
	})
	records = records[:min(len(records), maxReported)]
	out := make([]messenger.Suspicion, 0, len(records))
	for _, r := range records {
		out = append(out, messenger.Suspicion{Digest: r.digest, Crashes: r.crashes, Age: max(0, now.Sub(r.last))})
	}
	return out
}

func merged(known, heard record) record {
	known = known.add(heard.crashes)
	if known.digest == "" || heard.last.Sub(known.last) > echoTolerance {
		known.last = heard.last
	}
	known.digest = heard.digest
	return known
}

func (q *Quarantiner) expired(now time.Time, r record) bool {
	return now.Sub(r.last) >= q.expiry
}

func (q *Quarantiner) expire(now time.Time) {
	for d, r := range q.records {
		if q.expired(now, r) {
			delete(q.records, d)
		}
	}
}

func (q *Quarantiner) bound() {
	excess := len(q.records) - q.maxDigests
	if excess <= 0 {
		return
	}
	records := q.sorted(func(a, b record) int {
		return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), a.last.Compare(b.last), cmp.Compare(a.digest, b.digest))
	})
	for _, r := range records[:excess] {
		delete(q.records, r.digest)
	}
}

func (q *Quarantiner) sorted(order func(a, b record) int) []record {
	records := make([]record, 0, len(q.records))
	for _, r := range q.records {
		records = append(records, r)
	}
	slices.SortFunc(records, order)
	return records
}
