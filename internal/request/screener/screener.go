// Package screener finds the requests, and the parts of prompts, that crash upstreams and keeps them from reaching others. It
// answers two loads. In one, a few requests in a hundred, all different, share a part on which each upstream crashes as it
// begins to respond, and each crash stops the whole group of the upstream for seconds. In the other, one request that
// crashes each upstream before it responds is sent again and again.
//
// A request that an upstream was about to answer when it crashed is a suspicion. Its culprit is among the parts of its
// prompt that no upstream has answered since. A request with all of these parts is refused; one with some of them is
// isolated: it goes to one upstream that all gateways choose alike, one at a time at each gateway. When an isolated
// request is answered, its parts are no longer suspected. Gateways exchange suspicions and answered parts, so that each
// crash is learned from once.
//
// If the upstream had not begun to respond, each request on it may be to blame. The ledger counts these crashes.
//
// A customer's crashes refuse requests of other customers only once requests of two customers have crashed upstreams.
//
// The package does no I/O and reads no clock: callers pass the current time.
package screener

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// maxAnsweredParts bounds the parts whose last answer is remembered; one takes about 120 bytes.
	maxAnsweredParts = 8192
	// maxSuspicions bounds the suspicions, so that their report fits a datagram, and maxSuspicionsPerCustomer those of one
	// customer.
	maxSuspicions            = 32
	maxSuspicionsPerCustomer = 8
	// maxParts bounds the parts of one suspicion. Later parts of a prompt are in fewer requests, so the first ones are
	// left out.
	maxParts = 8
	// suspicionExpiry is how long a suspicion is kept.
	suspicionExpiry = 20 * time.Minute
	// maxReportDelay is the longest assumed delay of a report. A suspicion that expires within this time is not accepted
	// from others, or gateways would return it to each other for ever.
	maxReportDelay = 5 * time.Second
	// minRefusal is how long requests are refused after one crash. Each further crash multiplies it by refusalGrowth, up to
	// maxRefusal. After that time one request at a time shows whether the upstreams still crash.
	minRefusal    = time.Minute
	refusalGrowth = 4
	maxRefusal    = 10 * time.Minute
	// outageSpan is the time within which several crashes count as one. Upstreams of a group may crash for one reason that
	// is none of their requests, so only crashes in several outages count as repeated.
	outageSpan = 2 * time.Second
)

// Prompt is what the screener knows of a request.
type Prompt struct {
	Customer identifier.Customer
	// Parts are the parts of the prompt that other requests may have too.
	Parts []identifier.PromptPart
	// Request identifies the request as a whole; one that is sent again has the same.
	Request identifier.PromptPart
}

// Digest returns a hash of the whole request for logs; one that is sent again has the same.
func (p Prompt) Digest() string {
	return p.requestHash().String()
}

func (p Prompt) requestHash() identifier.ContentHash {
	return identifier.ContentHash(xxhash.Sum64String(string(p.Request)))
}

// contents returns the hashes of the request and of its last maxParts parts.
func (p Prompt) contents() []identifier.ContentHash {
	out := []identifier.ContentHash{p.requestHash()}
	for _, part := range p.Parts[max(0, len(p.Parts)-maxParts):] {
		out = append(out, identifier.ContentHash(xxhash.Sum64String(string(p.Customer)+"\x00"+string(part))))
	}
	return out
}

// Crash is a request that was running on an upstream when the upstream crashed.
type Crash struct {
	Prompt Prompt
	// Site is the upstream or, for a rank, its group, and Grouped tells which.
	Site    identifier.CrashSite
	Grouped bool
	// SentAt is when the request was sent to the upstream.
	SentAt time.Time
	// Responding is set if the upstream had begun its response.
	Responding bool
}

// Verdict is whether a request may be sent to an upstream: Clear, Isolated or Refused.
type Verdict interface{ verdict() }

// Clear lets the request run on any upstream.
type Clear struct{}

// Isolated lets the request run on the upstream that all gateways choose by Part, if no other request with the part is in
// a trial at this gateway.
type Isolated struct{ Part identifier.PromptPart }

// Refused keeps the request from all upstreams.
type Refused struct {
	// Until is when the refusal ends if upstreams no longer crash.
	Until time.Time
}

func (Clear) verdict()    {}
func (Isolated) verdict() {}
func (Refused) verdict()  {}

// Config sets up a Screener.
type Config struct {
	// Node and Incarnation are those of the gateway.
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

type suspicionID struct {
	node        identifier.Node
	incarnation identifier.Incarnation
	sequence    uint64
}

func idOf(s federator.Suspicion) suspicionID {
	return suspicionID{s.Node, s.Incarnation, s.Sequence}
}

// Screener holds the suspicions that a gateway knows. It is safe for concurrent use.
type Screener struct {
	cfg        Config
	mu         sync.Mutex
	sequence   uint64
	suspicions map[suspicionID]federator.Suspicion
	// seen holds when each part was last answered for this gateway, the newest maxAnsweredParts of them.
	seen *simplelru.LRU[identifier.PromptPart, time.Time]
	// answered holds when each part of a suspicion was last answered, for any gateway.
	answered map[identifier.PromptPart]time.Time
	// rules are derived from suspicions and answered; nil if they have changed.
	rules []rule
	// ledger holds the crashes before a response.
	ledger *ledger
	// trials holds the parts with an isolated request at this gateway.
	trials map[identifier.PromptPart]bool
	// watched holds the requests that have been sent and not answered.
	watched map[*watch]bool
}

// watch is a request that has been sent and not answered.
type watch struct {
	prompt Prompt
	cancel func()
}

// New returns a Screener without suspicions.
func New(cfg Config) *Screener {
	seen, err := simplelru.NewLRU[identifier.PromptPart, time.Time](maxAnsweredParts, nil)
	if err != nil {
		panic(errors.Wrap(err, "the size of the cache is not positive"))
	}
	return &Screener{
		cfg:        cfg,
		suspicions: map[suspicionID]federator.Suspicion{},
		seen:       seen,
		answered:   map[identifier.PromptPart]time.Time{},
		trials:     map[identifier.PromptPart]bool{},
		watched:    map[*watch]bool{},
		ledger:     newLedger(cfg.Node),
	}
}

// RecordCrash records that an upstream crashed before it had answered a request. It reports whether a gateway that starts
// later has to know of it: the request or a part of its prompt is to blame, or has crashed upstreams more than once.
func (s *Screener) RecordCrash(now time.Time, c Crash) bool {
	defer s.cancelRefused(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	p := c.Prompt
	if !c.Responding {
		for _, hash := range p.contents() {
			s.addRun(now, federator.CrashedRun{Content: hash, Site: c.Site, Grouped: c.Grouped, SentAt: c.SentAt, At: now})
		}
		return s.ledger.lasts(p.contents())
	}
	s.sequence++
	s.add(federator.Suspicion{
		Node: s.cfg.Node, Incarnation: s.cfg.Incarnation, Sequence: s.sequence, At: now, Site: c.Site, Customer: p.Customer,
		Parts: slices.Clone(p.Parts[max(0, len(p.Parts)-maxParts):]), Request: p.Request,
	})
	return true
}

// addRun adds a crashed run to the ledger. Of the requests on an upstream that crashed, those to which it had not begun to
// respond are not suspected if there is another one.
func (s *Screener) addRun(now time.Time, run federator.CrashedRun) {
	if !s.isExplained(run) {
		s.ledger.add(now, run)
	}
}

// isExplained reports whether the request that caused the crash of a run is known.
func (s *Screener) isExplained(run federator.CrashedRun) bool {
	for _, known := range s.suspicions {
		if isSameCrash(run, federator.CrashedRun{Site: known.Site, At: known.At}) {
			return true
		}
	}
	return false
}

// RecordAnswer records that an upstream has begun to answer a request: a stream has had an event, any other response is
// complete. The request and all parts of its prompt are thus sound.
func (s *Screener) RecordAnswer(now time.Time, p Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hash := range p.contents() {
		s.ledger.recordAnswer(now, hash)
	}
	for _, part := range p.Parts {
		s.seen.Add(part, now)
		s.markAnswered(part, now)
	}
	s.markAnswered(p.Request, now)
}

// markAnswered records that a part was answered if it is one of a suspicion.
func (s *Screener) markAnswered(part identifier.PromptPart, at time.Time) {
	if known, suspected := s.answered[part]; suspected && at.After(known) {
		s.answered[part] = at
		s.rules = nil
	}
}

// Verdict returns whether a request may be sent to an upstream.
func (s *Screener) Verdict(now time.Time, p Prompt) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdict(now, p)
}

func (s *Screener) verdict(now time.Time, p Prompt) Verdict {
	if len(s.suspicions) == 0 && len(s.ledger.contents) == 0 {
		return Clear{}
	}
	s.expire(now)
	if s.rules == nil {
		s.rules = s.deriveRules()
	}
	out := s.ledger.verdict(now, p.contents())
	if _, is := out.(Refused); is {
		return out
	}
	for _, r := range s.rules {
		switch v := r.verdict(now, p).(type) {
		case Refused:
			return v
		case Isolated:
			out = v
		case Clear:
		}
	}
	return out
}

// Watch calls cancel if the request, which has been sent, becomes one that is refused: the part in question may have
// crashed an upstream of another group meanwhile. It returns the function that ends the watch, which is called once the
// upstream has begun its answer.
func (s *Screener) Watch(p Prompt, cancel func()) (end func()) {
	w := &watch{prompt: p, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched[w] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watched, w)
	}
}

// cancelRefused cancels the watched requests that are refused now.
func (s *Screener) cancelRefused(now time.Time) {
	var refused []*watch
	s.mu.Lock()
	for w := range s.watched {
		if _, is := s.verdict(now, w.prompt).(Refused); is {
			refused = append(refused, w)
			delete(s.watched, w)
		}
	}
	s.mu.Unlock()
	for _, w := range refused {
		w.cancel()
	}
}

// BeginTrial reports whether an isolated request may be sent now. If it may, EndTrial has to follow.
func (s *Screener) BeginTrial(part identifier.PromptPart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trials[part] {
		return false
	}
	s.trials[part] = true
	return true
}

// EndTrial ends the trial of an isolated request.
func (s *Screener) EndTrial(part identifier.PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trials, part)
}

// Merge adds the report of another gateway and returns what in it is new here.
func (s *Screener) Merge(now time.Time, report federator.CrashReport) federator.CrashReport {
	added := s.merge(now, report)
	if !added.IsEmpty() {
		s.cancelRefused(now)
	}
	return added
}

func (s *Screener) merge(now time.Time, report federator.CrashReport) federator.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var added federator.CrashReport
	for _, reported := range report.Suspicions {
		if now.Sub(reported.At) > suspicionExpiry-maxReportDelay {
			continue
		}
		if known, found := s.suspicions[idOf(reported)]; found {
			// Delays make a crash appear later than it was.
			if reported.At.Before(known.At) {
				known.At = reported.At
				s.suspicions[idOf(known)] = known
				s.rules = nil
			}
			continue
		}
		reported.Parts = slices.Clone(reported.Parts[max(0, len(reported.Parts)-maxParts):])
		if s.add(reported) {
			added.Suspicions = append(added.Suspicions, reported)
		}
	}
	for part, at := range report.Answered {
		if !at.After(now) {
			s.markAnswered(part, at)
		}
	}
	report.Runs = slices.DeleteFunc(slices.Clone(report.Runs), s.isExplained)
	added.Runs = s.ledger.merge(now, report)
	return added
}

// News returns what this gateway has learned lately of crashes before a response; each datagram holds it.
func (s *Screener) News(now time.Time) federator.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var report federator.CrashReport
	s.ledger.report(now, &report, true)
	return report
}

// Report returns all that is to be sent to the other gateways.
func (s *Screener) Report(now time.Time) federator.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	report := federator.CrashReport{Answered: map[identifier.PromptPart]time.Time{}}
	s.ledger.report(now, &report, false)
	for _, known := range slices.SortedFunc(maps.Values(s.suspicions), compareSuspicions) {
		report.Suspicions = append(report.Suspicions, known)
		for _, part := range append(slices.Clone(known.Parts), known.Request) {
			if at := s.answered[part]; !at.IsZero() {
				report.Answered[part] = at
			}
		}
	}
	return report
}

func compareSuspicions(x, y federator.Suspicion) int {
	return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Node, y.Node), cmp.Compare(x.Sequence, y.Sequence))
}

// add adds a suspicion within the bounds and reports whether it was kept.
func (s *Screener) add(added federator.Suspicion) bool {
	s.ledger.dropCrash(added.Site, added.At)
	s.suspicions[idOf(added)] = added
	for _, part := range append(slices.Clone(added.Parts), added.Request) {
		if _, known := s.answered[part]; !known {
			at, _ := s.seen.Get(part)
			s.answered[part] = at
		}
	}
	s.enforceBounds(added.Customer)
	s.dropAnswered()
	s.rules = nil
	_, kept := s.suspicions[idOf(added)]
	return kept
}

// enforceBounds removes the oldest suspicion of a customer that has too many, or of any if there are too many in all. All
// gateways thus keep the same ones, and do not return to each other what they have removed.
func (s *Screener) enforceBounds(customer identifier.Customer) {
	ofCustomer := 0
	for _, known := range s.suspicions {
		if known.Customer == customer {
			ofCustomer++
		}
	}
	tooMany := ofCustomer > maxSuspicionsPerCustomer
	if !tooMany && len(s.suspicions) <= maxSuspicions {
		return
	}
	var oldest *federator.Suspicion
	for _, known := range slices.SortedFunc(maps.Values(s.suspicions), compareSuspicions) {
		if !tooMany || known.Customer == customer {
			oldest = &known
			break
		}
	}
	delete(s.suspicions, idOf(*oldest))
}

// expire removes old suspicions.
func (s *Screener) expire(now time.Time) {
	s.ledger.expire(now)
	before := len(s.suspicions)
	maps.DeleteFunc(s.suspicions, func(_ suspicionID, known federator.Suspicion) bool {
		return now.Sub(known.At) > suspicionExpiry
	})
	if len(s.suspicions) != before {
		s.rules = nil
		s.dropAnswered()
	}
}

// dropAnswered removes the answers of parts that are no longer suspected.
func (s *Screener) dropAnswered() {
	suspected := map[identifier.PromptPart]bool{}
	for _, known := range s.suspicions {
		suspected[known.Request] = true
		for _, part := range known.Parts {
			suspected[part] = true
		}
	}
	maps.DeleteFunc(s.answered, func(part identifier.PromptPart, _ time.Time) bool { return !suspected[part] })
}
