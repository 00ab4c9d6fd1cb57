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

// Execute validates all files before it writes the first resource. Deletions come last.
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
	revision, changed, err := remote.update(c.ctx, r.Kind(), r.Identity(), func(current storedResource) (declarer.Resource, error) {
		// An equal resource may be the result of an earlier attempt of this command whose response was lost. It is no
		// conflict, whatever its revision.
		if current.equals(r) {
			return r, nil
		}
		return r, c.checkExpected(declarer.Key(r), current.revision)
	})
	if err != nil {
		return err
	}
	result := "unchanged"
	if changed {
		result = "applied"
	}
	fmt.Fprintf(c.deps.Output, "%s %s at revision %d\n", declarer.Key(r), result, revision)
	return nil
}

// checkExpected returns a *ConflictError if a resource was changed after the revision of --expect.
func (c *applyCommand) checkExpected(key string, current identifier.Revision) error {
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
		fmt.Fprintf(c.deps.Output, "%s does not exist\n", label)
		return nil
	}
	if err := c.checkExpected(label, current.revision); err != nil {
		return err
	}
	etag := strconv.Quote(strconv.FormatUint(uint64(current.revision), 10))
	r, err := remote.call(c.ctx, http.MethodDelete, resourcePath(key.kind, key.name), nil, "If-Match", etag)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.deps.Output, "%s deleted at revision %d\n", label, r.revision)
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
			return nil, errors.Newf("%s is invalid; write KIND/NAME", text)
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

// Execute prints indented JSON. A list of resources has the form that apply reads.
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
		return errors.Wrap(err, "decode the entry's response; use a command of the entry's version")
	}
	values := []json.RawMessage{}
	for _, item := range list.Items {
		values = append(values, item.Value)
	}
	text, err := json.Marshal(map[string]any{string(kind): values})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.deps.Output, "// Revision %d\n", list.Revision)
	return c.print(text)
}

func (b *base) print(text []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(text), "", "  "); err != nil {
		return errors.Wrap(err, "decode the entry's response; use a command of the entry's version")
	}
	fmt.Fprintln(b.deps.Output, out.String())
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

// Execute prints changes until the context ends. If a stream breaks, or an entry cannot be reached or responds with a
// status from 500, it continues at the next entry. It fails if an entry refuses the request with a lower status.
func (c *watchCommand) Execute([]string) error {
	remote, err := c.client()
	if err != nil {
		return err
	}
	if _, err := declarer.ParseKind(c.Args.Kind); err != nil {
		return err
	}
	for round := 0; c.ctx.Err() == nil; round++ {
		entry := remote.entries[round%len(remote.entries)]
		err := c.follow(remote, entry)
		var problem *ProblemError
		if errors.As(err, &problem) && problem.Status < http.StatusInternalServerError {
			return err
		}
		// Wait fails only if the context has ended, which also ends the loop.
		_ = c.deps.Wait(c.ctx)
	}
	return nil
}

// follow prints the lines of one stream until it breaks. Only a revision line, which follows all changes up to its
// revision, advances the revision from which the next stream continues. A broken stream therefore loses no changes.
func (c *watchCommand) follow(remote *client, entry string) error {
	path := fmt.Sprintf("/api/v1/%s?watch=true&revision=%d", c.Args.Kind, c.Revision)
	if c.Args.Name != "" {
		path = fmt.Sprintf("/api/v1/%s/%s?watch=true&revision=%d", c.Args.Kind, url.PathEscape(c.Args.Name), c.Revision)
	}
	resp, err := remote.send(c.ctx, entry, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	const maxLineBytes = 2 << 20
	lines.Buffer(nil, maxLineBytes)
	if resp.StatusCode != http.StatusOK {
		lines.Scan()
		return responseError(resp.StatusCode, lines.Bytes())
	}
	for lines.Scan() {
		var line struct {
			Type     string
			Revision uint64
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return errors.Wrap(err, "decode a line of the watch")
		}
		if line.Type == "revision" {
			c.Revision = max(c.Revision, line.Revision)
			continue
		}
		fmt.Fprintln(c.deps.Output, lines.Text())
	}
	return lines.Err()
}

type stateCommand struct {
	remoteCommand
	// out is set for drain, which takes the resource out of service, and not for return.
	out  bool
	Args struct {
		What string `positional-arg-name:"failureDomain|upstream" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
	} `positional-args:"true"`
}

// Execute sets the state of the resource. It retries if the resource changes concurrently.
func (c *stateCommand) Execute([]string) error {
	kind, change, err := c.stateChange()
	if err != nil {
		return err
	}
	remote, err := c.client()
	if err != nil {
		return err
	}
	state := ""
	revision, _, err := remote.update(c.ctx, kind, c.Args.Name, func(current storedResource) (declarer.Resource, error) {
		if current.resource == nil {
			return nil, errors.Newf("%s/%s does not exist; list them with currantledge get %s", kind, c.Args.Name, kind)
		}
		desired, s := change(current.resource)
		state = s
		return desired, nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.deps.Output, "%s/%s is %s at revision %d\n", kind, c.Args.Name, state, revision)
	return nil
}

// stateChange returns the kind of the resource and the function that sets its state. The function returns the changed
// resource and the text of the new state.
func (c *stateCommand) stateChange() (declarer.Kind, func(declarer.Resource) (declarer.Resource, string), error) {
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

// wireLoad is the load of the upstream of a linked agent.
type wireLoad struct {
	Running, Limit, Waiting int
	Draining, Ready         bool
}

// servingText returns the cell of the status table that shows whether the upstream accepts new requests.
func (l *wireLoad) servingText() string {
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

// Execute prints a table with one line for each node, followed by the lagging and unreachable nodes.
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
		return errors.Wrap(err, "decode the entry's response; use a command of the entry's version")
	}
	table := tabwriter.NewWriter(c.deps.Output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tROLE\tFAILURE DOMAIN\tSTATE\tSERVING\tREVISION\tHEARD\tRUNNING\tLIMIT\tWAITING\tREASON")
	for _, n := range status.Nodes {
		running, limit, waiting := "-", "-", "-"
		if n.Load != nil {
			running, limit, waiting = strconv.Itoa(n.Load.Running), strconv.Itoa(n.Load.Limit), strconv.Itoa(n.Load.Waiting)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", n.Node, n.Role, n.FailureDomain, n.State,
			n.Load.servingText(), n.Revision, time.Duration(n.AgeMs)*time.Millisecond, running, limit, waiting, n.Reason)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the status")
	}
	fmt.Fprintf(c.deps.Output, "%s holds revision %d\nlagging: %s\nunreachable: %s\n",
		status.Node, status.Revision, joinOrNone(status.Lagging), joinOrNone(status.Unreachable))
	return nil
}

func joinOrNone(names []string) string {
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

// Execute prints the decisions of all given entries, since each entry keeps only its own. It fails if none has any.
func (c *explainCommand) Execute([]string) error {
	if _, err := identifier.ParseRequest(c.Args.Request); err != nil {
		return err
	}
	remote, err := c.client()
	if err != nil {
		return err
	}
	var firstErr error
	found := false
	for _, entry := range remote.entries {
		r, err := remote.callEntry(c.ctx, entry, http.MethodGet, "/api/v1/explain/"+c.Args.Request, nil)
		if err != nil {
			firstErr = firstError(firstErr, errors.Wrap(err, entry))
			continue
		}
		if err := c.printDecisions(r.body); err != nil {
			return err
		}
		found = true
	}
	if !found {
		return firstErr
	}
	return nil
}

func (c *explainCommand) printDecisions(body []byte) error {
	var list struct {
		Items []struct {
			At     time.Time
			Node   string
			Event  int
			Choice string
			Reason string
			Fields map[string]string
		}
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return errors.Wrap(err, "decode the entry's response; use a command of the entry's version")
	}
	for _, d := range list.Items {
		fmt.Fprintf(c.deps.Output, "%s %s event %d: %s because %s", d.At.Format(time.RFC3339Nano), d.Node, d.Event, d.Choice, d.Reason)
		if len(d.Fields) > 0 {
			fields, _ := json.Marshal(d.Fields)
			fmt.Fprintf(c.deps.Output, " %s", fields)
		}
		fmt.Fprintln(c.deps.Output)
	}
	return nil
}
