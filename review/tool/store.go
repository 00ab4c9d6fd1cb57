package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the stand-in of the platform's store.
type store struct {
	address string
	began   time.Time
	mu      sync.Mutex
	rows    map[string]row
	ver     uint64
	// changed is closed and replaced at each transaction.
	changed chan struct{}
	// silent is set while calls get no answer; downAgain is closed when that begins.
	silent    bool
	downAgain chan struct{}
}

func newStore(host string) *store {
	s := &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), downAgain: make(chan struct{})}
	s.address, _ = serve(host, s)
	return s
}

// setSilent begins or ends an outage in which the store answers nothing.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		close(s.downAgain)
		s.downAgain = make(chan struct{})
	}
}

// put writes a row and returns when it was acknowledged.
func (s *store) put(table, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
	return time.Now()
}

// remove deletes a row and returns when that was acknowledged.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(row{Table: table, Key: key, Tombstone: true})
	return time.Now()
}

// commit applies one transaction. It is called with the lock held.
func (s *store) commit(rows ...row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent, down := s.silent, s.downAgain
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/currantledge/rows-get":
		s.get(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	case "/currantledge/rows-feed":
		after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond, down)
	case "/currantledge/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, part, from, to string) {
	s.mu.Lock()
	out := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Tombstone && r.Key >= from && (to == "" || r.Key < to) {
			out = append(out, r)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.answer(w, http.StatusOK, out, ver)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration, down chan struct{}) {
	timeout := time.After(wait)
	for waiting := true; ; {
		s.mu.Lock()
		out := []row{}
		for _, r := range s.rows {
			if r.Table == table && r.Ver > after {
				out = append(out, r)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(out) > 0 || !waiting {
			sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
			s.answer(w, http.StatusOK, out, ver)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-down:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectRev []row `json:"expectRev"`
		Writes    []row `json:"writes"`
		Delete    []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range tx.ExpectRev {
		have := s.rows[want.Table+"\x00"+want.Part+"\x00"+want.Key]
		if have.Tombstone {
			have = row{}
		}
		if have.Ver != want.Ver {
			s.answer(w, http.StatusPreconditionFailed, []row{have}, s.ver)
			return
		}
	}
	for i := range tx.Delete {
		tx.Delete[i].Tombstone = true
	}
	s.commit(append(tx.Writes, tx.Delete...)...)
	s.answer(w, http.StatusOK, nil, s.ver)
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": ver, "nowMs": time.Since(s.began).Milliseconds(),
	})
}
