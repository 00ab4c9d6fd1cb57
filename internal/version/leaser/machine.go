package leaser

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Record is the value of the lease row. Holder, Incarnation and Serial together identify one write, so that its writer
// recognizes it after a lost response.
type Record struct {
	Holder      identifier.Node
	Incarnation identifier.Incarnation
	Fence       identifier.Fence
	Serial      uint64
}

// MachineConfig configures a Machine.
type MachineConfig struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// LeaseDuration is the time that the row must stay unchanged before another process may acquire the lease.
	LeaseDuration time.Duration
	// RenewInterval is the time from the start of one renewal to the next.
	RenewInterval time.Duration
	// RenewDeadline is the time from the start of the last successful write to the moment at which the holder regards
	// the lease as lost. It is shorter than LeaseDuration, so that there is one holder at a time even if the clocks of
	// two processes run at slightly different rates.
	RenewDeadline time.Duration
	// PollInterval is the time between reads of the row by a process that does not hold the lease.
	PollInterval time.Duration
}

// DefaultMachineConfig returns the default configuration for a process of the fleet.
func DefaultMachineConfig(node identifier.Node, incarnation identifier.Incarnation) MachineConfig {
	return MachineConfig{
		Node:          node,
		Incarnation:   incarnation,
		LeaseDuration: 5 * time.Second,
		RenewInterval: time.Second,
		RenewDeadline: 3500 * time.Millisecond,
		PollInterval:  time.Second,
	}
}

// Event is an input of the machine: the passage of time or the result of an action.
type Event interface{ event() }

type (
	// Tick reports that time has passed.
	Tick struct{}
	// RowRead is the result of Read, which may be stale. Version 0 is an absent row.
	RowRead struct {
		Version uint64
		Record  Record
	}
	// ReadFailed reports that Read failed.
	ReadFailed struct{}
	// Written reports that Write took effect, with the new version of the row.
	Written struct{ Version uint64 }
	// WriteFailed reports that Write conflicted or that its outcome is unknown. The machine reads the row to find out.
	WriteFailed struct{}
)

func (Tick) event()        {}
func (RowRead) event()     {}
func (ReadFailed) event()  {}
func (Written) event()     {}
func (WriteFailed) event() {}

// Action is an access to the row that the Leaser performs for the machine. One action is in progress at a time.
type Action interface{ action() }

type (
	// Read reads the row.
	Read struct{}
	// Write writes the record on the condition that the row has the version Condition.
	Write struct {
		Condition uint64
		Record    Record
	}
)

func (Read) action()  {}
func (Write) action() {}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	write Write
	// start is when the write began.
	start time.Time
}

// Machine is the state machine that decides when to read the row and when to acquire and renew the lease. It does no I/O
// and is not safe for concurrent use.
type Machine struct {
	cfg MachineConfig
	// inFlight is true while an action is in progress.
	inFlight bool
	// unresolved is true after a failed write until a read shows its outcome.
	unresolved bool
	// serial is the number of the last write.
	serial uint64
	// pending holds the writes whose outcome is not known yet, oldest first.
	pending []pendingWrite
	// rowKnown is false until the row has been read once. version is 0 if the row is absent.
	rowKnown bool
	version  uint64
	record   Record
	// versionSeenAt is when version was first observed.
	versionSeenAt time.Time
	// lastAccess is when the last read or write began.
	lastAccess time.Time
	// writeStart is when the write of the current row began if this process wrote it, and zero otherwise.
	writeStart time.Time
}

// NewMachine returns a machine that has not read the row yet.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{cfg: cfg}
}

// Held returns the fencing number and reports whether this process holds the lease at the given time.
func (m *Machine) Held(now time.Time) (identifier.Fence, bool) {
	if !m.ownsRow() || now.Sub(m.writeStart) >= m.cfg.RenewDeadline {
		return 0, false
	}
	return m.record.Fence, true
}

// ownsRow reports whether this process wrote the newest row that was observed.
func (m *Machine) ownsRow() bool {
	return m.rowKnown && m.version > 0 && m.record.Holder == m.cfg.Node && m.record.Incarnation == m.cfg.Incarnation
}

// Step handles one event and returns the actions to perform.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return m.tick(now)
	case RowRead:
		m.inFlight = false
		m.observe(now, e)
	case ReadFailed:
		m.inFlight = false
	case Written:
		m.inFlight = false
		m.written(now, e)
	case WriteFailed:
		m.inFlight = false
		m.unresolved = true
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Action {
	switch {
	case m.inFlight:
		return nil
	case m.unresolved || !m.rowKnown:
		return m.read(now)
	case m.ownsRow():
		if now.Sub(m.writeStart) < m.cfg.RenewInterval {
			return nil
		}
		return m.write(now)
	case now.Sub(m.versionSeenAt) >= m.cfg.LeaseDuration:
		return m.write(now)
	case now.Sub(m.lastAccess) >= m.cfg.PollInterval:
		return m.read(now)
	}
	return nil
}

func (m *Machine) read(now time.Time) []Action {
	m.inFlight = true
	m.lastAccess = now
	return []Action{Read{}}
}

// write renews the lease with its fencing number if it is held, and otherwise acquires it with the next number.
func (m *Machine) write(now time.Time) []Action {
	m.inFlight = true
	m.lastAccess = now
	m.serial++
	fence, held := m.Held(now)
	if !held {
		fence = m.record.Fence + 1
	}
	record := Record{Holder: m.cfg.Node, Incarnation: m.cfg.Incarnation, Fence: fence, Serial: m.serial}
	w := Write{Condition: m.version, Record: record}
	m.pending = append(m.pending, pendingWrite{write: w, start: now})
	return []Action{w}
}

// written handles the success of the last write.
func (m *Machine) written(now time.Time, e Written) {
	if len(m.pending) == 0 {
		return
	}
	last := m.pending[len(m.pending)-1]
	m.setRow(now, e.Version, last.write.Record, last.start)
}

// observe handles a row that was read and ignores stale ones. If this process wrote the row, its age counts from the
// start of the write, even if the response was lost. The age of any other row counts from the arrival of the response,
// since its holder may have renewed it while the read was in progress.
func (m *Machine) observe(now time.Time, e RowRead) {
	if m.rowKnown && e.Version < m.version {
		return
	}
	m.unresolved = false
	if m.rowKnown && e.Version == m.version {
		return
	}
	writeStart := time.Time{}
	for _, p := range m.pending {
		if p.write.Record == e.Record {
			writeStart = p.start
		}
	}
	m.setRow(now, e.Version, e.Record, writeStart)
}

// setRow records a new version of the row. writeStart is zero if another process wrote it.
func (m *Machine) setRow(now time.Time, version uint64, record Record, writeStart time.Time) {
	m.rowKnown = true
	m.version = version
	m.record = record
	m.versionSeenAt = now
	m.writeStart = writeStart
	// A write takes effect only if the row has the version of its condition, so writes on older versions can no longer
	// take effect.
	var remaining []pendingWrite
	for _, p := range m.pending {
		if p.write.Condition >= version {
			remaining = append(remaining, p)
		}
	}
	m.pending = remaining
}
