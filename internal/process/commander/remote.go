package commander

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/declarer"
)

type applyCommand struct {
	remoteCommand
	Expect uint64   `long:"expect" value-name:"REVISION" description:"refuse to change resources that were changed after this revision"`
	Delete []string `long:"delete" value-name:"KIND/NAME" description:"delete a resource after the others were declared"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"files of resources"`
	} `positional-args:"true"`
}

// Execute validates all files before it changes anything.
func (c *applyCommand) Execute([]string) error {
	if len(c.Args.Files)+len(c.Delete) == 0 {
		return errors.New("nothing to apply; name files of resources or use --delete")
	}
	sources, err := readSources(c.Args.Files)
	if err != nil {
		return err
	}
	resources, err := declarer.DecodePart(sources...)
	if err != nil {
		return err
	}
	deletions, err := parseKeys(c.Delete)
	if err != nil {
		return err
	}
	remote, err := c.client()
	if err != nil {
		return err
	}
	for _, r := range resources {
		if err := c.put(remote, r); err != nil {
			return errors.Wrap(err, declarer.Key(r))
		}
	}
	for _, key := range deletions {
		if err := c.delete(remote, key); err != nil {
			return err
		}
	}
	return nil
}

func (c *applyCommand) put(remote *client, r declarer.Resource) error {
	revision, changed, err := remote.update(c.ctx, r.Kind(), r.Identity(), func(current held) (declarer.Resource, error) {
		// A resource that is as wanted already may have been changed by this command, whose answer was lost.
		if current.equals(r) {
			return r, nil
		}
		return r, c.expected(declarer.Key(r), current.revision)
	})
	if err != nil {
		return err
	}
	result := "unchanged"
	if changed {
		result = "applied"
	}
	fmt.Fprintf(c.d.Output, "%s %s at revision %d\n", declarer.Key(r), result, revision)
	return nil
}

func (c *applyCommand) expected(key string, current identifier.Revision) error {
	if c.Expect != 0 && uint64(current) > c.Expect {
		return &ConflictError{Detail: fmt.Sprintf("%s is at revision %d now; read it and try again with --expect %d", key, current, current)}
	}
	return nil
}

func (c *applyCommand) delete(remote *client, key resourceKey) error {
	current, err := remote.read(c.ctx, key.kind, key.name)
	if err != nil {
		return err
	}
	label := string(key.kind) + "/" + key.name
	if current.resource == nil {
		fmt.Fprintf(c.d.Output, "%s does not exist\n", label)
		return nil
	}
	if err := c.expected(label, current.revision); err != nil {
		return err
	}
	etag := strconv.Quote(strconv.FormatUint(uint64(current.revision), 10))
	r, err := remote.call(c.ctx, http.MethodDelete, resourcePath(key.kind, key.name), nil, "If-Match", etag)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.d.Output, "%s deleted at revision %d\n", label, r.revision)
	return nil
}

type resourceKey struct {
	kind declarer.Kind
	name string
}

func parseKeys(texts []string) ([]resourceKey, error) {
	var keys []resourceKey
	for _, text := range texts {
		kindText, name, ok := strings.Cut(text, "/")
		if !ok || name == "" {
			return nil, errors.Newf("%s is not acceptable; write KIND/NAME", text)
		}
		kind, err := declarer.ParseKind(kindText)
		if err != nil {
			return nil, err
		}
		keys = append(keys, resourceKey{kind, name})
	}
	return keys, nil
}

type getCommand struct {
	remoteCommand
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute prints indented JSON.
func (c *getCommand) Execute([]string) error {
	remote, err := c.client()
	if err != nil {
		return err
	}
	path := "/api/v1/" + url.PathEscape(c.Args.Kind)
	if c.Args.Name != "" {
		path += "/" + url.PathEscape(c.Args.Name)
	}
	r, err := remote.call(c.ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	kind, kindErr := declarer.ParseKind(c.Args.Kind)
	if c.Args.Name != "" || kindErr != nil {
		return c.print(r.body)
	}
	var list struct {
		Revision uint64
		Items    []struct{ Value json.RawMessage }
	}
	if err := json.Unmarshal(r.body, &list); err != nil {
		return errors.Wrap(err, "the entry's answer cannot be read; use a command of the entry's version")
	}
	values := []json.RawMessage{}
	for _, item := range list.Items {
		values = append(values, item.Value)
	}
	text, err := json.Marshal(map[string]any{string(kind): values})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.d.Output, "// Revision %d\n", list.Revision)
	return c.print(text)
}

func (b *base) print(text []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(text), "", "  "); err != nil {
		return errors.Wrap(err, "the entry's answer cannot be read; use a command of the entry's version")
	}
	fmt.Fprintln(b.d.Output, out.String())
	return nil
}

type watchCommand struct {
	remoteCommand
	Revision uint64 `long:"revision" value-name:"REVISION" description:"show changes after this revision"`
	Args     struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute follows changes until the context ends. It goes on at the next entry when a stream breaks.
func (c *watchCommand) Execute([]string) error {
	remote, err := c.client()
	if err != nil {
		return err
	}
	if _, err := declarer.ParseKind(c.Args.Kind); err != nil {
		return err
	}
	for turn := 0; c.ctx.Err() == nil; turn++ {
		entry := remote.entries[turn%len(remote.entries)]
		err := c.follow(remote, entry)
		var problem *ProblemError
		if errors.As(err, &problem) && problem.Status < http.StatusInternalServerError {
			return err
		}
		// Wait only fails once the context has ended, which also ends the loop.
		_ = c.d.Wait(c.ctx)
	}
	return nil
}

// follow prints the lines of one stream until it breaks. Only a closing revision line advances the revision from which
// the next stream goes on, so that nothing is left out.
func (c *watchCommand) follow(remote *client, entry string) error {
	path := fmt.Sprintf("/api/v1/%s?watch=true&revision=%d", c.Args.Kind, c.Revision)
	if c.Args.Name != "" {
		path = fmt.Sprintf("/api/v1/%s/%s?watch=true&revision=%d", c.Args.Kind, url.PathEscape(c.Args.Name), c.Revision)
	}
	answer, err := remote.open(c.ctx, entry, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	const maxLineBytes = 2 << 20
	lines.Buffer(nil, maxLineBytes)
	if answer.StatusCode != http.StatusOK {
		lines.Scan()
		return refusal(answer.StatusCode, lines.Bytes())
	}
	for lines.Scan() {
		var line struct {
			Type     string
			Revision uint64
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return errors.Wrap(err, "a line of the watch cannot be read")
		}
		if line.Type == "revision" {
			c.Revision = max(c.Revision, line.Revision)
			continue
		}
		fmt.Fprintln(c.d.Output, lines.Text())
	}
	return lines.Err()
}

type stateCommand struct {
	remoteCommand
	out  bool
	Args struct {
		What string `positional-arg-name:"failureDomain|upstream" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute changes the state, and tries again if the resource was changed meanwhile.
func (c *stateCommand) Execute([]string) error {
	kind, change, err := c.change()
	if err != nil {
		return err
	}
	remote, err := c.client()
	if err != nil {
		return err
	}
	state := ""
	revision, _, err := remote.update(c.ctx, kind, c.Args.Name, func(current held) (declarer.Resource, error) {
		if current.resource == nil {
			return nil, errors.Newf("%s/%s does not exist; list them with currantledge get %s", kind, c.Args.Name, kind)
		}
		wanted, s := change(current.resource)
		state = s
		return wanted, nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.d.Output, "%s/%s is %s at revision %d\n", kind, c.Args.Name, state, revision)
	return nil
}

func (c *stateCommand) change() (declarer.Kind, func(declarer.Resource) (declarer.Resource, string), error) {
	switch c.Args.What {
	case "failureDomain":
		return declarer.KindFailureDomains, c.changeFailureDomain, nil
	case "upstream":
		return declarer.KindUpstreams, c.changeUpstream, nil
	default:
		return "", nil, errors.Newf("%s cannot be drained or returned; write failureDomain or upstream", c.Args.What)
	}
}

func (c *stateCommand) changeFailureDomain(r declarer.Resource) (declarer.Resource, string) {
	d, _ := r.(declarer.FailureDomain)
	d.State = declarer.DomainIn
	if c.out {
		d.State = declarer.DomainOut
	}
	return d, string(d.State)
}

func (c *stateCommand) changeUpstream(r declarer.Resource) (declarer.Resource, string) {
	u, _ := r.(declarer.Upstream)
	u.State = declarer.UpstreamActive
	if c.out {
		u.State = declarer.UpstreamLeaving
	}
	return u, string(u.State)
}

type statusCommand struct {
	remoteCommand
	JSON bool `long:"json" description:"print JSON"`
}

type wireStatus struct {
	Node        string
	Revision    uint64
	Nodes       []wireNode
	Lagging     []string
	Unreachable []string
}

type wireNode struct {
	Node          string
	Role          string
	FailureDomain string
	Upstream      string
	State         string
	Reason        string
	Revision      uint64
	AgeMs         int64
	Load          *wireLoad
}

// wireLoad is the load of a linked upstream.
type wireLoad struct {
	Running, Limit, Waiting int
	Draining, Ready         bool
}

// serving tells whether the upstream takes new requests.
func (l *wireLoad) serving() string {
	switch {
	case l == nil:
		return "-"
	case !l.Ready:
		return "notAnswering"
	case l.Draining:
		return "draining"
	default:
		return "yes"
	}
}

// Execute prints one line for each node.
func (c *statusCommand) Execute([]string) error {
	remote, err := c.client()
	if err != nil {
		return err
	}
	r, err := remote.call(c.ctx, http.MethodGet, "/api/v1/status", nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(r.body)
	}
	var status wireStatus
	if err := json.Unmarshal(r.body, &status); err != nil {
		return errors.Wrap(err, "the entry's answer cannot be read; use a command of the entry's version")
	}
	table := tabwriter.NewWriter(c.d.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tROLE\tFAILURE DOMAIN\tSTATE\tSERVING\tREVISION\tHEARD\tRUNNING\tLIMIT\tWAITING\tREASON")
	for _, n := range status.Nodes {
		running, limit, waiting := "-", "-", "-"
		if n.Load != nil {
			running, limit, waiting = strconv.Itoa(n.Load.Running), strconv.Itoa(n.Load.Limit), strconv.Itoa(n.Load.Waiting)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", n.Node, n.Role, n.FailureDomain, n.State,
			n.Load.serving(), n.Revision, time.Duration(n.AgeMs)*time.Millisecond, running, limit, waiting, n.Reason)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the status")
	}
	fmt.Fprintf(c.d.Output, "%s holds revision %d\nlagging: %s\nunreachable: %s\n",
		status.Node, status.Revision, orNone(status.Lagging), orNone(status.Unreachable))
	return nil
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}

type explainCommand struct {
	remoteCommand
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"true"`
	} `positional-args:"true"`
}

// Execute asks every entry, since each keeps its own decisions.
func (c *explainCommand) Execute([]string) error {
	if _, err := identifier.ParseRequest(c.Args.Request); err != nil {
		return err
	}
	remote, err := c.client()
	if err != nil {
		return err
	}
	var failure error
	found := false
	for _, entry := range remote.entries {
		r, err := remote.callOne(c.ctx, entry, http.MethodGet, "/api/v1/explain/"+c.Args.Request, nil)
		if err != nil {
			failure = firstOf(failure, errors.Wrap(err, entry))
			continue
		}
		if err := c.show(r.body); err != nil {
			return err
		}
		found = true
	}
	if !found {
		return failure
	}
	return nil
}

func (c *explainCommand) show(text []byte) error {
	var answer struct {
		Items []struct {
			At     time.Time
			Node   string
			Event  int
			Choice string
			Reason string
			Fields map[string]string
		}
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return errors.Wrap(err, "the entry's answer cannot be read; use a command of the entry's version")
	}
	for _, d := range answer.Items {
		fmt.Fprintf(c.d.Output, "%s %s event %d: %s because %s", d.At.Format(time.RFC3339Nano), d.Node, d.Event, d.Choice, d.Reason)
		if len(d.Fields) > 0 {
			fields, _ := json.Marshal(d.Fields)
			fmt.Fprintf(c.d.Output, " %s", fields)
		}
		fmt.Fprintln(c.d.Output)
	}
	return nil
}
