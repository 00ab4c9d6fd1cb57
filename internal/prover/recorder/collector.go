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

// Source is a stand-in whose record is read.
type Source struct {
	Name string
	URL  string
	// Group is the model group of an engine, empty for services.
	Group string
}

// SourceRecord is the record of one stand-in.
type SourceRecord struct {
	Source Source
	Record simulator.Record
}

// Collect reads the records of all stand-ins.
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

// Violation is a broken guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// String returns guarantee and detail.
func (v Violation) String() string {
	return v.Guarantee + ": " + v.Detail
}

// The guarantees that the collector checks.
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
	// Duplicated counts the calls that must not be repeated and ran more than once.
	Duplicated int
}

// Examine judges all exchanges and checks the records.
func Examine(exchanges []*Exchange, records []SourceRecord) Report {
	x := newExamination(exchanges, records)
	for _, e := range exchanges {
		x.report.Verdicts = append(x.report.Verdicts, Judge(e, x.digestOf))
	}
	x.checkVerdicts()
	x.checkCustomers()
	x.checkExecutions()
	x.checkLoad()
	x.checkMaps()
	return x.report
}

// examination holds the records in the forms in which the checks look them up.
type examination struct {
	records []SourceRecord
	// ran holds the calls of which something may have run, by request id.
	ran map[string][]simulator.Call
	// byPath holds the service calls by method and path with query.
	byPath map[string][]simulator.Call
	// digests holds the digests by which engines know each customer.
	digests map[string]map[identifier.Digest]bool
	report  Report
}

func newExamination(exchanges []*Exchange, records []SourceRecord) *examination {
	x := &examination{
		records: records,
		ran:     map[string][]simulator.Call{},
		byPath:  map[string][]simulator.Call{},
		digests: map[string]map[identifier.Digest]bool{},
	}
	for _, r := range records {
		for _, call := range r.Record.Calls {
			if call.Outcome != simulator.OutcomeRefused {
				x.ran[call.Request] = append(x.ran[call.Request], call)
				x.byPath[call.Method+" "+call.Path] = append(x.byPath[call.Method+" "+call.Path], call)
			}
		}
	}
	for _, e := range exchanges {
		x.learnDigest(e)
	}
	return x
}

// learnDigest takes the digest of the first recorded call of each request. Different digests of one customer show as a
// violation.
func (x *examination) learnDigest(e *Exchange) {
	if e.Model == nil || len(x.ran[e.Request]) == 0 {
		return
	}
	if x.digests[e.Model.Customer] == nil {
		x.digests[e.Model.Customer] = map[identifier.Digest]bool{}
	}
	for _, call := range x.ran[e.Request] {
		x.digests[e.Model.Customer][call.Customer] = true
	}
}

func (x *examination) digestOf(customer string) (identifier.Digest, bool) {
	for digest := range x.digests[customer] {
		return digest, len(x.digests[customer]) == 1
	}
	return "", false
}

func (x *examination) violate(guarantee, format string, args ...any) {
	x.report.Violations = append(x.report.Violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

func (x *examination) checkVerdicts() {
	for _, v := range x.report.Verdicts {
		if v.Outcome == OutcomeWrong {
			x.violate(GuaranteeOwnResponse, "request %q: %s", v.Exchange.Request, v.Detail)
		}
		if v.Outcome == OutcomeNotRun && len(x.ran[v.Exchange.Request]) > 0 && v.Exchange.Request != "" {
			x.violate(GuaranteeNotRunIsTrue, "request %s was refused as not run (%s) and ran", v.Exchange.Request, v.Cause)
		}
	}
}

// checkCustomers checks that engines know each customer by one digest, and no two by the same one.
func (x *examination) checkCustomers() {
	owners := map[identifier.Digest]string{}
	for _, customer := range sortedKeys(x.digests) {
		if len(x.digests[customer]) > 1 {
			x.violate(GuaranteeOwnResponse, "engines know customer %s by %d digests", customer, len(x.digests[customer]))
		}
		for digest := range x.digests[customer] {
			if owner, taken := owners[digest]; taken {
				x.violate(GuaranteeOwnResponse, "engines know customers %s and %s by one digest", owner, customer)
			}
			owners[digest] = customer
		}
	}
}

// logicalCall is a service call with all the times that its caller sent it.
type logicalCall struct {
	call    *ServiceCall
	refused int
	sent    int
}

// checkExecutions counts the executions of each service call by its path, independently of request ids.
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
	executions := len(x.byPath[path])
	// Without a key, each sending is a call of its own.
	allowed := c.sent
	if c.call.Key != "" {
		allowed = 1
	}
	if !c.call.Repeatable && executions > allowed {
		x.report.Duplicated++
		x.violate(GuaranteeAtMostOnce, "%s ran %d times", path, executions)
	}
	if c.refused == c.sent && executions > 0 {
		x.violate(GuaranteeNotRunIsTrue, "%s was always refused as not run and ran", path)
	}
}

func (x *examination) checkLoad() {
	for _, r := range x.records {
		if r.Record.MaxExcess > 0 {
			x.violate(GuaranteeNoOverload, "%s ran %d more than it bears", r.Source.Name, r.Record.MaxExcess)
		}
		for _, call := range r.Record.Calls {
			if call.WrongPrefix {
				x.violate(GuaranteeOwnResponse, "request %s was resumed with a text that is not its own", call.Request)
			}
		}
	}
}

// groupStep names a step of a group.
type groupStep struct {
	group string
	step  identifier.Step
}

// checkMaps checks that all ranks of a group used the same map in each step.
func (x *examination) checkMaps() {
	type use struct {
		version identifier.MapVersion
		source  string
	}
	first := map[groupStep]use{}
	mixed := map[groupStep]bool{}
	for _, r := range x.records {
		for _, step := range r.Record.Steps {
			key := groupStep{r.Source.Group, step.Step}
			seen, found := first[key]
			if !found {
				first[key] = use{step.MapVersion, r.Source.Name}
				continue
			}
			if seen.version != step.MapVersion && !mixed[key] {
				mixed[key] = true
				x.violate(GuaranteeOneMap, "group %s step %d: %s used map %d, %s used map %d",
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
