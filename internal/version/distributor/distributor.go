// Package distributor spreads configuration changes over the links between processes.
package distributor

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

// pullAgainAfter is when a pull without an answer is sent again.
const pullAgainAfter = 500 * time.Millisecond

// Store is the configuration that the process holds.
type Store interface {
	Revision() identifier.Revision
	Adopt(c messenger.Changes) (bool, error)
	After(r identifier.Revision) messenger.Changes
}

// Link sends messages to one peer.
type Link interface {
	Send(m messenger.Message) error
}

// Config holds what a distributor needs.
type Config struct {
	Store Store
	Log   *logger.Logger
	// Adopted is called after a higher revision is in force.
	Adopted func()
}

// Distributor pulls changes from peers that have a higher revision and serves them to peers that ask.
type Distributor struct {
	cfg Config

	mu       sync.Mutex
	pulled   identifier.Revision
	pulledAt time.Time
}

// New returns a distributor.
func New(cfg Config) *Distributor {
	return &Distributor{cfg: cfg}
}

// Seen takes the revision that a peer reported and pulls the missing changes if it is higher.
func (d *Distributor) Seen(link Link, revision identifier.Revision) {
	own := d.cfg.Store.Revision()
	if revision <= own || !d.shouldPull(revision) {
		return
	}
	d.send(link, messenger.PullChanges{After: own})
}

// shouldPull limits pulls to one for each revision, repeated if the answer does not come.
func (d *Distributor) shouldPull(revision identifier.Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if revision <= d.pulled && now.Sub(d.pulledAt) < pullAgainAfter {
		return false
	}
	d.pulled, d.pulledAt = revision, now
	return true
}

// Handle answers PullChanges and adopts Changes. It reports whether the message was one of these.
func (d *Distributor) Handle(link Link, m messenger.Message) bool {
	switch m := m.(type) {
	case messenger.PullChanges:
		d.send(link, d.cfg.Store.After(m.After))
	case messenger.Changes:
		d.Adopt(m)
	default:
		return false
	}
	return true
}

// Adopt brings changes into force. Lower revisions and gaps are ignored; the next report of a peer starts
// another pull.
func (d *Distributor) Adopt(c messenger.Changes) {
	adopted, err := d.cfg.Store.Adopt(c)
	if err != nil {
		d.cfg.Log.Event(logger.EventConfigPulled).AnErr("cause", err).Uint64("revision", uint64(c.Revision)).Send()
		return
	}
	if !adopted {
		return
	}
	d.cfg.Log.Event(logger.EventConfigAdopted).Uint64("revision", uint64(c.Revision)).Send()
	if d.cfg.Adopted != nil {
		d.cfg.Adopted()
	}
}

// send drops the error: a link that does not accept messages is closed by its silence.
func (d *Distributor) send(link Link, m messenger.Message) {
	if err := link.Send(m); err != nil {
		d.cfg.Log.Event(logger.EventConfigPulled).AnErr("cause", err).Send()
	}
}
