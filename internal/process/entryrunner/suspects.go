package entryrunner

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/quarantiner"
)

// suspects holds the request digests that are suspected of crashing upstreams. It is safe for concurrent use.
type suspects struct {
	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// onNews is called, without the lock held, when a crash becomes known that was not known before.
	onNews func()
}

func newSuspects(q *quarantiner.Quarantiner, onNews func()) *suspects {
	return &suspects{quarantiner: q, onNews: onNews}
}

// verdict returns how a request with this digest may run.
func (s *suspects) verdict(d identifier.Digest) quarantiner.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantiner.Verdict(time.Now(), d)
}

// recordCrash is called when a stream reports that its upstream crashed. The agent's heartbeat reports the same, but may
// arrive later than the next attempt of this request.
func (s *suspects) recordCrash(d identifier.Digest, crash identifier.Crash) {
	s.merge([]messenger.Suspicion{{Digest: d, Crashes: []identifier.Crash{crash}}})
}

// list returns the suspicions to send to peers and agents.
func (s *suspects) list() []messenger.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantiner.Suspicions(time.Now())
}

// merge adds the suspicions of a peer and calls onNews if they contain a new crash.
func (s *suspects) merge(received []messenger.Suspicion) {
	if len(received) == 0 {
		return
	}
	s.mu.Lock()
	now := time.Now()
	before := countCrashes(s.quarantiner.Suspicions(now))
	s.quarantiner.Merge(now, received)
	after := countCrashes(s.quarantiner.Suspicions(now))
	s.mu.Unlock()
	if after > before {
		s.onNews()
	}
}

// countCrashes returns the number of crashes in all suspicions.
func countCrashes(all []messenger.Suspicion) int {
	sum := 0
	for _, s := range all {
		sum += len(s.Crashes)
	}
	return sum
}
