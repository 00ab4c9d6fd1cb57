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

// RefuseAfter is the number of crashes after which a digest is refused.
const RefuseAfter = 2

const (
	defaultExpiry     = 10 * time.Minute
	defaultMaxDigests = 4096
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
	// Origin is the upstream whose crashes Crashed counts. Crashes of several upstreams add up, while reports of the
	// same crash merge by maximum.
	Origin identifier.Upstream
}

// count is the number of crashes of one upstream.
type count struct {
	crashes int
	last    time.Time
}

type record struct {
	digest  identifier.Digest
	origins map[identifier.Upstream]count
}

// crashes returns the number of crashes of all upstreams.
func (r record) crashes() int {
	sum := 0
	for _, c := range r.origins {
		sum += c.crashes
	}
	return sum
}

func (r record) last() time.Time {
	var last time.Time
	for _, c := range r.origins {
		if c.last.After(last) {
			last = c.last
		}
	}
	return last
}

// Quarantiner holds the suspected digests that one process knows.
type Quarantiner struct {
	origin     identifier.Upstream
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
		origin:     cfg.Origin,
		expiry:     cfg.Expiry,
		maxDigests: cfg.MaxDigests,
		records:    map[identifier.Digest]record{},
	}
}

// Crashed counts one crash of the upstream for each digest that was running on it.
func (q *Quarantiner) Crashed(now time.Time, running []identifier.Digest) {
	q.expire(now)
	distinct := slices.Clone(running)
	slices.Sort(distinct)
	for _, d := range slices.Compact(distinct) {
		if d == "" {
			continue
		}
		r := q.record(d)
		r.origins[q.origin] = count{crashes: r.origins[q.origin].crashes + 1, last: now}
	}
	q.bound()
}

// record returns the record of a digest and makes it if it is absent.
func (q *Quarantiner) record(d identifier.Digest) record {
	r, found := q.records[d]
	if !found {
		r = record{digest: d, origins: map[identifier.Upstream]count{}}
		q.records[d] = r
	}
	return r
}

// Merge adds the suspicions of another process, for each upstream by maximum.
func (q *Quarantiner) Merge(now time.Time, suspicions []messenger.Suspicion) {
	q.expire(now)
	for _, s := range suspicions {
		heard := count{crashes: s.Crashes, last: now.Add(-max(0, s.Age))}
		// A report that is about to expire here may have expired elsewhere, and must not bring the suspicion back.
		if s.Digest == "" || s.Crashes <= 0 || q.expired(now.Add(echoTolerance), heard.last) {
			continue
		}
		r := q.record(s.Digest)
		r.origins[s.Origin] = merged(r.origins[s.Origin], heard)
	}
	q.bound()
}

// Verdict tells how a request with this digest may run.
func (q *Quarantiner) Verdict(now time.Time, d identifier.Digest) Verdict {
	known, found := q.records[d]
	switch {
	case !found || q.expired(now, known.last()):
		return VerdictClear
	case known.crashes() >= RefuseAfter:
		return VerdictRefuse
	}
	return VerdictAlone
}

// Suspicions returns what other processes should know, the latest crash first and at most 64.
func (q *Quarantiner) Suspicions(now time.Time) []messenger.Suspicion {
	q.expire(now)
	out := []messenger.Suspicion{}
	for _, r := range q.records {
		for origin, c := range r.origins {
			out = append(out, messenger.Suspicion{
				Digest: r.digest, Origin: origin, Crashes: c.crashes, Age: max(0, now.Sub(c.last)),
			})
		}
	}
	slices.SortFunc(out, func(a, b messenger.Suspicion) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Origin, b.Origin))
	})
	return out[:min(len(out), maxReported)]
}

func merged(known, heard count) count {
	if heard.last.Sub(known.last) > echoTolerance {
		known.last = heard.last
	}
	known.crashes = max(known.crashes, heard.crashes)
	return known
}

func (q *Quarantiner) expired(now, last time.Time) bool {
	return now.Sub(last) >= q.expiry
}

// expire forgets digests after their last crash. Until then all crashes of a digest count.
func (q *Quarantiner) expire(now time.Time) {
	for d, r := range q.records {
		if q.expired(now, r.last()) {
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
		return cmp.Or(cmp.Compare(a.crashes(), b.crashes()), a.last().Compare(b.last()), cmp.Compare(a.digest, b.digest))
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
