package streamer

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// sender is the state of the goroutine that sends demand and returned credits over one link. Each link has its own
// sender, so that a slow link does not delay the others. Dispatcher.mu guards all fields but wakeup.
type sender struct {
	// wakeup receives a value when there may be messages to send.
	wakeup chan struct{}
	// returns holds the credits to return.
	returns []messenger.ReturnGrant
	// lastDemand is the demand that was sent last, at sentAt.
	lastDemand []messenger.CustomerDemand
	sentAt     time.Time
}

// wake makes the sender check for messages to send. It does not block.
func (s *sender) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// wakeSenders wakes all senders. It is called with the lock held.
func (d *Dispatcher) wakeSenders() {
	for _, s := range d.senders {
		s.wake()
	}
}

// ServeLink sends demand and returned credits over a link until the link is down or ctx ends. It blocks while nothing
// changes: each change of the queue wakes all senders, and so does Run at each tick while requests wait. A ticker for
// each link would take most of the processor time of an idle entry.
func (d *Dispatcher) ServeLink(ctx context.Context, link *linker.Link) {
	upstream := link.Peer().Upstream
	s := &sender{wakeup: make(chan struct{}, 1)}
	d.mu.Lock()
	d.senders[upstream] = s
	d.mu.Unlock()
	defer d.removeSender(upstream, s)
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.Done():
			return
		case <-s.wakeup:
		}
		for _, m := range d.takeMessages(upstream, s) {
			if err := link.Send(m); err != nil {
				link.Close("control stream does not accept messages")
				return
			}
		}
	}
}

// removeSender unregisters the sender of a link that is down and drops the upstream's credits, unless a newer link has
// replaced it.
func (d *Dispatcher) removeSender(upstream identifier.Upstream, s *sender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.senders[upstream] == s {
		delete(d.senders, upstream)
		d.queue.DropCredits(upstream)
	}
}

// takeMessages returns the messages to send to an agent now and records them as sent. They are the demand on its
// upstream, if the demand has changed or its grant may have expired, and the credits to return. takeMessages also queues
// surplus credits for return to the agents that granted them.
func (d *Dispatcher) takeMessages(upstream identifier.Upstream, s *sender) []messenger.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	var messages []messenger.Message
	now := time.Now()
	demand := d.queue.DemandOn(now, upstream)
	if !equalDemand(demand, s.lastDemand) || (len(demand) > 0 && now.Sub(s.sentAt) > demandRepeatInterval) {
		messages = append(messages, messenger.Demand{Customers: withZeroDemand(demand, s.lastDemand)})
		s.lastDemand, s.sentAt = demand, now
	}
	for _, r := range d.queue.TakeSurplus() {
		if other, ok := d.senders[r.Upstream]; ok {
			other.returns = append(other.returns, r.Return)
			other.wake()
		}
	}
	for _, r := range s.returns {
		messages = append(messages, r)
	}
	s.returns = nil
	return messages
}

// withZeroDemand returns demand with an entry of zero for each customer that is only in last. An agent keeps the demand
// of customers that are not listed.
func withZeroDemand(demand, last []messenger.CustomerDemand) []messenger.CustomerDemand {
	listed := make(map[identifier.Customer]bool, len(demand))
	for _, c := range demand {
		listed[c.Customer] = true
	}
	out := append([]messenger.CustomerDemand(nil), demand...)
	for _, c := range last {
		if !listed[c.Customer] {
			out = append(out, messenger.CustomerDemand{Customer: c.Customer})
		}
	}
	return out
}

func equalDemand(a, b []messenger.CustomerDemand) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// HandleGrant adds the credits of a grant that an agent sent. It ignores a grant of an upstream without a running
// ServeLink.
func (d *Dispatcher) HandleGrant(upstream identifier.Upstream, g messenger.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.senders[upstream]; !ok {
		return
	}
	d.deliver(d.queue.Grant(time.Now(), upstream, g))
}
