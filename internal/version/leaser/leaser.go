// Package leaser acquires and renews a fenced lease, which makes one process at a time the leader of a model group. The
// lease is a row in the platform's table; its fencing number rises with each acquisition. The Machine decides without
// I/O when to read and write the row; the Leaser performs its actions.
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

// Condition requires the version of a row; version 0 requires that the row is absent.
type Condition struct {
	Key     string
	Version uint64
}

// RowWrite sets or deletes a row in a transaction.
type RowWrite struct {
	Key    string
	Value  []byte
	Delete bool
}

// Table is the part of the platform's table that a lease uses. Row, Condition and RowWrite have the fields of their
// counterparts in package storer, so that they can be converted.
type Table interface {
	// Transact applies all writes if all conditions hold and returns the new versions by key. After an error the writes
	// may have taken effect.
	Transact(ctx context.Context, conditions []Condition, writes []RowWrite) (map[string]uint64, error)
	// Get returns the rows with these keys without absent ones. The result may be stale.
	Get(ctx context.Context, keys ...string) ([]Row, error)
}

// Config configures a Leaser.
type Config struct {
	Table Table
	// Key is the key of the lease row.
	Key     string
	Machine MachineConfig
	// Timeout bounds each call of the table.
	Timeout time.Duration
	// TickInterval is the time between ticks of the machine.
	TickInterval time.Duration
	// Now returns the current time with a monotonic clock reading.
	Now func() time.Time
	// OnError is called with each error of the table and each row that cannot be decoded, for logging.
	OnError func(error)
}

// Key returns the table key of the lease of a group.
func Key(group identifier.ModelGroup) string {
	return "lease/" + string(group)
}

const (
	defaultTimeout      = time.Second
	defaultTickInterval = 100 * time.Millisecond
)

// Leaser acquires and renews one lease. It is safe for concurrent use.
type Leaser struct {
	cfg     Config
	mu      sync.Mutex
	machine *Machine
}

// New returns a leaser, which is idle until Run is called.
func New(cfg Config) *Leaser {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.TickInterval == 0 {
		cfg.TickInterval = defaultTickInterval
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnError == nil {
		cfg.OnError = func(error) {}
	}
	return &Leaser{cfg: cfg, machine: NewMachine(cfg.Machine)}
}

// Held returns the fencing number and reports whether this process holds the lease at the given time. The lease expires
// by the clock, so callers have to call Held again before each order.
func (l *Leaser) Held(now time.Time) (identifier.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Held(now)
}

// Run acquires and renews the lease until the context ends, and then returns nil. It retries after failures of the
// table.
func (l *Leaser) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.cfg.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, action := range l.step(Tick{}) {
			l.step(l.perform(ctx, action))
		}
	}
}

func (l *Leaser) step(event Event) []Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Step(l.cfg.Now(), event)
}

// perform executes an action and returns its result as an event.
func (l *Leaser) perform(ctx context.Context, action Action) Event {
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
	versions, err := l.cfg.Table.Transact(ctx, conditions, []RowWrite{{Key: l.cfg.Key, Value: encode(w.Record)}})
	if err != nil {
		l.cfg.OnError(errors.Wrap(err, "write the lease row"))
		return WriteFailed{}
	}
	return Written{Version: versions[l.cfg.Key]}
}

func (l *Leaser) read(ctx context.Context) Event {
	rows, err := l.cfg.Table.Get(ctx, l.cfg.Key)
	if err != nil {
		l.cfg.OnError(errors.Wrap(err, "read the lease row"))
		return ReadFailed{}
	}
	for _, row := range rows {
		if row.Key != l.cfg.Key {
			continue
		}
		record, err := decode(row.Value)
		if err != nil {
			l.cfg.OnError(err)
			return ReadFailed{}
		}
		return RowRead{Version: row.Version, Record: record}
	}
	return RowRead{}
}

// wireRecord is the JSON of a Record in the row.
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
	// Marshal cannot fail for a struct of strings and numbers.
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
