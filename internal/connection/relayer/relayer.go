// Package relayer passes table rows between gateways, so that one that the platform turns away still learns of changes.
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

	"currantledge.example/currantledge/internal/version/replicator"
)

// Path is where a gateway serves its rows to its peers.
const Path = "/rows"

const (
	// pullTimeout bounds a pull; peers are within a few ms.
	pullTimeout = 700 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
	// maxRows bounds what is read of a peer's answer; the store keeps a row below 64 KiB of JSON for the configuration
	// and below 1 KiB for an upstream.
	maxRows = 4 << 20
)

type wireRow struct {
	Key     string `cbor:"key"`
	Value   []byte `cbor:"value"`
	Version uint64 `cbor:"version"`
	Deleted bool   `cbor:"deleted,omitempty"`
}

// Handler serves the rows of a replicator.
func Handler(source *replicator.Replicator) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a version; send the highest version that you have", http.StatusBadRequest)
			return
		}
		rows := source.After(replicator.Table(r.URL.Query().Get("table")), after)
		out := make([]wireRow, 0, len(rows))
		for _, row := range rows {
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

// Relayer pulls rows from peers.
type Relayer struct {
	client *http.Client
}

// New returns a Relayer.
func New() *Relayer {
	return &Relayer{client: &http.Client{
		Timeout: pullTimeout,
		Transport: &http.Transport{
			DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives: true,
		},
	}}
}

// Pull returns the rows of a table that a peer has beyond a version.
func (p *Relayer) Pull(ctx context.Context, control string, t replicator.Table, after uint64) ([]replicator.Row, error) {
	query := url.Values{"table": {string(t)}, "after": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+Path+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the pull")
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "pull rows from %s", control)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered a pull with status %d", control, answer.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(answer.Body, maxRows))
	if err != nil {
		return nil, errors.Wrapf(err, "read rows from %s", control)
	}
	var in []wireRow
	if err := cbor.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrapf(err, "decode rows from %s", control)
	}
	rows := make([]replicator.Row, 0, len(in))
	for _, w := range in {
		rows = append(rows, replicator.Row(w))
	}
	return rows, nil
}
