package admitter

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/request/workmeter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// sizeMemory is the number of latest granted requests that determine the mean size.
	sizeMemory = 200
	// contextUnit is the number of tokens for which engines state the time of a step.
	contextUnit = 1000
	// sizeTolerance is the relative difference of two estimated times below which they count as equal: estimates of equal
	// requests change as responses correct them.
	sizeTolerance = 0.1
	// maxContextRatio bounds a prompt or a context in the mean size as a multiple of the mean, so that a client that states
	// any size hardly changes how requests of others are rated. Contexts of 20,000 tokens have 7.4 times the mean if a tenth
	// of the requests has them.
	maxContextRatio = 8
	// maxRelativeSize bounds the time of a request as a multiple of the mean, and its inverse that of a short one, so that a
	// client that states any size cannot make others appear to wait in vain. The longest responses have 2.5 times the mean.
	maxRelativeSize = 4
)

// requestSizes describes the requests of a service, in tokens.
type requestSizes struct {
	requests float64
	// prompt and context are the means of the prompts and of the largest contexts, and deviation is the mean distance of
	// prompts from their mean.
	prompt    float64
	context   float64
	deviation float64
}

// record includes a request. If all requests have the same size, the means are exactly that, and the deviation is 0.
func (m *requestSizes) record(w workmeter.Work) {
	prompt, context := float64(w.Prompt), float64(w.Tokens())
	m.requests = min(m.requests+1, sizeMemory)
	if m.requests > 1 {
		prompt, context = min(prompt, maxContextRatio*m.prompt), min(context, maxContextRatio*m.context)
		m.deviation += (math.Abs(prompt-m.prompt) - m.deviation) / m.requests
	}
	m.prompt += (prompt - m.prompt) / m.requests
	m.context += (context - m.context) / m.requests
}

// variety returns the mean distance of prompts from their mean as a part of it, from 0, if all have the same size, to 1.
func (m *requestSizes) variety() float64 {
	if m.prompt == 0 {
		return 0
	}
	return min(1, m.deviation/m.prompt)
}

// tokenCounts are the tokens of those requests at a rank whose size is known. The others count as mean ones.
type tokenCounts struct {
	requests int
	// prompt are those of the prompts, and unread those of them of which no event has shown that they are read.
	prompt int
	unread int
	// context are those of the largest contexts.
	context int
}

func (c *tokenCounts) add(other tokenCounts) {
	c.requests += other.requests
	c.prompt += other.prompt
	c.unread += other.unread
	c.context += other.context
}

func (c *tokenCounts) subtract(other tokenCounts) {
	c.requests -= other.requests
	c.prompt -= other.prompt
	c.unread -= other.unread
	c.context -= other.context
}

// countTokens returns the tokens of a request that is granted, which it includes in the sizes of the service.
func (s *service) countTokens(r Request) tokenCounts {
	if s.Engine == nil || !r.Work.Known() {
		return tokenCounts{}
	}
	s.sizes.record(r.Work)
	c := tokenCounts{requests: 1, prompt: r.Work.Prompt, context: r.Work.Tokens()}
	if r.Stream {
		c.unread = c.prompt
	}
	return c
}

// load returns the own part of a rank in the next pass, in requests that generate with a mean context. A pass lasts as long
// as that of the slowest rank. Prompts that are to be read count as much as sizes differ: among requests of the same size,
// the number of requests alone decides. The requests of other gateways count as mean ones; prompts are read before reports
// of them arrive.
func (s *service) load(u *upstream) float64 {
	running := float64(u.running + u.peerRunning)
	if s.Engine == nil || u.tokens.requests == 0 {
		return running
	}
	e := s.Engine
	perToken := perPass(e, e.StepTimePerContext) / contextUnit
	perRequest := perPass(e, e.StepTimePerStream) + perToken*s.sizes.prompt
	if perRequest <= 0 {
		return running
	}
	extra := perToken * (float64(u.tokens.prompt) - float64(u.tokens.requests)*s.sizes.prompt)
	if e.ReadPerSecond > 0 {
		unread := float64(u.tokens.unread)
		if e.ReadPerStep > 0 {
			unread = min(unread, float64(e.ReadPerStep*max(e.StepsPerPass, 1)))
		}
		extra += s.sizes.variety() * unread / e.ReadPerSecond
	}
	return running + extra/perRequest
}

// perPass returns the seconds in a pass for a time in each of its steps.
func perPass(e *cataloguer.Engine, step time.Duration) float64 {
	return step.Seconds() * float64(max(e.StepsPerPass, 1))
}

// hasMemory reports whether a rank is expected to hold the request beside those that run on it. Otherwise it would have to
// preempt the newest one. The requests of other gateways count as mean ones.
func (s *service) hasMemory(u *upstream, r *Request) bool {
	if s.Engine == nil || s.Engine.MemoryTokens <= 0 || !r.Work.Known() {
		return true
	}
	used := float64(u.tokens.context) + float64(u.running-u.tokens.requests+u.peerRunning)*s.sizes.context
	return used+float64(r.Work.Tokens()) <= float64(s.Engine.MemoryTokens)
}

// recordWorkTime includes the estimated time of a complete request in the mean, as far as it differs from it by no more than
// relative sizes do. Otherwise, one client that states a large size would make all others appear short.
func (s *service) recordWorkTime(estimated time.Duration) {
	if estimated <= 0 {
		return
	}
	if s.workTime > 0 {
		estimated = max(s.workTime/maxRelativeSize, min(estimated, maxRelativeSize*s.workTime))
	}
	s.workTime = smooth(s.workTime, estimated)
}

// relativeSize returns the estimated time of a request as a multiple of the mean; 1 if it is not known.
func (s *service) relativeSize(w workmeter.Work) float64 {
	if w.Time <= 0 || s.workTime <= 0 {
		return 1
	}
	size := float64(w.Time) / float64(s.workTime)
	if math.Abs(size-1) <= sizeTolerance {
		return 1
	}
	return max(1.0/maxRelativeSize, min(size, maxRelativeSize))
}

// expectedTime returns the expected time from sending a request to the end of its response. Only the ratio of estimates is
// used: how long a pass takes depends on the load.
func (s *service) expectedTime(w workmeter.Work) time.Duration {
	return s.timeOf(s.relativeSize(w))
}

// timeOf returns the expected time of a request of a relative size.
func (s *service) timeOf(size float64) time.Duration {
	return scale(s.serviceTime, size)
}

// slotTime returns the expected time of the requests of this gateway that run, after which their slots are free.
func (s *service) slotTime() time.Duration {
	if s.running == 0 {
		return s.serviceTime
	}
	return s.timeOf(s.runningSizes / float64(s.running))
}

// workOf returns the time that some waiting requests are expected to take.
func (s *service) workOf(tickets []*Ticket) time.Duration {
	sum := time.Duration(0)
	for _, t := range tickets {
		sum += s.expectedTime(t.request.Work)
	}
	return sum
}

// scale returns a multiple of a time.
func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
