// Package screener finds the requests, and the parts of prompts, that crash upstreams and keeps them from reaching others. It
// answers two loads. In one, a few requests in a hundred, all different, share a part on which each upstream crashes as it
// begins to respond or after some events, and each crash ends all other requests of the upstream or its group. In the other,
// one request that crashes each upstream is sent again and again.
//
// The ledger holds one kind of evidence: for each content, which is a request as a whole or one part of its prompt, the
// crashes in which it ran and when it was last shown to be sound. What each observation proves:
//
//   - A crash suspects each content that was running, and none of them more than another. What several crashes have in common
//     and no answer clears is to blame.
//   - A crash of an upstream that was about to send its first event counts twice: few requests are in this state, so one crash
//     distinguishes the request.
//   - A crash of a group counts from the second on, since a group also loses all of its requests for reasons of its own. So
//     does one in the middle of the response for a request as a whole.
//   - A complete answer proves each content of its request sound: its crashes up to then no longer count, and the first one
//     after it does not count either, since one crash may have another reason.
//   - A stream that has gone well past the event of a crash shows, before its end, that its contents did not cause that one.
//     Other crashes still count: a part may crash upstreams after more events.
//
// A content is isolated at a strength of one crash: requests with it go to one upstream that all gateways choose alike, one
// at a time at each gateway, until one of them has proved it sound. It is refused at two, unless other contents of the same
// crashes explain them, in which case only requests with all of these are refused. Gateways exchange what they know, so that
// each crash is learned from once.
//
// A crash refuses requests of its own customer. Those of other customers are isolated until requests of a second customer
// have crashed upstreams as well: a customer cannot have the requests of another one refused, and each further customer
// costs one crash at most.
//
// The package does no I/O and reads no clock: callers pass the current time.
package screener

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Prompt is what the screener knows of a request.
type Prompt struct {
	Customer identifier.Customer
	// Parts are the parts of the prompt that other requests may have too.
	Parts []identifier.PromptPart
	// Request identifies the request as a whole; one that is sent again has the same.
	Request identifier.PromptPart
	// contents are the hashes of the request and its parts.
	contents []identifier.ContentHash
}

// NewPrompt returns the Prompt of a customer's request.
func NewPrompt(customer identifier.Customer, request identifier.PromptPart, parts []identifier.PromptPart) Prompt {
	contents := make([]identifier.ContentHash, 0, 1+len(parts))
	contents = append(contents, HashRequest(request))
	for _, part := range parts {
		contents = append(contents, HashPart(part))
	}
	return Prompt{Customer: customer, Parts: parts, Request: request, contents: contents}
}

// Digest returns a hash of the whole request for logs; one that is sent again has the same.
func (p Prompt) Digest() string {
	return HashRequest(p.Request).String()
}

// HashPart returns the hash by which gateways know a part of a prompt.
func HashPart(part identifier.PromptPart) identifier.ContentHash {
	return identifier.ContentHash(xxhash.Sum64String(string(part)))
}

// HashRequest returns the hash by which gateways know a request as a whole.
func HashRequest(request identifier.PromptPart) identifier.ContentHash {
	return identifier.ContentHash(xxhash.Sum64String("request\x00" + string(request)))
}

// HashCustomer returns the hash by which gateways know a customer.
func HashCustomer(customer identifier.Customer) identifier.CustomerHash {
	// 0 stands for several customers.
	return identifier.CustomerHash(max(xxhash.Sum64String(string(customer)), 1))
}

// Crash is a request that was running on an upstream when the upstream crashed.
type Crash struct {
	Prompt Prompt
	// Site is the upstream or, for a rank, its group, and Grouped tells which.
	Site    identifier.CrashSite
	Grouped bool
	// SentAt is when the request was sent to the upstream.
	SentAt time.Time
	// Responding is set if the upstream had sent the head of a stream, and Events is the number of events that followed.
	Responding bool
	Events     int
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
	// Node is that of the gateway.
	Node identifier.Node
}

// Screener holds what a gateway knows of crashes. It is safe for concurrent use.
type Screener struct {
	mu     sync.Mutex
	ledger *ledger
	// trials holds the parts with an isolated request at this gateway.
	trials map[identifier.PromptPart]bool
	// runs holds the requests that have been sent and have not ended.
	runs map[*Run]bool
}

// New returns a Screener that knows of no crash.
func New(cfg Config) *Screener {
	return &Screener{
		ledger: newLedger(cfg.Node),
		trials: map[identifier.PromptPart]bool{},
		runs:   map[*Run]bool{},
	}
}

// RecordCrash records that an upstream crashed before it had answered a request. It reports whether a gateway that starts
// later has to know of it: the request or a part of its prompt is to blame, or has crashed upstreams more than once.
func (s *Screener) RecordCrash(now time.Time, c Crash) bool {
	s.mu.Lock()
	s.ledger.expire(now)
	lasting, suspected := s.ledger.addCrash(now, c)
	var refused []*Run
	if suspected {
		refused = s.takeRefused(now)
	}
	s.mu.Unlock()
	cancelAll(refused)
	return lasting
}

// RecordAnswer records that an upstream has answered a request completely. The request and all parts of its prompt are thus
// sound.
func (s *Screener) RecordAnswer(now time.Time, p Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.recordAnswer(now, p.contents)
}

// Verdict returns whether a request may be sent to an upstream.
func (s *Screener) Verdict(now time.Time, p Prompt) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ledger.contents) == 0 {
		return Clear{}
	}
	s.ledger.expire(now)
	return s.ledger.verdict(now, HashCustomer(p.Customer), p.contents)
}

// Begin records that a request is sent to an upstream. The screener calls cancel if the request becomes one that is refused:
// its part may have crashed an upstream of another group meanwhile.
func (s *Screener) Begin(p Prompt, cancel func()) *Run {
	r := &Run{screener: s, prompt: p, cancel: cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r] = true
	return r
}

// takeRefused returns the runs that are refused now and forgets them.
func (s *Screener) takeRefused(now time.Time) []*Run {
	var refused []*Run
	for r := range s.runs {
		if _, is := s.ledger.verdict(now, HashCustomer(r.prompt.Customer), r.prompt.contents).(Refused); is {
			refused = append(refused, r)
			delete(s.runs, r)
		}
	}
	return refused
}

func cancelAll(runs []*Run) {
	for _, r := range runs {
		r.cancel()
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
	s.mu.Lock()
	s.ledger.expire(now)
	added, suspected := s.ledger.merge(now, report)
	var refused []*Run
	if suspected {
		refused = s.takeRefused(now)
	}
	s.mu.Unlock()
	cancelAll(refused)
	return federator.CrashReport{Runs: added}
}

// News returns what this gateway has learned lately; each datagram holds it.
func (s *Screener) News(now time.Time) federator.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.news(now)
}

// Report returns the strongest evidence of what this gateway knows.
func (s *Screener) Report(now time.Time) federator.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.expire(now)
	return s.ledger.report()
}

// TakeChanges returns the changes of what is suspected since its last call, and how many more there were.
func (s *Screener) TakeChanges() (changes []Change, omitted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.takeChanges()
}

// Run is a request that has been sent to an upstream.
type Run struct {
	screener *Screener
	prompt   Prompt
	cancel   func()
	// next is the number of events at which the run proves one of its contents sound, by the version of the ledger.
	next    int
	version uint64
}

// RecordEvents records that the upstream has sent a number of events of its response.
func (r *Run) RecordEvents(now time.Time, events int) {
	s := r.screener
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	if len(l.contents) == 0 {
		return
	}
	if r.version != l.version {
		r.version, r.next = l.version, l.nextProof(r.prompt.contents)
	}
	if events < r.next {
		return
	}
	l.recordProgress(now, r.prompt.contents, events)
	r.next = l.nextProof(r.prompt.contents)
}

// End records that the run has ended.
func (r *Run) End() {
	r.screener.mu.Lock()
	defer r.screener.mu.Unlock()
	delete(r.screener.runs, r)
}
