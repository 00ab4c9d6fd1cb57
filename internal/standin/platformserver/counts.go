package platformserver

import "sync"

// Counts is the body of GET /record.
type Counts struct {
	// Writes counts the transactions that took effect, RowsWritten their rows, Conflicts the transactions whose
	// conditions failed.
	Writes      int `json:"writes"`
	RowsWritten int `json:"rowsWritten"`
	Conflicts   int `json:"conflicts"`
	// Reads counts gets and scans of the table. StaleReads counts stale reads of the table and of objects.
	Reads      int `json:"reads"`
	StaleReads int `json:"staleReads"`
	// LostAnswers counts writes that took effect without a response, Refusals calls that an outage refused or let hang.
	LostAnswers    int   `json:"lostAnswers"`
	Refusals       int   `json:"refusals"`
	ObjectsRead    int   `json:"objectsRead"`
	ObjectsWritten int   `json:"objectsWritten"`
	VMListReads    int   `json:"vmListReads"`
	WeightFetches  int   `json:"weightFetches"`
	WeightBytes    int64 `json:"weightBytes"`
}

// counts counts calls. Its methods may be called concurrently.
type counts struct {
	mu     sync.Mutex
	totals Counts
}

func newCounts() *counts {
	return &counts{}
}

func (c *counts) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.totals
}

func (c *counts) update(apply func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply(&c.totals)
}

func (c *counts) countTransaction(rows int, conflict bool) {
	c.update(func(totals *Counts) {
		if conflict {
			totals.Conflicts++
			return
		}
		totals.Writes++
		totals.RowsWritten += rows
	})
}

func (c *counts) countRead()          { c.update(func(totals *Counts) { totals.Reads++ }) }
func (c *counts) countStaleRead()     { c.update(func(totals *Counts) { totals.StaleReads++ }) }
func (c *counts) countLostResponse()  { c.update(func(totals *Counts) { totals.LostAnswers++ }) }
func (c *counts) countRefusal()       { c.update(func(totals *Counts) { totals.Refusals++ }) }
func (c *counts) countObjectRead()    { c.update(func(totals *Counts) { totals.ObjectsRead++ }) }
func (c *counts) countObjectWritten() { c.update(func(totals *Counts) { totals.ObjectsWritten++ }) }
func (c *counts) countVMListRead()    { c.update(func(totals *Counts) { totals.VMListReads++ }) }

func (c *counts) countWeightFetch(size int64) {
	c.update(func(totals *Counts) {
		totals.WeightFetches++
		totals.WeightBytes += size
	})
}
