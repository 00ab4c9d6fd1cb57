package screener_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/screener"
)

var start = time.Unix(1_000_000, 0)

func newScreener(node identifier.Node) *screener.Screener {
	return screener.New(screener.Config{Node: node})
}

func prompt(customer identifier.Customer, request identifier.PromptPart, parts ...identifier.PromptPart) screener.Prompt {
	return screener.NewPrompt(customer, request, parts)
}

// crashedRank returns a request that was running on a rank of a group when the rank crashed.
func crashedRank(p screener.Prompt, responding bool) screener.Crash {
	return screener.Crash{Prompt: p, Site: 1, Grouped: true, Responding: responding}
}

func refused(v screener.Verdict) bool {
	_, is := v.(screener.Refused)
	return is
}

// Guards against a second outage by a part that crashed one upstream, and against sound requests refused with it.
func TestPartThatCrashedAnUpstreamIsRefused(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	s.RecordAnswer(start, prompt("c", "r0", "subject"))
	s.RecordCrash(start.Add(time.Second), crashedRank(prompt("c", "r1", "subject", "deadly"), true))
	now := start.Add(2 * time.Second)
	require.True(t, refused(s.Verdict(now, prompt("c", "r2", "subject", "deadly"))))
	require.True(t, refused(s.Verdict(now, prompt("c", "r3", "other", "deadly"))))
	require.Equal(t, screener.Clear{}, s.Verdict(now, prompt("c", "r4", "subject")))
	require.Equal(t, screener.Clear{}, s.Verdict(now, prompt("c", "r5")))
}

// Guards against a sound part that was first used in the crashing request and then refused for good.
func TestUnknownPartIsClearedByATrial(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	s.RecordCrash(start, crashedRank(prompt("c", "r1", "subject", "deadly"), true))
	sound := prompt("c", "r2", "subject")
	isolated, is := s.Verdict(start, sound).(screener.Isolated)
	require.True(t, is)
	require.True(t, s.BeginTrial(isolated.Part))
	require.False(t, s.BeginTrial(isolated.Part), "one trial at a time")
	s.EndTrial(isolated.Part)
	s.RecordAnswer(start.Add(time.Second), sound)
	now := start.Add(2 * time.Second)
	require.Equal(t, screener.Clear{}, s.Verdict(now, sound))
	require.True(t, refused(s.Verdict(now, prompt("c", "r3", "another", "deadly"))))
}

// Guards against a caller that locks out another one by crashing upstreams with the other's part.
func TestCrashesOfOneCustomerDoNotRefuseOthers(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	for i := range 20 {
		s.RecordCrash(start.Add(time.Duration(i)*10*time.Second), crashedRank(prompt("attacker", "r", "part"), true))
	}
	now := start.Add(201 * time.Second)
	require.True(t, refused(s.Verdict(now, prompt("attacker", "r2", "part"))))
	require.IsType(t, screener.Isolated{}, s.Verdict(now, prompt("victim", "r3", "part")))
	s.RecordCrash(now, crashedRank(prompt("victim", "r3", "part"), true))
	require.True(t, refused(s.Verdict(now, prompt("third", "r4", "part"))), "two customers' requests have crashed")
}

// Guards against requests refused because their upstreams crashed for other reasons.
func TestCrashesBeforeAResponseRefuseOnlyWhenRepeated(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	for i := range 6 {
		s.RecordCrash(start.Add(time.Duration(i)*100*time.Millisecond), crashedRank(prompt("c", "r", "fresh"), false))
	}
	now := start.Add(time.Second)
	require.Equal(t, screener.Clear{}, s.Verdict(now, prompt("c", "r2", "fresh")), "one outage")
	s.RecordCrash(start.Add(10*time.Second), crashedRank(prompt("c", "r3", "fresh"), false))
	require.IsType(t, screener.Isolated{}, s.Verdict(start.Add(11*time.Second), prompt("c", "r4", "fresh")))
	s.RecordCrash(start.Add(20*time.Second), crashedRank(prompt("c", "r5", "fresh"), false))
	require.True(t, refused(s.Verdict(start.Add(21*time.Second), prompt("c", "r6", "fresh"))))
}

// Guards against a request that crashes upstreams as a whole and is sent again.
func TestRepeatedRequestThatCrashedIsRefused(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	s.RecordAnswer(start, prompt("c", "r0", "subject"))
	s.RecordCrash(start.Add(time.Second), crashedRank(prompt("c", "r1", "subject"), true))
	require.True(t, refused(s.Verdict(start.Add(time.Second), prompt("c", "r1", "subject"))))
	require.Equal(t, screener.Clear{}, s.Verdict(start.Add(time.Second), prompt("c", "r2", "subject")))
}

// Guards against a part that becomes deadly although it was answered before.
func TestAnsweredPartIsSuspectedAfterRepeatedCrashes(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	s.RecordAnswer(start, prompt("c", "r0", "part"))
	s.RecordCrash(start.Add(time.Second), crashedRank(prompt("c", "r1", "part"), true))
	require.Equal(t, screener.Clear{}, s.Verdict(start.Add(2*time.Second), prompt("c", "r2", "part")))
	s.RecordCrash(start.Add(8*time.Second), crashedRank(prompt("c", "r2", "part"), true))
	require.True(t, refused(s.Verdict(start.Add(9*time.Second), prompt("c", "r3", "part"))))
}

// Guards against gateways that learn of a crash from each other wrongly: several reports of it, and a part that was
// answered for another gateway only.
func TestGatewaysShareWhatTheyKnow(t *testing.T) {
	t.Parallel()
	a, b := newScreener("a"), newScreener("b")
	b.RecordAnswer(start, prompt("c", "r0", "subject"))
	a.RecordCrash(start.Add(time.Second), crashedRank(prompt("c", "r1", "subject", "deadly"), true))
	now := start.Add(1100 * time.Millisecond)
	require.Len(t, b.Merge(now, a.Report(now)).Runs, 3, "the request and both parts")
	require.True(t, b.Merge(now, a.Report(now)).IsEmpty())
	require.True(t, refused(b.Verdict(now, prompt("c", "r2", "other", "deadly"))))
	require.IsType(t, screener.Isolated{}, a.Verdict(now, prompt("c", "r3", "subject")))
	a.Merge(now, b.Report(now))
	require.Equal(t, screener.Clear{}, a.Verdict(now, prompt("c", "r3", "subject")))
	require.True(t, refused(a.Verdict(now, prompt("c", "r4", "other", "deadly"))))
}

// Guards against suspicions that gateways return to each other for ever, and against a refusal that outlasts its time.
func TestSuspicionsExpire(t *testing.T) {
	t.Parallel()
	a, b := newScreener("a"), newScreener("b")
	a.RecordCrash(start, crashedRank(prompt("c", "r1", "deadly"), true))
	again := prompt("c", "r2", "deadly")
	require.True(t, refused(a.Verdict(start.Add(59*time.Second), again)))
	require.IsType(t, screener.Isolated{}, a.Verdict(start.Add(61*time.Second), again))
	for now := start; now.Before(start.Add(21 * time.Minute)); now = now.Add(200 * time.Millisecond) {
		late := now.Add(100 * time.Millisecond)
		b.Merge(late, delayed(a.Report(now)))
		a.Merge(late, delayed(b.Report(now)))
	}
	require.Equal(t, screener.Clear{}, a.Verdict(start.Add(21*time.Minute), again))
	require.Empty(t, a.Report(start.Add(21*time.Minute)).Runs)
}

// delayed returns a report as it appears after 100 ms on the network: its times are sent as ages.
func delayed(r federator.CrashReport) federator.CrashReport {
	r.Runs = slices.Clone(r.Runs)
	for i := range r.Runs {
		r.Runs[i].At = r.Runs[i].At.Add(100 * time.Millisecond)
		r.Runs[i].SentAt = r.Runs[i].SentAt.Add(100 * time.Millisecond)
	}
	return r
}

// Guards against state and datagrams that grow with crashes, and against a customer that displaces what is known of
// another one.
func TestStateIsBounded(t *testing.T) {
	t.Parallel()
	s := newScreener("a")
	s.RecordCrash(start, crashedRank(prompt("quiet", "r", "deadly"), true))
	for i := range 1000 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		part := identifier.PromptPart(fmt.Sprint("part", i))
		crash := crashedRank(prompt(identifier.Customer(fmt.Sprint("loud", i%3)), part, part), true)
		// Within two seconds, crashes of one group would be one.
		crash.Site = identifier.CrashSite(1000 + i)
		s.RecordCrash(at, crash)
	}
	now := start.Add(20 * time.Second)
	require.LessOrEqual(t, len(s.Report(now).Runs), 64)
	for i := range 1000 {
		own := identifier.PromptPart(fmt.Sprint("t/", i))
		s.RecordCrash(now, screener.Crash{Prompt: prompt("t", own), Site: identifier.CrashSite(2 + i%50)})
	}
	require.LessOrEqual(t, len(s.Report(now).Runs), 64)
	require.True(t, refused(s.Verdict(now, prompt("quiet", "r2", "deadly"))))
}

// Load: several upstreams crash with dozens of requests at every gateway. Guards against gateways that send each other the
// suspicions that they have just removed, without end.
func TestGatewaysSettleOnTheSameSuspicions(t *testing.T) {
	t.Parallel()
	var fleet []*screener.Screener
	for i := range 12 {
		fleet = append(fleet, newScreener(identifier.Node(fmt.Sprint("n", i))))
	}
	for i := range 600 {
		part := identifier.PromptPart(fmt.Sprint("part", i))
		customer := identifier.Customer(fmt.Sprint("c", i%2))
		fleet[i%12].RecordCrash(start.Add(time.Duration(i)*5*time.Millisecond), crashedRank(prompt(customer, part, part), i%2 == 0))
	}
	news := 0
	for round := range 40 {
		now := start.Add(4*time.Second + time.Duration(round)*200*time.Millisecond)
		news = 0
		for i, from := range fleet {
			report := from.Report(now)
			require.LessOrEqual(t, len(report.Runs), 64)
			for j, to := range fleet {
				if i != j {
					added := to.Merge(now.Add(100*time.Millisecond), delayed(report))
					news += len(added.Runs)
				}
			}
		}
	}
	require.Zero(t, news)
}
