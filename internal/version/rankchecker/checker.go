package rankchecker

import (
	"strconv"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapswitcher"
)

const (
	// maxStepsAhead bounds the passes since the last answer that are taken for granted, however long ago that was.
	maxStepsAhead = 128
	// stepSlack is by how many passes two answers may differ that were read at the same time.
	stepSlack = 8
	// fastestPass is the time of a pass if the engine does not tell it.
	fastestPass = 10 * time.Millisecond
)

// Config configures a Checker.
type Config struct {
	Shape Shape
	// PassTime is the time that the fastest passes take; 0 if it is not known.
	PassTime time.Duration
}

// Checker checks the answers of the ranks of a group, in one of its epochs, against those before. An answer that is possible
// but unlikely counts once it is given twice in a row: spoiled answers differ from each other. It is safe for concurrent use.
type Checker struct {
	Shape
	passTime time.Duration
	mu       sync.Mutex
	steps    stepHistory
	counts   map[identifier.Upstream]countHistory
}

// New returns a Checker that knows no answers.
func New(cfg Config) *Checker {
	c := &Checker{Shape: cfg.Shape, passTime: cfg.PassTime, counts: map[identifier.Upstream]countHistory{}}
	if c.passTime <= 0 {
		c.passTime = fastestPass
	}
	return c
}

// stepHistory holds the last steps that ranks have answered: they make each pass together.
type stepHistory struct {
	last Step
	// doubted is the last step that was rejected, if none was accepted since.
	doubted Step
}

// Step is a step that a rank has answered, and when; At is zero if there is none.
type Step struct {
	Step identifier.Step
	At   time.Time
}

// follows reports whether ranks that were at a step may have got to another one.
func (s Step) follows(before Step, passTime time.Duration) bool {
	if before.At.IsZero() {
		return false
	}
	passes := min(identifier.Step(max(s.At.Sub(before.At), 0)/passTime), maxStepsAhead)
	return s.Step+stepSlack >= before.Step && s.Step <= before.Step+passes+stepSlack
}

// countHistory holds the last counts of a rank, and those that were rejected if none were accepted since.
type countHistory struct {
	last    []float64
	doubted []float64
}

// firstDecrease returns the index of the first count that is lower than before, or -1. Counts never decrease in an epoch.
func firstDecrease(before, after []float64) int {
	for i, n := range before {
		if after[i] < n {
			return i
		}
	}
	return -1
}

// CheckCounts returns an AnswerError if the counts of a rank, read at a time, cannot be or contradict earlier ones. Those of
// another epoch are not compared.
func (c *Checker) CheckCounts(now time.Time, upstream identifier.Upstream, epoch mapswitcher.Epoch, counts mapswitcher.Counts) error {
	if err := c.Shape.CheckCounts(counts); err != nil || counts.Epoch != epoch {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkStep(Step{Step: counts.Step, At: now}); err != nil {
		return err
	}
	history := c.counts[upstream]
	if i := firstDecrease(history.last, counts.Counts); i >= 0 {
		if history.doubted == nil || firstDecrease(history.doubted, counts.Counts) >= 0 {
			c.counts[upstream] = countHistory{last: history.last, doubted: counts.Counts}
			return invalid("count "+strconv.Itoa(i), formatCount(counts.Counts[i]), "it was "+formatCount(history.last[i])+" before")
		}
	}
	c.counts[upstream] = countHistory{last: counts.Counts}
	return nil
}

// checkStep returns an AnswerError if a step is unlikely and not confirmed. The caller holds mu.
func (c *Checker) checkStep(step Step) error {
	if !step.follows(c.steps.last, c.passTime) && !step.follows(c.steps.doubted, c.passTime) {
		problem := "none is known yet"
		if !c.steps.last.At.IsZero() {
			problem = "the last one was " + strconv.FormatUint(uint64(c.steps.last.Step), 10)
		}
		c.steps.doubted = step
		return invalid("step", strconv.FormatUint(uint64(step.Step), 10), problem)
	}
	c.steps = stepHistory{last: step}
	return nil
}

// Expect records the step at which a group is known to be.
func (c *Checker) Expect(step Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.steps = stepHistory{last: step}
}
