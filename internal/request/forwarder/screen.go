package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/request/screener"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

const (
	// trialCheckInterval is the time between two checks whether the trial of another request has ended, and maxTrialWait
	// the longest wait for that: an upstream begins its response in a few hundred milliseconds.
	trialCheckInterval = 20 * time.Millisecond
	maxTrialWait       = 500 * time.Millisecond
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
)

const (
	// ReasonCrashes means that requests with the same part of a prompt have crashed upstreams.
	ReasonCrashes admitter.Reason = "crashes"
	// ReasonTrial means that another request with a suspected part of a prompt is in its trial.
	ReasonTrial admitter.Reason = "trial"
)

// requestPart identifies a request as a whole: its customer, target and body.
func requestPart(c *call, r *http.Request) identifier.PromptPart {
	h := xxhash.New()
	_, _ = h.WriteString(r.RequestURI + "\n")
	_, _ = h.Write(c.body)
	return identifier.PromptPart(string(c.customer.Name) + "/" + strconv.FormatUint(h.Sum64(), 16))
}

// screen refuses a request that is known to crash upstreams. One that may crash its upstream waits until no other
// request with the same part is in its trial.
func (f *Forwarder) screen(ctx context.Context, c *call) (admitter.Refused, bool) {
	end := time.Now().Add(maxTrialWait)
	for {
		now := time.Now()
		switch v := f.cfg.Screener.Verdict(now, c.prompt).(type) {
		case screener.Clear:
			f.endTrial(c)
			return admitter.Refused{}, false
		case screener.Refused:
			return f.crashRefusal(now, v), true
		case screener.Isolated:
			if c.trial == v.Part {
				return admitter.Refused{}, false
			}
			f.endTrial(c)
			if f.cfg.Screener.BeginTrial(v.Part) {
				c.trial = v.Part
				return admitter.Refused{}, false
			}
		}
		if now.After(end) || !waiter.For(ctx, trialCheckInterval) {
			return admitter.Refused{Reason: ReasonTrial, RetryAfter: maxTrialWait}, true
		}
	}
}

// screenAgain repeats the check for a request that has waited in the queue.
func (f *Forwarder) screenAgain(c *call, d admitter.Decision) admitter.Decision {
	granted, is := d.(admitter.Granted)
	if !is || granted.Waited == 0 {
		return d
	}
	now := time.Now()
	refused, is := f.cfg.Screener.Verdict(now, c.prompt).(screener.Refused)
	if !is {
		return d
	}
	f.cfg.Admitter.Done(now, granted, admitter.Cancelled{})
	return f.crashRefusal(now, refused)
}

func (f *Forwarder) crashRefusal(now time.Time, r screener.Refused) admitter.Refused {
	f.cfg.Meter.Increment(meter.GatewayScreened)
	return refusedForCrashes(now, r)
}

func refusedForCrashes(now time.Time, r screener.Refused) admitter.Refused {
	return admitter.Refused{Reason: ReasonCrashes, RetryAfter: r.Until.Sub(now)}
}

// recordEvents tells the screener how far the latest attempt has come. The trial of an isolated request ends once the stream
// has shown that its prompt is sound.
func (f *Forwarder) recordEvents(c *call, s *stream) {
	now := time.Now()
	s.run.RecordEvents(now, s.attemptEvents)
	if c.trial == "" {
		return
	}
	if _, is := f.cfg.Screener.Verdict(now, c.prompt).(screener.Clear); is {
		f.endTrial(c)
	}
}

// endTrial ends the trial of an isolated request.
func (f *Forwarder) endTrial(c *call) {
	if c.trial != "" {
		f.cfg.Screener.EndTrial(c.trial)
		c.trial = ""
	}
}

// recordCrash records an attempt whose connection broke before the response was complete, if the upstream has ended.
func (f *Forwarder) recordCrash(c *call, s *stream, g admitter.Granted, sent time.Time) {
	if !f.crashes.hasEnded(g.Upstream.Address) {
		return
	}
	crash := screener.Crash{Prompt: c.prompt, SentAt: sent, Responding: c.route.Stream && s.head > 0, Events: s.attemptEvents}
	crash.Site, crash.Grouped = crashSite(c, g.Upstream)
	lasting := f.cfg.Screener.RecordCrash(time.Now(), crash)
	f.cfg.Meter.Increment(meter.GatewayCrashes)
	f.cfg.Log.Event(logger.EventUpstreamCrashed).Str("request", c.id).Str("upstream", string(g.Upstream.ID)).
		Bool("responding", crash.Responding).Int("events", crash.Events).Str("digest", c.prompt.Digest()).
		Int("partCount", len(c.prompt.Parts)).Strs("parts", loggedParts(c)).Send()
	f.cfg.OnCrash(lasting)
}

// loggedParts returns the first parts of a request's prompt.
func loggedParts(c *call) []string {
	return identifier.PartNames(c.prompt.Parts[:min(len(c.prompt.Parts), maxLoggedParts)])
}

// crashSite returns what crashes as a whole: the group of a rank, all upstreams of a model whose groups are not known, or
// one upstream that belongs to no group.
func crashSite(c *call, u cataloguer.Upstream) (site identifier.CrashSite, grouped bool) {
	name := string(u.ID)
	if grouped = u.Group != "" || c.route.Stream && c.engine != nil; grouped {
		name = identifier.GroupID{Service: u.Service, Group: u.Group}.String()
	}
	return identifier.CrashSite(xxhash.Sum64String(name)), grouped
}
