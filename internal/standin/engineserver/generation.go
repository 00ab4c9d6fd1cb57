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
	crashMark = "crash-engine"
	// charactersPerToken estimates the tokens of a prompt.
	charactersPerToken = 4
	// prefixSaving divides the prefill of a request whose prefix is in the cache.
	prefixSaving = 4
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
	// from is the index of the first token that is generated here, next the index of the next one.
	from, next, total int
	// partial is the number of bytes of the first token that the caller already has.
	partial int
	// prefill is the number of steps before the one that generates the first token.
	prefill int
	// promptTokens counts the prompt and the text to continue.
	promptTokens int
	prefixHit    bool
	arrival      int
	started      bool
	crashes      bool

	// tokens carries the indexes of generated tokens; it has room for all, so that a slow reader delays no step.
	tokens  chan int
	outcome simulator.Outcome
}

func newGeneration(in wireGeneration, prefillTokens int) *generation {
	generated := len(in.Generated)
	from := generated / TokenBytes
	total := AnswerTokens([]byte(in.Prompt), 0)
	if in.MaxTokens > 0 {
		total = min(total, max(from, in.MaxTokens))
	}
	promptTokens := (len(in.Prompt) + generated) / charactersPerToken
	return &generation{
		in:           in,
		seed:         answerSeed(identifier.Digest(in.Customer), []byte(in.Prompt)),
		from:         from,
		next:         from,
		total:        total,
		partial:      generated % TokenBytes,
		prefill:      promptTokens / prefillTokens,
		promptTokens: promptTokens,
		crashes:      bytes.Contains([]byte(in.Prompt), []byte(crashMark)),
		tokens:       make(chan int, max(total-from, 0)),
	}
}

// shortenPrefill spares the steps for what the prefix cache or an imported KV cache already holds.
func (g *generation) shortenPrefill(imported int) {
	if g.prefixHit {
		g.prefill /= prefixSaving
	}
	if imported >= g.promptTokens {
		g.prefill = 0
	}
}

// kv returns the KV cache of the prompt and the tokens so far.
func (g *generation) kv() kvEntry {
	return kvEntry{seed: g.seed, tokens: g.promptTokens + g.next - g.from}
}

// wrongPrefix tells that the text to continue is not the start of the answer.
func (g *generation) wrongPrefix() bool {
	expected := Answer(identifier.Digest(g.in.Customer), []byte(g.in.Prompt), g.from+1)
	return !bytes.HasPrefix(expected, []byte(g.in.Generated))
}

func (g *generation) before(other *generation) bool {
	if g.in.Priority != other.in.Priority {
		return g.in.Priority > other.in.Priority
	}
	return g.arrival < other.arrival
}

// advance runs one step and tells whether the answer is complete.
func (g *generation) advance() bool {
	if g.prefill > 0 {
		g.prefill--
		return false
	}
	if g.next < g.total {
		g.tokens <- g.next
		g.next++
	}
	return g.next >= g.total
}

// end is called once, after which no token follows.
func (g *generation) end(outcome simulator.Outcome) {
	g.outcome = outcome
	close(g.tokens)
}

// text returns the bytes of a token that the caller does not have.
func (g *generation) text(index int) []byte {
	text := tokenText(g.seed, index)
	if index == g.from {
		return text[g.partial:]
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
	call := e.life.Open(simulator.Call{
		Request:     in.Request,
		Customer:    identifier.Digest(in.Customer),
		From:        g.from,
		WrongPrefix: g.wrongPrefix(),
	})
	if !e.sim.AwaitStall(r.Context()) {
		call.Close(simulator.Result{Outcome: e.endOutcome()})
		panic(http.ErrAbortHandler)
	}
	if !e.submit(g) {
		call.Close(simulator.Result{Outcome: simulator.OutcomeRefused})
		responder.Fail(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	written := e.stream(w, r, g)
	outcome := g.outcome
	if e.life.Context().Err() != nil && outcome != simulator.OutcomeComplete {
		outcome = simulator.OutcomeCrashed
	}
	call.Close(simulator.Result{Outcome: outcome, Tokens: written, PrefixHit: g.prefixHit})
	if outcome != simulator.OutcomeComplete && outcome != simulator.OutcomeCancelled {
		// Breaks the connection, so that the caller cannot take the text for a whole answer.
		panic(http.ErrAbortHandler)
	}
}

func (e *engine) serves(in wireGeneration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models.serves(in.Model, in.Adapter)
}

func (e *engine) endOutcome() simulator.Outcome {
	if e.life.Context().Err() != nil {
		return simulator.OutcomeCrashed
	}
	return simulator.OutcomeAborted
}

// stream writes the tokens until the request ends and returns their number.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, g *generation) int {
	w.Header().Set("Content-Type", "application/x-ndjson")
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	// Write errors show as the end of the request's context.
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
			e.drop(func(other *generation) bool { return other == g }, e.endOutcome())
			// The request ended either by this call or just before it.
			for range g.tokens {
			}
			return written
		}
	}
}

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
	e.drop(func(g *generation) bool { return g.in.Request == in.Request }, simulator.OutcomeCancelled)
	w.WriteHeader(http.StatusNoContent)
}
