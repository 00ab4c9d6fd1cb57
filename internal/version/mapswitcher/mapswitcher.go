// Package mapswitcher changes the expert map of a group so that all ranks take the new map at the same step.
//
// A switch prepares the map on every rank, holds the group before a step a few steps ahead, arms every rank for that
// step, and releases the group once every rank has confirmed that it is armed. If a rank does not confirm, the switch
// is abandoned: before the release, every rank is disarmed and prepares the old map under a newer version. An order
// that arrives late then names a version that is no longer prepared or a step that has begun, and the rank rejects it.
//
// A hold is the exception: a rank places a late one as long as its step has not begun, and keeps it. The Switcher
// remembers holds without a response and releases them when the group gets to their step (HoldLedger), and never holds a
// group before the same step twice in an epoch, so that a late release ends no newer hold.
//
// A leader that was suspended may go on although another one leads. Its orders harm neither: it cancels no version higher
// than its own, successive leaders hold a group before different steps, and a leader ends the holds of others only once it
// has confirmed that it still leads. A version higher than its own shows it that another leader has followed.
package mapswitcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/version/rebalancer"
)

// Epoch counts how often a group has formed. Maps, armed switches and holds end with their epoch.
type Epoch uint64

// Member is one rank of a group. Upstream names the incarnation that orders are addressed to; another one at the same
// address rejects them with StatusReplaced.
type Member struct {
	Upstream identifier.Upstream
	Address  string
	// Unlisted is set if another incarnation has the address and the platform does not list it yet. Orders then name no
	// incarnation: a rank that belongs to another epoch rejects them.
	Unlisted bool
}

// Group lists the members of one epoch of a group, ordered by rank.
type Group struct {
	Name    identifier.ModelGroup
	Epoch   Epoch
	Members []Member
}

// prepareTimeout returns the timeout of one try of a Prepare.
func (g Group) prepareTimeout() time.Duration {
	return prepareTimeout + time.Duration(len(g.Members))*prepareTimeoutPerRank
}

// Report is the state of a rank, up to reportLag old.
type Report struct {
	Group identifier.ModelGroup
	Epoch Epoch
	Rank  identifier.Rank
	// Size is the number of ranks of the group.
	Size int
	// Open reports whether the group serves requests.
	Open bool
	// Step is the step that began last, Map the version of the map in use.
	Step identifier.Step
	Map  identifier.MapVersion
	// Prepared and Armed are the versions that the rank has prepared and is armed for, or 0. Held is the step that the
	// rank keeps the group from beginning, or nil.
	Prepared identifier.MapVersion
	Armed    identifier.MapVersion
	Held     *identifier.Step
}

// latestVersion returns the highest version of a map that the report names.
func (r Report) latestVersion() identifier.MapVersion {
	return max(r.Map, r.Prepared, r.Armed)
}

// AgreesOnOrders reports whether two reports of a rank show the same orders in force.
func (r Report) AgreesOnOrders(other Report) bool {
	return r.Epoch == other.Epoch && r.Map == other.Map && r.Prepared == other.Prepared && r.Armed == other.Armed &&
		(r.Held == nil) == (other.Held == nil) && (r.Held == nil || *r.Held == *other.Held)
}

// Counts holds how often the requests of a rank chose each expert since the rank started. Counts.Counts lists all
// experts of the first set of layers, then those of the next set, and so on.
type Counts struct {
	Step   identifier.Step
	Epoch  Epoch
	Counts []float64
}

// RankMap is the expert map of one rank.
type RankMap struct {
	Epoch   Epoch
	Version identifier.MapVersion
	// Experts lists the experts of the rank by set.
	Experts [][]identifier.Expert
}

// Order is an order to a rank: Prepare, Arm, Disarm, Hold or Release. Ranks accept a repeated order.
type Order interface{ order() }

// Prepare makes the rank load the experts of a map beside those in use.
type Prepare struct {
	Version identifier.MapVersion
	Layout  rebalancer.Layout
}

// Arm makes the rank switch to a prepared map when a step begins.
type Arm struct {
	Version identifier.MapVersion
	Step    identifier.Step
}

// Disarm cancels an Arm.
type Disarm struct {
	Version identifier.MapVersion
}

// Hold keeps the group from beginning a step. A rank accepts one Hold at a time.
type Hold struct {
	Step identifier.Step
}

// Release ends a Hold.
type Release struct {
	Step identifier.Step
}

func (Prepare) order() {}
func (Arm) order()     {}
func (Disarm) order()  {}
func (Hold) order()    {}
func (Release) order() {}

// Status is the response of a rank to an order.
type Status int

// The statuses.
const (
	// StatusAccepted means that the rank has accepted the order.
	StatusAccepted Status = iota + 1
	// StatusDone means that the rank has carried out the order or was already in the ordered state.
	StatusDone
	// StatusConflict means that the order conflicts with the state of the rank.
	StatusConflict
	// StatusReplaced means that another upstream has the address.
	StatusReplaced
	// StatusInvalid means that the rank does not support the order.
	StatusInvalid
)

// AnswerError is the error of an answer that a sound rank cannot give.
type AnswerError struct {
	// Field is the part of the answer that is wrong, Value what it holds, and Problem why that cannot be.
	Field   string
	Value   string
	Problem string
}

// Error returns a message that names the field.
func (e *AnswerError) Error() string {
	return "invalid answer: " + e.Field + " is " + e.Value + "; " + e.Problem
}

// Engines calls the ranks. An answer that a sound rank cannot give is an AnswerError. If Order returns an error, the rank may have accepted the order or may still carry it out
// later.
type Engines interface {
	Report(ctx context.Context, m Member) (Report, error)
	Counts(ctx context.Context, m Member) (Counts, error)
	RankMap(ctx context.Context, m Member) (RankMap, error)
	Order(ctx context.Context, m Member, epoch Epoch, o Order) (Status, error)
}

const (
	// orderTimeout bounds one try of an order; ranks respond within a few milliseconds.
	orderTimeout = 60 * time.Millisecond
	// prepareTimeout bounds one try of a Prepare. It grows by prepareTimeoutPerRank for each rank of the group, since the
	// network link of the leader carries the full map once for each rank.
	prepareTimeout        = 80 * time.Millisecond
	prepareTimeoutPerRank = 3 * time.Millisecond
	// batchMargin is the part of a pass in which no rank should load experts: the time after its begin at which a gateway
	// notices it, and that before the next begin by which the last order may be late.
	batchMargin = 20 * time.Millisecond
	// minWindowDivisor sets the shortest time in which a batch is worth its pass: a pass, divided by this number.
	minWindowDivisor = 4
	// linkShare is the part of the network link that orders to prepare may use, and bitsPerExpert the size of an expert's
	// number in such an order.
	linkShare     = 0.9
	bitsPerExpert = 36
	// retryInterval is the time between two tries.
	retryInterval = 10 * time.Millisecond
	// preparePollInterval is the time between two polls of a rank that is loading a map.
	preparePollInterval = 60 * time.Millisecond
	// stepsAhead is the distance of the switch step from the last reported step, so that all orders arrive before the
	// group gets there: a step in computation, one that may begin meanwhile, and the switch step.
	stepsAhead = 3
	// maxHoldTries bounds the tries to place a hold ahead of the group.
	maxHoldTries = 4
	// armTimeout bounds how long a group may be held while confirmations are missing; clients abandon a stream after a gap
	// of 2 s. It also bounds each try to place a hold.
	armTimeout = 900 * time.Millisecond
	// loadingTimeout bounds the wait for a rank that loads a map for longer than the one with the most loads. The group may
	// be held meanwhile.
	loadingTimeout = 150 * time.Millisecond
	// reportLag is the maximum age of the report of a rank.
	reportLag = 300 * time.Millisecond
	// abandonTimeout bounds the tries to disarm and release a group, which serves no requests meanwhile.
	abandonTimeout = 10 * time.Second
)

var (
	// ErrAbandoned means that the group continues with its old map.
	ErrAbandoned = errors.New("the switch was abandoned; the group keeps its map")
	// ErrUnresolved means that the group may still be held. Recover has to be called before another switch.
	ErrUnresolved = errors.New("the group may still be held; recover it before another switch")
	// ErrSuperseded means that a later leader has given orders to the group. None of the orders of this Switcher is still in
	// force.
	ErrSuperseded = errors.New("a later leader has given orders to the group")
	// ErrEpochChanged means that the group has formed again or a rank was replaced.
	ErrEpochChanged = errors.New("the group has formed again; discover it again")
)

// ReplacedError means that another upstream has the address of a member. It matches ErrEpochChanged: the group has to
// be discovered again without that member.
type ReplacedError struct {
	Upstream identifier.Upstream
}

// Error returns a message that names the member.
func (e *ReplacedError) Error() string {
	return "another upstream has the address of " + string(e.Upstream) + "; discover the group again without it"
}

// Is reports whether the target is ErrEpochChanged.
func (e *ReplacedError) Is(target error) bool {
	return target == ErrEpochChanged
}

// Config configures a Switcher.
type Config struct {
	Engines Engines
	// Allowed reports whether this process may still issue orders; it is checked before each try of an order.
	Allowed func() bool
	// LoadTime is how long a rank takes to load one expert.
	LoadTime time.Duration
	// LinkSpeed is that of the network link of this VM, or 0 if it is not known.
	LinkSpeed identifier.Mbps
	// AwaitPass waits until the group begins a pass and returns how long passes take, or 0 if that is not known. If it is
	// nil, it is not known.
	AwaitPass func(context.Context) time.Duration
	// Confirm returns nil if no other process has led until it was called. If it is nil, that is always so.
	Confirm func(context.Context) error
	// Holds records the holds of the group for this and later Switchers of the leader. If it is nil, the Switcher has one
	// of its own.
	Holds *HoldLedger
}

// Switcher issues the orders of one leader to one group.
type Switcher struct {
	cfg Config
}

// New returns a Switcher.
func New(cfg Config) *Switcher {
	if cfg.AwaitPass == nil {
		cfg.AwaitPass = func(context.Context) time.Duration { return 0 }
	}
	if cfg.Holds == nil {
		cfg.Holds = NewHoldLedger(0)
	}
	if cfg.Confirm == nil {
		cfg.Confirm = func(context.Context) error { return nil }
	}
	return &Switcher{cfg: cfg}
}

// Plan describes a map change.
type Plan struct {
	// Version is higher than all earlier versions of the group. Fallback is higher than Version and replaces it if the
	// switch is abandoned.
	Version  identifier.MapVersion
	Fallback identifier.MapVersion
	From     rebalancer.Layout
	To       rebalancer.Layout
}

// Result describes a completed or failed switch.
type Result struct {
	// Step is the step at which the ranks switch to the new map; 0 if no hold was confirmed.
	Step identifier.Step
	// HeldFor is how long the group may have been held.
	HeldFor time.Duration
}

// Switch carries out a plan. An error that matches ErrAbandoned means that the group keeps its old map, and one that
// matches ErrUnresolved that the group may still be held. After any other error the group has to be discovered again, and
// after one that matches ErrSuperseded the leader has to confirm first that it still leads.
func (s *Switcher) Switch(ctx context.Context, g Group, p Plan) (Result, error) {
	if err := s.prepare(ctx, g, p); err != nil {
		return Result{}, err
	}
	step, err := s.hold(ctx, g)
	if err != nil {
		return Result{}, err
	}
	heldSince := time.Now()
	result := func() Result { return Result{Step: step, HeldFor: time.Since(heldSince)} }
	armCtx, cancel := context.WithTimeout(ctx, armTimeout)
	err = s.forEachMember(armCtx, g, func(ctx context.Context, m Member) error {
		return s.arm(ctx, m, g.Epoch, Arm{Version: p.Version, Step: step})
	})
	cancel()
	if err == nil && !s.cfg.Allowed() {
		err = errors.New("lease lost")
	}
	if err == nil {
		err = s.release(ctx, g, step)
		return result(), err
	}
	if errors.Is(err, ErrEpochChanged) {
		return result(), err
	}
	abandonCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	switch abandonErr := s.abandon(abandonCtx, g, p, step); {
	case errors.Is(abandonErr, ErrSuperseded), errors.Is(abandonErr, ErrEpochChanged):
		return result(), abandonErr
	case abandonErr != nil:
		return result(), errors.CombineErrors(ErrUnresolved, abandonErr)
	}
	return result(), errors.CombineErrors(ErrAbandoned, err)
}

// prepare makes all ranks load a map and waits until the rank with the most loads has finished. The others are asked
// only when they are armed, since an order to prepare holds the full map. It fails after 2 s plus four times the expected
// load time.
func (s *Switcher) prepare(ctx context.Context, g Group, p Plan) error {
	loads := rebalancer.Loads(p.From, p.To)
	most := rebalancer.MaxLoads(p.From, p.To)
	loadTime := time.Duration(most) * s.cfg.LoadTime
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second+4*loadTime)
	defer cancel()
	order := Prepare{Version: p.Version, Layout: p.To}
	if err := s.sendMap(ctx, g, order, loadTime); err != nil || most == 0 {
		return err
	}
	if err := wait(ctx, loadTime); err != nil {
		return err
	}
	slowest := g.Members[slices.Index(loads, most)]
	for {
		err := s.confirm(ctx, slowest, g.Epoch, order, g.prepareTimeout(), StatusDone)
		if !errors.Is(err, errStillLoading) {
			return err
		}
		if err := wait(ctx, preparePollInterval); err != nil {
			return err
		}
	}
}

// sendMap sends an order to prepare a map to all ranks. A pass takes longer if a rank loads experts when it begins, so the
// order is sent right after passes have begun, each time to as many ranks as will have loaded the map before the next one.
func (s *Switcher) sendMap(ctx context.Context, g Group, order Prepare, loadTime time.Duration) error {
	left := g
	for len(left.Members) > 0 {
		batch := left
		batch.Members = left.Members[:s.batchSize(s.cfg.AwaitPass(ctx), order, loadTime, len(left.Members))]
		left.Members = left.Members[len(batch.Members):]
		err := s.forEachMember(ctx, batch, func(ctx context.Context, m Member) error {
			err := s.confirm(ctx, m, g.Epoch, order, g.prepareTimeout(), StatusAccepted, StatusDone)
			if errors.Is(err, errConflict) {
				if report, reportErr := s.agreedReport(ctx, m); reportErr == nil && explainConflict(report, g.Epoch, order.Version) == conflictLaterLeader {
					return ErrSuperseded
				}
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// batchSize returns to how many ranks an order to prepare is sent within a pass: all if the passes are not known, or if
// loading takes most of one in any case.
func (s *Switcher) batchSize(pass time.Duration, order Prepare, loadTime time.Duration, ranks int) int {
	window := pass - loadTime - batchMargin
	if s.cfg.LinkSpeed <= 0 || window < pass/minWindowDivisor {
		return ranks
	}
	experts := 0
	for _, set := range order.Layout {
		for _, held := range set {
			experts += len(held)
		}
	}
	const bitsPerMbit = 1e6
	size := linkShare * float64(s.cfg.LinkSpeed) * bitsPerMbit * window.Seconds() / float64(max(experts, 1)*bitsPerExpert)
	return max(1, min(int(size), ranks))
}

var errStillLoading = errors.New("the rank is still loading")

// arm repeats an order to arm a rank while the rank rejects it, for at most loadingTimeout: the rank may still load the
// map.
func (s *Switcher) arm(ctx context.Context, m Member, epoch Epoch, order Arm) error {
	started := time.Now()
	for {
		err := s.confirm(ctx, m, epoch, order, orderTimeout, StatusAccepted, StatusDone)
		if !errors.Is(err, errConflict) || time.Since(started) >= loadingTimeout {
			return err
		}
		if waitErr := wait(ctx, retryInterval); waitErr != nil {
			return err
		}
	}
}

// hold keeps the group from beginning a step a few steps ahead, by an order to its first rank, and returns that step.
// Two leaders cannot both hold the group, since a rank accepts one hold at a time.
func (s *Switcher) hold(ctx context.Context, g Group) (identifier.Step, error) {
	holder := g.Members[0]
	rejected := identifier.Step(0)
	for range maxHoldTries {
		counts, err := s.readCounts(ctx, holder)
		if err != nil {
			return 0, errors.CombineErrors(ErrAbandoned, err)
		}
		if counts.Epoch != g.Epoch {
			return 0, ErrEpochChanged
		}
		if counts.Step < rejected {
			return 0, errors.CombineErrors(ErrUnresolved, errors.Newf("%s holds the group before another step than %d", holder.Upstream, rejected))
		}
		step := s.cfg.Holds.chooseStep(g.Epoch, counts.Step)
		holdCtx, cancel := context.WithTimeout(ctx, armTimeout)
		err = s.confirm(holdCtx, holder, g.Epoch, Hold{Step: step}, orderTimeout, StatusAccepted, StatusDone)
		cancel()
		switch {
		case err == nil:
			return step, nil
		case errors.Is(err, errConflict):
			rejected = step
		default:
			// The rank may have accepted the hold although its response was lost.
			return 0, errors.CombineErrors(ErrUnresolved, err)
		}
	}
	return 0, errors.CombineErrors(ErrAbandoned, errors.New("the rank rejected every hold ahead of the group"))
}

// readCounts reads the counts of a rank. It reads them again after an answer that no sound rank can give.
func (s *Switcher) readCounts(ctx context.Context, m Member) (Counts, error) {
	var counts Counts
	var err error
	for range maxReportTries {
		counts, err = s.cfg.Engines.Counts(ctx, m)
		var answer *AnswerError
		if !errors.As(err, &answer) {
			break
		}
	}
	return counts, err
}

// release lets a held group begin the step. It also runs after ctx has ended.
func (s *Switcher) release(ctx context.Context, g Group, step identifier.Step) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	err := s.confirm(ctx, g.Members[0], g.Epoch, Release{Step: step}, orderTimeout, StatusAccepted, StatusDone)
	if err != nil && !errors.Is(err, ErrEpochChanged) {
		return errors.CombineErrors(ErrUnresolved, err)
	}
	return err
}

// abandon ensures that no rank can switch to the new map, then releases the group. It releases the own hold also if a
// later leader has followed, whose holds are before other steps.
func (s *Switcher) abandon(ctx context.Context, g Group, p Plan, step identifier.Step) error {
	resetErr := s.reset(ctx, g, p.Version, p.Fallback, p.From)
	if resetErr != nil && !errors.Is(resetErr, ErrSuperseded) {
		return resetErr
	}
	if err := s.release(ctx, g, step); err != nil {
		return err
	}
	return resetErr
}

// reset disarms every rank and makes it prepare the map in use under a newer version, so that it rejects an Arm that is
// still in flight. If a later leader has prepared a newer version at some ranks, it leaves these alone and returns
// ErrSuperseded: they no longer accept an Arm of an earlier version either.
func (s *Switcher) reset(ctx context.Context, g Group, armed, fallback identifier.MapVersion, inUse rebalancer.Layout) error {
	var superseded atomic.Bool
	err := s.forEachMember(ctx, g, func(ctx context.Context, m Member) error {
		err := s.resetRank(ctx, m, g, armed, Prepare{Version: fallback, Layout: inUse})
		if errors.Is(err, ErrSuperseded) {
			superseded.Store(true)
			return nil
		}
		return err
	})
	if err == nil && superseded.Load() {
		return ErrSuperseded
	}
	return err
}

// resetRank disarms a rank and makes it prepare a fallback, or returns ErrSuperseded if a later leader has prepared a newer
// version there.
func (s *Switcher) resetRank(ctx context.Context, m Member, g Group, armed identifier.MapVersion, fallback Prepare) error {
	for {
		if err := s.disarm(ctx, m, g.Epoch, armed); err != nil {
			return err
		}
		err := s.confirm(ctx, m, g.Epoch, fallback, g.prepareTimeout(), StatusAccepted, StatusDone)
		if !errors.Is(err, errConflict) {
			return err
		}
		report, err := s.agreedReport(ctx, m)
		switch cause := explainConflict(report, g.Epoch, fallback.Version); {
		case err != nil:
		case cause == conflictLaterLeader:
			return ErrSuperseded
		case cause == conflictEpoch:
			return ErrEpochChanged
		case cause == conflictArmed && report.Armed != armed:
			armed = report.Armed
			continue
		}
		if err := wait(ctx, reportLag); err != nil {
			return err
		}
	}
}

// conflict is why a rank has rejected the Prepare of a fallback, as far as a report tells.
type conflict int

const (
	// conflictUnknown means that the report may be older than the cause.
	conflictUnknown conflict = iota
	// conflictArmed means that the rank is armed for a version of this leader, by an order in flight, or of an earlier one.
	conflictArmed
	// conflictLaterLeader means that the rank has a version that is higher than all those of this leader.
	conflictLaterLeader
	// conflictEpoch means that the group has formed again.
	conflictEpoch
)

// explainConflict tells from the report of a rank why it has rejected the Prepare of a fallback, the highest version that
// this leader has used.
func explainConflict(r Report, epoch Epoch, fallback identifier.MapVersion) conflict {
	switch {
	case r.Epoch > epoch:
		return conflictEpoch
	case r.latestVersion() > fallback:
		return conflictLaterLeader
	case r.Armed != 0:
		return conflictArmed
	}
	return conflictUnknown
}

// maxReportTries bounds the reports that are read until two in a row agree on the orders to a rank.
const maxReportTries = 4

// agreedReport reads the report of a rank until two in a row agree on the orders to it. A single one may be spoiled.
func (s *Switcher) agreedReport(ctx context.Context, m Member) (Report, error) {
	last, err := s.cfg.Engines.Report(ctx, m)
	for range maxReportTries {
		next, nextErr := s.cfg.Engines.Report(ctx, m)
		if err == nil && nextErr == nil && next.AgreesOnOrders(last) {
			return next, nil
		}
		last, err = next, nextErr
	}
	return last, errors.CombineErrors(err, errors.Newf("the reports of %s differ", m.Upstream))
}

// disarm cancels the Arm of a version; version 0 means that the rank is not armed.
func (s *Switcher) disarm(ctx context.Context, m Member, epoch Epoch, version identifier.MapVersion) error {
	if version == 0 {
		return nil
	}
	return s.confirm(ctx, m, epoch, Disarm{Version: version}, orderTimeout, StatusAccepted, StatusDone, StatusConflict)
}

// ErrSwitchInProgress means that an earlier switch is taking effect; the group has to be discovered again later.
var ErrSwitchInProgress = errors.New("an earlier switch is taking effect; discover the group again")

// Recover ends an unfinished switch, of this leader or an earlier one. An earlier leader may still run and release the
// group while some ranks are disarmed, so Recover first places its own hold on another rank. It returns
// ErrSwitchInProgress if it cannot place one, and ErrSuperseded if the switch is that of a later leader. It ends the holds
// of others only if this process has confirmed that it leads after the reports were read.
func (s *Switcher) Recover(ctx context.Context, g Group, reports []Report, fallback identifier.MapVersion, inUse rebalancer.Layout) error {
	armed, step, isForeign := identifier.MapVersion(0), identifier.Step(0), false
	for _, r := range reports {
		if r.latestVersion() > fallback {
			return ErrSuperseded
		}
		armed = max(armed, r.Armed)
		if r.Held != nil {
			step = max(step, *r.Held)
			isForeign = isForeign || !s.cfg.Holds.hasNamed(g.Epoch, *r.Held)
		}
	}
	if step == 0 && armed == 0 {
		return nil
	}
	freeRank := s.cfg.Holds.chooseRank(reports)
	if step == 0 || freeRank == noRank {
		return ErrSwitchInProgress
	}
	if isForeign {
		if err := s.cfg.Confirm(ctx); err != nil {
			return errors.Wrap(err, "end the holds of an earlier leader")
		}
	}
	ownHold := Hold{Step: step}
	err := s.confirm(ctx, g.Members[freeRank], g.Epoch, ownHold, orderTimeout, StatusAccepted, StatusDone)
	if errors.Is(err, errConflict) {
		return ErrSwitchInProgress
	}
	if err != nil {
		return err
	}
	resetErr := s.reset(ctx, g, armed, fallback, inUse)
	if resetErr != nil && !errors.Is(resetErr, ErrSuperseded) {
		return resetErr
	}
	heldSteps := map[Member]identifier.Step{g.Members[freeRank]: step}
	for i, r := range reports {
		if r.Held != nil {
			heldSteps[g.Members[i]] = *r.Held
		}
	}
	err = s.forEachMember(ctx, g, func(ctx context.Context, m Member) error {
		heldStep, isHeld := heldSteps[m]
		if !isHeld {
			return nil
		}
		return s.confirm(ctx, m, g.Epoch, Release{Step: heldStep}, orderTimeout, StatusAccepted, StatusDone, StatusConflict)
	})
	if err != nil {
		return err
	}
	return resetErr
}

var errConflict = errors.New("the order conflicts with the state of the rank")

// confirm repeats an order until the rank responds. It returns nil if the status is one of the accepted ones.
func (s *Switcher) confirm(ctx context.Context, m Member, epoch Epoch, o Order, timeout time.Duration, accepted ...Status) error {
	for {
		if !s.cfg.Allowed() {
			return errors.New("lease lost")
		}
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		status, err := s.cfg.Engines.Order(tryCtx, m, epoch, o)
		cancel()
		if err == nil {
			return errors.Wrapf(checkStatus(m, status, accepted), "%s, %T", m.Upstream, o)
		}
		if hold, is := o.(Hold); is {
			s.cfg.Holds.addStray(strayHold{member: m, epoch: epoch, step: hold.Step})
		}
		if err := wait(ctx, retryInterval); err != nil {
			return errors.Wrapf(err, "no response from %s to %T", m.Upstream, o)
		}
	}
}

// checkStatus returns nil if the status is one of the accepted ones, else the error that it stands for.
func checkStatus(m Member, status Status, accepted []Status) error {
	for _, a := range accepted {
		if status == a {
			return nil
		}
	}
	switch status {
	case StatusAccepted:
		return errStillLoading
	case StatusReplaced:
		return &ReplacedError{Upstream: m.Upstream}
	case StatusConflict:
		return errConflict
	case StatusDone, StatusInvalid:
	}
	return errors.Newf("unexpected status %d", status)
}

// forEachMember calls a function for all members concurrently. It cancels the other calls after the first error and
// returns that error once all calls have returned.
func (s *Switcher) forEachMember(ctx context.Context, g Group, call func(context.Context, Member) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	for _, m := range g.Members {
		wg.Go(func() {
			if err := call(ctx, m); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = err
					cancel()
				}
			}
		})
	}
	wg.Wait()
	return first
}

// wait waits for d; it returns the error of ctx if ctx ends first.
func wait(ctx context.Context, d time.Duration) error {
	if !waiter.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
