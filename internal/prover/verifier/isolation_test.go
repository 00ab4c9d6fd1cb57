package verifier_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

const (
	promptMark = "marked-prompt"
	bodyMark   = "marked-body"
	keyMark    = "marked-key"
	nameMark   = "marked-customer"
	// answerPart is the length of the part of each answer that is searched for.
	answerPart = 24
)

// markedPlan returns a deployment whose customers have names and keys that occur nowhere else.
func markedPlan() launcher.Plan {
	plan := smallPlan()
	plan.LogLevel = "debug"
	for i := range plan.Customers {
		c := &plan.Customers[i]
		c.Name = fmt.Sprintf("%s-%d", nameMark, i)
		c.Key = fmt.Sprintf("%s-bearer-%d", keyMark, i)
	}
	return plan
}

// markedTraffic sends requests that succeed, are refused, are malformed and crash an engine.
func (s *site) markedTraffic() {
	for number := range 18 {
		entry := s.Entries[number%len(s.Entries)].CallersURL()
		q := s.question(number%len(s.Plan.Customers), number, 20)
		q.Prompt = promptMark + " " + q.Prompt
		q.Stream = number%2 == 0
		call := s.reservation(number%len(s.Plan.Customers), number)
		call.Key, call.Body = fmt.Sprintf("%s-%d", keyMark, number), []byte(bodyMark)
		other := call
		other.Body = []byte(bodyMark + " that differs")
		s.load.Go(func() { s.caller.Ask(s.ctx, entry, q) })
		s.load.Go(func() {
			s.caller.Call(s.ctx, entry, call)
			s.caller.Call(s.ctx, entry, other)
		})
	}
	s.load.Wait()
	entry := s.Entries[0].CallersURL()
	unknownModel := s.question(0, 100, 8)
	unknownModel.Model, unknownModel.Prompt = "marked-prompt-model", promptMark
	s.caller.Ask(s.ctx, entry, unknownModel)
	unknownKey := s.question(0, 101, 8)
	unknownKey.Bearer, unknownKey.Prompt = keyMark+"-unknown", promptMark
	s.caller.Ask(s.ctx, entry, unknownKey)
	crasher := s.question(1, 102, 8)
	crasher.Prompt, crasher.Stream = promptMark+" crash-engine", false
	s.caller.Ask(s.ctx, entry, crasher)
}

// published returns everything that the processes of the fleet show beside the answers, by its source.
func (s *site) published() map[string]string {
	s.t.Helper()
	out := map[string]string{}
	for _, n := range s.Nodes() {
		out["log of "+n.Name] = n.Process.Log()
	}
	for _, a := range s.Agents {
		out["metrics of "+a.Name] = s.fetch("http://" + a.Metrics + "/debug/vars")
	}
	for _, e := range s.Entries {
		for _, path := range []string{"/debug/vars", "/api/v1/status", "/api/v1/decisions", "/api/v1/nodes"} {
			raw, err := s.OperateAt(s.ctx, e, http.MethodGet, path, nil)
			require.NoError(s.t, err)
			out[path+" of "+e.Name] = string(raw)
		}
	}
	for i, x := range s.log.Exchanges() {
		if strings.HasPrefix(x.Header.Get("Content-Type"), "application/problem+json") {
			out[fmt.Sprintf("problem %d", i)] = string(x.Body)
		}
		for _, e := range s.Entries {
			// An entry that did not serve the request holds no decision on it.
			if raw, err := s.OperateAt(s.ctx, e, http.MethodGet, "/api/v1/explain/"+x.Request, nil); err == nil {
				out[fmt.Sprintf("explanation %d by %s", i, e.Name)] = string(raw)
			}
		}
	}
	return out
}

func (s *site) fetch(url string) string {
	s.t.Helper()
	response, err := http.Get(url)
	require.NoError(s.t, err)
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return string(raw)
}

// answerMarks returns the starts of the answers that callers received whole.
func (s *site) answerMarks() []string {
	var out []string
	for _, x := range s.log.Exchanges() {
		var body struct {
			Choices []struct{ Message struct{ Content string } }
		}
		if x.Model == nil || x.Status != http.StatusOK || json.Unmarshal(x.Body, &body) != nil || len(body.Choices) == 0 {
			continue
		}
		text := body.Choices[0].Message.Content
		out = append(out, text[:min(len(text), answerPart)])
	}
	return out
}

// Guards against prompts, answers, keys and names of customers in logs, metrics, decisions, explanations and errors of
// any process, after requests that succeed and requests that fail in several ways.
func TestNothingOfCustomersLeaks(t *testing.T) {
	t.Parallel()
	s := newSite(t, markedPlan())
	s.markedTraffic()
	answers := s.answerMarks()
	require.NotEmpty(t, answers)
	marks := slices.Concat(answers, []string{promptMark, bodyMark, keyMark, nameMark})
	published := s.published()
	sources := make([]string, 0, len(published))
	explained, problems := 0, 0
	for source := range published {
		sources = append(sources, source)
		if strings.HasPrefix(source, "explanation") {
			explained++
		}
		if strings.HasPrefix(source, "problem") {
			problems++
		}
	}
	require.Positive(t, explained, "no request was explained")
	require.Positive(t, problems, "no request was refused")
	sort.Strings(sources)
	for _, source := range sources {
		for _, mark := range marks {
			if at := strings.Index(published[source], mark); at >= 0 {
				line, _, _ := strings.Cut(published[source][max(0, at-100):], "\n")
				require.Fail(t, "leak", "%s holds %q: %s", source, mark, line)
			}
		}
	}
}

// Guards against an answer of another customer whose call has the same Idempotency-Key, at the same time and later.
func TestSameKeyOfTwoCustomers(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	for number := range 20 {
		for customer := range 2 {
			call := s.reservation(customer, number)
			call.Key = fmt.Sprintf("shared-%d", number)
			call.Body = fmt.Appendf(nil, "reservation of customer %d", customer)
			for _, e := range s.Entries {
				s.load.Go(func() { s.caller.Call(s.ctx, e.CallersURL(), call) })
			}
		}
	}
	s.load.Wait()
	for _, x := range s.log.Exchanges() {
		require.Equal(t, http.StatusOK, x.Status, "%s of %s: %s", x.Service.Path, x.Customer(), x.Body)
		var answer struct {
			Path      string
			Execution int
		}
		require.NoError(t, json.Unmarshal(x.Body, &answer))
		require.Equal(t, x.Service.Path, answer.Path, "answer to %s", x.Customer())
		require.Equal(t, 1, answer.Execution, "the service has seen the key of %s from another customer", x.Customer())
	}
}

// Guards against an entry that serves a caller without a key that the configuration names, and against operators'
// actions with the key of a customer.
func TestUnknownKeysObtainNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, smallPlan())
	for i, e := range s.Entries {
		for n, key := range []string{"", "unknown", s.Plan.Customers[0].Key + "x", strings.ToUpper(s.Plan.Customers[0].Key)} {
			q := s.question(0, 10*i+n, 8)
			q.Bearer = key
			require.Equal(t, http.StatusUnauthorized, s.caller.Ask(s.ctx, e.CallersURL(), q).Status)
			call := s.reservation(0, 10*i+n)
			call.Bearer = key
			require.Equal(t, http.StatusUnauthorized, s.caller.Call(s.ctx, e.CallersURL(), call).Status)
		}
		require.Equal(t, http.StatusUnauthorized, s.deleteAs(e, s.Plan.Customers[0].Key))
	}
	records, err := recorder.Collect(s.ctx, s.sources())
	require.NoError(t, err)
	for _, r := range records {
		require.Empty(t, r.Record.Calls, r.Source.Name)
	}
}

// deleteAs tries to delete a customer with a key and returns the status.
func (s *site) deleteAs(e *launcher.Entry, key string) int {
	s.t.Helper()
	url := e.OperatorsURL() + "/api/v1/customers/" + s.Plan.Customers[1].Name
	request, err := http.NewRequestWithContext(s.ctx, http.MethodDelete, url, http.NoBody)
	require.NoError(s.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against a customer with 20 times the requests of the others who delays them by its own queue: with equal
// shares, the others' requests end before most of its own.
func TestLargeCustomerLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	const small, factor = 9, 20
	plan := smallPlan()
	plan.Groups[0].Limits = launcher.Limits{Cold: 4, Warm: 4, WarmAfter: 1}
	for i := range plan.Customers {
		plan.Customers[i].Share = 1
	}
	s := newSite(t, plan)
	for number := range small * factor {
		entry := s.Entries[number%len(s.Entries)].CallersURL()
		s.load.Go(func() { s.caller.Ask(s.ctx, entry, s.question(0, number, 20)) })
	}
	require.Eventually(t, func() bool { return len(s.log.Exchanges()) > 0 }, 10*time.Second, time.Millisecond)
	for number := range small {
		entry := s.Entries[number%len(s.Entries)].CallersURL()
		for customer := 1; customer <= 2; customer++ {
			s.load.Go(func() { s.caller.Ask(s.ctx, entry, s.question(customer, number, 20)) })
		}
	}
	s.load.Wait()
	var last time.Time
	for _, x := range s.log.Exchanges() {
		if x.Customer() != s.Plan.Customers[0].Name {
			require.Equal(t, http.StatusOK, x.Status, "%s", x.Body)
			if x.End.After(last) {
				last = x.End
			}
		}
	}
	before := 0
	for _, x := range s.log.Exchanges() {
		if x.Customer() == s.Plan.Customers[0].Name && x.End.Before(last) {
			before++
		}
	}
	require.LessOrEqual(t, before, small*factor/2, "requests of the large customer that ended before the others'")
	s.verdicts()
}
