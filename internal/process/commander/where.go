package commander

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/inquirer"
)

// maxListedCandidates bounds the upstreams in the text; --json prints all that the gateway lists.
const maxListedCandidates = 12

type whereCommand struct {
	base
	Gateway string   `long:"gateway" required:"true" value-name:"ADDRESS" description:"control address of the gateway"`
	Headers []string `long:"header" value-name:"NAME:VALUE" description:"header of the request, repeatable; Host names its host"`
	JSON    bool     `long:"json" description:"print JSON"`
	Args    struct {
		Path string `positional-arg-name:"PATH" required:"true" description:"path of the request"`
	} `positional-args:"true"`
}

// Execute asks the gateway and prints its answer. A request that would be refused is an answer, not a failure.
func (c *whereCommand) Execute([]string) error {
	headers := http.Header{}
	for _, text := range c.Headers {
		name, value, ok := strings.Cut(text, ":")
		if !ok || strings.TrimSpace(name) == "" {
			// The value may be a key, which does not belong in an error.
			return errors.New("a --header is invalid; write NAME:VALUE")
		}
		headers.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	answer, text, err := inquirer.Ask(c.ctx, c.deps.Client, c.Gateway, inquirer.Question{Path: c.Args.Path, Headers: headers})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(text)
	}
	return printAnswer(c.deps.Output, answer)
}

// printAnswer prints an answer as text: first the decision, then what was weighed, then the state of the gateway.
func printAnswer(w io.Writer, a inquirer.Answer) error {
	fmt.Fprintf(w, "%s in %s at %s\n\n", a.Gateway, a.FailureDomain, a.At.UTC().Format("2006-01-02T15:04:05.000Z"))
	fmt.Fprintf(w, "request:  %s\n", requestText(a.Request))
	if a.Request.DeadlineMs > 0 {
		fmt.Fprintf(w, "times:    %s\n", timesText(a.Request))
	}
	fmt.Fprintf(w, "decision: %s\n", decisionText(a))
	if q := a.Queue; q != nil {
		fmt.Fprintf(w, "queue:    %d waiting, %d ahead of this request, expected wait %s%s\n", q.Waiting, q.Ahead,
			durationText(q.ExpectedWaitMs), textIf(q.Late, ", cannot be on time"))
	}
	if s := a.Share; s != nil {
		share := "no limit while capacity suffices"
		if s.Share != nil {
			share = strconv.FormatFloat(*s.Share, 'f', 1, 64)
		}
		usual := ""
		if s.Usual > 0 {
			usual = fmt.Sprintf(", usually asks for %.1f", s.Usual)
		}
		fmt.Fprintf(w, "customer: %s its share; asked for %.1f, granted %.1f, share: %s%s\n", s.Standing, s.Asked, s.Granted, share, usual)
	}
	if err := printGroups(w, a.Groups); err != nil {
		return err
	}
	if err := printCandidates(w, a); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nstate:    %s\n", stateText(a.State))
	return nil
}

func requestText(r inquirer.Request) string {
	if r.Route == "" && r.Prefix == "" {
		return "no route"
	}
	customer := "no customer"
	if r.Customer != "" {
		customer = "customer " + r.Customer
	}
	if r.Service == "" {
		return fmt.Sprintf("route %s (%s), %s", r.Route, r.Prefix, customer)
	}
	text := fmt.Sprintf("route %s (%s), %s, service %s, priority %d", r.Route, r.Prefix, customer, r.Service, r.Priority)
	if len(r.Targets) > 1 {
		var targets []string
		for _, t := range r.Targets {
			targets = append(targets, fmt.Sprintf("%s %d", t.Service, t.Weight))
		}
		text += "; drawn by weight from " + strings.Join(targets, ", ")
	}
	return text
}

func timesText(r inquirer.Request) string {
	onTime := "late on arrival"
	if r.OnTimeMs > 0 {
		onTime = "on time within " + durationText(r.OnTimeMs)
	}
	retry := "its client is not expected to retry"
	if r.ClientRetries {
		retry = "its client may retry"
	}
	return fmt.Sprintf("%s, waits %s at most, deadline in %s; %s", onTime, durationText(r.GrantMs), durationText(r.DeadlineMs), retry)
}

func decisionText(a inquirer.Answer) string {
	d := a.Decision
	switch d.Kind {
	case inquirer.KindUpstream:
		text := "goes to " + d.Upstream
		if d.Group != "" {
			text += " of group " + d.Group
		}
		text += fmt.Sprintf(" in %s (%s)", d.FailureDomain, d.Address)
		if a.Request.Isolated {
			text += ", isolated since it may crash upstreams"
		}
		return text + textIf(d.Probe, ", as a probe of the closed group")
	case inquirer.KindWait:
		if len(a.Candidates) > 0 && a.Candidates[0].Obstacle == "" {
			return "waits in the queue behind requests that wait for the same upstreams"
		}
		return "waits in the queue since no upstream can accept it"
	case inquirer.KindRefusal:
		return fmt.Sprintf("refused with %d %s, Retry-After %s", d.Status, d.Reason, durationText(d.RetryAfterMs))
	case inquirer.KindInvalid:
		text := fmt.Sprintf("rejected with %d: %s", d.Status, d.Reason)
		if d.Detail != "" {
			text += " (" + d.Detail + ")"
		}
		return text
	default:
		return d.Kind + "; use a command of the gateway's version"
	}
}

func printGroups(w io.Writer, groups []inquirer.Group) error {
	if len(groups) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GROUP\tSTATE\tADMITS\tRUNNING\tLIMIT\tPEERS\tCAPACITY\tSTARTING\tUPSTREAMS")
	for _, g := range groups {
		state := g.State
		if g.OpensInMs > 0 {
			state += ", opens in about " + durationText(g.OpensInMs)
		}
		capacity := "-"
		if g.Capacity > 0 {
			capacity = strconv.FormatFloat(g.Capacity, 'f', 1, 64)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%d\t%d\n", orDash(g.Group), state, yesOrNo(g.Admits), g.Running,
			limitText(g.Limit), g.PeerRunning, capacity, g.Starting, g.Ranks)
	}
	return errors.Wrap(table.Flush(), "write the groups")
}

func printCandidates(w io.Writer, a inquirer.Answer) error {
	if len(a.Candidates) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\ncandidates; the lowest score of a random sample of %d without an obstacle is chosen\n", a.Compared)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "UPSTREAM\tGROUP\tFAILURE DOMAIN\tSCORE\tRUNNING\tLIMIT\tPEERS\tSLOTS\tOBSTACLE")
	listed := a.Candidates[:min(len(a.Candidates), maxListedCandidates)]
	for _, c := range listed {
		limit := "-"
		if c.Limit != nil {
			limit = strconv.Itoa(*c.Limit)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.3f\t%d\t%s\t%d\t%d\t%s\n", c.Upstream, orDash(c.Group), c.FailureDomain, c.Score,
			c.Running, limit, c.PeerRunning, c.Slots, orDash(c.Obstacle))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the candidates")
	}
	if more := len(a.Candidates) - len(listed) + a.OmittedCandidates; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	return nil
}

func stateText(s inquirer.State) string {
	age := "age unknown"
	if s.ListAgeMs != nil {
		age = durationText(*s.ListAgeMs) + " old"
	}
	return fmt.Sprintf("configuration %d; %d upstreams, list %s, %s%s; shared by %d gateways, %d of %d peers heard lately%s",
		s.ConfigVersion, s.Upstreams, s.ListVersion, age, textIf(s.ListOutdated, ", a peer has a newer one"), s.Gateways,
		s.PeersLive, s.PeersKnown, textIf(s.Stopping, "; the gateway stops"))
}

// durationText returns a time in ms with the precision of a ms.
func durationText(ms float64) string {
	return (time.Duration(ms*float64(time.Millisecond)) + time.Millisecond/2).Truncate(time.Millisecond).String()
}

func limitText(limit int) string {
	if limit == 0 {
		return "-"
	}
	return strconv.Itoa(limit)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}
