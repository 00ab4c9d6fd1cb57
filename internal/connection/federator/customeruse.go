package federator

import (
	"cmp"
	"maps"
	"slices"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// maxUsesPerQueue bounds the customers that a datagram names for a service and priority. Those that use most are enough
	// to find the ones that exceed their share.
	maxUsesPerQueue = 16
	// maxUseQueues bounds the pairs of service and priority, so that all uses take about 1 KB of a datagram.
	maxUseQueues = 4
	// minReportedUse is the work below which a customer is not named.
	minReportedUse = 0.5
	// minReportedUsual is the usual load from which a customer is named although it asks for little: a gateway among many has
	// a small part of it, and the sum over all counts.
	minReportedUsual = 0.05
)

// CustomerKey names the use of a customer: that of one service by requests of one priority.
type CustomerKey struct {
	Service  identifier.Service
	Priority int
	Customer identifier.Customer
}

// CustomerUse is what a customer has asked for and been granted lately, in requests.
type CustomerUse struct {
	Asked   float64
	Granted float64
	// Usual is what the customer usually asks for in the same time, or 0 if that is unknown.
	Usual float64
}

// size returns what the customer asks for, or usually does.
func (u CustomerUse) size() float64 {
	return max(u.Asked, u.Usual)
}

// CustomerUses holds the uses of customers.
type CustomerUses map[CustomerKey]CustomerUse

// Add adds the uses of other gateways.
func (u CustomerUses) Add(other CustomerUses) {
	for key, use := range other {
		known := u[key]
		u[key] = CustomerUse{Asked: known.Asked + use.Asked, Granted: known.Granted + use.Granted, Usual: known.Usual + use.Usual}
	}
}

// Largest returns the uses of the customers that ask for most or usually do, as many as a datagram may hold.
func (u CustomerUses) Largest() CustomerUses {
	type queue struct {
		service  identifier.Service
		priority int
	}
	asked := map[queue]float64{}
	keys := map[queue][]CustomerKey{}
	for key, use := range u {
		if use.Asked < minReportedUse && use.Granted < minReportedUse && use.Usual < minReportedUsual {
			continue
		}
		q := queue{key.Service, key.Priority}
		asked[q] += use.Asked
		keys[q] = append(keys[q], key)
	}
	queues := slices.SortedFunc(maps.Keys(keys), func(x, y queue) int {
		return cmp.Or(cmp.Compare(asked[y], asked[x]), cmp.Compare(x.service, y.service), cmp.Compare(x.priority, y.priority))
	})
	out := CustomerUses{}
	for _, q := range queues[:min(len(queues), maxUseQueues)] {
		slices.SortFunc(keys[q], func(x, y CustomerKey) int {
			return cmp.Or(cmp.Compare(u[y].size(), u[x].size()), cmp.Compare(x.Customer, y.Customer))
		})
		for _, key := range keys[q][:min(len(keys[q]), maxUsesPerQueue)] {
			out[key] = u[key]
		}
	}
	return out
}
