// Package screener finds the part of a prompt that crashes upstreams and keeps requests with it from reaching others. It
// answers one load: a few requests in a hundred, all different, share a part on which each upstream crashes as it begins
// to respond, and each crash stops the whole group of the upstream for seconds.
//
// A request that an upstream was about to answer when it crashed is a suspicion. Its culprit is among the parts of its
// prompt that no upstream has answered since. A request with all of these parts is refused; one with some of them is
// isolated: it goes to one upstream that all gateways choose alike, one at a time at each gateway. When an isolated
// request is answered, its parts are no longer suspected. Gateways exchange suspicions and answered parts, so that each
// crash is learned from once.
//
// A customer's crashes refuse requests of other customers only once requests of two customers have crashed upstreams.
//
// The package does no I/O and reads no clock: callers pass the current time.
package screener

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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
	// suspicionExpiry is how long a suspicion is kept, and uncertainExpiry one whose upstream had not begun to respond: most
	// of these come from crashes that no request caused.
	suspicionExpiry = 20 * time.Minute
	uncertainExpiry = 2 * time.Minute
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
	// An upstream that had not begun to respond may have crashed for another reason, so requests are isolated after
	// minUncertainToIsolate such crashes and refused after minUncertainToRefuse.
	minUncertainToIsolate = 2
	minUncertainToRefuse  = 3
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
	return strconv.FormatUint(xxhash.Sum64String(string(p.Request)), 16)
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
	}
}

// RecordCrash records that an upstream crashed before it had answered a request. responding tells whether it had begun
// its response.
func (s *Screener) RecordCrash(now time.Time, p Prompt, responding bool) {
	defer s.cancelRefused(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.sequence++
	s.add(federator.Suspicion{
		Node: s.cfg.Node, Incarnation: s.cfg.Incarnation, Sequence: s.sequence, At: now, Customer: p.Customer,
		Parts: slices.Clone(p.Parts[max(0, len(p.Parts)-maxParts):]), Request: p.Request, Responding: responding,
	})
}

// RecordAnswer records that an upstream has begun to answer a request: a stream has had an event, any other response is
// complete. The request and all parts of its prompt are thus sound.
func (s *Screener) RecordAnswer(now time.Time, p Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	if len(s.suspicions) == 0 {
		return Clear{}
	}
	s.expire(now)
	if s.rules == nil {
		s.rules = s.deriveRules()
	}
	var out Verdict = Clear{}
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

// Merge adds the report of another gateway and returns the suspicions in it that are new here.
func (s *Screener) Merge(now time.Time, report federator.CrashReport) []federator.Suspicion {
	added := s.merge(now, report)
	if len(added) > 0 {
		s.cancelRefused(now)
	}
	return added
}

func (s *Screener) merge(now time.Time, report federator.CrashReport) []federator.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var added []federator.Suspicion
	for _, reported := range report.Suspicions {
		if !reported.Responding || now.Sub(reported.At) > lifetime(reported)-maxReportDelay {
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
			added = append(added, reported)
		}
	}
	for part, at := range report.Answered {
		if !at.After(now) {
			s.markAnswered(part, at)
		}
	}
	return added
}

// Report returns what is to be sent to the other gateways. Suspicions that are uncertain stay here: a crash of several
// upstreams leaves dozens of them.
func (s *Screener) Report(now time.Time) federator.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspicions) == 0 {
		return federator.CrashReport{}
	}
	s.expire(now)
	report := federator.CrashReport{Answered: map[identifier.PromptPart]time.Time{}}
	for _, known := range slices.SortedFunc(maps.Values(s.suspicions), compareSuspicions) {
		if !known.Responding {
			continue
		}
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

// lifetime returns how long a suspicion is kept.
func lifetime(s federator.Suspicion) time.Duration {
	if s.Responding {
		return suspicionExpiry
	}
	return uncertainExpiry
}

// add adds a suspicion within the bounds and reports whether it was kept. Of the requests on an upstream that crashed,
// those to which it had not begun to respond are not suspected if there is another one.
func (s *Screener) add(added federator.Suspicion) bool {
	if !added.Responding && isNear(added.At, s.certainCrashes()) {
		return false
	}
	if added.Responding {
		maps.DeleteFunc(s.suspicions, func(_ suspicionID, known federator.Suspicion) bool {
			return !known.Responding && isNear(known.At, []time.Time{added.At})
		})
	}
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

// certainCrashes returns the times of crashes whose request is known.
func (s *Screener) certainCrashes() []time.Time {
	var out []time.Time
	for _, known := range s.suspicions {
		if known.Responding {
			out = append(out, known.At)
		}
	}
	return out
}

func isNear(at time.Time, times []time.Time) bool {
	return slices.ContainsFunc(times, func(t time.Time) bool { return at.Sub(t).Abs() < outageSpan })
}

// enforceBounds removes a suspicion of a customer that has too many, or of any if there are too many in all: the oldest
// uncertain one, or else the oldest. All gateways thus keep the same ones, and do not return to each other what they have
// removed.
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
		if (!tooMany || known.Customer == customer) && (oldest == nil || oldest.Responding && !known.Responding) {
			oldest = &known
		}
	}
	delete(s.suspicions, idOf(*oldest))
}

// expire removes old suspicions.
func (s *Screener) expire(now time.Time) {
	before := len(s.suspicions)
	maps.DeleteFunc(s.suspicions, func(_ suspicionID, known federator.Suspicion) bool {
		return now.Sub(known.At) > lifetime(known)
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
