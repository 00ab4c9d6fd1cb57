package storer

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const stateLeaving = "leaving"

// The JSON forms of requests and responses.
type (
	wireCondition struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	wireWrite struct {
		Key    string `json:"key"`
		Value  []byte `json:"value,omitempty"`
		Delete bool   `json:"delete,omitempty"`
	}
	wireTransaction struct {
		Conditions []wireCondition `json:"conditions"`
		Writes     []wireWrite     `json:"writes"`
	}
	wireVersions struct {
		Versions map[string]uint64 `json:"versions"`
	}
	wireRow struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	wireConflicts struct {
		Conflicts []wireRow `json:"conflicts"`
	}
	wireKeys struct {
		Keys []string `json:"keys"`
	}
	wireRows struct {
		Rows []wireRow `json:"rows"`
	}
	wireVM struct {
		Name          string `json:"name"`
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
	}
	wireVMs struct {
		VMs  []wireVM  `json:"vms"`
		AsOf time.Time `json:"asOf"`
	}
	wireFetch struct {
		Bytes int64 `json:"bytes"`
	}
)

func encodeTransaction(conditions []Condition, writes []Write) wireTransaction {
	w := wireTransaction{
		Conditions: make([]wireCondition, 0, len(conditions)),
		Writes:     make([]wireWrite, 0, len(writes)),
	}
	for _, c := range conditions {
		w.Conditions = append(w.Conditions, wireCondition(c))
	}
	for _, x := range writes {
		w.Writes = append(w.Writes, wireWrite(x))
	}
	return w
}

func decodeRows(rows []wireRow) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row(r))
	}
	return out
}

func decodeVMs(vms []wireVM) []VM {
	out := make([]VM, 0, len(vms))
	for _, v := range vms {
		out = append(out, VM{
			Name:          identifier.Node(v.Name),
			Address:       v.Address,
			FailureDomain: identifier.FailureDomain(v.FailureDomain),
			Leaving:       v.State == stateLeaving,
		})
	}
	return out
}
