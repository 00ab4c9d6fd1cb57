// Package declarer defines the resources that operators declare, such as model groups, upstreams and customers. It
// decodes them from JSON with comments, encodes them as canonical JSON and validates them alone and together.
package declarer

import (
	"strings"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/parser"
)

// Kind is the kind of a resource as it appears in URLs, table keys and files.
type Kind string

// The kinds of resources.
const (
	KindFailureDomains Kind = "failureDomains"
	KindModelGroups    Kind = "modelGroups"
	KindServices       Kind = "services"
	KindUpstreams      Kind = "upstreams"
	KindCustomers      Kind = "customers"
)

// Kinds returns all kinds in the order of their dependencies: a resource refers only to resources of earlier kinds.
func Kinds() []Kind {
	return []Kind{KindFailureDomains, KindModelGroups, KindServices, KindUpstreams, KindCustomers}
}

// ParseKind returns the kind with the given name.
func ParseKind(s string) (Kind, error) {
	names := make([]string, 0, len(Kinds()))
	for _, k := range Kinds() {
		if string(k) == s {
			return k, nil
		}
		names = append(names, string(k))
	}
	return "", &UnknownKindError{Kind: s, Known: names}
}

// UnknownKindError reports that no kind has the given name.
type UnknownKindError struct {
	Kind  string
	Known []string
}

// Error lists the known kinds.
func (e *UnknownKindError) Error() string {
	return "the kind " + e.Kind + " is unknown; use one of " + strings.Join(e.Known, ", ")
}

// Problem is one invalid field or syntax error of a text, with its position and a remedy.
type Problem = parser.Problem

// InvalidError lists every problem of a text.
type InvalidError = parser.InvalidError

// Resource is one of the resource types of this package.
type Resource interface {
	// Kind returns the kind of the resource.
	Kind() Kind
	// Identity returns the name of the resource, which is unique within its kind.
	Identity() string
	// resource limits the implementations to this package.
	resource()
}

// Model is a model version that a group serves.
type Model struct {
	Name     identifier.Model
	Version  string
	Adapters []string
}

// ModelGroup is a group of ranks that run their steps in lock-step and divide the experts of its models among them.
type ModelGroup struct {
	Name           identifier.ModelGroup
	Models         []Model
	FailureDomains []identifier.FailureDomain
	Ranks          int
	Experts        int
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes identifier.Bytes
}

// DomainState states whether the upstreams of a failure domain receive new work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a failure domain of a region. An operator takes it out of service with its state.
type FailureDomain struct {
	Name   identifier.FailureDomain
	Region string
	State  DomainState
}

// UpstreamState states whether an upstream receives new work.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamActive  UpstreamState = "active"
	UpstreamLeaving UpstreamState = "leaving"
)

// Upstream is a back end: a runner of a model group or of a service. Either ModelGroup or Service is set.
type Upstream struct {
	Name identifier.Upstream
	// Address is the fleet address of the agent.
	Address       string
	FailureDomain identifier.FailureDomain
	ModelGroup    identifier.ModelGroup
	Service       identifier.Service
	// Rank is the position in the model group.
	Rank identifier.Rank
	// ColdLimit and WarmLimit bound the concurrent requests before and after warm-up.
	ColdLimit identifier.Credits
	WarmLimit identifier.Credits
	// WarmAfter is the number of completed requests after which the limit is WarmLimit.
	WarmAfter int
	// ChecksFence is true if the engine itself rejects orders with an old fencing number.
	ChecksFence bool
	State       UpstreamState
}

// Customer is a customer with its fair share of the capacity and its API keys.
type Customer struct {
	Name  identifier.Customer
	Share identifier.Share
	// KeyDigests are the SHA-256 digests of the keys.
	KeyDigests []identifier.Digest
	// MaxWaiting bounds the queued requests of the customer at one entry.
	MaxWaiting int
}

// Service is a service of plain HTTP calls, as opposed to the model requests of a model group.
type Service struct {
	Name identifier.Service
	// IdempotentPaths are the paths below /services/{name} whose calls may be retried with any method. A path that ends
	// with /* stands for all paths below it.
	IdempotentPaths []string
}

// Kind returns KindModelGroups.
func (ModelGroup) Kind() Kind { return KindModelGroups }

// Identity returns the name.
func (g ModelGroup) Identity() string { return string(g.Name) }

func (ModelGroup) resource() {}

// Kind returns KindFailureDomains.
func (FailureDomain) Kind() Kind { return KindFailureDomains }

// Identity returns the name.
func (d FailureDomain) Identity() string { return string(d.Name) }

func (FailureDomain) resource() {}

// Kind returns KindUpstreams.
func (Upstream) Kind() Kind { return KindUpstreams }

// Identity returns the name.
func (u Upstream) Identity() string { return string(u.Name) }

func (Upstream) resource() {}

// Kind returns KindCustomers.
func (Customer) Kind() Kind { return KindCustomers }

// Identity returns the name.
func (c Customer) Identity() string { return string(c.Name) }

func (Customer) resource() {}

// Kind returns KindServices.
func (Service) Kind() Kind { return KindServices }

// Identity returns the name.
func (s Service) Identity() string { return string(s.Name) }

func (Service) resource() {}

const wildcardSuffix = "/*"

// Idempotent reports whether calls of a path below /services/{name} may be retried. A path that is percent-encoded or
// not in its shortest form is never idempotent, since the service may resolve it to another path.
func (s Service) Idempotent(path string) bool {
	if !isCanonicalPath(path) {
		return false
	}
	for _, p := range s.IdempotentPaths {
		if prefix, ok := strings.CutSuffix(p, wildcardSuffix); ok && strings.HasPrefix(path, prefix+"/") {
			return true
		}
		if p == path {
			return true
		}
	}
	return false
}

// MismatchError reports that a text declares another resource than the one it was sent for.
type MismatchError struct {
	Want string
	Got  string
}

// Error names both resources.
func (e *MismatchError) Error() string {
	return "the resource is named " + e.Got + " but was sent for " + e.Want + "; make both names equal"
}

// Decode reads one resource from JSON with comments. The error is an *UnknownKindError, or an *InvalidError that lists
// every problem with the name source.
func Decode(kind Kind, source string, text []byte) (Resource, error) {
	if _, err := ParseKind(string(kind)); err != nil {
		return nil, err
	}
	document, object := parser.Parse(source, text)
	if object == nil {
		return nil, document.Err()
	}
	r := decode(kind, object)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return r, nil
}

// DecodeNamed decodes one resource like Decode, and returns a *MismatchError if the resource does not have the given
// name.
func DecodeNamed(kind Kind, name, source string, text []byte) (Resource, error) {
	r, err := Decode(kind, source, text)
	if err != nil {
		return nil, err
	}
	if r.Identity() != name {
		return nil, errors.WithStack(&MismatchError{Want: name, Got: r.Identity()})
	}
	return r, nil
}

// Source is a text and the name by which problems refer to it, usually a path.
type Source struct {
	Name string
	Text []byte
}

// DecodeFile is DecodeFiles for one text.
func DecodeFile(source string, text []byte) ([]Resource, error) {
	return DecodeFiles(Source{Name: source, Text: text})
}

// DecodeFiles reads the texts of a complete configuration, each with an array of resources for each kind. The error
// lists every problem, including names that are declared twice and references to resources that no text declares.
func DecodeFiles(sources ...Source) ([]Resource, error) {
	s := newResourceSet(sources)
	if err := s.err(); err != nil {
		return nil, err
	}
	for _, found := range CheckSet(s.resources) {
		s.origins[Key(found.Resource)].Report(found.Field, found.Value, found.Remedy)
	}
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.resources, nil
}

// DecodePart reads texts like DecodeFiles, but does not check the consistency between resources: they may refer to
// others that no text declares.
func DecodePart(sources ...Source) ([]Resource, error) {
	s := newResourceSet(sources)
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.resources, nil
}

// resourceSet holds the resources of several texts and, by Key, the objects that declare them.
type resourceSet struct {
	documents []*parser.Document
	resources []Resource
	origins   map[string]*parser.Object
}

// newResourceSet decodes all texts. The resources are in the order of Kinds.
func newResourceSet(sources []Source) *resourceSet {
	s := &resourceSet{origins: map[string]*parser.Object{}}
	var roots []*parser.Object
	for _, source := range sources {
		document, root := parser.Parse(source.Name, source.Text)
		s.documents = append(s.documents, document)
		if root != nil {
			roots = append(roots, root)
		}
	}
	for _, kind := range Kinds() {
		for _, root := range roots {
			s.add(kind, root)
		}
	}
	for _, root := range roots {
		root.ReportUnknown()
	}
	return s
}

// add decodes the resources of one kind and reports names that are declared twice.
func (s *resourceSet) add(kind Kind, root *parser.Object) {
	for _, o := range root.Objects(string(kind), 0) {
		r := decode(kind, o)
		s.resources = append(s.resources, r)
		if s.origins[Key(r)] != nil && r.Identity() != "" {
			o.Report("name", r.Identity(), "another resource of the kind has this name; rename one")
			continue
		}
		s.origins[Key(r)] = o
	}
}

// err returns an *InvalidError with the problems of all texts, or nil.
func (s *resourceSet) err() error {
	var problems []Problem
	for _, d := range s.documents {
		var invalid *InvalidError
		if errors.As(d.Err(), &invalid) {
			problems = append(problems, invalid.Problems()...)
		}
	}
	return parser.NewInvalidError(problems)
}

// Key returns the kind and name of a resource in the form kind/name, which is unique in a configuration.
func Key(r Resource) string {
	return string(r.Kind()) + "/" + r.Identity()
}
