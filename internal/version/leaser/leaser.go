// Package leaser holds a fenced lease in the platform's table.
package leaser

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Row is a row of the table.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires a version of a row; version 0 means that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Put is one write of a transaction.
type Put struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is the part of the platform's table that a lease needs. The fields of its types are those of storer.
type Table interface {
	// Transact returns the new versions by key. After an error the write may have taken effect.
	Transact(ctx context.Context, conditions []Condition, writes []Put) (map[string]uint64, error)
	// Get leaves out absent rows. The result may be stale.
	Get(ctx context.Context, keys ...string) ([]Row, error)
}

// Config holds what a lease needs.
type Config struct {
	Table   Table
	Key     string
	Machine MachineConfig
	// Timeout bounds one call of the table.
	Timeout time.Duration
	// Tick is the time between steps of the machine.
	Tick time.Duration
	// Now returns the time with its monotonic part.
	Now func() time.Time
	// Failed is told each error of the table or its rows, for the log.
	Failed func(error)
}

// Key returns the table key of the lease of a group.
func Key(group identifier.ModelGroup) string {
	return "lease/" + string(group)
}

const (
	defaultTimeout = time.Second
	defaultTick    = 100 * time.Millisecond
)

// Leaser acquires and renews one lease.
type Leaser struct {
	cfg     Config
	mu      sync.Mutex
	machine *Machine
}

// New returns a leaser that does nothing until Run.
func New(cfg Config) *Leaser {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Failed == nil {
		cfg.Failed = func(error) {}
	}
	return &Leaser{cfg: cfg, machine: NewMachine(cfg.Machine)}
}

// Held returns the fence while this process holds the lease. It is to be asked again before each order.
func (l *Leaser) Held(now time.Time) (identifier.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Held(now)
}

// Run acquires and renews the lease until the context ends. Table failures are waited out.
func (l *Leaser) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, action := range l.step(Tick{}) {
			l.step(l.act(ctx, action))
		}
	}
}

func (l *Leaser) step(event Event) []Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Step(l.cfg.Now(), event)
}

func (l *Leaser) act(ctx context.Context, action Action) Event {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	switch a := action.(type) {
	case Write:
		return l.write(ctx, a)
	default:
		return l.read(ctx)
	}
}

func (l *Leaser) write(ctx context.Context, w Write) Event {
	conditions := []Condition{{Key: l.cfg.Key, Version: w.Condition}}
	versions, err := l.cfg.Table.Transact(ctx, conditions, []Put{{Key: l.cfg.Key, Value: encode(w.Record)}})
	if err != nil {
		l.cfg.Failed(errors.Wrap(err, "write the lease row"))
		return WriteFailed{}
	}
	return Written{Version: versions[l.cfg.Key]}
}

func (l *Leaser) read(ctx context.Context) Event {
	rows, err := l.cfg.Table.Get(ctx, l.cfg.Key)
	if err != nil {
		l.cfg.Failed(errors.Wrap(err, "read the lease row"))
		return ReadFailed{}
	}
	for _, row := range rows {
		if row.Key != l.cfg.Key {
			continue
		}
		record, err := decode(row.Value)
		if err != nil {
			l.cfg.Failed(err)
			return ReadFailed{}
		}
		return RowRead{Version: row.Version, Record: record}
	}
	return RowRead{}
}

// wireRecord is the stored form of Record.
type wireRecord struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Fence       uint64 `json:"fence"`
	Serial      uint64 `json:"serial"`
}

func encode(r Record) []byte {
	wire := wireRecord{
		Holder:      string(r.Holder),
		Incarnation: uint64(r.Incarnation),
		Fence:       uint64(r.Fence),
		Serial:      r.Serial,
	}
	// A struct of strings and numbers always marshals.
	raw, _ := json.Marshal(wire)
	return raw
}

func decode(raw []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(raw, &wire); err != nil {
		return Record{}, errors.Wrap(err, "decode the lease row; write a valid record with a higher fence than any used before")
	}
	return Record{
		Holder:      identifier.Node(wire.Holder),
		Incarnation: identifier.Incarnation(wire.Incarnation),
		Fence:       identifier.Fence(wire.Fence),
		Serial:      wire.Serial,
	}, nil
}
