// Package declarer defines the resources that operators declare, reads and writes their text form and validates them.
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

// Kinds returns all kinds in an order in which a resource only refers to resources of earlier kinds.
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

// UnknownKindError tells that no kind has the given name.
type UnknownKindError struct {
	Kind  string
	Known []string
}

// Error names the known kinds.
func (e *UnknownKindError) Error() string {
	return "the kind " + e.Kind + " is unknown; use one of " + strings.Join(e.Known, ", ")
}

// Problem is one fault with its position.
type Problem = parser.Problem

// InvalidError lists every problem of a text.
type InvalidError = parser.InvalidError

// Resource is one of the resource types of this package.
type Resource interface {
	// Kind returns the kind of the resource.
	Kind() Kind
	// Identity returns the name of the resource, which is unique within its kind.
	Identity() string
	resource()
}

// Model is a model version that a group serves.
type Model struct {
	Name     identifier.Model
	Version  string
	Adapters []string
}

// ModelGroup is a group of ranks that run in lock-step.
type ModelGroup struct {
	Name           identifier.ModelGroup
	Models         []Model
	FailureDomains []identifier.FailureDomain
	Ranks          int
	Experts        int
	ExpertBytes    identifier.Bytes
}

// DomainState tells whether a failure domain receives new work.
type DomainState string

// The states of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is a failure domain.
type FailureDomain struct {
	Name   identifier.FailureDomain
	Region string
	State  DomainState
}

// UpstreamState tells whether an upstream receives new work.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamActive  UpstreamState = "active"
	UpstreamLeaving UpstreamState = "leaving"
)

// Upstream is a model runner of a group or a runner of a service; either ModelGroup or Service is set.
type Upstream struct {
	Name identifier.Upstream
	// Address is the fleet address of the agent.
	Address       string
	FailureDomain identifier.FailureDomain
	ModelGroup    identifier.ModelGroup
	Service       identifier.Service
	// Rank is the position in the model group.
	Rank      identifier.Rank
	ColdLimit identifier.Credits
	WarmLimit identifier.Credits
	// WarmAfter is the number of completions after which the limit is WarmLimit.
	WarmAfter int
	// ChecksFence tells that the engine itself refuses orders with an old fencing number.
	ChecksFence bool
	State       UpstreamState
}

// Customer is a customer with its share and the SHA-256 digests of its keys.
type Customer struct {
	Name       identifier.Customer
	Share      identifier.Share
	KeyDigests []identifier.Digest
	// MaxWaiting bounds the requests of the customer that wait at one entry.
	MaxWaiting int
}

// Service is a plain service.
type Service struct {
	Name identifier.Service
	// IdempotentPaths are the paths below /services/{name} whose calls may be repeated whatever their method is.
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

const anySuffix = "/*"

// Idempotent tells whether calls of a path below /services/{name} may be repeated. A path that is encoded or not in
// its shortest form is never idempotent, since the service may resolve it to another path.
func (s Service) Idempotent(path string) bool {
	if !plainPath(path) {
		return false
	}
	for _, p := range s.IdempotentPaths {
		if prefix, ok := strings.CutSuffix(p, anySuffix); ok && strings.HasPrefix(path, prefix+"/") {
			return true
		}
		if p == path {
			return true
		}
	}
	return false
}

// MismatchError tells that a text declares another resource than the one it was sent for.
type MismatchError struct {
	Want string
	Got  string
}

// Error names both resources.
func (e *MismatchError) Error() string {
	return "the resource is named " + e.Got + " but was sent for " + e.Want + "; make both names equal"
}

// Decode reads one resource from JSON with comments. The error is an *InvalidError that lists every problem.
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

// DecodeNamed reads one resource and checks that it has the given name.
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

// Source is a text with its name.
type Source struct {
	Name string
	Text []byte
}

// DecodeFile reads a text that holds an array of resources for each kind. It is DecodeFiles for one text.
func DecodeFile(source string, text []byte) ([]Resource, error) {
	return DecodeFiles(Source{Name: source, Text: text})
}

// DecodeFiles reads the texts of a complete configuration, each with an array of resources for each kind. The error
// lists every problem, including names that are declared twice and references to resources that no text declares.
func DecodeFiles(sources ...Source) ([]Resource, error) {
	s := newSet(sources)
	if err := s.err(); err != nil {
		return nil, err
	}
	for _, f := range CheckSet(s.resources) {
		s.origins[Key(f.Resource)].Report(f.Field, f.Value, f.Remedy)
	}
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.resources, nil
}

// DecodePart reads texts like DecodeFiles, but the resources may refer to others that no text declares.
func DecodePart(sources ...Source) ([]Resource, error) {
	s := newSet(sources)
	if err := s.err(); err != nil {
		return nil, err
	}
	return s.resources, nil
}

// set holds the resources of several texts and where they were declared.
type set struct {
	documents []*parser.Document
	resources []Resource
	origins   map[string]*parser.Object
}

// newSet reads all texts; the resources are in the order of Kinds.
func newSet(sources []Source) *set {
	s := &set{origins: map[string]*parser.Object{}}
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
		root.Close()
	}
	return s
}

func (s *set) add(kind Kind, root *parser.Object) {
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

func (s *set) err() error {
	var problems []Problem
	for _, d := range s.documents {
		var invalid *InvalidError
		if errors.As(d.Err(), &invalid) {
			problems = append(problems, invalid.Problems()...)
		}
	}
	return parser.NewInvalidError(problems)
}

// Key returns kind and name of a resource as kind/name.
func Key(r Resource) string {
	return string(r.Kind()) + "/" + r.Identity()
}
