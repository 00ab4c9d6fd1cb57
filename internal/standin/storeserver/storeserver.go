// Package storeserver is the stand-in of the platform's row store: rows with versions, conditional writes and feeds of
// changes.
package storeserver

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// feedPollPeriod is the period in which a waiting feed checks for changes.
const feedPollPeriod = 5 * time.Millisecond

// row is a row in the store and on the wire. Deleted rows remain as tombstones until the history is compacted.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Server is a store stand-in. It serves the store's protocol as an http.Handler. Its methods may be called
// concurrently.
type Server struct {
	// mu guards rows and versions.
	mu sync.Mutex
	// rows holds the rows by table and key.
	rows map[string]row
	// lastVersion is the version of the last write.
	lastVersion uint64
	// compactedVersion is the version before which Compact has discarded the history.
	compactedVersion uint64
	// era counts the restorations, from 1 on.
	era  uint64
	down atomic.Bool
	// loseResponses makes the store close the connection of every second write without a response.
	loseResponses atomic.Bool
	// writes counts the transactions that took effect.
	writes atomic.Int64
}

// New returns an empty store.
func New() *Server {
	return &Server{rows: map[string]row{}, era: 1}
}

// Copy is the content of a store at a moment.
type Copy struct {
	rows        map[string]row
	lastVersion uint64
}

// Copy returns a copy of the current content.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: maps.Clone(s.rows), lastVersion: s.lastVersion}
}

// Restore replaces the content by a copy. The writes since then are lost, and their versions are given out again in a new
// era.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.lastVersion = maps.Clone(c.rows), c.lastVersion
	s.compactedVersion = min(s.compactedVersion, s.lastVersion)
	s.era++
}

// SetDown starts or ends an outage, in which the store refuses all calls with status 503.
func (s *Server) SetDown(down bool) {
	s.down.Store(down)
}

// SetLoseResponses starts or ends the loss of responses: the store closes the connection of every second write after the
// write has taken effect, without a response.
func (s *Server) SetLoseResponses(loseResponses bool) {
	s.loseResponses.Store(loseResponses)
}

// Compact discards the history. Tombstones are removed, and feeds after an earlier version than the last are refused
// with status 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion = s.lastVersion
	for id, r := range s.rows {
		if r.Tombstone {
			delete(s.rows, id)
		}
	}
}

// Put writes a row without a condition.
func (s *Server) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVersion++
	s.put(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
}

// put stores a row with the last version. It is called with mu held.
func (s *Server) put(r row) {
	r.Ver = s.lastVersion
	s.rows[r.Table+"/"+r.Key] = r
}

// Delete deletes a row without a condition.
func (s *Server) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastVersion++
	s.put(row{Table: table, Key: key, Tombstone: true})
}

// rowsAfter returns the rows of a table with a greater version, in order of version, and the last version of the store.
func (s *Server) rowsAfter(table string, version uint64) ([]row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > version {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
	return out, s.lastVersion
}

// Keys returns the keys of the rows of a table, in the order of their last writes.
func (s *Server) Keys(table string) []string {
	rows, _ := s.rowsAfter(table, 0)
	var keys []string
	for _, r := range rows {
		if !r.Tombstone {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// ServeHTTP serves the calls of the store's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/currantledge/rows-get":
		s.get(w, query.Get("table"), query.Get("from"), query.Get("to"))
	case "/currantledge/rows-feed":
		version, _ := strconv.ParseUint(query.Get("afterRev"), 10, 64)
		waitMillis, _ := strconv.Atoi(query.Get("waitMs"))
		s.feed(w, r, query.Get("table"), version, time.Duration(waitMillis)*time.Millisecond)
	case "/currantledge/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// get writes the rows of a table from one key up to another, which is excluded; to "" sets no bound.
func (s *Server) get(w http.ResponseWriter, table, from, to string) {
	rows, version := s.rowsAfter(table, 0)
	rows = slices.DeleteFunc(rows, func(r row) bool {
		return r.Tombstone || r.Key < from || to != "" && r.Key >= to
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	writeRows(w, rows, version)
}

// feed writes the rows of a table that changed after a version. It waits up to the given time for the first change.
func (s *Server) feed(w http.ResponseWriter, r *http.Request, table string, afterVersion uint64, wait time.Duration) {
	s.mu.Lock()
	lost := afterVersion < s.compactedVersion || afterVersion > s.lastVersion
	s.mu.Unlock()
	if lost {
		w.WriteHeader(http.StatusGone)
		return
	}
	for end := time.Now().Add(wait); time.Now().Before(end) && r.Context().Err() == nil && !s.down.Load(); {
		if rows, _ := s.rowsAfter(table, afterVersion); len(rows) > 0 {
			break
		}
		time.Sleep(feedPollPeriod)
	}
	rows, version := s.rowsAfter(table, afterVersion)
	writeRows(w, rows, version)
}

// transact applies writes and deletions if the expected versions match; otherwise it responds with status 412.
func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectRev []row `json:"expectRev"`
		Writes    []row `json:"writes"`
		Delete    []row `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, condition := range body.ExpectRev {
		current := s.rows[condition.Table+"/"+condition.Key]
		if current.Tombstone && condition.Ver == 0 || current.Ver == condition.Ver {
			continue
		}
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.lastVersion++
	for _, write := range body.Writes {
		s.put(write)
	}
	for _, deletion := range body.Delete {
		deletion.Tombstone = true
		s.put(deletion)
	}
	version := s.lastVersion
	s.mu.Unlock()
	if s.writes.Add(1)%2 == 0 && s.loseResponses.Load() {
		panic(http.ErrAbortHandler)
	}
	writeRows(w, []row{}, version)
}

// writeRows writes a response with rows, the last version and the time.
func writeRows(w http.ResponseWriter, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	// Writing fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "nowMs": time.Now().UnixMilli()})
}
