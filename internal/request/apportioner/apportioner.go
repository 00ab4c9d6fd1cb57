// Package apportioner divides the capacity of a group of ranks among gateways by what waits at each of them. The package
// does no I/O and reads no clock.
package apportioner

// Priorities is the number of priorities that are told apart, as at engines: 0 to 9.
const Priorities = 10

// Classes is the number of classes of waiting requests.
const Classes = 2 * Priorities

// Class is a kind of waiting requests. Lower classes are served first: requests that can still be on time by priority,
// then late ones by priority.
type Class int

// ClassOf returns the class of requests with a priority. Priorities outside of 0 to 9 count as the nearest of these.
func ClassOf(priority int, late bool) Class {
	c := Class(min(max(priority, 0), Priorities-1))
	if late {
		c += Priorities
	}
	return c
}

// Waiting holds the number of waiting requests of each class.
type Waiting [Classes]float64

// IsEmpty reports whether nothing waits.
func (w *Waiting) IsEmpty() bool {
	return *w == Waiting{}
}

// Scaled returns a part of the waiting requests.
func (w *Waiting) Scaled(ratio float64) Waiting {
	var out Waiting
	for c, n := range w {
		out[c] = n * ratio
	}
	return out
}

const (
	// spareShare is the least share of the free slots beyond all waiting requests that is given out in one allotment. Each
	// gateway sees free slots until the counts of those that have taken them arrive, up to three allotments later. What is
	// given out again meanwhile exceeds the capacity.
	spareShare = 0.1
	// correction is the number of slots that the limits of all gateways leave free for each request beyond the capacity.
	correction = 3
)

// Input is what a gateway knows of a group.
type Input struct {
	// Capacity is the number of requests that may run on the group, over all gateways, and Free that of the slots that no
	// gateway is known to use.
	Capacity float64
	Free     int
	// OwnRunning and PeerRunning are the running requests of this gateway and of all others.
	OwnRunning  int
	PeerRunning int
	// OwnWaiting and PeerWaiting are the requests that wait for the group here and at all others.
	OwnWaiting  Waiting
	PeerWaiting Waiting
	// Gateways is the number of gateways, this one included, and Reporting that of those whose waiting requests are known.
	Gateways  int
	Reporting int
	// Turnover is the share of the running requests that end before the next allotment.
	Turnover float64
	// LateRoom is the number of late requests that may start, over all gateways.
	LateRoom float64
}

// Part is a gateway's part of the capacity.
type Part struct {
	// Limit is the number of requests that the gateway may run.
	Limit float64
	// Growth is the part of Limit that exceeds the running requests; 0 if the gateway is to run fewer.
	Growth float64
	// Late is the number of late requests that may start.
	Late float64
}

// Apportion returns the part of this gateway. The slots that become free before the next allotment, and those that are
// free now, are given to the classes in order, and within a class in proportion to what waits at each gateway. A gateway
// whose part is less than what its own requests free does not refill all of that. A gateway whose part is more grows into
// slots that are free now, not into those that others are about to leave: the sum over all gateways stays within the
// capacity as long as the counts are right.
func Apportion(in Input) Part {
	running := float64(in.OwnRunning + in.PeerRunning)
	base := float64(in.OwnRunning)
	if excess := running - in.Capacity; excess > 0 {
		base *= max(0, 1-correction*excess/running)
	}
	room := max(0, min(in.Capacity-running, float64(in.Free)))
	freed, allFreed := in.Turnover*base, in.Turnover*min(running, in.Capacity)
	part := in.part(room+allFreed, 0, 0)
	p := Part{Late: in.part(in.LateRoom, Priorities, 0)}
	if part < freed {
		p.Limit = base - (freed-part)*in.known()
		return p
	}
	if running <= in.Capacity {
		p.Growth = min(part-freed, in.part(room, 0, allFreed))
	}
	p.Limit = base + p.Growth
	return p
}

// share returns the gateway's part of what no known request needs: its share of the running requests, but at least that
// of one gateway.
func (in *Input) share() float64 {
	share := 1 / float64(max(in.Gateways, 1))
	if running := in.OwnRunning + in.PeerRunning; running > 0 {
		share = max(share, float64(in.OwnRunning)/float64(running))
	}
	return share
}

// known returns the share of the gateways whose waiting requests are known.
func (in *Input) known() float64 {
	return min(1, float64(max(in.Reporting, 1))/float64(max(in.Gateways, 1)))
}

// part returns the gateway's part of some slots, without what it gets for classes before the first one. Of the slots
// beyond all waiting requests, some are held back, but at least spareShare is given out. Gateways whose waiting requests are
// not known get their share of the slots, as they take it, and the others divide the rest.
func (in *Input) part(slots float64, first Class, heldBack float64) float64 {
	known := in.known()
	slots *= known
	part := 0.0
	for c := range Classes {
		all := in.OwnWaiting[c] + in.PeerWaiting[c]
		if all == 0 {
			continue
		}
		given := min(slots, all)
		if Class(c) >= first {
			part += given * in.OwnWaiting[c] / all
		}
		slots -= given
	}
	spare := max(slots-heldBack*known, slots*spareShare)
	return part + spare*in.share()/known
}
