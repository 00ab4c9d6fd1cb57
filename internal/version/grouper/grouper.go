// Package grouper knows which upstreams are ranks of which model group. The leader of the expert maps learns it from the
// reports of the ranks and passes it on as rows of a table that gateways copy from each other; the platform's store does
// not hold the table. The package does no I/O.
package grouper

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/replicator"
)

// Table is the table of groups, with one row for each.
const Table replicator.Table = "groups"

// Membership is what a row holds: the addresses of the ranks of a group. A rank that restarts keeps its address.
type Membership struct {
	ID        identifier.GroupID
	Addresses []string
}

type wireMembership struct {
	Service   string   `json:"service"`
	Group     string   `json:"group"`
	Addresses []string `json:"addresses"`
}

// Encode returns the row of a group.
func Encode(m Membership, version uint64) (replicator.Row, error) {
	raw, err := json.Marshal(wireMembership{
		Service: string(m.ID.Service), Group: string(m.ID.Group), Addresses: m.Addresses,
	})
	return replicator.Row{Key: m.ID.String(), Value: raw, Version: version}, errors.Wrap(err, "encode the ranks of a group")
}

func decode(row replicator.Row) (Membership, error) {
	var w wireMembership
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Membership{}, errors.Wrapf(err, "row of group %q", row.Key)
	}
	m := Membership{
		ID:        identifier.GroupID{Service: identifier.Service(w.Service), Group: identifier.ModelGroup(w.Group)},
		Addresses: w.Addresses,
	}
	if m.ID.Group == "" || m.ID.String() != row.Key {
		return Membership{}, errors.Newf("row of group %q: its service and group do not match its key", row.Key)
	}
	return m, nil
}

// Assign sets the group of each upstream of a service with groups from the rows of the table. If an address is in
// several rows, the newest counts. An upstream in no row belongs to the only group of its service, or to none if there
// are several. It returns the problems with rows, which it skips.
func Assign(rows []replicator.Row, upstreams []cataloguer.Upstream) []error {
	type endpoint struct {
		service identifier.Service
		address string
	}
	var problems []error
	groups := map[endpoint]identifier.ModelGroup{}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(x, y replicator.Row) int { return cmp.Compare(x.Version, y.Version) })
	for _, row := range rows {
		m, err := decode(row)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		for _, address := range m.Addresses {
			groups[endpoint{m.ID.Service, address}] = m.ID.Group
		}
	}
	// Rows of groups that have ended name addresses that are no longer listed.
	listed := map[identifier.Service]map[identifier.ModelGroup]bool{}
	for i := range upstreams {
		u := &upstreams[i]
		u.Group = groups[endpoint{u.Service, u.Address}]
		if u.Group == "" {
			continue
		}
		if listed[u.Service] == nil {
			listed[u.Service] = map[identifier.ModelGroup]bool{}
		}
		listed[u.Service][u.Group] = true
	}
	for i := range upstreams {
		u := &upstreams[i]
		if names := listed[u.Service]; u.Group == "" && len(names) == 1 {
			for name := range names {
				u.Group = name
			}
		}
	}
	return problems
}

// Update returns the rows that record the ranks of a group at a version: its own row if the rows lack it or differ, and
// tombstones of the service's groups of which no address is listed any more, which bounds the table.
func Update(rows []replicator.Row, upstreams []cataloguer.Upstream, m Membership, version uint64) ([]replicator.Row, error) {
	m.Addresses = slices.Sorted(slices.Values(m.Addresses))
	own, err := Encode(m, version)
	if err != nil {
		return nil, err
	}
	isKnown := func(other replicator.Row) bool {
		return other.Key == own.Key && string(other.Value) == string(own.Value)
	}
	at := slices.IndexFunc(rows, isKnown)
	var changed []replicator.Row
	for _, row := range rows {
		known, err := decode(row)
		if err != nil || known.ID.Service != m.ID.Service || row.Key == own.Key {
			continue
		}
		if at >= 0 && row.Version > rows[at].Version && slices.ContainsFunc(m.Addresses, func(address string) bool {
			return slices.Contains(known.Addresses, address)
		}) {
			// A rank has come back from another group, whose row is newer.
			at = -1
		}
		if !slices.ContainsFunc(upstreams, func(u cataloguer.Upstream) bool {
			return u.Service == known.ID.Service && slices.Contains(known.Addresses, u.Address)
		}) {
			changed = append(changed, replicator.Row{Key: row.Key, Version: version, Deleted: true})
		}
	}
	if at < 0 {
		changed = append(changed, own)
	}
	return changed, nil
}
