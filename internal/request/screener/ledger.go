package screener

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// maxContents bounds the contents that a gateway knows; one takes up to 1 KB. A crash of a large group adds several for
	// each of its streams, and what they have in common with the next crash must still be known then.
	maxContents = 8192
	// maxCrashesPerContent bounds the crashes of one content.
	maxCrashesPerContent = 6
	// maxReportedItems bounds the runs and the times of answers in a report of what is known, and maxNewsItems those in the news
	// of one datagram. A run takes about 45 bytes, a time 15.
	maxReportedItems = 192
	maxNewsItems     = 256
	// maxReportedContents bounds the contents of a report, since each has one run at least.
	maxReportedContents = 64
	// maxAnswered bounds the parts, and the requests, whose last answer is remembered; one takes about 100 bytes.
	maxAnswered = 8192
	// maxNewAnswered bounds the parts of one answer that are remembered for the first time, so that prompts of many parts do
	// not displace all others. Those of a prompt that comes often are remembered after some answers.
	maxNewAnswered = 128
	// maxUnprovenParts and maxProvenParts bound the parts of one run that a crash suspects.
	maxUnprovenParts = 1024
	maxProvenParts   = 32
	// evidenceExpiry is how long a content is kept after its last crash, and loneCrashExpiry one that has crashed once: most
	// of these crashes were caused by no request.
	evidenceExpiry  = 20 * time.Minute
	loneCrashExpiry = 2 * time.Minute
	// expiryInterval is the time between two searches for expired contents.
	expiryInterval = time.Second
	// maxReportDelay is the longest assumed delay of a report. A run that expires within this time is not accepted from others,
	// or gateways would return it to each other for ever.
	maxReportDelay = 5 * time.Second
	// newsTime is how long what is new is in each datagram, since single datagrams are lost, and maxNewsTime how long it waits
	// for a datagram with room.
	newsTime    = time.Second
	maxNewsTime = 10 * time.Second
	// delayTolerance is added to the time of a crash before it is compared with the start of a run: reports shift both by the
	// delay of their datagrams.
	delayTolerance = 20 * time.Millisecond
	// outageSpan is the time within which crashes of one site count as one.
	outageSpan = 2 * time.Second
	// A stream refutes a crash once it has sent proofFactor times the events after which that ended a stream, and proofMargin
	// more: the last events before the crash may not have reached the gateway.
	proofFactor = 2
	proofMargin = 4
)

// ledger holds the crashes and the answers of contents.
//
// Crashes of different upstreams count separately, those of the ranks of one group within outageSpan once. Of the runs of an
// answered content that overlapped only one counts: a request that many clients send runs on all upstreams of a failure
// domain when that loses power.
type ledger struct {
	node     identifier.Node
	contents map[identifier.ContentHash]*content
	// answeredParts and answeredRequests hold when contents were last answered for this gateway, the newest of them.
	answeredParts    *simplelru.LRU[identifier.ContentHash, time.Time]
	answeredRequests *simplelru.LRU[identifier.ContentHash, time.Time]
	// version rises with each new crash of a content.
	version uint64
	// suspects are derived from the contents, unless outdated is set.
	suspects map[identifier.ContentHash]*suspect
	outdated bool
	// changes are those of the suspects that nobody has taken, and omitted counts those beyond maxChanges.
	changes  []Change
	omitted  int
	expireAt time.Time
}

func newLedger(node identifier.Node) *ledger {
	return &ledger{
		node: node, contents: map[identifier.ContentHash]*content{}, suspects: map[identifier.ContentHash]*suspect{},
		answeredParts: newAnswers(), answeredRequests: newAnswers(),
	}
}

func newAnswers() *simplelru.LRU[identifier.ContentHash, time.Time] {
	answers, err := simplelru.NewLRU[identifier.ContentHash, time.Time](maxAnswered, nil)
	if err != nil {
		panic(errors.Wrap(err, "the size of the cache is not positive"))
	}
	return answers
}

// addCrash adds a run that has ended with its upstream. It reports whether gateways that start later have to know of it, and
// whether one of its contents may be refused now.
func (l *ledger) addCrash(now time.Time, c Crash) (lasting, refusable bool) {
	run := federator.CrashedRun{
		Content: HashRequest(c.Prompt.Request), Whole: true, Customer: HashCustomer(c.Prompt.Customer), Site: c.Site, Grouped: c.Grouped,
		Responding: c.Responding, Events: c.Events, SentAt: c.SentAt, At: now,
	}
	hashes := []identifier.ContentHash{run.Content}
	l.add(now, run, "")
	run.Whole = false
	for _, part := range l.suspectedParts(c.Prompt.Parts) {
		run.Content = HashPart(part)
		hashes = append(hashes, run.Content)
		l.add(now, run, part)
	}
	for _, hash := range hashes {
		if known, found := l.contents[hash]; found {
			lasting = lasting || known.isLasting()
			refusable = refusable || known.strength() >= refusalStrength
		}
	}
	return lasting, refusable
}

// suspectedParts returns the parts of a prompt that a crash suspects: those that no answer has shown to be sound, and of the
// others those whose last answer is the oldest. Where a part is in the prompt does not matter.
func (l *ledger) suspectedParts(parts []identifier.PromptPart) []identifier.PromptPart {
	if len(parts) <= maxProvenParts {
		return parts
	}
	type proven struct {
		part identifier.PromptPart
		at   time.Time
	}
	var unproven []identifier.PromptPart
	var answered []proven
	for _, part := range parts {
		if at := l.lastAnswer(HashPart(part)); at.IsZero() {
			unproven = append(unproven, part)
		} else {
			answered = append(answered, proven{part, at})
		}
	}
	if len(unproven) > maxUnprovenParts {
		// Parts of earlier crashes come first, and then those of the lowest hashes, which all gateways choose alike.
		slices.SortFunc(unproven, func(x, y identifier.PromptPart) int {
			return cmp.Or(cmp.Compare(l.crashes(HashPart(y)), l.crashes(HashPart(x))), cmp.Compare(HashPart(x), HashPart(y)))
		})
		unproven = unproven[:maxUnprovenParts]
	}
	slices.SortFunc(answered, func(x, y proven) int { return x.at.Compare(y.at) })
	for _, p := range answered[:min(len(answered), maxProvenParts)] {
		unproven = append(unproven, p.part)
	}
	return unproven
}

// crashes returns the number of crashes of a content.
func (l *ledger) crashes(hash identifier.ContentHash) int {
	if known, found := l.contents[hash]; found {
		return len(known.crashes)
	}
	return 0
}

// lastAnswer returns when a part was last answered, or zero.
func (l *ledger) lastAnswer(hash identifier.ContentHash) time.Time {
	if known, found := l.contents[hash]; found && !known.answeredAt.IsZero() {
		return known.answeredAt
	}
	at, _ := l.answeredParts.Peek(hash)
	return at
}

// add adds a run of one content and reports whether its crash was new. The part is the one that the content is, if that is
// known.
func (l *ledger) add(now time.Time, run federator.CrashedRun, part identifier.PromptPart) bool {
	known, found := l.contents[run.Content]
	if !found {
		known = &content{hash: run.Content, whole: run.Whole}
		if run.Whole {
			known.answeredAt, _ = l.answeredRequests.Peek(run.Content)
		} else {
			known.answeredAt, _ = l.answeredParts.Peek(run.Content)
		}
	}
	isNew, changed := known.add(now, run)
	if !changed {
		return false
	}
	if part != "" && known.part == "" {
		// The part is cut out of a longer text.
		known.part = identifier.PromptPart(strings.Clone(string(part)))
	}
	l.contents[run.Content] = known
	l.version++
	l.outdated = true
	l.enforceBound()
	return isNew && l.contents[run.Content] != nil
}

// recordAnswer records that a request with some contents, the first of which is the request as a whole, was answered.
func (l *ledger) recordAnswer(now time.Time, hashes []identifier.ContentHash) {
	added := 0
	for i, hash := range hashes {
		l.markAnswered(now, hash, now)
		if i == 0 {
			l.answeredRequests.Add(hash, now)
			continue
		}
		if !l.answeredParts.Contains(hash) {
			if added++; added > maxNewAnswered {
				continue
			}
		}
		l.answeredParts.Add(hash, now)
	}
}

// recordProgress records that a stream with some contents has sent a number of events.
func (l *ledger) recordProgress(now time.Time, hashes []identifier.ContentHash, events int) {
	for _, hash := range hashes {
		if known, found := l.contents[hash]; found && known.refute(now, events) {
			l.outdated = true
		}
	}
}

// nextProof returns the least number of events at which a stream refutes a crash of one of its contents.
func (l *ledger) nextProof(hashes []identifier.ContentHash) int {
	next := math.MaxInt
	for _, hash := range hashes {
		if known, found := l.contents[hash]; found {
			for _, run := range known.live() {
				next = min(next, refutedAt(run))
			}
		}
	}
	return next
}

// markAnswered records when a content was answered, if it is known.
func (l *ledger) markAnswered(now time.Time, hash identifier.ContentHash, at time.Time) {
	known, found := l.contents[hash]
	if !found || !at.After(known.answeredAt) {
		return
	}
	before := known.strength()
	known.answeredAt = at
	if known.strength() != before {
		known.change(now)
		l.outdated = true
	}
}

// merge adds what another gateway has reported. It returns the runs that are new here, and whether one of the contents may be
// refused now.
func (l *ledger) merge(now time.Time, report federator.CrashReport) (added []federator.CrashedRun, refusable bool) {
	for _, run := range report.Runs {
		if now.Sub(run.At) <= evidenceExpiry-maxReportDelay && l.add(now, run, "") {
			added = append(added, run)
		}
	}
	for hash, at := range report.Answered {
		if !at.After(now) {
			l.markAnswered(now, hash, at)
		}
	}
	added = slices.DeleteFunc(added, func(run federator.CrashedRun) bool { return l.contents[run.Content] == nil })
	for _, run := range added {
		refusable = refusable || l.contents[run.Content].strength() >= refusalStrength
	}
	return added, refusable
}

// report returns what is known of the contents with the strongest evidence.
func (l *ledger) report() federator.CrashReport {
	all := rank(maps.Values(l.contents))
	slices.SortFunc(all, ranked.compare)
	report, _ := reportOf(all[:min(len(all), maxReportedContents)], maxReportedItems)
	return report
}

// news returns what has changed lately: first what has been in the fewest reports.
func (l *ledger) news(now time.Time) federator.CrashReport {
	changed := rank(func(yield func(*content) bool) {
		for _, known := range l.contents {
			age := now.Sub(known.changedAt)
			if (age <= newsTime || known.sent == 0 && age <= maxNewsTime) && !yield(known) {
				return
			}
		}
	})
	slices.SortFunc(changed, func(x, y ranked) int { return cmp.Or(cmp.Compare(x.sent, y.sent), x.compare(y)) })
	report, reported := reportOf(changed, maxNewsItems)
	for _, r := range changed[:reported] {
		r.sent++
	}
	return report
}

// reportOf returns a report of the first contents that have a number of items at most, and how many contents these are.
func reportOf(contents []ranked, maxItems int) (r federator.CrashReport, reported int) {
	r.Answered = map[identifier.ContentHash]time.Time{}
	for i, known := range contents {
		runs := known.unanswered()
		if len(r.Runs)+len(r.Answered)+len(runs)+1 > maxItems {
			return r, i
		}
		r.Runs = append(r.Runs, runs...)
		if !known.answeredAt.IsZero() {
			r.Answered[known.hash] = known.answeredAt
		}
	}
	return r, len(contents)
}

func compareWhole(x, y *content) int {
	switch {
	case x.whole == y.whole:
		return 0
	case y.whole:
		return -1
	}
	return 1
}

// expire removes contents whose last crash is long ago.
func (l *ledger) expire(now time.Time) {
	if now.Before(l.expireAt) {
		return
	}
	l.expireAt = now.Add(expiryInterval)
	before := len(l.contents)
	maps.DeleteFunc(l.contents, func(_ identifier.ContentHash, known *content) bool {
		expiry := loneCrashExpiry
		if known.isLasting() {
			expiry = evidenceExpiry
		}
		return now.Sub(known.lastCrash()) > expiry
	})
	l.outdated = l.outdated || len(l.contents) != before
}

// enforceBound removes an eighth of the contents if there are more than maxContents: those with the weakest evidence, and of
// these the ones of the customers that have the most, the oldest first. All gateways thus keep the same ones, and none of
// the customers displaces what is known of another.
func (l *ledger) enforceBound() {
	if len(l.contents) <= maxContents {
		return
	}
	all := rank(maps.Values(l.contents))
	perCustomer := map[identifier.CustomerHash]int{}
	for _, r := range all {
		perCustomer[r.customer()]++
	}
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.strength, y.strength), cmp.Compare(x.outages, y.outages),
			cmp.Compare(perCustomer[y.customer()], perCustomer[x.customer()]), -compareWhole(x.content, y.content),
			x.lastCrash().Compare(y.lastCrash()), cmp.Compare(x.hash, y.hash))
	})
	for _, r := range all[:len(all)-maxContents+maxContents/8] {
		delete(l.contents, r.hash)
	}
}

// ranked is a content with the measures of its evidence, which a sort compares often.
type ranked struct {
	*content
	strength, outages int
}

// compare orders contents by their evidence, the strongest first. Parts precede requests as a whole, which are seldom sent
// again.
func (x ranked) compare(y ranked) int {
	return cmp.Or(cmp.Compare(y.strength, x.strength), cmp.Compare(y.outages, x.outages), compareWhole(x.content, y.content),
		y.lastCrash().Compare(x.lastCrash()), cmp.Compare(x.hash, y.hash))
}

// rank returns contents with their measures.
func rank(contents iter.Seq[*content]) []ranked {
	var out []ranked
	for known := range contents {
		live := known.live()
		out = append(out, ranked{known, known.strengthOf(live), known.outagesOf(live)})
	}
	return out
}

// content is what is known of one content.
type content struct {
	hash  identifier.ContentHash
	whole bool
	// part is the part of a prompt that the content is, if this gateway has seen it.
	part identifier.PromptPart
	// crashes is sorted by time.
	crashes []federator.CrashedRun
	// answeredAt is when the content was last shown to be sound, for any gateway.
	answeredAt time.Time
	// changedAt is when this gateway last learned something new of the content, and sent the number of reports since then.
	changedAt time.Time
	sent      int
}

// add adds a run. It reports whether its crash was new, and whether anything has changed but the time of a known crash. Another
// run in a known crash makes that appear earlier at most, since delays make crashes appear later than they were.
func (c *content) add(now time.Time, run federator.CrashedRun) (isNew, changed bool) {
	if i := slices.IndexFunc(c.crashes, func(known federator.CrashedRun) bool { return isSameCrash(known, run) }); i >= 0 {
		changed = merge(&c.crashes[i], run)
		if changed {
			c.change(now)
		}
		return false, changed
	}
	if !run.At.After(c.answeredAt) {
		return false, false
	}
	i := len(c.crashes)
	for i > 0 && run.At.Before(c.crashes[i-1].At) {
		i--
	}
	if c.crashes = slices.Insert(c.crashes, i, run); len(c.crashes) > maxCrashesPerContent {
		c.crashes = c.crashes[1:]
		if i == 0 {
			return false, false
		}
	}
	c.change(now)
	return true, true
}

// merge adds another run of the same content in the same crash and reports whether it changes more than times.
func merge(known *federator.CrashedRun, run federator.CrashedRun) bool {
	before := *known
	if run.At.Before(known.At) {
		known.At = run.At
	}
	if run.SentAt.Before(known.SentAt) {
		known.SentAt = run.SentAt
	}
	known.Responding = known.Responding || run.Responding
	if run.Events > known.Events {
		known.Events, known.Refuted = run.Events, false
	}
	known.Refuted = known.Refuted || run.Refuted && run.Events == known.Events
	if known.Customer != run.Customer {
		known.Customer = 0
	}
	before.At, before.SentAt = known.At, known.SentAt
	return *known != before
}

func (c *content) change(now time.Time) {
	c.changedAt, c.sent = now, 0
}

// unanswered returns the crashes since the content was last answered.
func (c *content) unanswered() []federator.CrashedRun {
	for i, run := range c.crashes {
		if run.At.After(c.answeredAt) {
			return c.crashes[i:]
		}
	}
	return nil
}

// live returns those of the crashes since the last answer that no stream has refuted.
func (c *content) live() []federator.CrashedRun {
	runs := c.unanswered()
	if !slices.ContainsFunc(runs, func(run federator.CrashedRun) bool { return run.Refuted }) {
		return runs
	}
	return slices.DeleteFunc(slices.Clone(runs), func(run federator.CrashedRun) bool { return run.Refuted })
}

// refute refutes the crashes that a stream with the content has gone well past, and reports whether there was one.
func (c *content) refute(now time.Time, events int) bool {
	found := false
	for i := range c.crashes {
		run := &c.crashes[i]
		if !run.Refuted && run.At.After(c.answeredAt) && events >= refutedAt(*run) {
			run.Refuted, found = true, true
		}
	}
	if found {
		c.change(now)
	}
	return found
}

// refutedAt returns the number of events by which another stream with the same content refutes a crash.
func refutedAt(run federator.CrashedRun) int {
	return proofFactor*run.Events + proofMargin
}

// counted yields those of the live crashes that count separately, with their numbers.
func (c *content) counted(live []federator.CrashedRun) iter.Seq2[int, federator.CrashedRun] {
	return func(yield func(int, federator.CrashedRun) bool) {
		n := 0
		var last time.Time
		for _, run := range live {
			if !c.answeredAt.IsZero() && n > 0 && !run.SentAt.IsZero() && run.SentAt.Before(last.Add(-delayTolerance)) {
				continue
			}
			if !yield(n, run) {
				return
			}
			n, last = n+1, run.At
		}
	}
}

// outages returns the number of crashes since the last answer that count separately.
func (c *content) outages() int {
	return c.outagesOf(c.live())
}

// outagesOf returns the number of those of the live crashes that count separately.
func (c *content) outagesOf(live []federator.CrashedRun) int {
	outages := 0
	for range c.counted(live) {
		outages++
	}
	return outages
}

// strength returns how strongly the content is suspected by itself.
func (c *content) strength() int {
	return c.strengthOf(c.live())
}

// strengthOf returns the strength of some of the live crashes. The first one after an answer does not count, and of the others
// not the least one if a group, or a request as a whole in the middle of its response, has crashed.
func (c *content) strengthOf(live []federator.CrashedRun) int {
	strength, least := 0, 0
	for i, run := range c.counted(live) {
		if i == 0 && !c.answeredAt.IsZero() {
			continue
		}
		weight, discount := 1, 0
		if run.IsBeginning() {
			weight = beginningWeight
		} else if run.Grouped || c.whole && run.Events > 0 {
			discount = weight
		}
		strength += weight
		least = max(least, discount)
	}
	return strength - least
}

// blames reports whether a customer's requests with the content crashed upstreams, or those of several customers did, in
// several crashes.
func (c *content) blames(customer identifier.CustomerHash) bool {
	if c.whole {
		return true
	}
	live := c.live()
	several := false
	for _, run := range live {
		if run.Customer == customer {
			return true
		}
		several = several || run.Customer == 0 || run.Customer != live[0].Customer
	}
	return several && c.outages() > 1
}

// customer returns the customer of the last crash, or 0 if there are several.
func (c *content) customer() identifier.CustomerHash {
	return c.crashes[len(c.crashes)-1].Customer
}

// isLasting reports whether the content is suspected strongly enough to be kept and stored for long.
func (c *content) isLasting() bool {
	return c.outages() > 1 || c.strength() >= refusalStrength
}

func (c *content) lastCrash() time.Time {
	return c.crashes[len(c.crashes)-1].At
}

// isSameCrash reports whether two runs ended by the same crash of an upstream or group.
func isSameCrash(x, y federator.CrashedRun) bool {
	return x.Site == y.Site && x.At.Sub(y.At).Abs() < outageSpan
}
