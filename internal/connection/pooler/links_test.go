package pooler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/pooler"
)

// Guards against two agents that have dialled each other and count as disconnected when the newer link ends while the
// older one is up.
func TestOlderLinkIsUsedAfterNewerEnds(t *testing.T) {
	t.Parallel()
	links := pooler.NewLinks()
	older, newer := &linker.Link{}, &linker.Link{}
	links.Add("u", older)
	links.Add("u", newer)
	require.Same(t, newer, links.Newest("u"))
	links.Remove("u", newer)
	require.Same(t, older, links.Newest("u"))
	links.Remove("u", older)
	require.Nil(t, links.Newest("u"))
}
