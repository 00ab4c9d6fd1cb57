package configurer

import (
	"cmp"
	"maps"
	"slices"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/declarer"
)

// Snapshot is the configuration at one revision. It is immutable once a Store has published it.
type Snapshot struct {
	Revision       identifier.Revision
	ModelGroups    map[identifier.ModelGroup]declarer.ModelGroup
	FailureDomains map[identifier.FailureDomain]declarer.FailureDomain
	Upstreams      map[identifier.Upstream]declarer.Upstream
	Customers      map[identifier.Customer]declarer.Customer
	Services       map[identifier.Service]declarer.Service
	// CustomersByKeyDigest holds the customer of each API key by the digest of the key.
	CustomersByKeyDigest map[identifier.Digest]identifier.Customer
	// revisions holds the revision of the last change of each resource by declarer.Key.
	revisions map[string]identifier.Revision
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		ModelGroups:          map[identifier.ModelGroup]declarer.ModelGroup{},
		FailureDomains:       map[identifier.FailureDomain]declarer.FailureDomain{},
		Upstreams:            map[identifier.Upstream]declarer.Upstream{},
		Customers:            map[identifier.Customer]declarer.Customer{},
		Services:             map[identifier.Service]declarer.Service{},
		CustomersByKeyDigest: map[identifier.Digest]identifier.Customer{},
		revisions:            map[string]identifier.Revision{},
	}
}

// Resource returns a resource and its revision, and reports whether it exists.
func (s *Snapshot) Resource(kind declarer.Kind, name string) (declarer.Resource, identifier.Revision, bool) {
	r, ok := s.lookup(kind, name)
	if !ok {
		return nil, 0, false
	}
	return r, s.revisions[declarer.Key(r)], true
}

// Resources returns all resources of a kind in the order of their names.
func (s *Snapshot) Resources(kind declarer.Kind) []declarer.Resource {
	switch kind {
	case declarer.KindModelGroups:
		return sorted(s.ModelGroups)
	case declarer.KindFailureDomains:
		return sorted(s.FailureDomains)
	case declarer.KindUpstreams:
		return sorted(s.Upstreams)
	case declarer.KindCustomers:
		return sorted(s.Customers)
	case declarer.KindServices:
		return sorted(s.Services)
	default:
		return nil
	}
}

// All returns all resources, ordered by kind and name.
func (s *Snapshot) All() []declarer.Resource {
	all := make([]declarer.Resource, 0, len(s.revisions))
	for _, kind := range declarer.Kinds() {
		all = append(all, s.Resources(kind)...)
	}
	return all
}

func (s *Snapshot) lookup(kind declarer.Kind, name string) (declarer.Resource, bool) {
	switch kind {
	case declarer.KindModelGroups:
		return find(s.ModelGroups, identifier.ModelGroup(name))
	case declarer.KindFailureDomains:
		return find(s.FailureDomains, identifier.FailureDomain(name))
	case declarer.KindUpstreams:
		return find(s.Upstreams, identifier.Upstream(name))
	case declarer.KindCustomers:
		return find(s.Customers, identifier.Customer(name))
	case declarer.KindServices:
		return find(s.Services, identifier.Service(name))
	default:
		return nil, false
	}
}

// changes returns every resource as a change at the revision of its last change.
func (s *Snapshot) changes() []messenger.Change {
	out := make([]messenger.Change, 0, len(s.revisions))
	for _, r := range s.All() {
		out = append(out, messenger.Change{
			Revision: s.revisions[declarer.Key(r)],
			Kind:     string(r.Kind()),
			Name:     r.Identity(),
			Value:    declarer.Encode(r),
		})
	}
	return out
}

// clone returns a copy that can be modified until it is published.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Revision:             s.Revision,
		ModelGroups:          maps.Clone(s.ModelGroups),
		FailureDomains:       maps.Clone(s.FailureDomains),
		Upstreams:            maps.Clone(s.Upstreams),
		Customers:            maps.Clone(s.Customers),
		Services:             maps.Clone(s.Services),
		CustomersByKeyDigest: maps.Clone(s.CustomersByKeyDigest),
		revisions:            maps.Clone(s.revisions),
	}
}

// apply applies one change, a deletion if it has no value. The snapshot must not be published yet.
func (s *Snapshot) apply(c messenger.Change) error {
	kind, err := declarer.ParseKind(c.Kind)
	if err != nil {
		return err
	}
	var r declarer.Resource
	if len(c.Value) > 0 {
		r, err = declarer.DecodeNamed(kind, c.Name, c.Kind+"/"+c.Name, c.Value)
		if err != nil {
			return err
		}
	}
	s.remove(kind, c.Name)
	if r != nil {
		s.insert(r)
		s.revisions[declarer.Key(r)] = c.Revision
	}
	s.Revision = max(s.Revision, c.Revision)
	return nil
}

func (s *Snapshot) remove(kind declarer.Kind, name string) {
	old, ok := s.lookup(kind, name)
	if !ok {
		return
	}
	delete(s.revisions, declarer.Key(old))
	switch old := old.(type) {
	case declarer.ModelGroup:
		delete(s.ModelGroups, old.Name)
	case declarer.FailureDomain:
		delete(s.FailureDomains, old.Name)
	case declarer.Upstream:
		delete(s.Upstreams, old.Name)
	case declarer.Service:
		delete(s.Services, old.Name)
	case declarer.Customer:
		delete(s.Customers, old.Name)
		for _, d := range old.KeyDigests {
			delete(s.CustomersByKeyDigest, d)
		}
	}
}

func (s *Snapshot) insert(r declarer.Resource) {
	switch r := r.(type) {
	case declarer.ModelGroup:
		s.ModelGroups[r.Name] = r
	case declarer.FailureDomain:
		s.FailureDomains[r.Name] = r
	case declarer.Upstream:
		s.Upstreams[r.Name] = r
	case declarer.Service:
		s.Services[r.Name] = r
	case declarer.Customer:
		s.Customers[r.Name] = r
		for _, d := range r.KeyDigests {
			s.CustomersByKeyDigest[d] = r.Name
		}
	}
}

func find[K ~string, R declarer.Resource](m map[K]R, name K) (declarer.Resource, bool) {
	r, ok := m[name]
	return r, ok
}

// sorted returns the resources in the order of their names.
func sorted[K ~string, R declarer.Resource](m map[K]R) []declarer.Resource {
	out := make([]declarer.Resource, 0, len(m))
	for _, r := range m {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b declarer.Resource) int { return cmp.Compare(a.Identity(), b.Identity()) })
	return out
}
