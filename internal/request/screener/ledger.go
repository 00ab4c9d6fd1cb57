package screener

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// maxContents and maxCrashesPerContent bound the crashed runs, so that a report of all of them fits a datagram.
	maxContents          = 64
	maxCrashesPerContent = 6
	// maxAnsweredContents bounds the contents whose last answer is remembered; one takes about 100 bytes.
	maxAnsweredContents = 8192
	// loneCrashExpiry is how long a content is kept that has crashed once: most of these crashes were caused by no request.
	loneCrashExpiry = 2 * time.Minute
	// newsTime is how long what is new is in each report, since single datagrams are lost.
	newsTime = time.Second
	// delayTolerance is added to the time of a crash before it is compared with the start of a run: reports shift both by the
	// delay of their datagrams.
	delayTolerance = 20 * time.Millisecond
	// A content is isolated at isolationStrength. It is refused at ambiguousStrength, or already at refusalStrength if no other
	// content explains its crashes as well.
	isolationStrength = 1
	refusalStrength   = 2
	ambiguousStrength = 3
	// spreadDivisor sets the part of a refusal by which its end is delayed at each gateway, so that the clients of all
	// gateways, which return when it ends, do not send a request that still crashes upstreams at the same time.
	spreadDivisor = 8
)

// ledger holds the runs that ended with their upstreams before these had begun a response: for each request as a whole,
// and each part of a prompt, the crashes since it was last answered. It answers one load: a request that ends each upstream
// of a plain service comes again and again, at any gateway, beside sound requests.
//
// Crashes of different upstreams count separately, those of the ranks of one group within outageSpan once. A content that
// had been answered before needs one crash more than a new one, and of its runs that overlapped only one counts: a request
// that many clients send runs on all upstreams of a failure domain when that loses power.
type ledger struct {
	node     identifier.Node
	contents map[identifier.ContentHash]*content
	// answered holds when each content was last answered for this gateway, the newest maxAnsweredContents of them.
	answered *simplelru.LRU[identifier.ContentHash, time.Time]
}

// content is what is known of one content.
type content struct {
	hash identifier.ContentHash
	// crashes is sorted by time.
	crashes []federator.CrashedRun
	// answeredAt is when the content was last answered, for any gateway.
	answeredAt time.Time
	// changedAt is when this gateway last learned something new of the content.
	changedAt time.Time
}

func newLedger(node identifier.Node) *ledger {
	answered, err := simplelru.NewLRU[identifier.ContentHash, time.Time](maxAnsweredContents, nil)
	if err != nil {
		panic(errors.Wrap(err, "the size of the cache is not positive"))
	}
	return &ledger{node: node, contents: map[identifier.ContentHash]*content{}, answered: answered}
}

// add adds a crashed run and reports whether it was new.
func (l *ledger) add(now time.Time, run federator.CrashedRun) bool {
	known, found := l.contents[run.Content]
	if !found {
		at, _ := l.answered.Get(run.Content)
		known = &content{hash: run.Content, answeredAt: at}
	}
	if !known.add(now, run) {
		return false
	}
	l.contents[run.Content] = known
	l.enforceBound()
	return l.contents[run.Content] != nil
}

// recordAnswer records that an upstream has answered a content, and reports whether that ends a suspicion.
func (l *ledger) recordAnswer(now time.Time, hash identifier.ContentHash) bool {
	l.answered.Add(hash, now)
	return l.markAnswered(now, hash, now)
}

// markAnswered records when a content was answered if it has crashed upstreams, and reports whether that ends a suspicion.
func (l *ledger) markAnswered(now time.Time, hash identifier.ContentHash, at time.Time) bool {
	known, found := l.contents[hash]
	if !found || !at.After(known.answeredAt) {
		return false
	}
	wasSuspected := known.strength() >= isolationStrength
	known.answeredAt = at
	if !wasSuspected || known.strength() >= isolationStrength {
		return false
	}
	known.changedAt = now
	return true
}

// verdict returns whether a request with some contents may run.
func (l *ledger) verdict(now time.Time, hashes []identifier.ContentHash) Verdict {
	var out Verdict = Clear{}
	for _, hash := range hashes {
		known, found := l.contents[hash]
		if !found {
			continue
		}
		strength := known.strength()
		if strength < isolationStrength {
			continue
		}
		if until := l.refusedUntil(known, strength); now.Before(until) && l.refuses(known, strength) {
			return Refused{Until: until}
		}
		out = Isolated{Part: identifier.PromptPart(hash.String())}
	}
	return out
}

// refuses reports whether a content is refused at its strength.
func (l *ledger) refuses(known *content, strength int) bool {
	if strength >= ambiguousStrength {
		return true
	}
	return strength >= refusalStrength && slices.ContainsFunc(known.live(), func(run federator.CrashedRun) bool {
		return !l.explains(run, known, strength)
	})
}

// refusedUntil returns when the refusal of a content ends at this gateway.
func (l *ledger) refusedUntil(known *content, strength int) time.Time {
	refusal := minRefusal
	for range strength - refusalStrength {
		refusal = min(refusal*refusalGrowth, maxRefusal)
	}
	spread := uint64(refusal / spreadDivisor)
	delay := xxhash.Sum64String(string(l.node)+"/"+known.hash.String()) % spread
	return known.lastCrash().Add(refusal + time.Duration(delay))
}

// explains reports whether another content was in a crash and has at least a given strength.
func (l *ledger) explains(crash federator.CrashedRun, except *content, strength int) bool {
	for _, other := range l.contents {
		if other == except || !slices.ContainsFunc(other.live(), func(run federator.CrashedRun) bool { return isSameCrash(run, crash) }) {
			continue
		}
		if other.strength() >= strength {
			return true
		}
	}
	return false
}

// lasts reports whether a gateway that starts later has to know one of some contents.
func (l *ledger) lasts(hashes []identifier.ContentHash) bool {
	return slices.ContainsFunc(hashes, func(hash identifier.ContentHash) bool {
		known, found := l.contents[hash]
		return found && known.isRepeated()
	})
}

// merge adds what another gateway has reported and returns the runs that are new here.
func (l *ledger) merge(now time.Time, report federator.CrashReport) []federator.CrashedRun {
	var added []federator.CrashedRun
	for _, run := range report.Runs {
		if now.Sub(run.At) <= suspicionExpiry-maxReportDelay && l.add(now, run) {
			added = append(added, run)
		}
	}
	for hash, at := range report.AnsweredContents {
		if !at.After(now) {
			l.markAnswered(now, hash, at)
		}
	}
	l.expire(now)
	return slices.DeleteFunc(added, func(run federator.CrashedRun) bool { return l.contents[run.Content] == nil })
}

// report adds to a report what the ledger holds: everything, or only what is new.
func (l *ledger) report(now time.Time, r *federator.CrashReport, onlyNew bool) {
	r.AnsweredContents = map[identifier.ContentHash]time.Time{}
	for _, hash := range slices.Sorted(maps.Keys(l.contents)) {
		known := l.contents[hash]
		if onlyNew && now.Sub(known.changedAt) > newsTime {
			continue
		}
		r.Runs = append(r.Runs, known.live()...)
		if !known.answeredAt.IsZero() {
			r.AnsweredContents[hash] = known.answeredAt
		}
	}
}

// dropCrash removes the runs of a crash whose request is known otherwise.
func (l *ledger) dropCrash(site identifier.CrashSite, at time.Time) {
	crash := federator.CrashedRun{Site: site, At: at}
	for _, known := range l.contents {
		known.crashes = slices.DeleteFunc(known.crashes, func(run federator.CrashedRun) bool { return isSameCrash(run, crash) })
	}
	maps.DeleteFunc(l.contents, func(_ identifier.ContentHash, known *content) bool { return len(known.crashes) == 0 })
}

// expire removes contents whose last crash is long ago.
func (l *ledger) expire(now time.Time) {
	maps.DeleteFunc(l.contents, func(_ identifier.ContentHash, known *content) bool {
		expiry := loneCrashExpiry
		if known.isRepeated() {
			expiry = suspicionExpiry
		}
		return now.Sub(known.lastCrash()) > expiry
	})
}

// enforceBound removes the contents beyond maxContents: those with the fewest crashes, and of these the ones whose last
// crash is the oldest. All gateways thus keep the same ones.
func (l *ledger) enforceBound() {
	if len(l.contents) <= maxContents {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Values(l.contents)), func(x, y *content) int {
		return cmp.Or(cmp.Compare(x.outages(), y.outages()), x.lastCrash().Compare(y.lastCrash()), cmp.Compare(x.hash, y.hash))
	})
	delete(l.contents, least.hash)
}

// add adds a crashed run and reports whether it was new. Another run in a crash that is known makes it appear earlier at
// most, since delays make crashes appear later than they were.
func (c *content) add(now time.Time, run federator.CrashedRun) bool {
	if i := slices.IndexFunc(c.crashes, func(known federator.CrashedRun) bool { return isSameCrash(known, run) }); i >= 0 {
		known := &c.crashes[i]
		if run.At.Before(known.At) {
			known.At = run.At
		}
		if run.SentAt.Before(known.SentAt) {
			known.SentAt = run.SentAt
		}
		return false
	}
	if !run.At.After(c.answeredAt) {
		return false
	}
	c.crashes = append(c.crashes, run)
	slices.SortFunc(c.crashes, func(x, y federator.CrashedRun) int { return x.At.Compare(y.At) })
	c.crashes = c.crashes[max(0, len(c.crashes)-maxCrashesPerContent):]
	if !slices.Contains(c.crashes, run) {
		return false
	}
	c.changedAt = now
	return true
}

// live returns the crashes since the content was last answered.
func (c *content) live() []federator.CrashedRun {
	for i, run := range c.crashes {
		if run.At.After(c.answeredAt) {
			return c.crashes[i:]
		}
	}
	return nil
}

// outages returns the number of crashes since the last answer that count separately.
func (c *content) outages() int {
	n := 0
	var last federator.CrashedRun
	for _, run := range c.live() {
		if n > 0 && !c.answeredAt.IsZero() && run.SentAt.Before(last.At.Add(-delayTolerance)) {
			continue
		}
		n++
		last = run
	}
	return n
}

// strength returns how strongly the content is suspected.
func (c *content) strength() int {
	isWeak := !c.answeredAt.IsZero() || slices.ContainsFunc(c.live(), func(run federator.CrashedRun) bool { return run.Grouped })
	if isWeak {
		return c.outages() - 1
	}
	return c.outages()
}

func (c *content) isRepeated() bool {
	return c.outages() > 1
}

func (c *content) lastCrash() time.Time {
	return c.crashes[len(c.crashes)-1].At
}

// isSameCrash reports whether two runs ended by the same crash of an upstream or group.
func isSameCrash(x, y federator.CrashedRun) bool {
	return x.Site == y.Site && x.At.Sub(y.At).Abs() < outageSpan
}
