package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The group models engines in production: in a pass, all ranks together generate one event of each running stream, and
// each rank prefills a limited number of prompt tokens.
const (
	rankCount = 16
	// rankSlots is the number of requests that a rank runs at a time.
	rankSlots            = 12
	stepsPerPass         = 5
	baseStepTime         = 5850 * time.Microsecond
	stepTimePerStream    = 355 * time.Microsecond
	prefillTokensPerPass = 2560
	// prefillTimePerToken corresponds to 612 prompt tokens in 10 ms.
	prefillTimePerToken = time.Millisecond * 10 / 612
	// expertShare is the part of a pass that the experts take; the skew of their load multiplies it.
	expertShare    = 0.85
	unbalancedSkew = 3.1
	balancedSkew   = 1.05
	// stallDuration is the time from a failure until the group aborts the requests that it runs.
	stallDuration = 1500 * time.Millisecond
	// restartTime is how long a rank that crashed is down, and formTime how long the group needs after that.
	restartTime = 3 * time.Second
	formTime    = 600 * time.Millisecond
)

type groupState int

const (
	groupOpen groupState = iota
	groupStalled
	groupClosed
)

// engineRequest is a request at a rank.
type engineRequest struct {
	// prefillLeft is the number of prompt tokens that are still to be prefilled.
	prefillLeft int
	// lastEvent is the id of the last generated event, and eventCount that of the last one to be generated.
	lastEvent  int
	eventCount int
	eventIDs   chan int
	// limit is the header field in which the rank names its limit, or empty.
	limit string
	// deadly is set if the rank crashes when it begins to respond. crashed is closed when the rank crashes.
	deadly  bool
	crashed chan struct{}
	// clientGone is closed when the client closes its connection.
	clientGone chan struct{}
}

func (r *engineRequest) abandoned() bool {
	select {
	case <-r.clientGone:
		return true
	default:
		return false
	}
}

// engineGroup is a fake group of ranks that run in lock-step, in virtual time. When it fails, it first stalls, then
// aborts its requests, and then rejects requests until it opens again.
type engineGroup struct {
	mu    sync.Mutex
	state groupState
	// balancedFrom is when the load of the experts becomes balanced.
	balancedFrom time.Time
	running      [rankCount][]*engineRequest
	waiting      [rankCount][]*engineRequest
	// downUntil is when a rank that crashed listens again, and crashes holds the times of all crashes.
	downUntil [rankCount]time.Time
	crashes   []time.Time
	// limits holds the requests a second that each rank names as its limit, or 0 for none, and received the times at which
	// each rank got requests.
	limits   [rankCount]float64
	received [rankCount][]time.Time
	// rejecting is set for ranks that reject all requests, and pause is the time that they ask for, or 0 for none.
	rejecting [rankCount]bool
	pause     time.Duration
	// rejections holds the times at which the ranks rejected requests of each gateway, and arrivals those of all requests.
	rejections [rankCount]map[int][]time.Time
	arrivals   [rankCount]map[int][]time.Time
	// enqueued wakes runPasses.
	enqueued chan struct{}
	// aborted is closed, and replaced, when the group aborts its requests.
	aborted chan struct{}
}

func newEngineGroup(ctx context.Context) *engineGroup {
	g := &engineGroup{enqueued: make(chan struct{}, 1), aborted: make(chan struct{})}
	for r := range rankCount {
		g.rejections[r], g.arrivals[r] = map[int][]time.Time{}, map[int][]time.Time{}
	}
	go g.runPasses(ctx)
	return g
}

// dialFrom returns the function with which a gateway connects to ranks.
func (g *engineGroup) dialFrom(gateway int) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) { return g.dial(gateway, address) }
}

// dial connects to a rank; the address is its number.
func (g *engineGroup) dial(gateway int, address string) (net.Conn, error) {
	rank, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	down := time.Now().Before(g.downUntil[rank])
	g.mu.Unlock()
	if down {
		return nil, syscall.ECONNREFUSED
	}
	clientSide, serverSide := net.Pipe()
	go g.serve(serverSide, gateway, rank)
	return clientSide, nil
}

// serve reads one request and responds to it.
func (g *engineGroup) serve(c net.Conn, gateway, rank int) {
	defer c.Close()
	reader := bufio.NewReader(c)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	request := &engineRequest{
		eventIDs: make(chan int, 256), clientGone: make(chan struct{}), crashed: make(chan struct{}),
		deadly: slices.Contains(strings.Split(q.Header.Get("Parts"), ","), deadlyPart),
	}
	_, _ = fmt.Sscanf(q.Header.Get("Size"), "%d,%d", &request.prefillLeft, &request.eventCount)
	request.lastEvent, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	go func() {
		var one [1]byte
		_, _ = reader.Read(one[:])
		close(request.clientGone)
	}()
	if head, rejected := g.reject(gateway, rank); rejected {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n", q.Header.Get("Id"), head)
		return
	}
	aborted, accepted := g.enqueue(rank, request)
	request.limit = g.limit(rank)
	if !accepted {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nLoad: 0,0,%d\r\nContent-Length: 0\r\n\r\n",
			q.Header.Get("Id"), rankSlots)
		return
	}
	g.respond(c, q, request, aborted)
}

// respond streams the events of a request. If the group fails before the first event, the response states that the
// request did not run.
func (g *engineGroup) respond(c net.Conn, q *http.Request, request *engineRequest, aborted <-chan struct{}) {
	started := false
	for {
		select {
		case <-request.clientGone:
			return
		case <-request.crashed:
			if request.deadly {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
			}
			return
		case <-aborted:
			if !started {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nLoad: 0,0,%d\r\nContent-Length: 0\r\n\r\n",
					q.Header.Get("Id"), rankSlots)
			}
			return
		case id := <-request.eventIDs:
			if !started {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"), request.limit)
				started = true
			}
			event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			if id == request.eventCount {
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
				return
			}
		}
	}
}

// enqueue adds a request to the queue of a rank unless the group is closed. It returns the channel that is closed when
// the group aborts the request.
func (g *engineGroup) enqueue(rank int, request *engineRequest) (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received[rank] = append(g.received[rank], time.Now())
	if g.state == groupClosed {
		return nil, false
	}
	g.waiting[rank] = append(g.waiting[rank], request)
	select {
	case g.enqueued <- struct{}{}:
	default:
	}
	return g.aborted, true
}

// setRejecting makes the first ranks reject all requests and ask for a pause unless it is 0. With 0 ranks, none rejects any
// more.
func (g *engineGroup) setRejecting(ranks int, pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range rankCount {
		g.rejecting[r] = r < ranks
	}
	g.pause = pause
}

// reject records a request of a gateway. If the rank rejects it, it returns the rank's fields of the response.
func (g *engineGroup) reject(gateway, rank int) (head string, rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.arrivals[rank][gateway] = append(g.arrivals[rank][gateway], now)
	if !g.rejecting[rank] {
		return "", false
	}
	g.rejections[rank][gateway] = append(g.rejections[rank][gateway], now)
	head = fmt.Sprintf("Load: %d,0,%d\r\n", len(g.running[rank]), rankSlots)
	if g.pause > 0 {
		head += fmt.Sprintf("Retry-After: %g\r\n", g.pause.Seconds())
	}
	return head, true
}

// mostWithinPause returns the largest number of requests that a rank got from one gateway between half a second after it
// had asked that gateway for a pause and the end of the pause.
func (g *engineGroup) mostWithinPause(pause time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for r := range rankCount {
		for gateway, rejected := range g.rejections[r] {
			for _, at := range rejected {
				n := 0
				for _, arrival := range g.arrivals[r][gateway] {
					if arrival.Sub(at) > 500*time.Millisecond && arrival.Sub(at) < pause {
						n++
					}
				}
				most = max(most, n)
			}
		}
	}
	return most
}

// arrived returns how many requests a rank got in an interval.
func (g *engineGroup) arrived(rank int, from, to time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, arrivals := range g.arrivals[rank] {
		for _, at := range arrivals {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// setLimits makes the first ranks name a limit, or none if it is 0.
func (g *engineGroup) setLimits(ranks int, perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for r := range ranks {
		g.limits[r] = perSecond
	}
}

// limit returns the header field in which a rank names its limit, or an empty text.
func (g *engineGroup) limit(rank int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits[rank] == 0 {
		return ""
	}
	return fmt.Sprintf("Limit: %.1f\r\n", g.limits[rank])
}

// mostReceived returns the largest number of requests that a rank got within a span, in an interval.
func (g *engineGroup) mostReceived(rank int, from, to time.Time, span time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for i, first := range g.received[rank] {
		n := 0
		for _, at := range g.received[rank][i:] {
			if !first.Before(from) && at.Before(to) && at.Sub(first) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// failFor makes the group fail for the length of an outage. For a while after that, its experts are unbalanced.
func (g *engineGroup) failFor(outage, unbalanced time.Duration) {
	g.mu.Lock()
	g.state = groupStalled
	g.mu.Unlock()
	time.Sleep(min(stallDuration, outage))
	g.mu.Lock()
	close(g.aborted)
	g.aborted = make(chan struct{})
	g.running, g.waiting = [rankCount][]*engineRequest{}, [rankCount][]*engineRequest{}
	g.state = groupClosed
	g.mu.Unlock()
	time.Sleep(outage - min(stallDuration, outage))
	g.mu.Lock()
	g.state = groupOpen
	g.balancedFrom = time.Now().Add(unbalanced)
	g.mu.Unlock()
}

// crash ends a rank and all requests on it, which makes the group fail until the rank is back. g.mu is held.
func (g *engineGroup) crash(rank int) {
	now := time.Now()
	g.crashes = append(g.crashes, now)
	g.downUntil[rank] = now.Add(restartTime)
	for _, request := range append(g.running[rank], g.waiting[rank]...) {
		close(request.crashed)
	}
	g.running[rank], g.waiting[rank] = nil, nil
	if g.state == groupOpen {
		g.state = groupStalled
		go g.failFor(restartTime+formTime, time.Second)
	}
}

// crashTimes returns the times of all crashes so far.
func (g *engineGroup) crashTimes() []time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.crashes)
}

// runPasses runs passes while there are requests, until the context ends.
func (g *engineGroup) runPasses(ctx context.Context) {
	for {
		length, busy := g.beginPass()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-g.enqueued:
			}
			continue
		}
		time.Sleep(length)
		g.endPass()
	}
}

// beginPass starts waiting requests in free slots. It returns the duration of the next pass and whether any request
// runs.
func (g *engineGroup) beginPass() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != groupOpen {
		return 0, false
	}
	longest, busy := time.Duration(0), false
	for r := range rankCount {
		kept := g.running[r][:0]
		for _, request := range g.running[r] {
			if !request.abandoned() && request.lastEvent < request.eventCount {
				kept = append(kept, request)
			}
		}
		g.running[r] = kept
		for len(g.waiting[r]) > 0 && len(g.running[r]) < rankSlots {
			if request := g.waiting[r][0]; !request.abandoned() {
				g.running[r] = append(g.running[r], request)
			}
			g.waiting[r] = g.waiting[r][1:]
		}
		prefillTokens := 0
		for _, request := range g.running[r] {
			prefillTokens += request.prefillLeft
		}
		busy = busy || len(g.running[r]) > 0
		step := baseStepTime + time.Duration(len(g.running[r]))*stepTimePerStream
		longest = max(longest, stepsPerPass*step+time.Duration(min(prefillTokens, prefillTokensPerPass))*prefillTimePerToken)
	}
	skew := balancedSkew
	if time.Now().Before(g.balancedFrom) {
		skew = unbalancedSkew
	}
	return time.Duration(float64(longest) * (1 - expertShare + expertShare*skew)), busy
}

// endPass generates an event of each stream whose prompt is prefilled.
func (g *engineGroup) endPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != groupOpen {
		return
	}
	for r := range rankCount {
		budget := prefillTokensPerPass
		for _, request := range g.running[r] {
			prefilled := min(budget, request.prefillLeft)
			budget -= prefilled
			request.prefillLeft -= prefilled
			if request.prefillLeft == 0 && request.deadly {
				g.crash(r)
				break
			}
			if request.prefillLeft == 0 {
				request.lastEvent++
				request.eventIDs <- request.lastEvent
			}
		}
	}
}
