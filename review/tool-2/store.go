package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the platform's store, in the form of the wire.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: rows with versions, conditional transactions and feeds of changes.
type store struct {
	mu      sync.Mutex
	rows    map[string]storeRow
	version uint64
	era     uint64
	// away makes the store refuse all calls with 503.
	away bool
	// changed is closed, and replaced, with each write.
	changed chan struct{}
	// onWrite is called with each row that a gateway has written, without the lock held.
	onWrite func(gateway int, r storeRow)
}

func newStore() *store {
	return &store{rows: map[string]storeRow{}, era: 1, changed: make(chan struct{}), onWrite: func(int, storeRow) {}}
}

// storeCopy is the content of the store at a moment.
type storeCopy struct {
	rows    map[string]storeRow
	version uint64
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), version: s.version}
}

// restore brings the store back from a copy in a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version, s.away = maps.Clone(c.rows), c.version, false
	s.era++
	s.notify()
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// notify wakes the waiting feeds. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of the operator or of a runner.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw), Ver: s.version}
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = storeRow{Table: table, Key: key, Ver: s.version, Tombstone: true}
	s.notify()
}

// list returns the rows of a table that keep accepts, and the version of the store. The caller holds mu.
func (s *store) list(table string, keep func(storeRow) bool) []storeRow {
	out := []storeRow{}
	for _, r := range s.rows {
		if r.Table == table && keep(r) {
			out = append(out, r)
		}
	}
	return out
}

// handler serves the calls of one gateway.
func (s *store) handler(gateway int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		switch r.URL.Path {
		case "/currantledge/rows-get":
			s.get(w, r)
		case "/currantledge/rows-feed":
			s.feed(w, r)
		case "/currantledge/rows-tx":
			s.transact(w, r, gateway)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func (s *store) respond(w http.ResponseWriter, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	// Writing fails only if the caller has left.
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": s.version, "nowMs": time.Now().UnixMilli(), "truncated": false})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.list(q.Get("table"), func(r storeRow) bool {
		return !r.Tombstone && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
	})
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	s.respond(w, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if s.away || after > s.version {
			status := http.StatusGone
			if s.away {
				status = http.StatusServiceUnavailable
			}
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
			s.mu.Unlock()
			w.WriteHeader(status)
			return
		}
		rows := s.list(q.Get("table"), func(r storeRow) bool { return r.Ver > after })
		if len(rows) > 0 || !waiting {
			slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver) - int(b.Ver) })
			s.respond(w, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request, gateway int) {
	var body struct {
		ExpectRev []storeRow `json:"expectRev"`
		Writes    []storeRow `json:"writes"`
		Delete    []storeRow `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range body.ExpectRev {
		known := s.rows[e.Table+"/"+e.Key]
		if known.Tombstone {
			known.Ver = 0
		}
		if known.Ver == e.Ver {
			continue
		}
		w.WriteHeader(http.StatusPreconditionFailed)
		s.respond(w, []storeRow{known})
		s.mu.Unlock()
		return
	}
	s.version++
	for _, row := range body.Writes {
		row.Ver = s.version
		s.rows[row.Table+"/"+row.Key] = row
	}
	for _, row := range body.Delete {
		s.rows[row.Table+"/"+row.Key] = storeRow{Table: row.Table, Key: row.Key, Ver: s.version, Tombstone: true}
	}
	s.notify()
	s.respond(w, []storeRow{})
	s.mu.Unlock()
	for _, row := range body.Writes {
		s.onWrite(gateway, row)
	}
}

// serve serves a handler on a new address of a loopback host until the process ends or close is called, which also ends
// the open connections.
func serve(host string, handler http.Handler) (address string, closeAll func(), err error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	// Closing fails only if the listener is closed already.
	return l.Addr().String(), func() { _ = server.Close() }, nil
}
