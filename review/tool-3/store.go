package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as it is on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the stand-in of the platform's row store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	era     uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[string]row{}, era: 1, changed: make(chan struct{}), started: time.Now()}
}

// notify wakes the feeds. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row with a JSON value, and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw), Ver: s.version}
	s.notify()
	return s.version
}

// remove deletes a row.
func (s *store) remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = row{Table: table, Key: key, Ver: s.version, Tombstone: true}
	s.notify()
	return s.version
}

// list returns the rows of a table after a version.
func (s *store) list(table string, after uint64, withTombstones bool) []row {
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > after && (withTombstones || !r.Tombstone) {
			out = append(out, r)
		}
	}
	return out
}

// ServeHTTP serves the calls that the product makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case "/currantledge/rows-get":
		s.get(w, r)
	case "/currantledge/rows-feed":
		s.feed(w, r)
	case "/currantledge/rows-tx":
		s.transact(w, r)
	default:
		s.head(w)
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) head(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
}

func (s *store) respond(w http.ResponseWriter, status int, rows []row) {
	s.head(w)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	rows := slices.DeleteFunc(s.list(q.Get("table"), 0, false), func(r row) bool {
		return r.Key < from || to != "" && r.Key >= to
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, http.StatusOK, rows)
}

// feed waits for the first change after a version. The lock is released meanwhile.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		if after > s.version {
			s.respond(w, http.StatusGone, nil)
			return
		}
		rows := s.list(q.Get("table"), after, true)
		if len(rows) > 0 || ended {
			slices.SortFunc(rows, func(a, b row) int { return int(int64(a.Ver) - int64(b.Ver)) })
			s.respond(w, http.StatusOK, rows)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []row `json:"expectRev"`
		Writes    []row `json:"writes"`
		Delete    []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		s.respond(w, http.StatusBadRequest, nil)
		return
	}
	var conflicts []row
	for _, e := range t.ExpectRev {
		current, found := s.rows[e.Table+"/"+e.Key]
		if exists := found && !current.Tombstone; exists && current.Ver != e.Ver || !exists && e.Ver != 0 {
			conflicts = append(conflicts, current)
		}
	}
	if len(conflicts) > 0 {
		s.respond(w, http.StatusPreconditionFailed, conflicts)
		return
	}
	s.version++
	for _, wr := range t.Writes {
		wr.Ver = s.version
		s.rows[wr.Table+"/"+wr.Key] = wr
	}
	for _, d := range t.Delete {
		s.rows[d.Table+"/"+d.Key] = row{Table: d.Table, Key: d.Key, Ver: s.version, Tombstone: true}
	}
	s.notify()
	s.respond(w, http.StatusOK, []row{})
}
