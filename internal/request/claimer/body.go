package claimer

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
)

// storeBody returns the final content of a claim row. It puts a body that is too large for the row into the object store
// and retries until that succeeds or the claimer is closed.
func (c *Claimer) storeBody(key string, s keyState, r Response) (record, error) {
	final := c.ownerFor(s.serial).record(stateCompleted, s.call, c.cfg.Clock())
	final.response = r
	if len(r.Body) <= maxInlineBytes {
		return final, nil
	}
	final.response.Body = nil
	final.bodyDigest = sha256Hex(r.Body)
	final.object = key + "/" + strconv.FormatUint(uint64(c.cfg.Incarnation), 10) + "-" + strconv.FormatUint(s.serial, 10)
	for failures := 0; ; failures++ {
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Wait)
		err := c.cfg.Objects.PutObject(ctx, final.object, r.Body)
		cancel()
		if err == nil {
			return final, nil
		}
		if err := sleep(c.ctx, backoff(failures)); err != nil {
			return record{}, err
		}
	}
}

// loadResult returns the result of a claim that was not won. If the call has run, it loads the recorded response.
func (c *Claimer) loadResult(ctx context.Context, m *claimMachine) Result {
	if m.completed == nil {
		return m.result
	}
	response, err := c.loadResponse(ctx, *m.completed)
	if err != nil {
		return ClaimUnknown{Cause: err, MayHaveRun: true}
	}
	return Recorded{Response: response}
}

// loadResponse returns the response of a completed record. It reads a body outside of the row from the object store and
// verifies its digest.
func (c *Claimer) loadResponse(ctx context.Context, r record) (Response, error) {
	if r.object == "" {
		return r.response, nil
	}
	body, err := c.cfg.Objects.Object(ctx, r.object)
	if err != nil {
		return Response{}, errors.Wrap(err, "recorded response is not readable; try again once the object store answers")
	}
	if sha256Hex(body) != r.bodyDigest {
		return Response{}, errors.New("recorded response differs from its digest; check the object store")
	}
	r.response.Body = body
	return r.response, nil
}
