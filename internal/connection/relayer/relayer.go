// Package relayer transfers table rows between gateways, so that a gateway whose calls the platform refuses still
// receives changes.
package relayer

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

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
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// wireRow is the CBOR form of a row.
type wireRow struct {
	Key     string `cbor:"key"`
	Value   []byte `cbor:"value"`
	Version uint64 `cbor:"version"`
	Deleted bool   `cbor:"deleted,omitempty"`
	// Replaced is set in deletions only.
	Replaced uint64 `cbor:"replaced,omitempty"`
}

// Handler serves the rows of a replicator to Pull, those with the lowest versions first.
func Handler(source *replicator.Replicator) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a version; send the highest version that you have", http.StatusBadRequest)
			return
		}
		rows := source.After(replicator.Table(r.URL.Query().Get("table")), after)
		slices.SortFunc(rows, func(a, b replicator.Row) int { return cmp.Compare(a.Version, b.Version) })
		out := make([]wireRow, 0, len(rows))
		size := 0
		for i, row := range rows {
			// A page does not end between rows of one version, since the next one starts after it.
			if size > maxRowBytes && row.Version > rows[i-1].Version {
				break
			}
			size += len(row.Key) + len(row.Value)
			out = append(out, wireRow(row))
		}
		raw, err := cbor.Marshal(out)
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
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxResponseHeaderBytes: maxHeadBytes,
			DisableKeepAlives:      true,
		},
	}}
}

// Pull reads the rows of a table with a version higher than after from the peer that serves them at address, its control
// address.
func (r *Relayer) Pull(ctx context.Context, address string, t replicator.Table, after uint64) ([]replicator.Row, error) {
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
	var in []wireRow
	if err := cbor.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrapf(err, "decode rows from %s", address)
	}
	rows := make([]replicator.Row, 0, len(in))
	for _, w := range in {
		rows = append(rows, replicator.Row(w))
	}
	return rows, nil
}
