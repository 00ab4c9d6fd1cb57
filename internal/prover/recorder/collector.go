package recorder

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/standin/simulator"
)

const collectTimeout = 10 * time.Second

// Source is a stand-in that provides a record of its calls.
type Source struct {
	Name string
	URL  string
	// Group is the model group of an engine. It is empty for services.
	Group string
}

// SourceRecord is the record of one stand-in.
type SourceRecord struct {
	Source Source
	Record simulator.Record
}

// Collect reads the records of stand-ins. It fails if one does not respond.
func Collect(ctx context.Context, sources []Source) ([]SourceRecord, error) {
	records := make([]SourceRecord, len(sources))
	client := &http.Client{Timeout: collectTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	group, ctx := errgroup.WithContext(ctx)
	for i, source := range sources {
		group.Go(func() error {
			record, err := fetchRecord(ctx, client, source)
			records[i] = SourceRecord{Source: source, Record: record}
			return err
		})
	}
	return records, group.Wait()
}

func fetchRecord(ctx context.Context, client *http.Client, source Source) (simulator.Record, error) {
	var record simulator.Record
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source.URL+"/record", http.NoBody)
	if err != nil {
		return record, errors.Wrapf(err, "read the record of %s", source.Name)
	}
	response, err := client.Do(request)
	if err != nil {
		return record, errors.Wrapf(err, "read the record of %s", source.Name)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return record, errors.Newf("read the record of %s: %s", source.Name, response.Status)
	}
	return record, errors.Wrapf(json.NewDecoder(response.Body).Decode(&record), "decode the record of %s", source.Name)
}

// Violation describes how a guarantee was violated.
type Violation struct {
	Guarantee string
	Detail    string
}

// String returns the guarantee and the detail in one line.
func (v Violation) String() string {
	return v.Guarantee + ": " + v.Detail
}

// The guarantees that Examine checks.
const (
	GuaranteeOneMap       = "G1 one map per step"
	GuaranteeNoOverload   = "G2 no overload"
	GuaranteeOwnResponse  = "G5 own and complete response"
	GuaranteeNotRunIsTrue = "G6 not run is true"
	GuaranteeAtMostOnce   = "G7 at most once"
)

// Report is the result of judging exchanges against the stand-ins' records.
type Report struct {
	Verdicts   []Verdict
	Violations []Violation
	// Duplicated counts the non-idempotent calls that ran more than once.
	Duplicated int
}

// Examine judges all exchanges and checks the guarantees with the records of the stand-ins.
func Examine(exchanges []*Exchange, records []SourceRecord) Report {
	x := newExamination(exchanges, records)
	for _, e := range exchanges {
		x.report.Verdicts = append(x.report.Verdicts, Judge(e, x.digestOf))
	}
	x.checkVerdicts()
	x.checkDigests()
	x.checkExecutions()
	x.checkRecords()
	x.checkMaps()
	return x.report
}

// examination is the state of Examine, with indexes of the records.
type examination struct {
	records []SourceRecord
	// callsByRequest holds, by request id, the recorded calls that were not refused and thus may have run.
	callsByRequest map[string][]simulator.Call
	// callsByPath holds the same calls by method and path with query. Only services record these.
	callsByPath map[string][]simulator.Call
	// digestsByCustomer holds, by name of the customer, the digests that engines received.
	digestsByCustomer map[string]map[identifier.Digest]bool
	report            Report
}

func newExamination(exchanges []*Exchange, records []SourceRecord) *examination {
	x := &examination{
		records:           records,
		callsByRequest:    map[string][]simulator.Call{},
		callsByPath:       map[string][]simulator.Call{},
		digestsByCustomer: map[string]map[identifier.Digest]bool{},
	}
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if call.Outcome != simulator.OutcomeRefused {
				x.callsByRequest[call.Request] = append(x.callsByRequest[call.Request], call)
				x.callsByPath[call.Method+" "+call.Path] = append(x.callsByPath[call.Method+" "+call.Path], call)
			}
		}
	}
	for _, e := range exchanges {
		x.addDigests(e)
	}
	return x
}

// addDigests adds the customer digests of all recorded calls of a model request. checkDigests reports a customer with
// more than one digest.
func (x *examination) addDigests(e *Exchange) {
	if e.Model == nil || len(x.callsByRequest[e.Request]) == 0 {
		return
	}
	if x.digestsByCustomer[e.Model.Customer] == nil {
		x.digestsByCustomer[e.Model.Customer] = map[identifier.Digest]bool{}
	}
	for _, call := range x.callsByRequest[e.Request] {
		x.digestsByCustomer[e.Model.Customer][call.Customer] = true
	}
}

// digestOf implements DigestOf. A digest is known if engines received exactly one for the customer.
func (x *examination) digestOf(customer string) (identifier.Digest, bool) {
	for digest := range x.digestsByCustomer[customer] {
		return digest, len(x.digestsByCustomer[customer]) == 1
	}
	return "", false
}

func (x *examination) addViolation(guarantee, format string, args ...any) {
	x.report.Violations = append(x.report.Violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// checkVerdicts checks that no response is wrong and that no request refused as not run has run.
func (x *examination) checkVerdicts() {
	for _, v := range x.report.Verdicts {
		if v.Outcome == OutcomeWrong {
			x.addViolation(GuaranteeOwnResponse, "request %q: %s", v.Exchange.Request, v.Detail)
		}
		if v.Outcome == OutcomeNotRun && len(x.callsByRequest[v.Exchange.Request]) > 0 && v.Exchange.Request != "" {
			x.addViolation(GuaranteeNotRunIsTrue, "request %s was refused as not run (%s) but ran", v.Exchange.Request, v.Cause)
		}
	}
}

// checkDigests checks that engines received one digest for each customer, and different ones for different customers.
func (x *examination) checkDigests() {
	customerOf := map[identifier.Digest]string{}
	for _, customer := range sortedKeys(x.digestsByCustomer) {
		if len(x.digestsByCustomer[customer]) > 1 {
			x.addViolation(GuaranteeOwnResponse, "engines know customer %s by %d digests", customer, len(x.digestsByCustomer[customer]))
		}
		for digest := range x.digestsByCustomer[customer] {
			if other, taken := customerOf[digest]; taken {
				x.addViolation(GuaranteeOwnResponse, "engines know customers %s and %s by the same digest", other, customer)
			}
			customerOf[digest] = customer
		}
	}
}

// logicalCall counts how often a service call was sent and how often it was refused as not run.
type logicalCall struct {
	call    *ServiceCall
	refused int
	sent    int
}

// checkExecutions checks the number of executions of each service call. It finds them by path and not by request id.
func (x *examination) checkExecutions() {
	calls := map[string]*logicalCall{}
	for _, v := range x.report.Verdicts {
		s := v.Exchange.Service
		if s == nil {
			continue
		}
		path := s.Method + " " + s.Path
		if calls[path] == nil {
			calls[path] = &logicalCall{call: s}
		}
		calls[path].sent++
		if v.Outcome == OutcomeNotRun {
			calls[path].refused++
		}
	}
	for _, path := range sortedKeys(calls) {
		x.checkCall(path, calls[path])
	}
}

func (x *examination) checkCall(path string, c *logicalCall) {
	executions := len(x.callsByPath[path])
	// Without a key, each request is a separate call.
	allowed := c.sent
	if c.call.Key != "" {
		allowed = 1
	}
	if !c.call.Idempotent && executions > allowed {
		x.report.Duplicated++
		x.addViolation(GuaranteeAtMostOnce, "%s ran %d times", path, executions)
	}
	if c.refused == c.sent && executions > 0 {
		x.addViolation(GuaranteeNotRunIsTrue, "%s was always refused as not run but ran", path)
	}
}

// checkRecords checks that no stand-in ran more requests than its capacity, and that each request was resumed with the
// start of its output.
func (x *examination) checkRecords() {
	for _, r := range x.records {
		if r.Record.MaxExcess > 0 {
			x.addViolation(GuaranteeNoOverload, "%s ran %d requests more than its capacity", r.Source.Name, r.Record.MaxExcess)
		}
		for _, call := range r.Record.Calls {
			if call.WrongPrefix {
				x.addViolation(GuaranteeOwnResponse, "request %s was resumed with a text that is not the start of its output", call.Request)
			}
		}
	}
}

// groupStep identifies a step of a group.
type groupStep struct {
	group string
	step  identifier.Step
}

// checkMaps checks that all ranks of a group used the same map in each step.
func (x *examination) checkMaps() {
	type mapUse struct {
		version identifier.MapVersion
		source  string
	}
	firstUse := map[groupStep]mapUse{}
	reported := map[groupStep]bool{}
	for _, r := range x.records {
		for _, step := range r.Record.Steps {
			key := groupStep{r.Source.Group, step.Step}
			seen, found := firstUse[key]
			if !found {
				firstUse[key] = mapUse{step.MapVersion, r.Source.Name}
				continue
			}
			if seen.version != step.MapVersion && !reported[key] {
				reported[key] = true
				x.addViolation(GuaranteeOneMap, "group %s step %d: %s used map %d, %s used map %d",
					key.group, key.step, seen.source, seen.version, r.Source.Name, step.MapVersion)
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
