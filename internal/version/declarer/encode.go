package declarer

import (
	"bytes"
	"encoding/json"
)

// field is one field of an encoded object.
type field struct {
	name  string
	value any
}

// fields is an encoded object. A slice, unlike a map, keeps the order in which the fields are listed.
type fields []field

// MarshalJSON encodes the fields as an object in their order.
func (f fields) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, member := range f {
		if i > 0 {
			b.WriteByte(',')
		}
		value, err := json.Marshal(member.value)
		if err != nil {
			return nil, err
		}
		b.WriteString(`"` + member.name + `":`)
		b.Write(value)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// Encode returns the canonical JSON of a resource: every applicable field is present, in a fixed order.
func Encode(r Resource) []byte {
	// Marshal fails only for types that no resource contains.
	text, _ := json.Marshal(encode(r))
	return text
}

func encode(r Resource) fields {
	switch r := r.(type) {
	case ModelGroup:
		return encodeModelGroup(r)
	case FailureDomain:
		return fields{{"name", r.Name}, {"region", r.Region}, {"state", r.State}}
	case Upstream:
		return encodeUpstream(r)
	case Customer:
		return fields{
			{"name", r.Name},
			{"share", float64(r.Share)},
			{"keyDigests", nonNil(r.KeyDigests)},
			{"maxWaiting", r.MaxWaiting},
		}
	case Service:
		return fields{{"name", r.Name}, {"idempotentPaths", nonNil(r.IdempotentPaths)}}
	default:
		return nil
	}
}

func encodeModelGroup(g ModelGroup) fields {
	models := make([]fields, 0, len(g.Models))
	for _, m := range g.Models {
		models = append(models, fields{{"name", m.Name}, {"version", m.Version}, {"adapters", nonNil(m.Adapters)}})
	}
	return fields{
		{"name", g.Name},
		{"models", models},
		{"failureDomains", nonNil(g.FailureDomains)},
		{"ranks", g.Ranks},
		{"experts", g.Experts},
		{"expertBytes", int64(g.ExpertBytes)},
	}
}

func encodeUpstream(u Upstream) fields {
	f := fields{{"name", u.Name}, {"address", u.Address}, {"failureDomain", u.FailureDomain}}
	if u.ModelGroup != "" {
		f = append(f, field{"modelGroup", u.ModelGroup}, field{"rank", int(u.Rank)})
	} else {
		f = append(f, field{"service", u.Service})
	}
	return append(
		f,
		field{"coldLimit", int(u.ColdLimit)},
		field{"warmLimit", int(u.WarmLimit)},
		field{"warmAfter", u.WarmAfter},
		field{"checksFence", u.ChecksFence},
		field{"state", u.State},
	)
}

// nonNil returns an empty slice for nil, so that the JSON has [] instead of null.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
