package gossiper

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/replicator"
)

// wireState is the CBOR form of a State.
type wireState struct {
	Node           string                `cbor:"node"`
	FailureDomain  string                `cbor:"failureDomain"`
	LinkMbps       float64               `cbor:"linkMbps,omitempty"`
	Address        string                `cbor:"address"`
	ControlAddress string                `cbor:"control"`
	Incarnation    uint64                `cbor:"incarnation"`
	Sequence       uint64                `cbor:"sequence"`
	Versions       map[string]uint64     `cbor:"versions"`
	Running        map[string]int        `cbor:"running"`
	Stopping       bool                  `cbor:"stopping,omitempty"`
	Leading        bool                  `cbor:"leading,omitempty"`
	Groups         map[string]bool       `cbor:"groups,omitempty"`
	GroupsOpened   map[string]uint64     `cbor:"opened,omitempty"`
	GroupsSlowed   map[string]uint64     `cbor:"slowed,omitempty"`
	StoreLost      bool                  `cbor:"storeLost,omitempty"`
	StoreAgeMs     uint64                `cbor:"storeAgeMs,omitempty"`
	Resigned       uint64                `cbor:"resigned,omitempty"`
	CrashEvidence  []wireCrashedRun      `cbor:"crashEvidence,omitempty"`
	SoundAgesMs    map[uint64]int64      `cbor:"soundAgesMs,omitempty"`
	Limits         map[string]wireLimit  `cbor:"limits,omitempty"`
	Notices        map[string]wireNotice `cbor:"notices,omitempty"`
	Demand         map[string]float64    `cbor:"demand,omitempty"`
	CustomerUses   wireCustomerUses      `cbor:"customerUses,omitempty"`
	UsualLoads     wireUsualLoads        `cbor:"usualLoads,omitempty"`
	// Reporting is set if the gateway reports what waits, also if nothing does. Gateways of earlier builds do not send it.
	Reporting bool                     `cbor:"reporting,omitempty"`
	Waiting   map[string][]wireWaiting `cbor:"waiting,omitempty"`
	Peers     []string                 `cbor:"peers,omitempty"`
	Summaries []wireSummary            `cbor:"summaries,omitempty"`
	Relays    []wireContact            `cbor:"relays,omitempty"`
}

// wireCrashedRun is the CBOR form of a CrashedRun, an array of about 50 bytes. The time of the crash is sent as its age.
// Gateways of earlier builds send and read other fields, so that each build learns only from its own.
type wireCrashedRun struct {
	_          struct{} `cbor:",toarray"`
	Content    uint64
	Whole      bool
	Customer   uint64
	Site       uint64
	Grouped    bool
	Responding bool
	Events     int
	Refuted    bool
	RanMs      int64
	AgeMs      int64
}

// wireLimit is the CBOR form of an UpstreamLimit. Its time is sent as its age.
type wireLimit struct {
	Limited   bool    `cbor:"limited,omitempty"`
	PerSecond float64 `cbor:"perSecond,omitempty"`
	AgeMs     int64   `cbor:"ageMs"`
}

// wireNotice is the CBOR form of an UpstreamNotice. Its time is sent as its age, and the end of the pause as the time left.
type wireNotice struct {
	LeftMs  int64 `cbor:"leftMs,omitempty"`
	Leaving bool  `cbor:"leaving,omitempty"`
	AgeMs   int64 `cbor:"ageMs"`
}

// wireWaiting is the CBOR form of the waiting requests of one class, an array of about 10 bytes.
type wireWaiting struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	Late     bool
	Requests int
	WorkMs   int64
}

// wireContact is the CBOR form of a Contact.
type wireContact struct {
	Address       string `cbor:"address"`
	FailureDomain string `cbor:"failureDomain"`
}

// wireSummary is the CBOR form of a Summary. Times are sent as their ages.
type wireSummary struct {
	FailureDomain  string             `cbor:"failureDomain"`
	Relay          string             `cbor:"relay"`
	Address        string             `cbor:"address"`
	ControlAddress string             `cbor:"control"`
	AgeMs          int64              `cbor:"ageMs"`
	Known          int                `cbor:"known"`
	Live           int                `cbor:"live"`
	Usable         int                `cbor:"usable"`
	Running        map[string]int     `cbor:"running"`
	Versions       map[string]uint64  `cbor:"versions"`
	Leader         *wireLeader        `cbor:"leader,omitempty"`
	OpenedAgesMs   map[string]int64   `cbor:"openedAgesMs,omitempty"`
	SlowedAgesMs   map[string]int64   `cbor:"slowedAgesMs,omitempty"`
	Demand         map[string]float64 `cbor:"demand,omitempty"`
	CustomerUses   wireCustomerUses   `cbor:"customerUses,omitempty"`
	UsualLoads     wireUsualLoads     `cbor:"usualLoads,omitempty"`
	// Reporting counts the gateways that report what waits.
	Reporting int                      `cbor:"reporting,omitempty"`
	Waiting   map[string][]wireWaiting `cbor:"waiting,omitempty"`
	// StoreAgeMs is -1 if the store never responded.
	StoreAgeMs int64    `cbor:"storeAgeMs"`
	Resigned   []uint64 `cbor:"resigned,omitempty"`
}

// wireLeader is the CBOR form of a Leader.
type wireLeader struct {
	Node        string          `cbor:"node"`
	Incarnation uint64          `cbor:"incarnation"`
	Groups      map[string]bool `cbor:"groups,omitempty"`
	AgeMs       int64           `cbor:"ageMs"`
}

func encode(now time.Time, d federator.Datagram) ([]byte, error) {
	s := d.State
	w := wireState{
		Node:           string(s.Node),
		FailureDomain:  string(s.FailureDomain),
		LinkMbps:       float64(s.LinkSpeed),
		Address:        s.Address,
		ControlAddress: s.ControlAddress,
		Incarnation:    uint64(s.Incarnation),
		Sequence:       s.Sequence,
		Versions:       convert[string](s.Versions),
		Running:        convert[string](s.Running),
		Stopping:       s.Stopping,
		Leading:        s.Leading,
		Groups:         encodeGroups(s.Groups),
		GroupsOpened:   encodeGroups(s.GroupsOpened),
		GroupsSlowed:   encodeGroups(s.GroupsSlowed),
		StoreLost:      s.StoreLost,
		StoreAgeMs:     uint64(s.StoreAge.Milliseconds()),
		Resigned:       s.Resigned,
		Demand:         convert[string](s.Demand),
		CustomerUses:   encodeCustomerUses(s.CustomerUses),
		Reporting:      s.Waiting != nil,
		Waiting:        encodeWaiting(s.Waiting),
		Peers:          s.Peers,
	}
	w.UsualLoads = encodeUsualLoads(s.CustomerUses, w.CustomerUses)
	encodeCrashes(now, &w, s.Crashes)
	if len(s.Limits) > 0 {
		w.Limits = make(map[string]wireLimit, len(s.Limits))
		for id, l := range s.Limits {
			w.Limits[string(id)] = wireLimit{Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: now.Sub(l.At).Milliseconds()}
		}
	}
	if len(s.Notices) > 0 {
		w.Notices = make(map[string]wireNotice, len(s.Notices))
		for id, n := range s.Notices {
			w.Notices[string(id)] = encodeNotice(now, n)
		}
	}
	for _, c := range d.Relays {
		w.Relays = append(w.Relays, wireContact{Address: c.Address, FailureDomain: string(c.FailureDomain)})
	}
	for _, summary := range d.Summaries {
		w.Summaries = append(w.Summaries, encodeSummary(now, summary))
	}
	raw, err := cbor.Marshal(w)
	return raw, errors.Wrap(err, "encode the state")
}

func encodeCrashes(now time.Time, w *wireState, r federator.CrashReport) {
	for _, c := range r.Runs {
		w.CrashEvidence = append(w.CrashEvidence, wireCrashedRun{
			Content: uint64(c.Content), Whole: c.Whole, Customer: uint64(c.Customer), Site: uint64(c.Site), Grouped: c.Grouped,
			Responding: c.Responding, Events: c.Events, Refuted: c.Refuted,
			RanMs: c.At.Sub(c.SentAt).Milliseconds(), AgeMs: now.Sub(c.At).Milliseconds(),
		})
	}
	w.SoundAgesMs = make(map[uint64]int64, len(r.Answered))
	for content, at := range r.Answered {
		w.SoundAgesMs[uint64(content)] = now.Sub(at).Milliseconds()
	}
}

func decodeCrashes(now time.Time, w wireState) federator.CrashReport {
	r := federator.CrashReport{Answered: make(map[identifier.ContentHash]time.Time, len(w.SoundAgesMs))}
	for _, c := range w.CrashEvidence {
		at := before(now, c.AgeMs)
		r.Runs = append(r.Runs, federator.CrashedRun{
			Content: identifier.ContentHash(c.Content), Whole: c.Whole, Customer: identifier.CustomerHash(c.Customer),
			Site: identifier.CrashSite(c.Site), Grouped: c.Grouped, Responding: c.Responding, Events: max(c.Events, 0), Refuted: c.Refuted,
			SentAt: before(at, c.RanMs), At: at,
		})
	}
	for content, age := range w.SoundAgesMs {
		r.Answered[identifier.ContentHash(content)] = before(now, age)
	}
	return r
}

func encodeSummary(now time.Time, s federator.Summary) wireSummary {
	w := wireSummary{
		FailureDomain:  string(s.FailureDomain),
		Relay:          string(s.Relay),
		Address:        s.Address,
		ControlAddress: s.ControlAddress,
		AgeMs:          now.Sub(s.MadeAt).Milliseconds(),
		Known:          s.Known,
		Live:           s.Live,
		Usable:         s.Usable,
		Running:        convert[string](s.Running),
		Demand:         convert[string](s.Demand),
		CustomerUses:   encodeCustomerUses(s.CustomerUses),
		Reporting:      s.Reporting,
		Waiting:        encodeWaiting(s.Waiting),
		Versions:       convert[string](s.Versions),
		OpenedAgesMs:   map[string]int64{},
		SlowedAgesMs:   map[string]int64{},
		StoreAgeMs:     -1,
		Resigned:       s.Resigned,
	}
	w.UsualLoads = encodeUsualLoads(s.CustomerUses, w.CustomerUses)
	if l := s.Leader; l != nil {
		w.Leader = &wireLeader{
			Node: string(l.Node), Incarnation: uint64(l.Incarnation), Groups: encodeGroups(l.Groups),
			AgeMs: now.Sub(l.HeardAt).Milliseconds(),
		}
	}
	for group, at := range s.Opened {
		w.OpenedAgesMs[group.String()] = now.Sub(at).Milliseconds()
	}
	for group, at := range s.Slowed {
		w.SlowedAgesMs[group.String()] = now.Sub(at).Milliseconds()
	}
	if !s.StoreRespondedAt.IsZero() {
		w.StoreAgeMs = now.Sub(s.StoreRespondedAt).Milliseconds()
	}
	return w
}

func decode(now time.Time, raw []byte) (federator.Datagram, error) {
	var w wireState
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return federator.Datagram{}, errors.Wrap(err, "decode the state")
	}
	d := federator.Datagram{
		State: federator.State{
			Node:           identifier.Node(w.Node),
			FailureDomain:  identifier.FailureDomain(w.FailureDomain),
			LinkSpeed:      identifier.Mbps(w.LinkMbps),
			Address:        w.Address,
			ControlAddress: w.ControlAddress,
			Incarnation:    identifier.Incarnation(w.Incarnation),
			Sequence:       w.Sequence,
			Versions:       convert[replicator.Table](w.Versions),
			Running:        convert[identifier.Upstream](w.Running),
			Stopping:       w.Stopping,
			Leading:        w.Leading,
			Groups:         decodeGroups(w.Groups),
			GroupsOpened:   decodeGroups(w.GroupsOpened),
			GroupsSlowed:   decodeGroups(w.GroupsSlowed),
			StoreLost:      w.StoreLost,
			StoreAge:       time.Duration(w.StoreAgeMs) * time.Millisecond,
			Resigned:       w.Resigned,
			Demand:         convert[identifier.Service](w.Demand),
			CustomerUses:   decodeCustomerUses(w.CustomerUses, w.UsualLoads),
			Peers:          w.Peers,
		},
	}
	if w.Reporting {
		d.State.Waiting = decodeWaiting(w.Waiting)
	}
	d.State.Crashes = decodeCrashes(now, w)
	if len(w.Limits) > 0 {
		d.State.Limits = make(map[identifier.Upstream]federator.UpstreamLimit, len(w.Limits))
		for id, l := range w.Limits {
			d.State.Limits[identifier.Upstream(id)] = federator.UpstreamLimit{Limited: l.Limited, PerSecond: l.PerSecond, At: before(now, l.AgeMs)}
		}
	}
	if len(w.Notices) > 0 {
		d.State.Notices = make(map[identifier.Upstream]federator.UpstreamNotice, len(w.Notices))
		for id, n := range w.Notices {
			d.State.Notices[identifier.Upstream(id)] = decodeNotice(now, n)
		}
	}
	for _, c := range w.Relays {
		d.Relays = append(d.Relays, federator.Contact{Address: c.Address, FailureDomain: identifier.FailureDomain(c.FailureDomain)})
	}
	for _, summary := range w.Summaries {
		d.Summaries = append(d.Summaries, decodeSummary(now, summary))
	}
	return d, nil
}

func decodeSummary(now time.Time, w wireSummary) federator.Summary {
	s := federator.Summary{
		FailureDomain:  identifier.FailureDomain(w.FailureDomain),
		Relay:          identifier.Node(w.Relay),
		Address:        w.Address,
		ControlAddress: w.ControlAddress,
		MadeAt:         before(now, w.AgeMs),
		Known:          w.Known,
		Live:           w.Live,
		Usable:         w.Usable,
		Running:        convert[identifier.Upstream](w.Running),
		Demand:         convert[identifier.Service](w.Demand),
		CustomerUses:   decodeCustomerUses(w.CustomerUses, w.UsualLoads),
		Waiting:        decodeWaiting(w.Waiting),
		Reporting:      min(max(w.Reporting, 0), w.Live),
		Versions:       convert[replicator.Table](w.Versions),
		Opened:         map[identifier.GroupID]time.Time{},
		Slowed:         map[identifier.GroupID]time.Time{},
		Resigned:       w.Resigned,
	}
	if l := w.Leader; l != nil {
		s.Leader = &federator.Leader{
			Node: identifier.Node(l.Node), Incarnation: identifier.Incarnation(l.Incarnation),
			Groups: decodeGroups(l.Groups), HeardAt: before(now, l.AgeMs),
		}
	}
	for group, age := range w.OpenedAgesMs {
		s.Opened[identifier.ParseGroupID(group)] = before(now, age)
	}
	for group, age := range w.SlowedAgesMs {
		s.Slowed[identifier.ParseGroupID(group)] = before(now, age)
	}
	if w.StoreAgeMs >= 0 {
		s.StoreRespondedAt = before(now, w.StoreAgeMs)
	}
	return s
}

// maxWaitingServices bounds the services in a datagram whose waiting requests it holds, and maxWaitingPriority the
// priorities, so that a service has at most 20 classes. The first services by name are sent.
const (
	maxWaitingServices = 16
	maxWaitingPriority = 9
)

// encodeWaiting returns nil if nothing waits.
func encodeWaiting(waiting map[identifier.Service]federator.Waiting) map[string][]wireWaiting {
	if len(waiting) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(waiting))
	out := make(map[string][]wireWaiting, len(names))
	for _, name := range names[:min(len(names), maxWaitingServices)] {
		for class, need := range waiting[name] {
			if class.Priority < 0 || class.Priority > maxWaitingPriority {
				continue
			}
			out[string(name)] = append(out[string(name)], wireWaiting{
				Priority: class.Priority, Late: class.Late, Requests: need.Requests, WorkMs: need.Work.Milliseconds(),
			})
		}
	}
	return out
}

// decodeWaiting ignores classes that gateways do not send. The result is never nil.
func decodeWaiting(w map[string][]wireWaiting) map[identifier.Service]federator.Waiting {
	out := map[identifier.Service]federator.Waiting{}
	for name, classes := range w {
		if len(out) == maxWaitingServices {
			break
		}
		waiting := federator.Waiting{}
		for _, c := range classes {
			if c.Priority < 0 || c.Priority > maxWaitingPriority || c.Requests < 0 || c.WorkMs < 0 {
				continue
			}
			waiting[federator.WaitingClass{Priority: c.Priority, Late: c.Late}] = federator.Need{
				Requests: c.Requests, Work: time.Duration(min(c.WorkMs, maxWorkMs)) * time.Millisecond,
			}
		}
		out[identifier.Service(name)] = waiting
	}
	return out
}

// maxWorkMs bounds the work of a class to what a sum over many gateways can hold.
const maxWorkMs = int64(24 * time.Hour / time.Millisecond)

func encodeNotice(now time.Time, n federator.UpstreamNotice) wireNotice {
	w := wireNotice{Leaving: n.Leaving, AgeMs: now.Sub(n.At).Milliseconds()}
	if n.Until.After(now) {
		w.LeftMs = n.Until.Sub(now).Milliseconds()
	}
	return w
}

// decodeNotice decodes a notice. A pause counts for an hour at most.
func decodeNotice(now time.Time, w wireNotice) federator.UpstreamNotice {
	n := federator.UpstreamNotice{Leaving: w.Leaving, At: before(now, w.AgeMs)}
	if w.LeftMs > 0 {
		n.Until = now.Add(time.Duration(min(w.LeftMs, time.Hour.Milliseconds())) * time.Millisecond)
	}
	return n
}

// before returns the time that lies some milliseconds before now. A negative age counts as 0.
func before(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(max(ageMs, 0)) * time.Millisecond)
}

// convert returns the map with its keys converted to another string type.
func convert[To, From ~string, Value any](in map[From]Value) map[To]Value {
	if in == nil {
		return nil
	}
	out := make(map[To]Value, len(in))
	for k, v := range in {
		out[To(k)] = v
	}
	return out
}

// encodeGroups returns the map with its keys as text.
func encodeGroups[Value any](in map[identifier.GroupID]Value) map[string]Value {
	out := make(map[string]Value, len(in))
	for id, v := range in {
		out[id.String()] = v
	}
	return out
}

// decodeGroups returns the map with the keys that encodeGroups wrote.
func decodeGroups[Value any](in map[string]Value) map[identifier.GroupID]Value {
	out := make(map[identifier.GroupID]Value, len(in))
	for text, v := range in {
		out[identifier.ParseGroupID(text)] = v
	}
	return out
}
