// Package workmeter estimates the work of requests at model engines: the tokens of the prompt and of the response, and the
// time that they take on a rank. It serves loads whose requests differ several times in length, so that their number says
// little about the work. The estimates follow from what clients state, from the figures of the engines, and from
// the lengths of earlier responses on the same route.
//
// The package does no I/O and reads no clock.
package workmeter

import (
	"math"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// priorResponses is the number of responses that the usual length in the configuration counts as.
	priorResponses = 10
	// maxTokens is more than any model can read or generate. It keeps sums of tokens within the range of int.
	maxTokens = 1 << 24
	// memory is the number of latest responses of a route that determine its estimates.
	memory = 200
	// priorVariance keeps hints from being trusted before some responses have proved them right. It is that of hints which
	// differ by a factor of 1.6 from their mean, in logarithms.
	priorVariance = 0.25
	// maxRoutes bounds the routes whose responses are remembered.
	maxRoutes = 1024
	// maxTime is longer than any response. It keeps sums of estimates within the range of time.Duration.
	maxTime = time.Hour
	// contextUnit is the number of tokens for which engines state the time of a step.
	contextUnit = 1000
)

// Stated is what a client states of the size of its request, in tokens; 0 if it does not state it.
type Stated struct {
	Prompt int
	// MaxResponse is the largest length of the response, and Response the length that the client expects.
	MaxResponse int
	Response    int
}

// Work is the estimated work of a request. It is zero if it is not known.
type Work struct {
	// Prompt and Response are the tokens to be read and to be generated.
	Prompt   int
	Response int
	// Time is how long the request takes on a rank that runs no other.
	Time time.Duration
}

// Known reports whether there is an estimate.
func (w Work) Known() bool {
	return w.Prompt > 0 && w.Response > 0
}

// Tokens is the largest context of the request.
func (w Work) Tokens() int {
	return w.Prompt + w.Response
}

// After returns the work that is left once the client has received some events of the response. An engine that continues
// the response reads the prompt and those events.
func (w Work) After(e *cataloguer.Engine, events int) Work {
	if e == nil || events == 0 || !w.Known() {
		return w
	}
	tokens := events * tokensPerEvent(e)
	return newWork(e, w.Prompt+tokens, max(w.Response-tokens, tokensPerEvent(e)))
}

// newWork returns the work for some tokens, at most maxTokens each, with its time.
func newWork(e *cataloguer.Engine, prompt, response int) Work {
	prompt, response = min(prompt, maxTokens), min(response, maxTokens)
	w := Work{Prompt: prompt, Response: response}
	if !w.Known() {
		return Work{}
	}
	context := (float64(prompt) + float64(response)/2) / contextUnit
	step := e.StepTime.Seconds() + e.StepTimePerStream.Seconds() + e.StepTimePerContext.Seconds()*context
	seconds := math.Ceil(float64(response)/float64(tokensPerEvent(e))) * float64(tokensPerEvent(e)) * step
	if e.ReadPerSecond > 0 {
		seconds += float64(prompt) / e.ReadPerSecond
	}
	if e.ReadPerStep > 0 {
		// Steps in which the rank reads a part of the prompt take the time of a step as well.
		seconds += math.Floor(float64(prompt)/float64(e.ReadPerStep)) * step
	}
	w.Time = time.Duration(max(0, min(seconds, maxTime.Seconds())) * float64(time.Second))
	return w
}

// tokensPerEvent returns the number of tokens in an event: a pass yields one event of each stream.
func tokensPerEvent(e *cataloguer.Engine) int {
	return max(e.StepsPerPass, 1)
}

// Meter estimates the work of requests. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	routes map[string]*lengths
	totals Totals
}

// Totals are the tokens of all recorded responses, as they were estimated and as they were.
type Totals struct {
	Expected  int64
	Generated int64
}

// New returns a Meter that knows no responses.
func New() *Meter {
	return &Meter{routes: map[string]*lengths{}}
}

// Estimate returns the work of a request. What the client does not state is taken from the engine's usual request.
func (m *Meter) Estimate(route string, e *cataloguer.Engine, s Stated) Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	prompt := s.Prompt
	if prompt == 0 {
		prompt = e.MeanPromptTokens
	}
	known, found := m.routes[route]
	if !found {
		known = &lengths{}
	}
	response := known.estimate(e.MeanResponseTokens, s.Response)
	if s.MaxResponse > 0 {
		response = min(response, s.MaxResponse)
	}
	return newWork(e, prompt, response)
}

// Record records the number of events of a complete response, of which an earlier estimate was made.
func (m *Meter) Record(route string, e *cataloguer.Engine, s Stated, estimated Work, events int) {
	if events <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals.Expected += int64(estimated.Response)
	m.totals.Generated += int64(events * tokensPerEvent(e))
	known, found := m.routes[route]
	if !found {
		if len(m.routes) == maxRoutes {
			return
		}
		known = &lengths{}
		m.routes[route] = known
	}
	known.record(events*tokensPerEvent(e), s.Response)
}

// Totals returns the totals of the recorded responses.
func (m *Meter) Totals() Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}

// lengths holds the lengths of the responses of a route, as moving averages of logarithms: the exponential of such a mean is
// the median of lengths that scatter by factors, and a few very long responses hardly change it.
type lengths struct {
	responses, mean float64
	// hints is the number of responses with a hint, and hint and hintedMean the means of their hints and lengths. variance is
	// that of hints, and covariance that of hints and lengths.
	hints, hint, hintedMean float64
	variance, covariance    float64
}

func (l *lengths) record(tokens, hint int) {
	y := math.Log(float64(tokens))
	l.responses = min(l.responses+1, memory)
	l.mean += (y - l.mean) / l.responses
	if hint <= 0 {
		return
	}
	x := math.Log(float64(hint))
	l.hints = min(l.hints+1, memory)
	weight := 1 / l.hints
	dx, dy := x-l.hint, y-l.hintedMean
	l.hint += weight * dx
	l.hintedMean += weight * dy
	l.variance = (1 - weight) * (l.variance + weight*dx*dx)
	l.covariance = (1 - weight) * (l.covariance + weight*dx*dy)
}

// estimate returns the expected length of a response, given the usual one and a hint, each 0 if it is not known. A hint
// changes the median of the route by as much as hints have explained of the lengths so far.
func (l *lengths) estimate(usual, hint int) int {
	center, weight := l.mean, l.responses
	if usual > 0 {
		center = (l.responses*l.mean + priorResponses*math.Log(float64(usual))) / (l.responses + priorResponses)
		weight += priorResponses
	}
	switch {
	case weight == 0:
		return hint
	case hint > 0:
		center += l.trust() * (math.Log(float64(hint)) - l.hint)
	}
	return max(1, int(math.Round(min(math.Exp(center), maxTokens))))
}

// trust returns the part of a hint's distance from the usual hint by which lengths have differed, from 0 to 1.
func (l *lengths) trust() float64 {
	if l.hints == 0 {
		return 0
	}
	slope := l.hints * l.covariance / (l.hints*l.variance + priorResponses*priorVariance)
	return max(0, min(slope, 1))
}
