package gossiper

import (
	"maps"
	"math"
	"slices"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// useUnit is the unit of uses in a datagram: tenths of a request take 2 or 3 bytes each.
	useUnit = 0.1
	// usualUnit is that of usual loads, of which a gateway among many has less than a request.
	usualUnit = 0.01
)

// wireCustomerUses is the CBOR form of CustomerUses: by service, priority and customer.
type wireCustomerUses map[string]map[int]map[string]wireCustomerUse

// wireCustomerUse is the CBOR form of a CustomerUse, an array of two numbers in useUnit.
type wireCustomerUse struct {
	_       struct{} `cbor:",toarray"`
	Asked   uint32
	Granted uint32
}

func encodeCustomerUses(in federator.CustomerUses) wireCustomerUses {
	out := wireCustomerUses{}
	for key, use := range in {
		byPriority := out[string(key.Service)]
		if byPriority == nil {
			byPriority = map[int]map[string]wireCustomerUse{}
			out[string(key.Service)] = byPriority
		}
		if byPriority[key.Priority] == nil {
			byPriority[key.Priority] = map[string]wireCustomerUse{}
		}
		byPriority[key.Priority][string(key.Customer)] = wireCustomerUse{Asked: encodeUse(use.Asked, useUnit), Granted: encodeUse(use.Granted, useUnit)}
	}
	return out
}

func encodeUse(use, unit float64) uint32 {
	return uint32(min(max(math.Round(use/unit), 0), math.MaxUint32))
}

// wireUsualLoads is the CBOR form of the usual loads in CustomerUses, in usualUnit: by service and priority, in the order
// of the names of customers in wireCustomerUses. Gateways of earlier builds accept no third number in wireCustomerUse,
// and ignore this field.
type wireUsualLoads map[string]map[int][]uint32

// encodeUsualLoads omits services and priorities without usual loads.
func encodeUsualLoads(in federator.CustomerUses, uses wireCustomerUses) wireUsualLoads {
	out := wireUsualLoads{}
	for service, byPriority := range uses {
		for priority, of := range byPriority {
			loads, found := make([]uint32, 0, len(of)), false
			for _, customer := range slices.Sorted(maps.Keys(of)) {
				key := federator.CustomerKey{
					Service: identifier.Service(service), Priority: priority, Customer: identifier.Customer(customer),
				}
				loads = append(loads, encodeUse(in[key].Usual, usualUnit))
				found = found || in[key].Usual > 0
			}
			if !found {
				continue
			}
			if out[service] == nil {
				out[service] = map[int][]uint32{}
			}
			out[service][priority] = loads
		}
	}
	return out
}

// decodeCustomerUses ignores usual loads that do not match the customers.
func decodeCustomerUses(in wireCustomerUses, usual wireUsualLoads) federator.CustomerUses {
	out := federator.CustomerUses{}
	for service, byPriority := range in {
		for priority, uses := range byPriority {
			loads := usual[service][priority]
			for i, customer := range slices.Sorted(maps.Keys(uses)) {
				use := uses[customer]
				key := federator.CustomerKey{
					Service: identifier.Service(service), Priority: priority, Customer: identifier.Customer(customer),
				}
				decoded := federator.CustomerUse{Asked: float64(use.Asked) * useUnit, Granted: float64(use.Granted) * useUnit}
				if len(loads) == len(uses) {
					decoded.Usual = float64(loads[i]) * usualUnit
				}
				out[key] = decoded
			}
		}
	}
	return out
}
