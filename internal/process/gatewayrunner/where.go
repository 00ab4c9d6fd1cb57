package gatewayrunner

import (
	"math"
	"net/http"
	"time"

	"currantledge.example/currantledge/internal/connection/inquirer"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/forwarder"
	"currantledge.example/currantledge/internal/request/sharer"
	"currantledge.example/currantledge/internal/version/replicator"
	"currantledge.example/currantledge/platform"
)

// maxCandidates bounds the upstreams in an answer.
const maxCandidates = 512

// where answers where a request would go now.
func (g *gateway) where(r *http.Request) inquirer.Answer {
	e := g.forwarder.Explain(r)
	out := inquirer.Answer{
		Gateway: string(g.settings.Node), FailureDomain: string(g.settings.FailureDomain), At: e.Arrived,
		Request: describeRequest(e), State: g.describeState(e.Arrived),
	}
	out.State.ConfigVersion = uint64(e.ConfigVersion)
	switch o := e.Outcome.(type) {
	case forwarder.Invalid:
		out.Decision = inquirer.Decision{Kind: inquirer.KindInvalid, Status: o.Status, Reason: o.Message, Detail: o.Detail}
	case forwarder.Refused:
		out.Decision = describeRefusal(o.Refused)
	case forwarder.Admission:
		describeAdmission(o.Explanation, &out)
	}
	return out
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func describeRequest(e forwarder.Explanation) inquirer.Request {
	out := inquirer.Request{
		Route: e.Route.Name, Prefix: e.Route.Prefix, Customer: string(e.Customer), Service: string(e.Service),
		Priority: e.Route.Priority,
	}
	for _, t := range e.Route.Targets {
		out.Targets = append(out.Targets, inquirer.Target{Service: string(t.Service), Weight: t.Weight})
	}
	if e.Request.Deadline.IsZero() {
		return out
	}
	left := func(until time.Time) float64 { return milliseconds(max(0, until.Sub(e.Arrived))) }
	out.Priority, out.ClientRetries, out.Isolated = e.Request.Priority, !e.Request.NoClientRetry, e.Request.IsolateBy != ""
	out.OnTimeMs, out.GrantMs, out.DeadlineMs = left(e.Request.OnTimeUntil), left(e.Request.GrantUntil), left(e.Request.Deadline)
	return out
}

func describeRefusal(r admitter.Refused) inquirer.Decision {
	return inquirer.Decision{
		Kind: inquirer.KindRefusal, Status: http.StatusServiceUnavailable, Reason: string(r.Reason),
		RetryAfterMs: milliseconds(r.RetryAfter),
	}
}

// describeAdmission adds the decision of the admitter and what it weighed to an answer.
func describeAdmission(e admitter.Explanation, out *inquirer.Answer) {
	switch d := e.Decision.(type) {
	case nil:
		out.Decision = inquirer.Decision{Kind: inquirer.KindWait}
	case admitter.Refused:
		out.Decision = describeRefusal(d)
	case admitter.Granted:
		out.Decision = inquirer.Decision{
			Kind: inquirer.KindUpstream, Upstream: string(d.Upstream.ID), Address: d.Upstream.Address,
			FailureDomain: string(d.Upstream.FailureDomain), Group: string(d.Upstream.Group), Probe: e.Probe,
		}
	}
	out.Queue = &inquirer.Queue{Waiting: e.Waiting, Ahead: e.Ahead, ExpectedWaitMs: milliseconds(e.ExpectedWait), Late: e.Late}
	if out.Request.Customer != "" {
		out.Share = &inquirer.Share{Standing: describeStanding(e.Standing), Asked: e.Share.Asked, Granted: e.Share.Granted}
		if share := e.Share.Share; !math.IsInf(share, 1) {
			out.Share.Share, out.Share.Usual = &share, e.Share.Usual
		}
	}
	for _, p := range e.Groups {
		state := "open"
		switch {
		case p.Closed:
			state = "closed"
		case p.Stalled:
			state = "stalled"
		}
		out.Groups = append(out.Groups, inquirer.Group{
			Group: string(p.Group), State: state, OpensInMs: milliseconds(p.OpensIn), Admits: p.Admits, Ranks: p.Ranks,
			Running: p.Running, PeerRunning: p.PeerRunning, Starting: p.Starting, Limit: p.Limit, Capacity: p.Capacity,
		})
	}
	out.Compared, out.OmittedCandidates = e.Compared, max(0, len(e.Candidates)-maxCandidates)
	for _, c := range e.Candidates[:min(len(e.Candidates), maxCandidates)] {
		candidate := inquirer.Candidate{
			Upstream: string(c.Upstream.ID), Group: string(c.Upstream.Group), FailureDomain: string(c.Upstream.FailureDomain),
			Running: c.Running, PeerRunning: c.PeerRunning, Slots: c.Upstream.Slots, Score: c.Score, Obstacle: string(c.Obstacle),
		}
		if c.HasLimit {
			candidate.Limit = &c.Limit
		}
		out.Candidates = append(out.Candidates, candidate)
	}
	out.State.Gateways = e.Gateways
}

func describeStanding(s sharer.Standing) string {
	switch s {
	case sharer.Over:
		return "over"
	case sharer.Limited:
		return "limited"
	default:
		return "within"
	}
}

// describeState returns the state of the gateway that decisions are based on.
func (g *gateway) describeState(now time.Time) inquirer.State {
	own := g.replicator.Version(platform.UpstreamTable)
	out := inquirer.State{
		Upstreams: len(g.fleet.Load().Upstreams), ListVersion: replicator.VersionText(own), Stopping: g.isStopping(), Gateways: 1,
	}
	confirmed := g.upstreamFollower.LastResponse()
	hear := func(version uint64, storeResponse time.Time) {
		if version == own && storeResponse.After(confirmed) {
			confirmed = storeResponse
		}
		out.ListOutdated = out.ListOutdated || version > own
	}
	for _, p := range g.domainPeers() {
		out.PeersKnown++
		if !p.Silent {
			out.PeersLive++
			hear(p.Versions[platform.UpstreamTable], p.LastStoreResponse())
		}
	}
	for _, s := range g.gossiper.Summaries() {
		out.PeersKnown += s.Known
		if !s.IsSilent(now) {
			out.PeersLive += s.Live
			hear(s.Versions[platform.UpstreamTable], s.StoreRespondedAt)
		}
	}
	out.Gateways += out.PeersKnown
	if !confirmed.IsZero() {
		age := milliseconds(max(0, now.Sub(confirmed)))
		out.ListAgeMs = &age
	}
	return out
}
