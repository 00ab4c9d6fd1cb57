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
	// historyPeriod is how far back a stale read can reach.
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

// cell is one state of a row. Version 0 means absent.
type cell struct {
	at      time.Time
	version uint64
	value   []byte
}

// table holds rows with their recent states. Versions come from one counter, so that a row that is deleted and created
// again never has an earlier version.
type table struct {
	mu   sync.Mutex
	last uint64
	rows map[string][]cell
}

func newTable() *table {
	return &table{rows: map[string][]cell{}}
}

func (t *table) transact(in wireTransaction) (map[string]uint64, []wireRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The time is read under the lock, so that the states of a row are in order of time.
	now := time.Now()
	var conflicts []wireRow
	for _, c := range in.Conditions {
		if row := t.at(0, c.Key); row.Version != c.Version {
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

func (t *table) write(now time.Time, w wireWrite) uint64 {
	next := cell{at: now}
	if !w.Delete {
		t.last++
		next.version = t.last
		next.value = w.Value
	}
	t.rows[w.Key] = appendState(t.rows[w.Key], next)
	return next.version
}

// appendState adds a state and drops those that no stale read can reach.
func appendState(cells []cell, next cell) []cell {
	cells = append(cells, next)
	for len(cells) > 1 && next.at.Sub(cells[1].at) > historyPeriod {
		cells = cells[1:]
	}
	return cells
}

// at returns the state of a row as it was the given time ago.
func (t *table) at(age time.Duration, key string) wireRow {
	state := stateAt(t.rows[key], age)
	return wireRow{Key: key, Version: state.version, Value: state.value}
}

func stateAt(cells []cell, age time.Duration) cell {
	for i := len(cells) - 1; i >= 0; i-- {
		if age <= 0 || time.Since(cells[i].at) >= age {
			return cells[i]
		}
	}
	return cell{}
}

func (t *table) get(age time.Duration, keys []string) []wireRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []wireRow{}
	for _, key := range keys {
		if row := t.at(age, key); row.Version != 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *table) scan(age time.Duration, prefix, after string, limit int) []wireRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []wireRow{}
	for key := range t.rows {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if row := t.at(age, key); row.Version != 0 {
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
	s.counts.transaction(len(versions), len(conflicts) > 0)
	if len(conflicts) > 0 {
		responder.JSON(w, http.StatusConflict, wireConflicts{Conflicts: conflicts})
		return
	}
	s.loseAnswer()
	responder.JSON(w, http.StatusOK, wireVersions{Versions: versions})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var in wireKeys
	if !responder.Decode(w, r, &in) {
		return
	}
	s.counts.read()
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
	s.counts.read()
	rows := s.table.scan(s.readAge(), query.Get("prefix"), query.Get("after"), limit)
	responder.JSON(w, http.StatusOK, wireRows{Rows: rows})
}
