package leaser

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Record is the value of the lease row. Holder, Incarnation and Serial together identify one write.
type Record struct {
	Holder      identifier.Node
	Incarnation identifier.Incarnation
	Fence       identifier.Fence
	Serial      uint64
}

// MachineConfig holds the settings of the state machine.
type MachineConfig struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
	// LeaseTime is how long the row must stay unchanged before another process may take it. Renew is the time
	// between renewals and Stop the time after the start of the last successful one at which the holder stops.
	// Stop is shorter than LeaseTime, so that clocks that run at slightly different rates do no harm.
	LeaseTime time.Duration
	Renew     time.Duration
	Stop      time.Duration
	// Poll is the time between reads by a process that does not hold the lease.
	Poll time.Duration
}

// DefaultMachine returns the settings of the design.
func DefaultMachine(node identifier.Node, incarnation identifier.Incarnation) MachineConfig {
	return MachineConfig{
		Node:        node,
		Incarnation: incarnation,
		LeaseTime:   5 * time.Second,
		Renew:       time.Second,
		Stop:        3500 * time.Millisecond,
		Poll:        time.Second,
	}
}

// Event is something that the machine learns.
type Event interface{ event() }

type (
	// Tick passes time.
	Tick struct{}
	// RowRead is the answer to Read; version 0 is an absent row. It may be stale.
	RowRead struct {
		Version uint64
		Record  Record
	}
	// ReadFailed tells that Read had no answer.
	ReadFailed struct{}
	// Written confirms Write and gives the new version of the row.
	Written struct{ Version uint64 }
	// WriteFailed tells that Write was refused or may have taken effect; the row shows which.
	WriteFailed struct{}
)

func (Tick) event()        {}
func (RowRead) event()     {}
func (ReadFailed) event()  {}
func (Written) event()     {}
func (WriteFailed) event() {}

// Action is something that the shell does for the machine. One action is in progress at a time.
type Action interface{ action() }

type (
	// Read reads the row.
	Read struct{}
	// Write writes the record if the row still has the version Condition.
	Write struct {
		Condition uint64
		Record    Record
	}
)

func (Read) action()  {}
func (Write) action() {}

// attempt is a write whose outcome is not known.
type attempt struct {
	write Write
	start time.Time
}

// Machine decides when to read, acquire and renew a lease.
type Machine struct {
	cfg      MachineConfig
	busy     bool
	resolve  bool
	serial   uint64
	attempts []attempt
	// known is false until the row has been read once.
	known   bool
	version uint64
	record  Record
	// since is when version was first seen, polled when the row was last read or written.
	since  time.Time
	polled time.Time
	// start is when the write of the current row began, if this process wrote it.
	start time.Time
}

// NewMachine returns a machine that knows nothing of the row.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{cfg: cfg}
}

// Held returns the fence while this process holds the lease.
func (m *Machine) Held(now time.Time) (identifier.Fence, bool) {
	if !m.own() || now.Sub(m.start) >= m.cfg.Stop {
		return 0, false
	}
	return m.record.Fence, true
}

// own tells whether the newest row that was seen is this process's own.
func (m *Machine) own() bool {
	return m.known && m.version > 0 && m.record.Holder == m.cfg.Node && m.record.Incarnation == m.cfg.Incarnation
}

// Step handles one event.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return m.tick(now)
	case RowRead:
		m.busy = false
		m.observe(now, e)
	case ReadFailed:
		m.busy = false
	case Written:
		m.busy = false
		m.written(now, e)
	case WriteFailed:
		m.busy = false
		m.resolve = true
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Action {
	switch {
	case m.busy:
		return nil
	case m.resolve || !m.known:
		return m.read(now)
	case m.own():
		if now.Sub(m.start) < m.cfg.Renew {
			return nil
		}
		return m.write(now)
	case now.Sub(m.since) >= m.cfg.LeaseTime:
		return m.write(now)
	case now.Sub(m.polled) >= m.cfg.Poll:
		return m.read(now)
	}
	return nil
}

func (m *Machine) read(now time.Time) []Action {
	m.busy = true
	m.polled = now
	return []Action{Read{}}
}

// write renews a lease that is held under its fence, and otherwise acquires it under the next one.
func (m *Machine) write(now time.Time) []Action {
	m.busy = true
	m.polled = now
	m.serial++
	fence, held := m.Held(now)
	if !held {
		fence = m.record.Fence + 1
	}
	record := Record{Holder: m.cfg.Node, Incarnation: m.cfg.Incarnation, Fence: fence, Serial: m.serial}
	w := Write{Condition: m.version, Record: record}
	m.attempts = append(m.attempts, attempt{write: w, start: now})
	return []Action{w}
}

func (m *Machine) written(now time.Time, e Written) {
	if len(m.attempts) == 0 {
		return
	}
	last := m.attempts[len(m.attempts)-1]
	m.adopt(now, e.Version, last.write.Record, last.start)
}

// observe takes over a row that was read. The time of a row that this process wrote counts from the start of the
// write, even if its answer was lost; that of any other row from the arrival of the answer, since its holder may
// have renewed it while the read was on its way.
func (m *Machine) observe(now time.Time, e RowRead) {
	if m.known && e.Version < m.version {
		return
	}
	m.resolve = false
	if m.known && e.Version == m.version {
		return
	}
	start := time.Time{}
	for _, a := range m.attempts {
		if a.write.Record == e.Record {
			start = a.start
		}
	}
	m.adopt(now, e.Version, e.Record, start)
}

func (m *Machine) adopt(now time.Time, version uint64, record Record, start time.Time) {
	m.known = true
	m.version = version
	m.record = record
	m.since = now
	m.start = start
	// A write takes effect only on the version of its condition, so earlier ones are settled.
	var open []attempt
	for _, a := range m.attempts {
		if a.write.Condition >= version {
			open = append(open, a)
		}
	}
	m.attempts = open
}
