// Package storeserver is a stand-in of the users' platform store: rows with versions, conditional writes and feeds.
package storeserver

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// feedPoll is how often a waiting feed looks for changes.
const feedPoll = 5 * time.Millisecond

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Server holds the rows.
type Server struct {
	mu   sync.Mutex
	rows map[string]row
	ver  uint64
	// floor is the version before which the history is lost.
	floor uint64
	down  atomic.Bool
	// lose lets every second write take effect without an answer.
	lose   atomic.Bool
	writes atomic.Int64
}

// New returns an empty store.
func New() *Server {
	return &Server{rows: map[string]row{}}
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Server) SetDown(down bool) {
	s.down.Store(down)
}

// SetLosing makes answers of writes get lost, or arrive again.
func (s *Server) SetLosing(lose bool) {
	s.lose.Store(lose)
}

// Compact forgets the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.ver
	for id, r := range s.rows {
		if r.Tombstone {
			delete(s.rows, id)
		}
	}
}

// Put writes a row.
func (s *Server) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
}

func (s *Server) put(r row) {
	r.Ver = s.ver
	s.rows[r.Table+"/"+r.Key] = r
}

// Drop removes a row.
func (s *Server) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Tombstone: true})
}

// after returns the rows of a table beyond a version in their order, and the newest version.
func (s *Server) after(table string, version uint64) ([]row, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > version {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
	return out, s.ver
}

// ServeHTTP answers the calls of the store's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/currantledge/rows-get":
		s.get(w, query.Get("table"), query.Get("from"), query.Get("to"))
	case "/currantledge/rows-feed":
		after, _ := strconv.ParseUint(query.Get("afterRev"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.feed(w, r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/currantledge/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) get(w http.ResponseWriter, table, from, to string) {
	rows, version := s.after(table, 0)
	rows = slices.DeleteFunc(rows, func(r row) bool {
		return r.Tombstone || r.Key < from || to != "" && r.Key >= to
	})
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	answer(w, rows, version)
}

func (s *Server) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	s.mu.Lock()
	lost := after < s.floor
	s.mu.Unlock()
	if lost {
		w.WriteHeader(http.StatusGone)
		return
	}
	for end := time.Now().Add(wait); time.Now().Before(end) && r.Context().Err() == nil && !s.down.Load(); {
		if rows, _ := s.after(table, after); len(rows) > 0 {
			break
		}
		time.Sleep(feedPoll)
	}
	rows, version := s.after(table, after)
	answer(w, rows, version)
}

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
	for _, e := range body.ExpectRev {
		known := s.rows[e.Table+"/"+e.Key]
		if known.Tombstone && e.Ver == 0 || known.Ver == e.Ver {
			continue
		}
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.ver++
	for _, one := range body.Writes {
		s.put(one)
	}
	for _, one := range body.Delete {
		one.Tombstone = true
		s.put(one)
	}
	version := s.ver
	s.mu.Unlock()
	if s.writes.Add(1)%2 == 0 && s.lose.Load() {
		panic(http.ErrAbortHandler)
	}
	answer(w, []row{}, version)
}

func answer(w http.ResponseWriter, rows []row, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left gets no answer.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "nowMs": time.Now().UnixMilli()})
}
