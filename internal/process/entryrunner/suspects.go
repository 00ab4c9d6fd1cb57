package entryrunner

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/quarantiner"
)

// suspects shares the quarantiner between goroutines and tells peers of news.
type suspects struct {
	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	spread      func()
}

func newSuspects(q *quarantiner.Quarantiner, spread func()) *suspects {
	return &suspects{quarantiner: q, spread: spread}
}

// verdict tells how a request with the digest may run.
func (s *suspects) verdict(d identifier.Digest) quarantiner.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantiner.Verdict(time.Now(), d)
}

// crashed is called when a stream tells that its upstream died. The agent's heartbeat tells the same, but may come later
// than the next attempt of this request.
func (s *suspects) crashed(d identifier.Digest, crash identifier.Crash) {
	s.merge([]messenger.Suspicion{{Digest: d, Crashes: []identifier.Crash{crash}}})
}

func (s *suspects) list() []messenger.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantiner.Suspicions(time.Now())
}

// merge takes suspicions of a peer and spreads those that are news.
func (s *suspects) merge(news []messenger.Suspicion) {
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	now := time.Now()
	before := total(s.quarantiner.Suspicions(now))
	s.quarantiner.Merge(now, news)
	after := total(s.quarantiner.Suspicions(now))
	s.mu.Unlock()
	if after > before {
		s.spread()
	}
}

func total(all []messenger.Suspicion) int {
	sum := 0
	for _, s := range all {
		sum += len(s.Crashes)
	}
	return sum
}
