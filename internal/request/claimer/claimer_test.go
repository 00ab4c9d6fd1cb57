package claimer_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/claimer"
)

// TestMain fixes the seed of the generated sequences, so that all runs test the same ones.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	m.Run()
}

func newClaimer(t *testing.T, table *faultyTable, node identifier.Node) *claimer.Claimer {
	t.Helper()
	c := claimer.New(claimer.Config{Table: table, Objects: table, Node: node, Incarnation: 1})
	t.Cleanup(c.Close)
	return c
}

func call(key identifier.Key, request byte) claimer.Call {
	return claimer.Call{Customer: "c", Key: key, Request: identifier.Request{request}, Attempt: 1, Digest: "digest"}
}

func claim(t *testing.T, c *claimer.Claimer, k claimer.Call) claimer.Result {
	t.Helper()
	v, err := c.Claim(t.Context(), k)
	require.NoError(t, err)
	return v
}

// Guards against a claim that is lost, or won although its write is unresolved, when the table fails once.
func TestClaimUnderOneFault(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault fault
		want  claimer.Result
	}{
		{"none", faultNone, claimer.Won{}},
		{"refused", faultRefused, claimer.Won{}},
		{"response lost after the write took effect", faultLost, claimer.Won{}},
		{"late", faultLate, claimer.ClaimUnknown{Cause: context.DeadlineExceeded}},
		{"never", faultNever, claimer.ClaimUnknown{Cause: context.DeadlineExceeded}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				table := newFaultyTable(c.fault)
				started := time.Now()
				require.Equal(t, c.want, claim(t, newClaimer(t, table, "a"), call("k", 1)))
				require.LessOrEqual(t, time.Since(started), 2*time.Second)
				table.awaitLateWrites()
			})
		})
	}
}

// Guards against a key that stays blocked, or a call that starts, when the claim write takes effect after Claim has
// returned ClaimUnknown.
func TestUnknownClaimIsResolved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultLate)
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.IsType(t, claimer.ClaimUnknown{}, claim(t, a, call("k", 1)))
		require.ErrorIs(t, a.Record(t.Context(), call("k", 1), claimer.Response{}), claimer.ErrNotClaimed)
		table.awaitLateWrites()
		require.Equal(t, claimer.Held{Node: "a", Incarnation: 1}, claim(t, b, call("k", 2)))
		require.Equal(t, claimer.NeverStarted{}, a.Resolve("c", "k"))
		require.Equal(t, claimer.Won{}, claim(t, b, call("k", 2)))
		require.Equal(t, claimer.NeverStarted{}, a.Resolve("c", "k"), "another process holds the claim")
		require.Equal(t, claimer.Held{Node: "b", Incarnation: 1}, claim(t, a, call("k", 3)))
		require.Equal(t, claimer.Running{Request: identifier.Request{2}, Attempt: 1}, b.Resolve("c", "k"))
	})
}

// Guards against a resolution as never started while a claim is in progress that is won afterwards.
func TestResolveDuringClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultLost)
		a := newClaimer(t, table, "a")
		var group sync.WaitGroup
		var result claimer.Result
		group.Go(func() { result, _ = a.Claim(t.Context(), call("k", 1)) })
		// The row is written 6 ms after the start, but the claimer has not received the result yet.
		time.Sleep(7 * time.Millisecond)
		require.Equal(t, claimer.Unresolved{}, a.Resolve("c", "k"))
		group.Wait()
		require.Equal(t, claimer.Won{}, result)
		require.Equal(t, claimer.Running{Request: identifier.Request{1}, Attempt: 1}, a.Resolve("c", "k"))
	})
}

// Guards against a response that cannot be recorded because the row holds an earlier claim of the same process whose
// outcome was unknown.
func TestUnknownClaimIsRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultLate)
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.IsType(t, claimer.ClaimUnknown{}, claim(t, a, call("k", 1)))
		table.awaitLateWrites()
		require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
		response := claimer.Response{Status: 204}
		require.NoError(t, a.Record(t.Context(), call("k", 1), response))
		require.Equal(t, claimer.Recorded{Response: response}, claim(t, b, call("k", 2)))
	})
}

// Guards against a second run or a wrong response when a call that has run is repeated, for bodies inside and outside of
// the row.
func TestRecordedResponseIsReplayed(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 64 << 10, 64<<10 + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				table := newFaultyTable()
				a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
				response := claimer.Response{Status: 201, Headers: []messenger.Header{{Name: "A", Value: "b"}}}
				if size > 0 {
					response.Body = bytes.Repeat([]byte("x"), size)
				}
				require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
				require.Equal(t, claimer.Held{Node: "a", Incarnation: 1}, claim(t, a, call("k", 2)))
				other := call("k", 3)
				other.Digest = "other"
				require.Equal(t, claimer.KeyReused{}, claim(t, a, other))
				require.Equal(t, claimer.KeyReused{}, claim(t, b, other))
				require.NoError(t, a.Record(t.Context(), call("k", 1), response))
				require.Equal(t, claimer.Recorded{Response: response}, claim(t, a, call("k", 2)))
				require.Equal(t, claimer.Recorded{Response: response}, claim(t, b, call("k", 2)))
				require.Equal(t, claimer.Completed{Response: response}, a.Resolve("c", "k"))
				require.Equal(t, claimer.KeyReused{}, claim(t, b, other))
				separate := call("k", 4)
				separate.Customer = "d"
				require.Equal(t, claimer.Won{}, claim(t, b, separate), "keys of another customer are separate")
				for name := range table.objects {
					table.objects[name] = []byte("another response")
					v, ok := claim(t, b, call("k", 2)).(claimer.ClaimUnknown)
					require.True(t, ok && v.MayHaveRun, "the call has run and its response was changed")
				}
			})
		})
	}
}

// Guards against a key that cannot be claimed again after its claim was released.
func TestReleaseFreesKey(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultNone, faultLost)
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
		require.NoError(t, a.Release(t.Context(), call("k", 1)))
		require.Equal(t, claimer.Won{}, claim(t, a, call("k", 2)))
		require.NoError(t, a.Release(t.Context(), call("k", 2)))
		require.Equal(t, claimer.Won{}, claim(t, b, call("k", 3)))
		require.ErrorIs(t, a.Release(t.Context(), call("k", 1)), claimer.ErrNotClaimed)
	})
}

// Guards against a response that is lost during an outage of the table, and against an unbounded retry rate.
func TestRecordSurvivesOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable()
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		response := claimer.Response{Status: 200, Body: []byte("done")}
		require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
		table.setDefaultFault(faultRefused)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, a.Record(ctx, call("k", 1), response), context.DeadlineExceeded)
		require.Equal(t, claimer.Completed{Response: response}, a.Resolve("c", "k"))
		require.Equal(t, claimer.Recorded{Response: response}, claim(t, a, call("k", 2)))
		require.IsType(t, claimer.ClaimUnknown{}, claim(t, b, call("k", 2)))
		table.takeTries()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, table.takeTries(), 70, "tries during one minute of outage")
		table.setDefaultFault(faultNone)
		time.Sleep(2 * time.Second)
		require.Equal(t, claimer.Recorded{Response: response}, claim(t, b, call("k", 2)))
	})
}

// Guards against a transaction for each claim, and against a conflict that fails the other claims of its transaction.
func TestGroupCommit(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable()
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.Equal(t, claimer.Won{}, claim(t, b, call("5", 1)))
		results := make([]claimer.Result, 100)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() { results[i], _ = a.Claim(t.Context(), call(identifier.Key(fmt.Sprint(i)), 1)) })
		}
		group.Wait()
		for i, v := range results {
			if i == 5 {
				require.Equal(t, claimer.Held{Node: "b", Incarnation: 1}, v)
				continue
			}
			require.Equal(t, claimer.Won{}, v)
		}
		require.LessOrEqual(t, len(table.commitSizes), 4)
		for _, writes := range table.commitSizes {
			require.LessOrEqual(t, writes, 64)
		}
	})
}

// fleet runs claimers that are killed and restarted, and counts the runs of each call.
type fleet struct {
	table *faultyTable

	mu           sync.Mutex
	claimers     []*claimer.Claimer
	incarnations []identifier.Incarnation
	runs         map[identifier.Key]int
	lastRunBy    map[identifier.Key]claimer.Held
	failure      string
}

func nodeName(i int) identifier.Node {
	return identifier.Node(fmt.Sprint("n", i))
}

// startIncarnation starts the next incarnation of node i.
func (f *fleet) startIncarnation(i int) {
	f.incarnations[i]++
	f.claimers[i] = claimer.New(claimer.Config{Table: f.table, Objects: f.table, Node: nodeName(i), Incarnation: f.incarnations[i]})
}

// kill closes a claimer and replaces it if it is the current one of node i.
func (f *fleet) kill(i int, old *claimer.Claimer) {
	f.mu.Lock()
	if f.claimers[i] == old {
		f.startIncarnation(i)
	}
	f.mu.Unlock()
	old.Close()
}

// current returns the current claimer of node i and its incarnation.
func (f *fleet) current(i int) (*claimer.Claimer, identifier.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claimers[i], f.incarnations[i]
}

func (f *fleet) recordFailure(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = fmt.Sprintf(format, args...)
}

// execute counts a run of a call on node i and returns its response.
func (f *fleet) execute(i int, incarnation identifier.Incarnation, key identifier.Key) claimer.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	f.lastRunBy[key] = claimer.Held{Node: nodeName(i), Incarnation: incarnation}
	return responseOf(key, nodeName(i), incarnation)
}

func responseOf(key identifier.Key, node identifier.Node, incarnation identifier.Incarnation) claimer.Response {
	return claimer.Response{Status: 200, Body: fmt.Appendf(nil, "%s %s %d", key, node, incarnation)}
}

// checkResponse records a failure unless r is the response of the latest run of the call.
func (f *fleet) checkResponse(key identifier.Key, r claimer.Response) {
	f.mu.Lock()
	by := f.lastRunBy[key]
	f.mu.Unlock()
	if !bytes.Equal(r.Body, responseOf(key, by.Node, by.Incarnation).Body) {
		f.recordFailure("key %s: response %q is not that of the run by %v", key, r.Body, by)
	}
}

// request sends a call with a key to node i. Like an entry, it queries the holder of the claim and retries.
func (f *fleet) request(i int, k claimer.Call, ending string) {
	for range 3 {
		c, incarnation := f.current(i)
		v, err := c.Claim(context.Background(), k)
		if err != nil {
			return
		}
		switch v := v.(type) {
		case claimer.Won:
			f.finishCall(i, c, incarnation, k, ending)
			return
		case claimer.Recorded:
			f.checkResponse(k.Key, v.Response)
			return
		case claimer.Held:
			if !f.inquire(k, v) {
				return
			}
		case claimer.KeyReused:
			f.recordFailure("key %s: reported as reused without another digest", k.Key)
		case claimer.ClaimUnknown:
		}
	}
}

// finishCall continues a call whose claim is won; ending names one of the cases, and any other text means to record.
func (f *fleet) finishCall(i int, c *claimer.Claimer, incarnation identifier.Incarnation, k claimer.Call, ending string) {
	switch ending {
	case "kill before run":
		f.kill(i, c)
	case "release":
		_ = c.Release(context.Background(), k)
	case "kill after run":
		f.execute(i, incarnation, k.Key)
		f.kill(i, c)
	case "kill during record":
		response := f.execute(i, incarnation, k.Key)
		var group sync.WaitGroup
		group.Go(func() { _ = c.Record(context.Background(), k, response) })
		time.Sleep(3 * time.Millisecond)
		f.kill(i, c)
		group.Wait()
	default:
		response := f.execute(i, incarnation, k.Key)
		time.Sleep(20 * time.Millisecond)
		_ = c.Record(context.Background(), k, response)
	}
}

// inquire resolves a held claim at its holder and reports whether the claim may be tried again.
func (f *fleet) inquire(k claimer.Call, held claimer.Held) bool {
	for i := range f.claimers {
		c, incarnation := f.current(i)
		if nodeName(i) != held.Node || incarnation != held.Incarnation {
			continue
		}
		switch r := c.Resolve(k.Customer, k.Key).(type) {
		case claimer.Completed:
			f.checkResponse(k.Key, r.Response)
		case claimer.NeverStarted:
			f.mu.Lock()
			by := f.lastRunBy[k.Key]
			f.mu.Unlock()
			if by == held {
				f.recordFailure("key %s: %v ran the call and resolves it as never started", k.Key, held)
			}
			return true
		case claimer.Running, claimer.Unresolved:
		}
	}
	return false
}

// Guards against a batch that is retried forever because a conflict names no row.
func TestConflictWithoutRows(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable()
		table.omitConflictRows = true
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.Equal(t, claimer.Won{}, claim(t, b, call("0", 1)))
		var results [3]claimer.Result
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() { results[i], _ = a.Claim(t.Context(), call(identifier.Key(fmt.Sprint(i)), 1)) })
		}
		group.Wait()
		require.IsType(t, claimer.ClaimUnknown{}, results[0])
		require.Equal(t, claimer.Won{}, results[1])
		require.Equal(t, claimer.Won{}, results[2])
	})
}

// step is one request of a generated sequence.
type step struct {
	// node is the index of the node that receives the request.
	node int
	call claimer.Call
	// ending is how the call continues after a won claim, as in finishCall.
	ending string
	// gap is the time to the next step.
	gap time.Duration
	// kill is set when the node is killed after the gap.
	kill bool
}

func drawSteps(t *rapid.T) []step {
	endings := []string{"record", "record", "release", "kill before run", "kill after run", "kill during record"}
	steps := make([]step, rapid.IntRange(1, 25).Draw(t, "requests"))
	for i := range steps {
		steps[i] = step{
			node:   rapid.IntRange(0, 2).Draw(t, "node"),
			call:   call(rapid.SampledFrom([]identifier.Key{"x", "y"}).Draw(t, "key"), byte(i)),
			ending: rapid.SampledFrom(endings).Draw(t, "ending"),
			gap:    rapid.SampledFrom([]time.Duration{0, time.Millisecond, 8 * time.Millisecond, 3 * time.Second}).Draw(t, "gap"),
			kill:   rapid.IntRange(0, 9).Draw(t, "kill") == 0,
		}
	}
	return steps
}

// runSteps runs the steps, waits until all requests and late writes have ended, and sends one more request for each key
// without faults.
func (f *fleet) runSteps(steps []step) {
	for i := range f.claimers {
		f.startIncarnation(i)
	}
	var group sync.WaitGroup
	for _, s := range steps {
		group.Go(func() { f.request(s.node, s.call, s.ending) })
		time.Sleep(s.gap)
		if s.kill {
			c, _ := f.current(s.node)
			f.kill(s.node, c)
		}
	}
	group.Wait()
	f.table.awaitLateWrites()
	f.request(0, call("x", 200), "record")
	f.request(1, call("y", 201), "record")
	for _, c := range f.claimers {
		c.Close()
	}
}

// Guards against a call that runs twice in the fleet, in any generated sequence of table faults, races and kills.
func TestAtMostOnceOverSequences(t *testing.T) {
	t.Parallel()
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		kinds := []fault{faultNone, faultNone, faultRefused, faultLost, faultLate, faultNever}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 30).Draw(r, "faults")
		steps := drawSteps(r)
		f := &fleet{
			table:    newFaultyTable(faults...),
			claimers: make([]*claimer.Claimer, 3), incarnations: make([]identifier.Incarnation, 3),
			runs: map[identifier.Key]int{}, lastRunBy: map[identifier.Key]claimer.Held{},
		}
		// rapid reads the deadline of its test, which is not allowed inside a synctest bubble, so each sequence has a
		// bubble of its own.
		synctest.Test(t, func(*testing.T) { f.runSteps(steps) })
		require.Empty(r, f.failure)
		for key, runs := range f.runs {
			require.LessOrEqual(r, runs, 1, "runs of key %s", key)
			total += runs
		}
	})
	require.Positive(t, total, "no sequence ran a call")
}
