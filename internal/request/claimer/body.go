package claimer

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
)

// storeBody builds the final row, and puts a body that is too large for it into the object store.
func (c *Claimer) storeBody(key string, s slot, a Answer) (record, error) {
	row := c.self(s.serial).row(stateCompleted, s.call, c.cfg.Clock())
	row.answer = a
	if len(a.Body) <= inlineBytes {
		return row, nil
	}
	row.answer.Body = nil
	row.bodyDigest = sha256Hex(a.Body)
	row.object = key + "/" + strconv.FormatUint(uint64(c.cfg.Incarnation), 10) + "-" + strconv.FormatUint(s.serial, 10)
	for failures := 0; ; failures++ {
		ctx, cancel := context.WithTimeout(c.ctx, c.cfg.Wait)
		err := c.cfg.Objects.PutObject(ctx, row.object, a.Body)
		cancel()
		if err == nil {
			return row, nil
		}
		if err := sleep(c.ctx, backoff(failures)); err != nil {
			return record{}, err
		}
	}
}

func (c *Claimer) loadVerdict(ctx context.Context, m *claimMachine) Verdict {
	if m.completed == nil {
		return m.verdict
	}
	answer, err := c.loadAnswer(ctx, *m.completed)
	if err != nil {
		return Unsure{Cause: err, MayHaveRun: true}
	}
	return Recorded{Answer: answer}
}

func (c *Claimer) loadAnswer(ctx context.Context, r record) (Answer, error) {
	if r.object == "" {
		return r.answer, nil
	}
	body, err := c.cfg.Objects.Object(ctx, r.object)
	if err != nil {
		return Answer{}, errors.Wrap(err, "recorded response is not readable; try again once the object store answers")
	}
	if sha256Hex(body) != r.bodyDigest {
		return Answer{}, errors.New("recorded response differs from its digest; check the object store")
	}
	r.answer.Body = body
	return r.answer, nil
}
