// Package federator decides which gateways exchange their states, and keeps what a gateway knows of the others. Gateways
// of one failure domain send their complete states to each other. Two of them, the relays on the VMs with the fastest
// links, exchange summaries of their domains with the relays of other domains and pass these on within their own. The
// bytes between failure domains thus grow with the number of domains, not with that of gateways. The package does no I/O
// and reads no clock.
package federator

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// silentAfter is how long no datagram of a peer may arrive before its counts are no longer used: five lost datagrams
	// in a row. It also applies to the age of a summary.
	silentAfter = time.Second
	// removeAfter is the time without a datagram after which a peer or a summary is removed. Until then a silent peer
	// still counts as one of the gateways that share a budget, so that shares do not grow while gateways are partitioned
	// or restarted.
	removeAfter = 15 * time.Second
	// forgetAfter is the time without a datagram after which an address is removed. Between removeAfter and forgetAfter
	// it gets greetings only, so that the two sides of a partition find each other after it.
	forgetAfter = 2 * time.Minute
	// relaysPerDomain is two, so that the loss of one relay delays no state.
	relaysPerDomain = 2
	// maxSentPeers is how many known addresses a datagram carries.
	maxSentPeers = 8
	// maxSentCounts is how many counts of upstreams, classes of waiting requests and customers the summaries in one datagram
	// hold. A count takes about 15 to 25 bytes, and a datagram at most 64 KiB.
	maxSentCounts = 2000
	// maxTargets bounds the known addresses, which others name.
	maxTargets = 4096
	// maxGreetings bounds the datagrams in one round to addresses whose failure domain is not known.
	maxGreetings = 8
	// replyInterval is the least time between two replies to greetings from one address.
	replyInterval = 300 * time.Millisecond
	// relayNamingRounds is the number of rounds in one of which relays are named to other failure domains.
	relayNamingRounds = 5
	// relayTimeout is how long a gateway counts as a relay after it was last named as one.
	relayTimeout = 2 * time.Second
	// slowedAge is how long a summary tells that the passes of a group have become slower: the leader of the expert maps
	// ignores older signs.
	slowedAge = time.Second
	// openingTolerance tells two reports of one opening of a group from reports of two openings: the ages in summaries
	// do not include the time on the network.
	openingTolerance = 300 * time.Millisecond
)

// Config sets up a Federator.
type Config struct {
	Node          identifier.Node
	FailureDomain identifier.FailureDomain
	LinkSpeed     identifier.Mbps
	// Address is the datagram address of this gateway.
	Address string
	// Incarnation is that of this gateway.
	Incarnation identifier.Incarnation
}

// target is an address at which a gateway may listen.
type target struct {
	// heardAt is when the address was added or a datagram from it arrived last.
	heardAt time.Time
	// domain is the failure domain of the gateway, or empty if it is not known.
	domain identifier.FailureDomain
	// repliedAt is when a greeting from the address was last replied to.
	repliedAt time.Time
	// relayAt is when the gateway was last known to be a relay.
	relayAt time.Time
}

// Federator holds the peers of a gateway. It is not safe for concurrent use.
type Federator struct {
	cfg Config
	// peers holds the gateways of the own failure domain, and the leader of the expert maps wherever it is.
	peers   map[identifier.Node]*Peer
	targets map[string]*target
	// summaries holds the latest summary of each relay of other failure domains.
	summaries map[identifier.Node]Summary
	// openedHere holds when gateways of the own domain last reported that a group opened, and opened when any gateway did.
	openedHere map[identifier.GroupID]time.Time
	opened     map[identifier.GroupID]time.Time
	// slowedHere holds when gateways of the own domain last showed that the passes of a group have become slower, and slowed
	// when any gateway did.
	slowedHere map[identifier.GroupID]time.Time
	slowed     map[identifier.GroupID]time.Time
	sequence   uint64
	// groupsAt is when the leader sent the states of groups that were reported last.
	groupsAt time.Time
	events   []Event
	// greeted is the position in the sorted list of unknown addresses at which the next round of greetings starts.
	greeted int
}

// New returns a Federator without peers.
func New(cfg Config) *Federator {
	return &Federator{
		cfg:        cfg,
		peers:      map[identifier.Node]*Peer{},
		targets:    map[string]*target{},
		summaries:  map[identifier.Node]Summary{},
		openedHere: map[identifier.GroupID]time.Time{},
		opened:     map[identifier.GroupID]time.Time{},
		slowedHere: map[identifier.GroupID]time.Time{},
		slowed:     map[identifier.GroupID]time.Time{},
	}
}

// Add adds the datagram address of a possible peer. It is removed again if no datagram arrives from it within
// forgetAfter.
func (f *Federator) Add(now time.Time, address string) {
	f.target(now, address)
}

// addInDomain adds the datagram address of a possible peer in a failure domain.
func (f *Federator) addInDomain(now time.Time, address string, domain identifier.FailureDomain) {
	if t := f.target(now, address); t != nil {
		t.domain = domain
	}
}

// target returns the target with an address, which it adds if needed. It returns nil for the gateway's own address, and
// for a new one if there are maxTargets already.
func (f *Federator) target(now time.Time, address string) *target {
	if address == f.cfg.Address || address == "" {
		return nil
	}
	t, known := f.targets[address]
	if known {
		return t
	}
	if len(f.targets) >= maxTargets {
		return nil
	}
	t = &target{heardAt: now}
	f.targets[address] = t
	return t
}

// host returns an address without its port.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return h
}

// Receive records a datagram that arrived from an address. It ignores the gateway's own datagrams, those that name
// another VM than they came from for datagrams or rows, and those that are older than the last one of their sender. It
// returns the addresses to which the state is to be sent at once, and whether this gateway is a relay and has news to
// pass on at once.
func (f *Federator) Receive(now time.Time, from string, d Datagram) (replies []string, urgent bool) {
	s := d.State
	if s.Node == "" || s.Node == f.cfg.Node || s.Address != from || s.Address == f.cfg.Address || host(s.ControlAddress) != host(from) {
		return nil, false
	}
	t := f.target(now, from)
	if t == nil {
		return nil, false
	}
	t.heardAt, t.domain = now, s.FailureDomain
	if !s.Crashes.IsEmpty() {
		f.events = append(f.events, CrashesReported{Peer: s.Node, Report: s.Crashes})
	}
	if len(s.Limits) > 0 {
		f.events = append(f.events, LimitsReported{Peer: s.Node, Limits: s.Limits})
	}
	if len(s.Notices) > 0 {
		f.events = append(f.events, NoticesReported{Peer: s.Node, Notices: s.Notices})
	}
	if s.FailureDomain == f.cfg.FailureDomain {
		return nil, f.receiveOwn(now, d) && f.IsRelay()
	}
	urgent = f.receiveRemote(now, d) && f.IsRelay()
	if len(d.Summaries) == 0 && now.Sub(t.repliedAt) >= replyInterval {
		t.repliedAt = now
		replies = []string{from}
	}
	return replies, urgent
}

// addHints adds the addresses that a datagram names.
func (f *Federator) addHints(now time.Time, d Datagram) {
	for _, address := range d.State.Peers {
		f.addInDomain(now, address, f.cfg.FailureDomain)
	}
	for _, c := range d.Relays {
		f.addInDomain(now, c.Address, c.FailureDomain)
		if t := f.target(now, c.Address); t != nil {
			t.relayAt = now
		}
	}
}

// receiveOwn records a datagram of a gateway of the own failure domain.
func (f *Federator) receiveOwn(now time.Time, d Datagram) bool {
	previous, accepted := f.recordPeer(now, d.State)
	urgent := false
	// Several datagrams of one round carry the summaries; their order is that of the summaries themselves.
	for _, s := range d.Summaries {
		if s.FailureDomain != f.cfg.FailureDomain {
			urgent = f.recordSummary(now, s) || urgent
		}
	}
	if !accepted {
		return urgent
	}
	f.addHints(now, d)
	urgent = urgent || previous == nil || previous.Incarnation != d.State.Incarnation || previous.Leading != d.State.Leading || previous.Stopping != d.State.Stopping ||
		previous.Resigned != d.State.Resigned || previous.StoreLost != d.State.StoreLost
	// After a restart of the peer its counts start again and cannot be compared.
	if previous != nil && previous.Incarnation == d.State.Incarnation {
		for group, n := range d.State.GroupsOpened {
			if n > previous.GroupsOpened[group] {
				f.openedHere[group] = now
				urgent = f.recordOpening(group, now) || urgent
			}
		}
		for group, n := range d.State.GroupsSlowed {
			if n > previous.GroupsSlowed[group] {
				f.slowedHere[group] = now
				f.recordSlowing(group, now)
			}
		}
	}
	return urgent
}

// receiveRemote records a datagram of a gateway of another failure domain.
func (f *Federator) receiveRemote(now time.Time, d Datagram) bool {
	f.addHints(now, d)
	if d.State.Leading {
		f.recordPeer(now, d.State)
	}
	urgent := false
	for _, s := range d.Summaries {
		if s.FailureDomain == d.State.FailureDomain && s.Relay == d.State.Node {
			urgent = f.recordSummary(now, s) || urgent
		}
	}
	return urgent
}

// recordPeer records the state of a peer unless it is not newer than the last one. It returns the previous state or nil.
func (f *Federator) recordPeer(now time.Time, s State) (previous *Peer, accepted bool) {
	previous = f.peers[s.Node]
	if previous != nil && (s.Incarnation < previous.Incarnation || s.Incarnation == previous.Incarnation && s.Sequence <= previous.Sequence) {
		return previous, false
	}
	peer := &Peer{State: s, ReceivedAt: now}
	f.peers[s.Node] = peer
	if previous == nil || previous.Silent || previous.Incarnation != s.Incarnation {
		f.events = append(f.events, PeerChanged{*peer})
	}
	if s.Leading {
		f.reportGroups(now, s.Groups)
	}
	return previous, true
}

// recordSummary records a summary of another failure domain unless it is not newer than the last one of its relay. It
// reports whether a group has opened.
func (f *Federator) recordSummary(now time.Time, s Summary) bool {
	if known, found := f.summaries[s.Relay]; found && !s.MadeAt.After(known.MadeAt) || now.Sub(s.MadeAt) > removeAfter {
		return false
	}
	f.summaries[s.Relay] = s
	if t := f.target(now, s.Address); t != nil {
		// This gateway or another one has heard from the relay.
		t.domain = s.FailureDomain
		t.heardAt, t.relayAt = latest(t.heardAt, s.MadeAt), latest(t.relayAt, s.MadeAt)
	}
	if s.Leader != nil && !s.IsSilent(now) {
		f.reportGroups(s.Leader.HeardAt, s.Leader.Groups)
	}
	urgent := false
	for group, at := range s.Opened {
		urgent = f.recordOpening(group, at) || urgent
	}
	for group, at := range s.Slowed {
		f.recordSlowing(group, at)
	}
	return urgent
}

// reportGroups reports the states of groups that a leader sent at a time, unless later ones were reported: a summary may
// arrive after a newer datagram of the leader itself.
func (f *Federator) reportGroups(at time.Time, groups map[identifier.GroupID]bool) {
	if !at.After(f.groupsAt) {
		return
	}
	f.groupsAt = at
	f.events = append(f.events, GroupsReported{groups})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordOpening records that a group opened, and reports whether that is new.
func (f *Federator) recordOpening(group identifier.GroupID, at time.Time) bool {
	if at.Sub(f.opened[group]) <= openingTolerance {
		return false
	}
	f.opened[group] = at
	f.events = append(f.events, GroupOpened{group})
	return true
}

// recordSlowing records that the passes of a group became slower at a time. Relays and gateways report one shift of demand
// at different times, so a report is new only openingTolerance after the last one.
func (f *Federator) recordSlowing(group identifier.GroupID, at time.Time) {
	if at.Sub(f.slowed[group]) <= openingTolerance {
		return
	}
	f.slowed[group] = at
	f.events = append(f.events, GroupSlowed{Group: group, At: at})
}

// RecordSlowing records that streams of this gateway showed that the passes of a group have become slower.
func (f *Federator) RecordSlowing(now time.Time, group identifier.GroupID) {
	f.slowedHere[group], f.slowed[group] = now, now
}

// RecordOpening records that requests of this gateway showed that a closed group works again.
func (f *Federator) RecordOpening(now time.Time, group identifier.GroupID) {
	f.openedHere[group], f.opened[group] = now, now
}

// Compose returns the datagrams of one round. The state needs no Node, FailureDomain, Address, Incarnation, Sequence and
// Peers.
func (f *Federator) Compose(now time.Time, s State) []Outgoing {
	f.expire(now)
	f.complete(&s)
	own, remote, unknown := f.sortTargets(now)
	isRelay, relays := f.IsRelay(), f.ownRelays()
	isAlone := len(relays) == 0
	inner := Datagram{State: s, Relays: relays}
	inner.State.Peers = selectPeers(own, f.sequence)
	var rest [][]Summary
	if isRelay {
		relays = append(relays, f.summaryRelays(now)...)
		inner.Relays = relays
		inner.Summaries, rest = splitSummaries(f.freshest(now))
	}
	greeting := Datagram{State: s, Relays: relays}
	greeting.State.omitCounts()
	out := []Outgoing{{Addresses: own, Datagram: inner}}
	for _, summaries := range rest {
		out = append(out, Outgoing{Addresses: own, Datagram: Datagram{State: greeting.State, Summaries: summaries}})
	}
	if isRelay || s.Leading {
		outer := greeting
		if isRelay {
			outer.Summaries = []Summary{f.summarize(now, s)}
		}
		if f.sequence%relayNamingRounds != 0 {
			outer.Relays = nil
		}
		out = append(out, Outgoing{Addresses: f.remoteRelays(now, remote), Datagram: outer})
	}
	if isAlone {
		// Any gateway may know some of the own domain.
		unknown = append(unknown, remote...)
	}
	if isRelay || isAlone {
		out = append(out, Outgoing{Addresses: f.nextGreetings(unknown), Datagram: greeting})
	}
	return slices.DeleteFunc(out, func(o Outgoing) bool { return len(o.Addresses) == 0 })
}

// splitSummaries divides summaries into those of the first datagram of a round and those of further ones, so that each
// datagram has at most maxSentCounts counts, or one summary.
func splitSummaries(all []Summary) (first []Summary, rest [][]Summary) {
	parts := [][]Summary{nil}
	counts := 0
	for _, s := range all {
		last := len(parts) - 1
		if counts += s.counts(); counts > maxSentCounts && len(parts[last]) > 0 {
			parts, counts = append(parts, nil), s.counts()
			last++
		}
		parts[last] = append(parts[last], s)
	}
	return parts[0], parts[1:]
}

// sortTargets returns the addresses in the own failure domain, those in others, and those whose domain is not known or
// from which no datagram has arrived for long.
func (f *Federator) sortTargets(now time.Time) (own, remote, unknown []string) {
	for address, t := range f.targets {
		switch {
		case t.domain == "" || now.Sub(t.heardAt) > removeAfter:
			unknown = append(unknown, address)
		case t.domain == f.cfg.FailureDomain:
			own = append(own, address)
		default:
			remote = append(remote, address)
		}
	}
	slices.Sort(own)
	return own, remote, unknown
}

// Reply returns the datagram that answers a greeting from an address in another failure domain. It names gateways of
// that domain.
func (f *Federator) Reply(now time.Time, address string, s State) Datagram {
	f.complete(&s)
	s.omitCounts()
	if asker, known := f.targets[address]; known {
		var peers []string
		for other, t := range f.targets {
			if other != address && t.domain == asker.domain && now.Sub(t.heardAt) <= removeAfter {
				peers = append(peers, other)
			}
		}
		slices.Sort(peers)
		s.Peers = selectPeers(peers, f.sequence)
	}
	return Datagram{State: s, Relays: f.ownRelays()}
}

func (f *Federator) complete(s *State) {
	f.sequence++
	s.Node, s.FailureDomain, s.LinkSpeed, s.Address = f.cfg.Node, f.cfg.FailureDomain, f.cfg.LinkSpeed, f.cfg.Address
	s.Incarnation, s.Sequence = f.cfg.Incarnation, f.sequence
}

// selectPeers returns up to maxSentPeers addresses. It goes on through the list with each sequence number.
func selectPeers(addresses []string, sequence uint64) []string {
	if len(addresses) <= maxSentPeers {
		return addresses
	}
	start := int(sequence%uint64(len(addresses))) * maxSentPeers % len(addresses)
	out := slices.Concat(addresses[start:], addresses[:start])
	return out[:maxSentPeers]
}

// nextGreetings returns the unknown addresses of the next round of greetings.
func (f *Federator) nextGreetings(unknown []string) []string {
	if len(unknown) <= maxGreetings {
		return unknown
	}
	slices.Sort(unknown)
	f.greeted %= len(unknown)
	out := slices.Concat(unknown[f.greeted:], unknown[:f.greeted])[:maxGreetings]
	f.greeted += maxGreetings
	return out
}

// remoteRelays returns those of the addresses in other failure domains to which the summary is sent: the relays. To a
// domain without a known relay it is sent to all known addresses, each of which may be one.
func (f *Federator) remoteRelays(now time.Time, addresses []string) []string {
	covered := map[identifier.FailureDomain]bool{}
	for _, t := range f.targets {
		if t.isRelay(now) {
			covered[t.domain] = true
		}
	}
	var out []string
	for _, address := range addresses {
		if t := f.targets[address]; t.isRelay(now) || !covered[t.domain] {
			out = append(out, address)
		}
	}
	return out
}

func (t *target) isRelay(now time.Time) bool {
	return now.Sub(t.relayAt) <= relayTimeout
}

// summaryRelays returns the relays of other failure domains whose summaries are used.
func (f *Federator) summaryRelays(now time.Time) []Contact {
	var out []Contact
	for _, s := range f.summaries {
		if !s.IsSilent(now) {
			out = append(out, Contact{Address: s.Address, FailureDomain: s.FailureDomain})
		}
	}
	return out
}

// IsRelay reports whether this gateway is one of the relays of its failure domain: the first live gateways by
// State.Precedes that are not stopping.
func (f *Federator) IsRelay() bool {
	own := State{Node: f.cfg.Node, LinkSpeed: f.cfg.LinkSpeed}
	preceding := 0
	for _, p := range f.peers {
		if f.isOwnLive(p) && p.Precedes(own) {
			preceding++
		}
	}
	return preceding < relaysPerDomain
}

func (f *Federator) isOwnLive(p *Peer) bool {
	return p.FailureDomain == f.cfg.FailureDomain && !p.Silent && !p.Stopping
}

// ownRelays returns the relays of the own failure domain, except this gateway.
func (f *Federator) ownRelays() []Contact {
	var live []*Peer
	for _, p := range f.peers {
		if f.isOwnLive(p) {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(x, y *Peer) int {
		if x.Precedes(y.State) {
			return -1
		}
		return 1
	})
	others := relaysPerDomain
	if f.IsRelay() {
		others--
	}
	var out []Contact
	for _, p := range live[:min(len(live), others)] {
		out = append(out, Contact{Address: p.Address, FailureDomain: p.FailureDomain})
	}
	return out
}

// summarize returns the summary of the own failure domain, to which this gateway contributes a state.
func (f *Federator) summarize(now time.Time, own State) Summary {
	s := Summary{
		FailureDomain: f.cfg.FailureDomain, Relay: f.cfg.Node, Address: f.cfg.Address, ControlAddress: own.ControlAddress,
		MadeAt: now, Versions: own.Versions, Running: map[identifier.Upstream]int{}, Opened: map[identifier.GroupID]time.Time{},
		Demand: map[identifier.Service]float64{}, Slowed: map[identifier.GroupID]time.Time{}, CustomerUses: CustomerUses{},
		Waiting: map[identifier.Service]Waiting{},
	}
	s.add(Peer{State: own, ReceivedAt: now})
	for _, p := range f.peers {
		if p.FailureDomain == f.cfg.FailureDomain {
			s.add(*p)
		}
	}
	s.CustomerUses = s.CustomerUses.Largest()
	for group, at := range f.openedHere {
		if now.Sub(at) < removeAfter {
			s.Opened[group] = at
		}
	}
	for group, at := range f.slowedHere {
		if now.Sub(at) < slowedAge {
			s.Slowed[group] = at
		}
	}
	return s
}

// add adds a gateway of the failure domain to the summary.
func (s *Summary) add(p Peer) {
	s.Known++
	if p.Resigned != 0 {
		s.Resigned = append(s.Resigned, p.Resigned)
	}
	if p.Leading && (s.Leader == nil || p.ReceivedAt.After(s.Leader.HeardAt)) {
		s.Leader = &Leader{Node: p.Node, Incarnation: p.Incarnation, Groups: p.Groups, HeardAt: p.ReceivedAt}
	}
	if p.Silent {
		return
	}
	s.Live++
	if !p.Stopping && !p.StoreLost {
		s.Usable++
	}
	for id, n := range p.Running {
		s.Running[id] += n
	}
	for service, perSecond := range p.Demand {
		s.Demand[service] += perSecond
	}
	s.CustomerUses.Add(p.CustomerUses)
	if p.Waiting != nil {
		s.Reporting++
		AddWaiting(s.Waiting, p.Waiting)
	}
	if at := p.LastStoreResponse(); at.After(s.StoreRespondedAt) {
		s.StoreRespondedAt = at
	}
}

// counts returns the number of counts in the summary.
func (s Summary) counts() int {
	n := len(s.Running) + len(s.CustomerUses)
	for _, w := range s.Waiting {
		n += len(w)
	}
	return n
}

// AddWaiting adds waiting requests to sums by service and class.
func AddWaiting(sums, waiting map[identifier.Service]Waiting) {
	for service, classes := range waiting {
		sum := sums[service]
		if sum == nil {
			sum = make(Waiting, len(classes))
			sums[service] = sum
		}
		for class, need := range classes {
			known := sum[class]
			sum[class] = Need{Requests: known.Requests + need.Requests, Work: known.Work + need.Work}
		}
	}
}

// freshest returns for each other failure domain the summary with the most live gateways among those that are not too
// old, since a relay that is partially cut off sees fewer. If all are too old, it returns the newest.
func (f *Federator) freshest(now time.Time) []Summary {
	best := map[identifier.FailureDomain]Summary{}
	for _, s := range f.summaries {
		known, found := best[s.FailureDomain]
		if !found || s.isBetter(known, now) {
			best[s.FailureDomain] = s
		}
	}
	return slices.SortedFunc(maps.Values(best), func(x, y Summary) int { return cmp.Compare(x.FailureDomain, y.FailureDomain) })
}

func (s Summary) isBetter(other Summary, now time.Time) bool {
	silent, otherSilent := s.IsSilent(now), other.IsSilent(now)
	switch {
	case silent != otherSilent:
		return otherSilent
	case !silent && s.Live != other.Live:
		return s.Live > other.Live
	case !s.MadeAt.Equal(other.MadeAt):
		return s.MadeAt.After(other.MadeAt)
	default:
		return s.Relay < other.Relay
	}
}

// IsSilent reports whether the summary is so old that its counts are no longer used.
func (s Summary) IsSilent(now time.Time) bool {
	return now.Sub(s.MadeAt) > silentAfter
}

// expire marks silent peers and removes those that stay silent.
func (f *Federator) expire(now time.Time) {
	for node, p := range f.peers {
		switch age := now.Sub(p.ReceivedAt); {
		case age > removeAfter:
			delete(f.peers, node)
		case age > silentAfter && !p.Silent:
			p.Silent = true
			f.events = append(f.events, PeerChanged{*p})
		}
	}
	maps.DeleteFunc(f.summaries, func(_ identifier.Node, s Summary) bool { return now.Sub(s.MadeAt) > removeAfter })
	stale := func(_ identifier.GroupID, at time.Time) bool { return now.Sub(at) > forgetAfter }
	maps.DeleteFunc(f.openedHere, stale)
	maps.DeleteFunc(f.opened, stale)
	maps.DeleteFunc(f.slowedHere, stale)
	maps.DeleteFunc(f.slowed, stale)
	maps.DeleteFunc(f.targets, func(_ string, t *target) bool { return now.Sub(t.heardAt) > forgetAfter })
}

// Peers returns the gateways of the own failure domain, silent ones included until they are removed, and the leader of
// the expert maps if it is in another domain.
func (f *Federator) Peers() []Peer {
	out := make([]Peer, 0, len(f.peers))
	for _, p := range f.peers {
		out = append(out, *p)
	}
	return out
}

// TakeEvents returns the events since the last call.
func (f *Federator) TakeEvents() []Event {
	events := f.events
	f.events = nil
	return events
}

// Summaries returns the best known summary of each other failure domain.
func (f *Federator) Summaries(now time.Time) []Summary {
	return f.freshest(now)
}
