package declarer

import (
	"fmt"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Inconsistency is a problem between resources: Resource contradicts another resource or refers to one that is missing.
type Inconsistency struct {
	Resource Resource
	Field    string
	Value    string
	Remedy   string
}

// Problem returns the inconsistency as a problem without a position in a text.
func (i Inconsistency) Problem() Problem {
	return Problem{Field: Key(i.Resource) + " " + i.Field, Value: i.Value, Remedy: i.Remedy}
}

type rankKey struct {
	group identifier.ModelGroup
	rank  identifier.Rank
}

// checker collects the inconsistencies of a set of resources. It indexes the resources that others refer to, and the
// first resource with each value that must be unique.
type checker struct {
	domains         map[identifier.FailureDomain]bool
	groups          map[identifier.ModelGroup]ModelGroup
	services        map[identifier.Service]bool
	addresses       map[string]identifier.Upstream
	ranks           map[rankKey]identifier.Upstream
	digests         map[identifier.Digest]identifier.Customer
	inconsistencies []Inconsistency
}

// CheckSet returns the inconsistencies between the resources of a complete configuration.
func CheckSet(resources []Resource) []Inconsistency {
	c := checker{
		domains:   map[identifier.FailureDomain]bool{},
		groups:    map[identifier.ModelGroup]ModelGroup{},
		services:  map[identifier.Service]bool{},
		addresses: map[string]identifier.Upstream{},
		ranks:     map[rankKey]identifier.Upstream{},
		digests:   map[identifier.Digest]identifier.Customer{},
	}
	for _, r := range resources {
		c.index(r)
	}
	for _, r := range resources {
		c.check(r)
	}
	return c.inconsistencies
}

// index records a resource that others may refer to.
func (c *checker) index(r Resource) {
	switch r := r.(type) {
	case FailureDomain:
		c.domains[r.Name] = true
	case ModelGroup:
		c.groups[r.Name] = r
	case Service:
		c.services[r.Name] = true
	}
}

func (c *checker) check(r Resource) {
	switch r := r.(type) {
	case ModelGroup:
		c.checkModelGroup(r)
	case Upstream:
		c.checkUpstream(r)
	case Customer:
		c.checkCustomer(r)
	}
}

func (c *checker) report(r Resource, field, value, remedy string) {
	c.inconsistencies = append(c.inconsistencies, Inconsistency{Resource: r, Field: field, Value: value, Remedy: remedy})
}

func (c *checker) checkModelGroup(g ModelGroup) {
	for _, d := range g.FailureDomains {
		if !c.domains[d] {
			c.report(g, "failureDomains", string(d), "no failure domain has this name; declare it first or correct the name")
		}
	}
}

func (c *checker) checkUpstream(u Upstream) {
	if !c.domains[u.FailureDomain] {
		c.report(u, "failureDomain", string(u.FailureDomain), "no failure domain has this name; declare it first or correct the name")
	}
	if other, exists := c.addresses[u.Address]; exists {
		c.report(u, "address", u.Address, fmt.Sprintf("upstream %s has this address; each agent needs its own", other))
	} else {
		c.addresses[u.Address] = u.Name
	}
	if u.Service != "" && !c.services[u.Service] {
		c.report(u, "service", string(u.Service), "no service has this name; declare it first or correct the name")
	}
	if u.ModelGroup != "" {
		c.checkRank(u)
	}
}

// checkRank checks that the rank exists and that no other upstream has it. An upstream that is leaving may share its
// rank with its replacement.
func (c *checker) checkRank(u Upstream) {
	group, exists := c.groups[u.ModelGroup]
	if !exists {
		c.report(u, "modelGroup", string(u.ModelGroup), "no model group has this name; declare it first or correct the name")
		return
	}
	value := fmt.Sprint(int(u.Rank))
	if int(u.Rank) >= group.Ranks {
		c.report(u, "rank", value, fmt.Sprintf("the model group has the ranks 0 to %d; use one of them", group.Ranks-1))
	}
	if u.State == UpstreamLeaving {
		return
	}
	key := rankKey{u.ModelGroup, u.Rank}
	if other, exists := c.ranks[key]; exists {
		c.report(u, "rank", value, fmt.Sprintf("upstream %s has this rank; use another or set that upstream to leaving first", other))
		return
	}
	c.ranks[key] = u.Name
}

// checkCustomer rejects a key digest that two customers share, since one could authenticate as the other. The problem
// contains neither the digest nor the name of the other customer, because both are confidential.
func (c *checker) checkCustomer(customer Customer) {
	for i, d := range customer.KeyDigests {
		if _, exists := c.digests[d]; exists {
			c.report(customer, fmt.Sprintf("keyDigests[%d]", i), "", "another customer has this key; issue a new key")
			continue
		}
		c.digests[d] = customer.Name
	}
}
