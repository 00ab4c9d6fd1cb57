package platformserver

import "sync"

// Counts is the body of GET /record.
type Counts struct {
	// Writes counts accepted transactions, RowsWritten their rows.
	Writes         int   `json:"writes"`
	RowsWritten    int   `json:"rowsWritten"`
	Conflicts      int   `json:"conflicts"`
	Reads          int   `json:"reads"`
	StaleReads     int   `json:"staleReads"`
	LostAnswers    int   `json:"lostAnswers"`
	Refusals       int   `json:"refusals"`
	ObjectsRead    int   `json:"objectsRead"`
	ObjectsWritten int   `json:"objectsWritten"`
	VMListReads    int   `json:"vmListReads"`
	WeightFetches  int   `json:"weightFetches"`
	WeightBytes    int64 `json:"weightBytes"`
}

type counts struct {
	mu  sync.Mutex
	now Counts
}

func newCounts() *counts {
	return &counts{}
}

func (c *counts) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *counts) change(apply func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apply(&c.now)
}

func (c *counts) transaction(rows int, conflict bool) {
	c.change(func(n *Counts) {
		if conflict {
			n.Conflicts++
			return
		}
		n.Writes++
		n.RowsWritten += rows
	})
}

func (c *counts) read()          { c.change(func(n *Counts) { n.Reads++ }) }
func (c *counts) staleRead()     { c.change(func(n *Counts) { n.StaleReads++ }) }
func (c *counts) lostAnswer()    { c.change(func(n *Counts) { n.LostAnswers++ }) }
func (c *counts) refusal()       { c.change(func(n *Counts) { n.Refusals++ }) }
func (c *counts) objectRead()    { c.change(func(n *Counts) { n.ObjectsRead++ }) }
func (c *counts) objectWritten() { c.change(func(n *Counts) { n.ObjectsWritten++ }) }
func (c *counts) vmListRead()    { c.change(func(n *Counts) { n.VMListReads++ }) }

func (c *counts) weightsFetched(size int64) {
	c.change(func(n *Counts) {
		n.WeightFetches++
		n.WeightBytes += size
	})
}
