package declarer

import (
	"path"
	"strings"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/parser"
)

// Bounds of resource fields.
const (
	maxRanks             = 4096
	maxExperts           = 65536
	maxExpertBytes       = 1 << 40
	maxLimitCredits      = 1 << 20
	maxWarmAfterRequests = 1 << 20
	maxWaitingRequests   = 1 << 20
	// Shares are relative weights without a unit.
	minShare = 0.001
	maxShare = 1e6
)

func decode(kind Kind, o *parser.Object) Resource {
	defer o.ReportUnknown()
	switch kind {
	case KindModelGroups:
		return decodeModelGroup(o)
	case KindFailureDomains:
		return decodeFailureDomain(o)
	case KindUpstreams:
		return decodeUpstream(o)
	case KindCustomers:
		return decodeCustomer(o)
	default:
		return decodeService(o)
	}
}

func decodeModelGroup(o *parser.Object) ModelGroup {
	g := ModelGroup{
		Name:           identifier.ModelGroup(o.Text("name", parser.Name())),
		FailureDomains: convertTexts[identifier.FailureDomain](o.Texts("failureDomains", 1, parser.Name())),
		Ranks:          int(o.Integer("ranks", 1, maxRanks)),
		Experts:        int(o.Integer("experts", 1, maxExperts)),
		ExpertBytes:    identifier.Bytes(o.Integer("expertBytes", 1, maxExpertBytes)),
	}
	versions := map[string]bool{}
	for _, m := range o.Objects("models", 1) {
		model := decodeModel(m)
		key := string(model.Name) + "/" + model.Version
		if versions[key] && model.Name != "" {
			m.Report("version", model.Version, "the model is listed twice with this version; keep one")
		}
		versions[key] = true
		g.Models = append(g.Models, model)
	}
	return g
}

func decodeModel(o *parser.Object) Model {
	defer o.ReportUnknown()
	return Model{
		Name:     identifier.Model(o.Text("name", parser.Name())),
		Version:  o.Text("version", parser.Name()),
		Adapters: o.Texts("adapters", 0, parser.Name()),
	}
}

func decodeFailureDomain(o *parser.Object) FailureDomain {
	return FailureDomain{
		Name:   identifier.FailureDomain(o.Text("name", parser.Name())),
		Region: o.Text("region", parser.Name()),
		State:  DomainState(o.Choice("state", string(DomainIn), string(DomainIn), string(DomainOut))),
	}
}

func decodeUpstream(o *parser.Object) Upstream {
	u := Upstream{
		Name:          identifier.Upstream(o.Text("name", parser.Name())),
		Address:       o.Text("address", parser.PeerAddress()),
		FailureDomain: identifier.FailureDomain(o.Text("failureDomain", parser.Name())),
		ModelGroup:    identifier.ModelGroup(o.OptionalText("modelGroup", "", parser.Name())),
		Service:       identifier.Service(o.OptionalText("service", "", parser.Name())),
		ColdLimit:     identifier.Credits(o.Integer("coldLimit", 1, maxLimitCredits)),
		WarmLimit:     identifier.Credits(o.Integer("warmLimit", 1, maxLimitCredits)),
		WarmAfter:     int(o.Integer("warmAfter", 1, maxWarmAfterRequests)),
		ChecksFence:   o.Bool("checksFence"),
		State:         UpstreamState(o.Choice("state", string(UpstreamActive), string(UpstreamActive), string(UpstreamLeaving))),
	}
	if u.WarmLimit != 0 && u.WarmLimit < u.ColdLimit {
		o.Report("warmLimit", "", "the warm limit is below coldLimit; raise it or lower coldLimit")
	}
	switch {
	case o.Has("modelGroup") && o.Has("service"):
		o.Report("service", "", "an upstream belongs to a modelGroup or to a service; remove one of the two")
	case !o.Has("modelGroup") && !o.Has("service"):
		o.Report("modelGroup", "", "an upstream belongs to a modelGroup or to a service; add one of the two")
	}
	if o.Has("modelGroup") {
		u.Rank = identifier.Rank(o.Integer("rank", 0, maxRanks-1))
	} else if o.Has("rank") {
		// ReportUnknown reports fields that were not read.
		o.Integer("rank", 0, maxRanks-1)
		o.Report("rank", "", "only upstreams of a modelGroup have a rank; remove it")
	}
	return u
}

func decodeCustomer(o *parser.Object) Customer {
	return Customer{
		Name:       identifier.Customer(o.Text("name", parser.Name())),
		Share:      identifier.Share(o.Number("share", minShare, maxShare)),
		KeyDigests: convertTexts[identifier.Digest](o.Texts("keyDigests", 0, parser.Digest())),
		MaxWaiting: int(o.Integer("maxWaiting", 1, maxWaitingRequests)),
	}
}

func decodeService(o *parser.Object) Service {
	return Service{
		Name:            identifier.Service(o.Text("name", parser.Name())),
		IdempotentPaths: o.Texts("idempotentPaths", 0, parser.Rule{Check: checkPath}),
	}
}

// checkPath returns a remedy if the value is not a pattern for IdempotentPaths.
func checkPath(value string) string {
	trimmed := strings.TrimSuffix(value, wildcardSuffix)
	if strings.Contains(trimmed, "*") || (trimmed != "" && !isCanonicalPath(trimmed)) || value == "" {
		return "write a path below the service such as /stock, or /stock/* for all paths below it, unencoded and without . and .."
	}
	return ""
}

// isCanonicalPath reports whether a path is absolute, not percent-encoded, without parameters and in its shortest form.
func isCanonicalPath(p string) bool {
	return strings.HasPrefix(p, "/") && path.Clean(p) == p && !strings.ContainsAny(p, "%?#;\\")
}

// convertTexts converts texts to a string type and keeps nil.
func convertTexts[T ~string](texts []string) []T {
	if texts == nil {
		return nil
	}
	out := make([]T, 0, len(texts))
	for _, t := range texts {
		out = append(out, T(t))
	}
	return out
}
