package engineserver

import (
	"bytes"
	"encoding/json"
	"net/http"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/responder"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const (
	// crashMarker in a prompt makes the engine crash after the start of the request.
	crashMarker = "crash-engine"
	// charactersPerToken estimates the number of tokens of a prompt.
	charactersPerToken = 4
	// prefixHitDivisor divides the prefill steps of a request whose prefix is in the cache.
	prefixHitDivisor = 4
)

type (
	wireGeneration struct {
		Request   string `json:"request"`
		Customer  string `json:"customer"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Prompt    string `json:"prompt"`
		Generated string `json:"generated"`
		MaxTokens int    `json:"maxTokens"`
		Priority  int    `json:"priority"`
		Prefix    string `json:"prefix"`
	}
	wireText struct {
		Text string `json:"text"`
	}
	wireDone struct {
		Done   bool `json:"done"`
		Tokens int  `json:"tokens"`
	}
	wireRequest struct {
		Request string `json:"request"`
	}
)

// generation is one request in the engine.
type generation struct {
	in   wireGeneration
	seed uint64
	// from is the index of the first token that is generated here, next that of the next one. total is the number of
	// tokens of the complete output, bounded by MaxTokens.
	from, next, total int
	// resumedBytes is the number of bytes of the first token that the client already has.
	resumedBytes int
	// prefillSteps is the number of steps before the one that generates the first token.
	prefillSteps int
	// promptTokens counts the tokens of the prompt and of the text to continue.
	promptTokens int
	prefixHit    bool
	// arrival numbers the requests in order of arrival.
	arrival int
	// started is set when the request starts to run.
	started bool
	// crashes is set if the request crashes the engine.
	crashes bool

	// tokens passes the indexes of generated tokens to the handler. It has capacity for all, so that a slow client does
	// not delay a step. It is closed at the end of the request, after outcome is set.
	tokens  chan int
	outcome simulator.Outcome
}

func newGeneration(in wireGeneration, prefillTokens int) *generation {
	generated := len(in.Generated)
	from := generated / TokenBytes
	total := OutputTokens([]byte(in.Prompt), 0)
	if in.MaxTokens > 0 {
		total = min(total, max(from, in.MaxTokens))
	}
	promptTokens := (len(in.Prompt) + generated) / charactersPerToken
	return &generation{
		in:           in,
		seed:         outputSeed(identifier.Digest(in.Customer), []byte(in.Prompt)),
		from:         from,
		next:         from,
		total:        total,
		resumedBytes: generated % TokenBytes,
		prefillSteps: promptTokens / prefillTokens,
		promptTokens: promptTokens,
		crashes:      bytes.Contains([]byte(in.Prompt), []byte(crashMarker)),
		tokens:       make(chan int, max(total-from, 0)),
	}
}

// reducePrefill reduces the prefill by what the prefix cache or an imported KV cache already holds.
func (g *generation) reducePrefill(imported int) {
	if g.prefixHit {
		g.prefillSteps /= prefixHitDivisor
	}
	if imported >= g.promptTokens {
		g.prefillSteps = 0
	}
}

// kv returns the KV cache of the prompt and of the tokens generated so far.
func (g *generation) kv() kvEntry {
	return kvEntry{seed: g.seed, tokens: g.promptTokens + g.next - g.from}
}

// hasWrongPrefix reports whether the text to continue is not the start of the output.
func (g *generation) hasWrongPrefix() bool {
	expected := Output(identifier.Digest(g.in.Customer), []byte(g.in.Prompt), g.from+1)
	return !bytes.HasPrefix(expected, []byte(g.in.Generated))
}

// precedes reports whether the request starts before another one that waits.
func (g *generation) precedes(other *generation) bool {
	if g.in.Priority != other.in.Priority {
		return g.in.Priority > other.in.Priority
	}
	return g.arrival < other.arrival
}

// advance runs one step and reports whether the output is complete.
func (g *generation) advance() bool {
	if g.prefillSteps > 0 {
		g.prefillSteps--
		return false
	}
	if g.next < g.total {
		g.tokens <- g.next
		g.next++
	}
	return g.next >= g.total
}

// end closes the stream of tokens. It is called once.
func (g *generation) end(outcome simulator.Outcome) {
	g.outcome = outcome
	close(g.tokens)
}

// text returns the bytes of a token that the client does not have yet.
func (g *generation) text(index int) []byte {
	text := tokenText(g.seed, index)
	if index == g.from {
		return text[g.resumedBytes:]
	}
	return text
}

func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	var in wireGeneration
	if !responder.Decode(w, r, &in) {
		return
	}
	if !e.serves(in) {
		responder.Fail(w, http.StatusNotFound, "unknownModel")
		return
	}
	g := newGeneration(in, e.cfg.PrefillTokens)
	call := e.instance.RecordCall(simulator.Call{
		Request:     in.Request,
		Customer:    identifier.Digest(in.Customer),
		From:        g.from,
		WrongPrefix: g.hasWrongPrefix(),
	})
	if !e.sim.AwaitStall(r.Context()) {
		call.Close(simulator.Result{Outcome: e.abortOutcome()})
		panic(http.ErrAbortHandler)
	}
	if !e.submit(g) {
		call.Close(simulator.Result{Outcome: simulator.OutcomeRefused})
		responder.Fail(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	written := e.stream(w, r, g)
	outcome := g.outcome
	if e.instance.Context().Err() != nil && outcome != simulator.OutcomeComplete {
		outcome = simulator.OutcomeCrashed
	}
	call.Close(simulator.Result{Outcome: outcome, Tokens: written, PrefixHit: g.prefixHit})
	if outcome != simulator.OutcomeComplete && outcome != simulator.OutcomeCancelled {
		// Closes the connection, so that the client cannot mistake the text for a complete output.
		panic(http.ErrAbortHandler)
	}
}

func (e *engine) serves(in wireGeneration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.serves(in.Model, in.Adapter)
}

// abortOutcome returns the outcome of a request whose context has ended.
func (e *engine) abortOutcome() simulator.Outcome {
	if e.instance.Context().Err() != nil {
		return simulator.OutcomeCrashed
	}
	return simulator.OutcomeAborted
}

// stream writes the tokens until the request ends and returns their number.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, g *generation) int {
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	// Write errors are ignored, because a failed connection also cancels the context of the request.
	_ = control.Flush()
	written := 0
	for {
		select {
		case index, open := <-g.tokens:
			if !open {
				e.writeEnd(encoder, g, written)
				return written
			}
			_ = encoder.Encode(wireText{Text: string(g.text(index))})
			_ = control.Flush()
			written++
		case <-r.Context().Done():
			e.endMatching(func(other *generation) bool { return other == g }, e.abortOutcome())
			// Waits for the end of the request, either by this call or just before it.
			for range g.tokens {
			}
			return written
		}
	}
}

// writeEnd writes the last line of the stream. There is none after a crash or an abort.
func (e *engine) writeEnd(encoder *json.Encoder, g *generation, written int) {
	switch g.outcome {
	case simulator.OutcomeComplete:
		_ = encoder.Encode(wireDone{Done: true, Tokens: written})
	case simulator.OutcomeCancelled:
		_ = encoder.Encode(responder.Problem{Error: "cancelled"})
	}
}

func (e *engine) cancel(w http.ResponseWriter, r *http.Request) {
	var in wireRequest
	if !responder.Decode(w, r, &in) {
		return
	}
	e.endMatching(func(g *generation) bool { return g.in.Request == in.Request }, simulator.OutcomeCancelled)
	w.WriteHeader(http.StatusNoContent)
}
