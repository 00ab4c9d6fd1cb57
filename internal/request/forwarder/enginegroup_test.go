package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The figures of the stand-in are those of the engines that the users run: a pass of all ranks together makes one event
// of each running stream and reads a bounded number of prompt tokens.
const (
	groupRanks     = 16
	rankSlots      = 12
	stepsPerPass   = 5
	stepBase       = 5850 * time.Microsecond
	stepPerStream  = 355 * time.Microsecond
	readPerPass    = 2560
	readPerToken   = time.Millisecond * 10 / 612
	expertShare    = 0.85
	skewUnbalanced = 3.1
	skewBalanced   = 1.05
	stallTime      = 1500 * time.Millisecond
)

type groupState int

const (
	groupOpen groupState = iota
	groupStalled
	groupClosed
)

// job is a request at a rank.
type job struct {
	unread int
	next   int
	events int
	out    chan int
	gone   chan struct{}
}

func (j *job) left() bool {
	select {
	case <-j.gone:
		return true
	default:
		return false
	}
}

// engineGroup is a stand-in of ranks that run in lock-step, in virtual time. A break stalls it, then cuts what runs, and
// then it rejects requests until it opens again.
type engineGroup struct {
	mu       sync.Mutex
	state    groupState
	balanced time.Time
	running  [groupRanks][]*job
	waiting  [groupRanks][]*job
	work     chan struct{}
	stalled  chan struct{}
}

func newEngineGroup(ctx context.Context) *engineGroup {
	g := &engineGroup{work: make(chan struct{}, 1), stalled: make(chan struct{})}
	go g.run(ctx)
	return g
}

// dial connects to the rank whose number the address is.
func (g *engineGroup) dial(_ context.Context, _, address string) (net.Conn, error) {
	rank, err := strconv.Atoi(address)
	if err != nil {
		return nil, err
	}
	here, there := net.Pipe()
	go g.serve(there, rank)
	return here, nil
}

func (g *engineGroup) serve(c net.Conn, rank int) {
	defer c.Close()
	reader := bufio.NewReader(c)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	j := &job{out: make(chan int, 256), gone: make(chan struct{})}
	_, _ = fmt.Sscanf(q.Header.Get("Size"), "%d,%d", &j.unread, &j.events)
	j.next, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	go func() {
		var one [1]byte
		_, _ = reader.Read(one[:])
		close(j.gone)
	}()
	stalled, accepted := g.enter(rank, j)
	if !accepted {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nLoad: 0,0,%d\r\nContent-Length: 0\r\n\r\n",
			q.Header.Get("Id"), rankSlots)
		return
	}
	g.answer(c, q, j, stalled)
}

func (g *engineGroup) answer(c net.Conn, q *http.Request, j *job, stalled <-chan struct{}) {
	started := false
	for {
		select {
		case <-j.gone:
			return
		case <-stalled:
			if !started {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nLoad: 0,0,%d\r\nContent-Length: 0\r\n\r\n",
					q.Header.Get("Id"), rankSlots)
			}
			return
		case id := <-j.out:
			if !started {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
				started = true
			}
			event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			if id == j.events {
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
				return
			}
		}
	}
}

func (g *engineGroup) enter(rank int, j *job) (<-chan struct{}, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == groupClosed {
		return nil, false
	}
	g.waiting[rank] = append(g.waiting[rank], j)
	select {
	case g.work <- struct{}{}:
	default:
	}
	return g.stalled, true
}

// breakFor breaks the group. It opens again after the given time, with its experts out of balance for a while.
func (g *engineGroup) breakFor(outage, unbalanced time.Duration) {
	g.mu.Lock()
	g.state = groupStalled
	g.mu.Unlock()
	time.Sleep(min(stallTime, outage))
	g.mu.Lock()
	close(g.stalled)
	g.stalled = make(chan struct{})
	g.running, g.waiting = [groupRanks][]*job{}, [groupRanks][]*job{}
	g.state = groupClosed
	g.mu.Unlock()
	time.Sleep(outage - min(stallTime, outage))
	g.mu.Lock()
	g.state = groupOpen
	g.balanced = time.Now().Add(unbalanced)
	g.mu.Unlock()
}

func (g *engineGroup) run(ctx context.Context) {
	for {
		length, busy := g.begin()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-g.work:
			}
			continue
		}
		time.Sleep(length)
		g.end()
	}
}

// begin admits waiting requests and returns how long the next pass lasts.
func (g *engineGroup) begin() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != groupOpen {
		return 0, false
	}
	longest, busy := time.Duration(0), false
	for r := range groupRanks {
		kept := g.running[r][:0]
		for _, j := range g.running[r] {
			if !j.left() && j.next < j.events {
				kept = append(kept, j)
			}
		}
		g.running[r] = kept
		for len(g.waiting[r]) > 0 && len(g.running[r]) < rankSlots {
			if j := g.waiting[r][0]; !j.left() {
				g.running[r] = append(g.running[r], j)
			}
			g.waiting[r] = g.waiting[r][1:]
		}
		reading := 0
		for _, j := range g.running[r] {
			reading += j.unread
		}
		busy = busy || len(g.running[r]) > 0
		step := stepBase + time.Duration(len(g.running[r]))*stepPerStream
		longest = max(longest, stepsPerPass*step+time.Duration(min(reading, readPerPass))*readPerToken)
	}
	skew := skewBalanced
	if time.Now().Before(g.balanced) {
		skew = skewUnbalanced
	}
	return time.Duration(float64(longest) * (1 - expertShare + expertShare*skew)), busy
}

// end makes an event of each stream whose prompt is read.
func (g *engineGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state != groupOpen {
		return
	}
	for r := range groupRanks {
		budget := readPerPass
		for _, j := range g.running[r] {
			read := min(budget, j.unread)
			budget -= read
			j.unread -= read
			if j.unread == 0 {
				j.next++
				j.out <- j.next
			}
		}
	}
}
