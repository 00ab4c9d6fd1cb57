package declarer_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/loader"
	"currantledge.example/currantledge/internal/version/declarer"
)

// Guards against a quick start example of README.md whose settings or resources are invalid or contradict each other.
func TestStartExample(t *testing.T) {
	t.Parallel()
	directory := filepath.Join("..", "..", "..", "examples", "start")
	entry, err := loader.LoadEntry(filepath.Join(directory, "entry.hujson"))
	require.NoError(t, err)
	path := filepath.Join(directory, "resources.hujson")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	resources, err := declarer.DecodeFile(path, text)
	require.NoError(t, err)
	upstreams := map[string]declarer.Upstream{}
	for _, r := range resources {
		if u, ok := r.(declarer.Upstream); ok {
			upstreams[u.Identity()] = u
		}
	}
	for _, name := range []string{"engine-agent.hujson", "shop-agent.hujson"} {
		agent, err := loader.LoadAgent(filepath.Join(directory, name))
		require.NoError(t, err)
		upstream, declared := upstreams[string(agent.Upstream)]
		require.True(t, declared, name)
		require.Equal(t, upstream.Address, agent.Advertise)
		require.Equal(t, upstream.FailureDomain, agent.FailureDomain)
		require.Equal(t, []string{entry.Advertise}, agent.Peers)
	}
}
