package platformserver

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/standin/responder"
)

const (
	defaultScanLimit = 1000
	// historyPeriod is the maximum age of the state that a stale read returns.
	historyPeriod = 60 * time.Second
)

type (
	wireCondition struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	wireWrite struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Delete bool   `json:"delete"`
	}
	wireTransaction struct {
		Conditions []wireCondition `json:"conditions"`
		Writes     []wireWrite     `json:"writes"`
	}
	wireRow struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	wireRows struct {
		Rows []wireRow `json:"rows"`
	}
	wireConflicts struct {
		Conflicts []wireRow `json:"conflicts"`
	}
	wireVersions struct {
		Versions map[string]uint64 `json:"versions"`
	}
	wireKeys struct {
		Keys []string `json:"keys"`
	}
)

// storedState is the state of a row or object from the time at which it was written. Version 0 means absent.
type storedState struct {
	at      time.Time
	version uint64
	value   []byte
}

// table holds rows with their recent states. Versions come from one counter, so that a row that is deleted and created
// again never has an earlier version. Its methods may be called concurrently.
type table struct {
	mu sync.Mutex
	// lastVersion is the version of the last write.
	lastVersion uint64
	// rows holds the states of each row by key, in order of time.
	rows map[string][]storedState
}

func newTable() *table {
	return &table{rows: map[string][]storedState{}}
}

// transact applies the writes and returns the new versions by key. If conditions fail, it returns the rows that
// conflict and has no effect.
func (t *table) transact(in wireTransaction) (map[string]uint64, []wireRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The time is read under the lock, so that the states of a row are in order of time.
	now := time.Now()
	var conflicts []wireRow
	for _, c := range in.Conditions {
		if row := t.rowAt(0, c.Key); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	versions := map[string]uint64{}
	for _, w := range in.Writes {
		versions[w.Key] = t.write(now, w)
	}
	return versions, nil
}

// write adds a state to a row and returns its version, 0 for a deletion. It is called with mu held.
func (t *table) write(now time.Time, w wireWrite) uint64 {
	next := storedState{at: now}
	if !w.Delete {
		t.lastVersion++
		next.version = t.lastVersion
		next.value = w.Value
	}
	t.rows[w.Key] = appendState(t.rows[w.Key], next)
	return next.version
}

// appendState adds a state and removes those that are too old for a stale read.
func appendState(states []storedState, next storedState) []storedState {
	states = append(states, next)
	for len(states) > 1 && next.at.Sub(states[1].at) > historyPeriod {
		states = states[1:]
	}
	return states
}

// rowAt returns a row as it was the given time ago. It is called with mu held.
func (t *table) rowAt(age time.Duration, key string) wireRow {
	state := stateAt(t.rows[key], age)
	return wireRow{Key: key, Version: state.version, Value: state.value}
}

// stateAt returns the newest state that is at least as old as the age; without one it returns an absent state.
func stateAt(states []storedState, age time.Duration) storedState {
	for i := len(states) - 1; i >= 0; i-- {
		if age <= 0 || time.Since(states[i].at) >= age {
			return states[i]
		}
	}
	return storedState{}
}

// get returns the rows with the given keys as they were the given time ago. It omits those that did not exist then.
func (t *table) get(age time.Duration, keys []string) []wireRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []wireRow{}
	for _, key := range keys {
		if row := t.rowAt(age, key); row.Version != 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

// scan returns the rows whose key has the prefix and is greater than after, in order of key, as they were the given time
// ago.
func (t *table) scan(age time.Duration, prefix, after string, limit int) []wireRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []wireRow{}
	for key := range t.rows {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if row := t.rowAt(age, key); row.Version != 0 {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var in wireTransaction
	if !responder.Decode(w, r, &in) {
		return
	}
	versions, conflicts := s.table.transact(in)
	s.counts.countTransaction(len(versions), len(conflicts) > 0)
	if len(conflicts) > 0 {
		responder.JSON(w, http.StatusConflict, wireConflicts{Conflicts: conflicts})
		return
	}
	s.loseResponse()
	responder.JSON(w, http.StatusOK, wireVersions{Versions: versions})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var in wireKeys
	if !responder.Decode(w, r, &in) {
		return
	}
	s.counts.countRead()
	responder.JSON(w, http.StatusOK, wireRows{Rows: s.table.get(s.readAge(), in.Keys)})
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := defaultScanLimit
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			responder.Fail(w, http.StatusBadRequest, "malformed")
			return
		}
		if n > 0 {
			limit = n
		}
	}
	s.counts.countRead()
	rows := s.table.scan(s.readAge(), query.Get("prefix"), query.Get("after"), limit)
	responder.JSON(w, http.StatusOK, wireRows{Rows: rows})
}
