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

// TestMain fixes the seed of the generated sequences, so that each run tests the same ones.
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

func claim(t *testing.T, c *claimer.Claimer, k claimer.Call) claimer.Verdict {
	t.Helper()
	v, err := c.Claim(t.Context(), k)
	require.NoError(t, err)
	return v
}

// Guards against a claim that is lost, or that starts without certainty, when the table fails in any one way.
func TestClaimUnderOneFault(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault fault
		want  claimer.Verdict
	}{
		{"none", faultNone, claimer.Won{}},
		{"refused", faultRefused, claimer.Won{}},
		{"response lost after the write took effect", faultLost, claimer.Won{}},
		{"late", faultLate, claimer.Unsure{Cause: context.DeadlineExceeded}},
		{"never", faultNever, claimer.Unsure{Cause: context.DeadlineExceeded}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				table := newFaultyTable(c.fault)
				started := time.Now()
				require.Equal(t, c.want, claim(t, newClaimer(t, table, "a"), call("k", 1)))
				require.LessOrEqual(t, time.Since(started), 2*time.Second)
				table.settle()
			})
		})
	}
}

// Guards against a key that stays blocked, or a call that starts, when the row of an unsure claim appears later.
func TestUnsureClaimIsResolved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultLate)
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.IsType(t, claimer.Unsure{}, claim(t, a, call("k", 1)))
		require.ErrorIs(t, a.Record(t.Context(), call("k", 1), claimer.Answer{}), claimer.ErrNotClaimed)
		table.settle()
		require.Equal(t, claimer.Held{Node: "a", Incarnation: 1}, claim(t, b, call("k", 2)))
		require.Equal(t, claimer.NeverStarted{}, a.Resolve("c", "k"))
		require.Equal(t, claimer.Won{}, claim(t, b, call("k", 2)))
		require.Equal(t, claimer.NeverStarted{}, a.Resolve("c", "k"), "another process holds the claim")
		require.Equal(t, claimer.Held{Node: "b", Incarnation: 1}, claim(t, a, call("k", 3)))
		require.Equal(t, claimer.Running{Request: identifier.Request{2}, Attempt: 1}, b.Resolve("c", "k"))
	})
}

// Guards against an inquiry that is told that nothing starts while the claim is under way and then wins.
func TestResolveDuringClaim(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultLost)
		a := newClaimer(t, table, "a")
		var group sync.WaitGroup
		var verdict claimer.Verdict
		group.Go(func() { verdict, _ = a.Claim(t.Context(), call("k", 1)) })
		// The row is written 6 ms after the start, and the claimer has not learned of it yet.
		time.Sleep(7 * time.Millisecond)
		require.Equal(t, claimer.Unresolved{}, a.Resolve("c", "k"))
		group.Wait()
		require.Equal(t, claimer.Won{}, verdict)
		require.Equal(t, claimer.Running{Request: identifier.Request{1}, Attempt: 1}, a.Resolve("c", "k"))
	})
}

// Guards against a response that cannot be recorded because the row still shows an earlier claim of the same process.
func TestUnsureClaimIsRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable(faultLate)
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.IsType(t, claimer.Unsure{}, claim(t, a, call("k", 1)))
		table.settle()
		require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
		answer := claimer.Answer{Status: 204}
		require.NoError(t, a.Record(t.Context(), call("k", 1), answer))
		require.Equal(t, claimer.Recorded{Answer: answer}, claim(t, b, call("k", 2)))
	})
}

// Guards against a second run, or the wrong response, after a call has run.
func TestRecordedAnswerIsReplayed(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 64 << 10, 64<<10 + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				table := newFaultyTable()
				a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
				answer := claimer.Answer{Status: 201, Headers: []messenger.Header{{Name: "A", Value: "b"}}}
				if size > 0 {
					answer.Body = bytes.Repeat([]byte("x"), size)
				}
				require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
				require.Equal(t, claimer.Held{Node: "a", Incarnation: 1}, claim(t, a, call("k", 2)))
				other := call("k", 3)
				other.Digest = "other"
				require.Equal(t, claimer.Mismatch{}, claim(t, a, other))
				require.Equal(t, claimer.Mismatch{}, claim(t, b, other))
				require.NoError(t, a.Record(t.Context(), call("k", 1), answer))
				require.Equal(t, claimer.Recorded{Answer: answer}, claim(t, a, call("k", 2)))
				require.Equal(t, claimer.Recorded{Answer: answer}, claim(t, b, call("k", 2)))
				require.Equal(t, claimer.Answered{Answer: answer}, a.Resolve("c", "k"))
				require.Equal(t, claimer.Mismatch{}, claim(t, b, other))
				separate := call("k", 4)
				separate.Customer = "d"
				require.Equal(t, claimer.Won{}, claim(t, b, separate), "keys of another customer are separate")
				for name := range table.objects {
					table.objects[name] = []byte("another response")
					v, ok := claim(t, b, call("k", 2)).(claimer.Unsure)
					require.True(t, ok && v.MayHaveRun, "the call has run and its response was changed")
				}
			})
		})
	}
}

// Guards against a key that cannot be used again although nothing has started.
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

// Guards against a response that is lost while the table is down.
func TestRecordSurvivesOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable()
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		answer := claimer.Answer{Status: 200, Body: []byte("done")}
		require.Equal(t, claimer.Won{}, claim(t, a, call("k", 1)))
		table.setStanding(faultRefused)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, a.Record(ctx, call("k", 1), answer), context.DeadlineExceeded)
		require.Equal(t, claimer.Answered{Answer: answer}, a.Resolve("c", "k"))
		require.Equal(t, claimer.Recorded{Answer: answer}, claim(t, a, call("k", 2)))
		require.IsType(t, claimer.Unsure{}, claim(t, b, call("k", 2)))
		table.takeTries()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, table.takeTries(), 70, "an outage must not be answered with a flood of tries")
		table.setStanding(faultNone)
		time.Sleep(2 * time.Second)
		require.Equal(t, claimer.Recorded{Answer: answer}, claim(t, b, call("k", 2)))
	})
}

// Guards against one transaction for each claim, and against one conflict that fails the claims beside it.
func TestGroupCommit(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable()
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.Equal(t, claimer.Won{}, claim(t, b, call("5", 1)))
		verdicts := make([]claimer.Verdict, 100)
		var group sync.WaitGroup
		for i := range verdicts {
			group.Go(func() { verdicts[i], _ = a.Claim(t.Context(), call(identifier.Key(fmt.Sprint(i)), 1)) })
		}
		group.Wait()
		for i, v := range verdicts {
			if i == 5 {
				require.Equal(t, claimer.Held{Node: "b", Incarnation: 1}, v)
				continue
			}
			require.Equal(t, claimer.Won{}, v)
		}
		require.LessOrEqual(t, len(table.commits), 4)
		for _, writes := range table.commits {
			require.LessOrEqual(t, writes, 64)
		}
	})
}

// fleet runs claimers that are killed and restarted, and counts what they execute.
type fleet struct {
	table *faultyTable

	mu      sync.Mutex
	live    []*claimer.Claimer
	life    []identifier.Incarnation
	runs    map[identifier.Key]int
	runBy   map[identifier.Key]claimer.Held
	failure string
}

func nodeName(i int) identifier.Node {
	return identifier.Node(fmt.Sprint("n", i))
}

func (f *fleet) start(i int) {
	f.life[i]++
	f.live[i] = claimer.New(claimer.Config{Table: f.table, Objects: f.table, Node: nodeName(i), Incarnation: f.life[i]})
}

func (f *fleet) kill(i int, old *claimer.Claimer) {
	f.mu.Lock()
	if f.live[i] == old {
		f.start(i)
	}
	f.mu.Unlock()
	old.Close()
}

func (f *fleet) at(i int) (*claimer.Claimer, identifier.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live[i], f.life[i]
}

func (f *fleet) fail(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = fmt.Sprintf(format, args...)
}

func (f *fleet) execute(i int, life identifier.Incarnation, key identifier.Key) claimer.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	f.runBy[key] = claimer.Held{Node: nodeName(i), Incarnation: life}
	return answerOf(key, nodeName(i), life)
}

func answerOf(key identifier.Key, node identifier.Node, life identifier.Incarnation) claimer.Answer {
	return claimer.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %s %d", key, node, life)}
}

func (f *fleet) checkAnswer(key identifier.Key, a claimer.Answer) {
	f.mu.Lock()
	by := f.runBy[key]
	f.mu.Unlock()
	if !bytes.Equal(a.Body, answerOf(key, by.Node, by.Incarnation).Body) {
		f.fail("key %s: answer %q is not that of the run by %v", key, a.Body, by)
	}
}

// request sends one keyed call to one agent, and asks the holder of the claim as an entry does.
func (f *fleet) request(i int, k claimer.Call, ending string) {
	for range 3 {
		c, life := f.at(i)
		v, err := c.Claim(context.Background(), k)
		if err != nil {
			return
		}
		switch v := v.(type) {
		case claimer.Won:
			f.proceed(i, c, life, k, ending)
			return
		case claimer.Recorded:
			f.checkAnswer(k.Key, v.Answer)
			return
		case claimer.Held:
			if !f.inquire(k, v) {
				return
			}
		case claimer.Mismatch:
			f.fail("key %s: mismatch without another digest", k.Key)
		case claimer.Unsure:
		}
	}
}

func (f *fleet) proceed(i int, c *claimer.Claimer, life identifier.Incarnation, k claimer.Call, ending string) {
	switch ending {
	case "kill before run":
		f.kill(i, c)
	case "release":
		_ = c.Release(context.Background(), k)
	case "kill after run":
		f.execute(i, life, k.Key)
		f.kill(i, c)
	case "kill during record":
		answer := f.execute(i, life, k.Key)
		var group sync.WaitGroup
		group.Go(func() { _ = c.Record(context.Background(), k, answer) })
		time.Sleep(3 * time.Millisecond)
		f.kill(i, c)
		group.Wait()
	default:
		answer := f.execute(i, life, k.Key)
		time.Sleep(20 * time.Millisecond)
		_ = c.Record(context.Background(), k, answer)
	}
}

// inquire reports whether the claim may be tried again.
func (f *fleet) inquire(k claimer.Call, held claimer.Held) bool {
	for i := range f.live {
		c, life := f.at(i)
		if nodeName(i) != held.Node || life != held.Incarnation {
			continue
		}
		switch r := c.Resolve(k.Customer, k.Key).(type) {
		case claimer.Answered:
			f.checkAnswer(k.Key, r.Answer)
		case claimer.NeverStarted:
			f.mu.Lock()
			by := f.runBy[k.Key]
			f.mu.Unlock()
			if by == held {
				f.fail("key %s: %v ran the call and answers never started", k.Key, held)
			}
			return true
		case claimer.Running, claimer.Unresolved:
		}
	}
	return false
}

// Guards against endless tries of a batch when a conflict names no row.
func TestConflictWithoutRows(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table := newFaultyTable()
		table.unnamed = true
		a, b := newClaimer(t, table, "a"), newClaimer(t, table, "b")
		require.Equal(t, claimer.Won{}, claim(t, b, call("0", 1)))
		var verdicts [3]claimer.Verdict
		var group sync.WaitGroup
		for i := range verdicts {
			group.Go(func() { verdicts[i], _ = a.Claim(t.Context(), call(identifier.Key(fmt.Sprint(i)), 1)) })
		}
		group.Wait()
		require.IsType(t, claimer.Unsure{}, verdicts[0])
		require.Equal(t, claimer.Won{}, verdicts[1])
		require.Equal(t, claimer.Won{}, verdicts[2])
	})
}

type step struct {
	node   int
	call   claimer.Call
	ending string
	gap    time.Duration
	kill   bool
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

// play runs the steps, waits for the rest and sends one more request for each key without faults.
func (f *fleet) play(steps []step) {
	for i := range f.live {
		f.start(i)
	}
	var group sync.WaitGroup
	for _, s := range steps {
		group.Go(func() { f.request(s.node, s.call, s.ending) })
		time.Sleep(s.gap)
		if s.kill {
			c, _ := f.at(s.node)
			f.kill(s.node, c)
		}
	}
	group.Wait()
	f.table.settle()
	f.request(0, call("x", 200), "record")
	f.request(1, call("y", 201), "record")
	for _, c := range f.live {
		c.Close()
	}
}

// Guards against a call that runs twice in the fleet, over table faults, races and kills at any point.
func TestAtMostOnceOverSequences(t *testing.T) {
	t.Parallel()
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		kinds := []fault{faultNone, faultNone, faultRefused, faultLost, faultLate, faultNever}
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 30).Draw(r, "faults")
		steps := drawSteps(r)
		f := &fleet{
			table: newFaultyTable(faults...),
			live:  make([]*claimer.Claimer, 3), life: make([]identifier.Incarnation, 3),
			runs: map[identifier.Key]int{}, runBy: map[identifier.Key]claimer.Held{},
		}
		// rapid reads the deadline of its test, which a bubble forbids, so the bubble is inside.
		synctest.Test(t, func(*testing.T) { f.play(steps) })
		require.Empty(r, f.failure)
		for key, runs := range f.runs {
			require.LessOrEqual(r, runs, 1, "runs of key %s", key)
			total += runs
		}
	})
	require.Positive(t, total, "no sequence ran a call")
}
