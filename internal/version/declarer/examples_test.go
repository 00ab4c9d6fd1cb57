package declarer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/loader"
	"currantledge.example/currantledge/internal/version/declarer"
)

var exampleKey = regexp.MustCompile(`// Example key: (example-\S+)`)

// Guards against examples that are invalid or whose settings and resources contradict each other.
func TestExamples(t *testing.T) {
	t.Parallel()
	for _, deployment := range []string{"ke-central", "pl-central"} {
		directory := filepath.Join("..", "..", "..", "examples", deployment)
		entries, err := loader.LoadEntries(filepath.Join(directory, "entries.hujson"))
		require.NoError(t, err)
		require.Len(t, entries, 7)
		agents, err := loader.LoadAgents(filepath.Join(directory, "agents.hujson"))
		require.NoError(t, err)
		require.Len(t, agents, 19)
		path := filepath.Join(directory, "resources.hujson")
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		resources, err := declarer.DecodeFile(path, text)
		require.NoError(t, err)

		upstreams := map[string]declarer.Upstream{}
		count := map[declarer.Kind]int{}
		for _, r := range resources {
			count[r.Kind()]++
			if u, ok := r.(declarer.Upstream); ok {
				upstreams[u.Identity()] = u
			}
		}
		require.Equal(t, map[declarer.Kind]int{
			declarer.KindFailureDomains: 3, declarer.KindModelGroups: 1, declarer.KindServices: 1,
			declarer.KindUpstreams: 19, declarer.KindCustomers: 10,
		}, count)
		entryAddresses := map[string]bool{}
		for _, e := range entries {
			require.False(t, entryAddresses[e.Advertise])
			entryAddresses[e.Advertise] = true
		}
		for _, a := range agents {
			u := upstreams[string(a.Upstream)]
			require.Equal(t, u.Address, a.Advertise)
			require.Equal(t, u.FailureDomain, a.FailureDomain)
			require.Equal(t, u.Service != "", a.UpstreamKind == loader.UpstreamService)
			for _, p := range a.Peers {
				require.True(t, entryAddresses[p], p)
			}
		}
	}
}

// Guards against a digest in the examples that does not belong to the key in the comment above it.
func TestExampleKeys(t *testing.T) {
	t.Parallel()
	for file, wantFiles := range map[string]int{"entries.hujson": 2, "entry.hujson": 1, "resources.hujson": 3} {
		paths, err := filepath.Glob(filepath.Join("..", "..", "..", "examples", "*", file))
		require.NoError(t, err)
		require.Len(t, paths, wantFiles)
		for _, path := range paths {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			keys := exampleKey.FindAllStringSubmatch(string(text), -1)
			digests := regexp.MustCompile(`[0-9a-f]{64}`).FindAllString(string(text), -1)
			require.Len(t, keys, len(digests))
			for i, key := range keys {
				sum := sha256.Sum256([]byte(key[1]))
				require.Equal(t, hex.EncodeToString(sum[:]), digests[i], path)
			}
		}
	}
}
