package configurer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/declarer"
)

// change returns a change that puts a customer; the revision becomes its MaxWaiting.
func change(revision identifier.Revision, name string) messenger.Change {
	return messenger.Change{
		Revision: revision, Kind: "customers", Name: name, Value: declarer.Encode(customer(name, int(revision))),
	}
}

// testChanges returns the changes with the revisions 1 to n. Every seventh is a deletion.
func testChanges(n int) []messenger.Change {
	var out []messenger.Change
	for i := 1; i <= n; i++ {
		c := change(identifier.Revision(i), fmt.Sprintf("c%d", i%5))
		if i%7 == 0 {
			c.Value = nil
		}
		out = append(out, c)
	}
	return out
}

// Guards against a revision that decreases, a change that is skipped, and stores that differ at the same revision.
func TestStoreAdopt(t *testing.T) {
	t.Parallel()
	const length = 60
	all := testChanges(length)
	rapid.Check(t, func(t *rapid.T) {
		stores := []*configurer.Store{configurer.New(), configurer.New(), configurer.New()}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			s := rapid.SampledFrom(stores).Draw(t, "store")
			before := s.Snapshot().Revision
			var offer messenger.Changes
			if rapid.Bool().Draw(t, "fromPeer") {
				offer = rapid.SampledFrom(stores).Draw(t, "peer").After(before)
			} else {
				from := rapid.IntRange(0, length-1).Draw(t, "from")
				to := rapid.IntRange(from+1, length).Draw(t, "to")
				offer = messenger.Changes{Revision: identifier.Revision(to), Changes: all[from:to]}
			}
			adopted, err := s.Adopt(offer)
			after := s.Snapshot().Revision
			var gap *configurer.GapError
			switch {
			case err != nil:
				require.ErrorAs(t, err, &gap)
				require.Equal(t, before, gap.Have)
				require.Equal(t, before, after)
			case adopted:
				require.Greater(t, after, before)
				require.Equal(t, offer.Revision, after)
			default:
				require.Equal(t, before, after)
			}
			want := configurer.New()
			_, err = want.Adopt(messenger.Changes{Revision: after, Changes: all[:after]})
			require.NoError(t, err)
			require.Equal(t, want.Snapshot(), s.Snapshot())
		}
	})
}

// Guards against a change log that grows without bound, and against a gap in the changes that a peer receives.
func TestStoreAfter(t *testing.T) {
	t.Parallel()
	// The change log keeps 1024 changes.
	const length = 1500
	s := configurer.New()
	_, err := s.Adopt(messenger.Changes{Revision: length, Changes: testChanges(length)})
	require.NoError(t, err)
	for _, r := range []identifier.Revision{0, length - 1025, length - 1024, length - 1, length, length + 1} {
		changes := s.After(r)
		require.EqualValues(t, length, changes.Revision)
		require.Equal(t, r < length-1024, changes.Full, r)
		if !changes.Full {
			require.Len(t, changes.Changes, max(0, length-int(r)))
		}
		other := configurer.New()
		if changes.Full {
			_, err := other.Adopt(changes)
			require.NoError(t, err)
			require.Equal(t, s.Snapshot(), other.Snapshot())
		}
	}
}

// Guards against an invalid change after which earlier changes of the same message stay adopted.
func TestStoreRejectsInvalidChanges(t *testing.T) {
	t.Parallel()
	s := configurer.New()
	incomplete := change(2, "c2")
	incomplete.Value = []byte(`{"name": "c2"}`)
	misnamed := change(2, "c2")
	misnamed.Name = "c3"
	unknownKind := change(2, "c2")
	unknownKind.Kind = "rooms"
	for _, invalid := range []messenger.Change{incomplete, misnamed, unknownKind} {
		for _, full := range []bool{false, true} {
			_, err := s.Adopt(messenger.Changes{Revision: 2, Full: full, Changes: []messenger.Change{change(1, "c1"), invalid}})
			require.Error(t, err)
			require.Zero(t, s.Snapshot().Revision)
		}
	}
}

// Guards against a waiter that misses a change or is woken without one.
func TestStoreChanged(t *testing.T) {
	t.Parallel()
	s := configurer.New()
	after0, after5 := s.Changed(0), s.Changed(5)
	_, err := s.Adopt(messenger.Changes{Revision: 5, Changes: testChanges(5)})
	require.NoError(t, err)
	<-after0
	<-s.Changed(4)
	select {
	case <-after5:
		t.Fatal("woken at revision 5 while waiting for a greater one")
	default:
	}
	_, err = s.Adopt(messenger.Changes{Revision: 6, Changes: testChanges(6)})
	require.NoError(t, err)
	<-after5
}

// Guards against a key that still identifies a customer after it was removed, and against a change to a published
// snapshot.
func TestSnapshotKeys(t *testing.T) {
	t.Parallel()
	s := configurer.New()
	withKey := customer("c", 1)
	withKey.KeyDigests = []identifier.Digest{"aa0000000000000000000000000000000000000000000000000000000000000a"}
	_, err := s.Adopt(messenger.Changes{Revision: 1, Changes: []messenger.Change{
		{Revision: 1, Kind: "customers", Name: "c", Value: declarer.Encode(withKey)},
	}})
	require.NoError(t, err)
	old := s.Snapshot()
	require.Equal(t, identifier.Customer("c"), old.CustomersByKeyDigest[withKey.KeyDigests[0]])
	_, err = s.Adopt(messenger.Changes{Revision: 2, Changes: []messenger.Change{
		{Revision: 2, Kind: "customers", Name: "c", Value: declarer.Encode(customer("c", 1))},
	}})
	require.NoError(t, err)
	require.Empty(t, s.Snapshot().CustomersByKeyDigest)
	require.Len(t, old.CustomersByKeyDigest, 1)
}
