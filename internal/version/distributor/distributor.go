// Package distributor spreads configuration changes between processes: each reports its revision to its peers, and one
// with a lower revision pulls the missing changes over the same link.
package distributor

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
)

// pullRetryInterval is the time after which the same revision may be pulled again, in case the response was lost.
const pullRetryInterval = 500 * time.Millisecond

// Store holds the configuration of the process.
type Store interface {
	Revision() identifier.Revision
	Adopt(c messenger.Changes) (bool, error)
	After(r identifier.Revision) messenger.Changes
}

// Link sends messages to one peer.
type Link interface {
	Send(m messenger.Message) error
}

// Config configures a Distributor.
type Config struct {
	Store Store
	Log   *logger.Logger
	// OnAdopt is called after each adopted revision. It may be nil.
	OnAdopt func()
}

// Distributor pulls changes from peers that have a higher revision and responds to the pulls of others. It is safe for
// concurrent use.
type Distributor struct {
	cfg Config

	mu sync.Mutex
	// pulledRevision is the revision of the last pull, pulledAt its time.
	pulledRevision identifier.Revision
	pulledAt       time.Time
}

// New returns a distributor.
func New(cfg Config) *Distributor {
	return &Distributor{cfg: cfg}
}

// ObserveRevision handles the revision that a peer reported, and pulls the missing changes if it is higher than that of
// the store.
func (d *Distributor) ObserveRevision(link Link, revision identifier.Revision) {
	current := d.cfg.Store.Revision()
	if revision <= current || !d.beginPull(revision) {
		return
	}
	d.send(link, messenger.PullChanges{After: current})
}

// beginPull reports whether to pull a revision now, and records the pull. Each revision is pulled from one peer only
// until pullRetryInterval has passed.
func (d *Distributor) beginPull(revision identifier.Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if revision <= d.pulledRevision && now.Sub(d.pulledAt) < pullRetryInterval {
		return false
	}
	d.pulledRevision, d.pulledAt = revision, now
	return true
}

// Handle responds to PullChanges and adopts Changes. It reports whether the message was one of these.
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

// Adopt adopts changes. It ignores lower revisions, and logs changes that cannot be adopted, for example because of a
// gap; the next revision that a peer reports starts another pull.
func (d *Distributor) Adopt(c messenger.Changes) {
	adopted, err := d.cfg.Store.Adopt(c)
	if err != nil {
		d.cfg.Log.Event(logger.EventConfigPullFailed).AnErr("cause", err).Uint64("revision", uint64(c.Revision)).Send()
		return
	}
	if !adopted {
		return
	}
	d.cfg.Log.Event(logger.EventConfigAdopted).Uint64("revision", uint64(c.Revision)).Send()
	if d.cfg.OnAdopt != nil {
		d.cfg.OnAdopt()
	}
}

// send sends a message and only logs an error: a link that does not accept messages closes once its peer is silent.
func (d *Distributor) send(link Link, m messenger.Message) {
	if err := link.Send(m); err != nil {
		d.cfg.Log.Event(logger.EventConfigPullFailed).AnErr("cause", err).Send()
	}
}
