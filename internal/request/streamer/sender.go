package streamer

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// sender sends the demand and the returned credits of one link. Each link has its own, so that a slow link does
// not hold up the others.
type sender struct {
	dirty   chan struct{}
	returns []messenger.ReturnGrant
	last    []messenger.CustomerDemand
	sentAt  time.Time
}

// wake lets the sender look for messages.
func (s *sender) wake() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// notify wakes all senders. The caller holds the lock.
func (d *Dispatcher) notify() {
	for _, s := range d.senders {
		s.wake()
	}
}

// Attend sends demand over a link until it is down or ctx ends. It sleeps while nothing changes: each change of the queue
// wakes all senders, and so does Run at each tick while requests wait. A ticker for each link took most of the processor
// time of an idle entry.
func (d *Dispatcher) Attend(ctx context.Context, link *linker.Link) {
	upstream := link.Peer().Upstream
	s := &sender{dirty: make(chan struct{}, 1)}
	d.mu.Lock()
	d.senders[upstream] = s
	d.mu.Unlock()
	defer d.dismiss(upstream, s)
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.Done():
			return
		case <-s.dirty:
		}
		for _, m := range d.outgoing(upstream, s) {
			if err := link.Send(m); err != nil {
				link.Close("control stream does not accept messages")
				return
			}
		}
	}
}

func (d *Dispatcher) dismiss(upstream identifier.Upstream, s *sender) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.senders[upstream] == s {
		delete(d.senders, upstream)
		d.queue.Drop(upstream)
	}
}

// outgoing returns the messages that bring an agent up to date.
func (d *Dispatcher) outgoing(upstream identifier.Upstream, s *sender) []messenger.Message {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []messenger.Message
	now := time.Now()
	demand := d.queue.DemandOn(now, upstream)
	if !sameDemand(demand, s.last) || (len(demand) > 0 && now.Sub(s.sentAt) > repeatDemand) {
		out = append(out, messenger.Demand{Customers: withZeros(demand, s.last)})
		s.last, s.sentAt = demand, now
	}
	for _, r := range d.queue.Surplus() {
		if other, ok := d.senders[r.Upstream]; ok {
			other.returns = append(other.returns, r.Return)
			other.wake()
		}
	}
	for _, r := range s.returns {
		out = append(out, r)
	}
	s.returns = nil
	return out
}

// withZeros adds the customers that no longer wait, since an agent keeps the number of those that are not listed.
func withZeros(demand, last []messenger.CustomerDemand) []messenger.CustomerDemand {
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

func sameDemand(a, b []messenger.CustomerDemand) bool {
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

// Granted takes credits that an agent granted.
func (d *Dispatcher) Granted(upstream identifier.Upstream, g messenger.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.senders[upstream]; !ok {
		return
	}
	d.deliver(d.queue.Grant(time.Now(), upstream, g))
}
