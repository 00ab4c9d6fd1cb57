// Package relayer transfers table rows between gateways, so that a gateway whose calls the platform refuses still
// receives changes.
package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"currantledge.example/currantledge/internal/connection/headchecker"
	"currantledge.example/currantledge/internal/version/replicator"
)

// Path is where a gateway serves its rows to its peers.
const Path = "/rows"

const (
	// pullTimeout bounds a pull; the round trip to a peer takes a few ms.
	pullTimeout = 700 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
	// maxRowBytes bounds the rows of one response, the last row excepted: a row has at most 64 KiB on the platform. A page
	// of this size arrives within pullTimeout from a busy VM too. The puller continues after the highest version that it
	// received.
	maxRowBytes = 256 << 10
	// maxResponseBytes bounds the response of a peer.
	maxResponseBytes = 4 << 20
	// maxDeferral bounds the deferral of a deletion by a peer.
	maxDeferral = 10 * time.Second
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// wireChange is the CBOR form of a change of a row.
type wireChange struct {
	Key     string `cbor:"key"`
	Value   []byte `cbor:"value"`
	Version uint64 `cbor:"version"`
	Deleted bool   `cbor:"deleted,omitempty"`
	// Replaced is set in deletions only.
	Replaced uint64 `cbor:"replaced,omitempty"`
	// DeferUs is in microseconds.
	DeferUs int64 `cbor:"deferUs,omitempty"`
}

// wireChanges is the CBOR form of the changes of a table.
type wireChanges struct {
	Changes        []wireChange `cbor:"changes"`
	Version        uint64       `cbor:"version"`
	LacksDeletions bool         `cbor:"lacksDeletions,omitempty"`
	Keys           []string     `cbor:"keys,omitempty"`
}

func encodeChanges(in replicator.Changes) wireChanges {
	out := wireChanges{Changes: make([]wireChange, 0, len(in.List)), Version: in.Version, LacksDeletions: in.LacksDeletions, Keys: in.Keys}
	for _, c := range in.List {
		w := wireChange{
			Key: c.Row.Key, Value: c.Row.Value, Version: c.Row.Version, Deleted: c.Row.Deleted, Replaced: c.Row.Replaced,
		}
		if c.DeferFor > 0 {
			w.DeferUs = max(c.DeferFor.Microseconds(), 1)
		}
		out.Changes = append(out.Changes, w)
	}
	return out
}

func decodeChanges(in wireChanges) replicator.Changes {
	out := replicator.Changes{Version: in.Version, LacksDeletions: in.LacksDeletions, Keys: in.Keys}
	for _, w := range in.Changes {
		out.List = append(out.List, replicator.Change{
			Row:      replicator.Row{Key: w.Key, Value: w.Value, Version: w.Version, Deleted: w.Deleted, Replaced: w.Replaced},
			DeferFor: max(0, min(time.Duration(min(w.DeferUs, maxDeferral.Microseconds()))*time.Microsecond, maxDeferral)),
		})
	}
	return out
}

// Handler serves the changes of a replicator's tables to Pull.
func Handler(source *replicator.Replicator) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a version; send the highest version that you have", http.StatusBadRequest)
			return
		}
		changes := source.ChangesAfter(time.Now(), replicator.Table(r.URL.Query().Get("table")), after, maxRowBytes)
		raw, err := cbor.Marshal(encodeChanges(changes))
		if err != nil {
			http.Error(w, "rows cannot be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(raw)
	})
}

// Relayer pulls rows from peers. It may be used concurrently.
type Relayer struct {
	client *http.Client
}

// New returns a Relayer.
func New() *Relayer {
	return &Relayer{client: &http.Client{
		Timeout: pullTimeout,
		Transport: headchecker.NewTransport(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxResponseHeaderBytes: maxHeadBytes,
			DisableKeepAlives:      true,
		}),
	}}
}

// Pull reads the changes of a table after a version from the peer that serves them at address, its control address. The
// result may be one of several pages.
func (r *Relayer) Pull(ctx context.Context, address string, t replicator.Table, after uint64) (replicator.Changes, error) {
	raw, err := r.get(ctx, address, t, after)
	if err != nil {
		return replicator.Changes{}, err
	}
	var in wireChanges
	if err := cbor.Unmarshal(raw, &in); err != nil {
		return replicator.Changes{}, errors.Wrapf(err, "decode rows from %s", address)
	}
	return decodeChanges(in), nil
}

func (r *Relayer) get(ctx context.Context, address string, t replicator.Table, after uint64) ([]byte, error) {
	query := url.Values{"table": {string(t)}, "after": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the request for rows")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "pull rows from %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s responded to a request for rows with status %d", address, response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read rows from %s", address)
	}
	if len(raw) > maxResponseBytes {
		return nil, errors.Newf("rows from %s exceed %d bytes", address, maxResponseBytes)
	}
	return raw, nil
}
