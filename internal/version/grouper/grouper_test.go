package grouper_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/cataloguer"
	"currantledge.example/currantledge/internal/version/grouper"
	"currantledge.example/currantledge/internal/version/replicator"
)

// table is a table of groups at the leader.
type table struct {
	rows    map[string]replicator.Row
	version uint64
}

func (tt *table) list() []replicator.Row {
	var out []replicator.Row
	for _, row := range tt.rows {
		if !row.Deleted {
			out = append(out, row)
		}
	}
	return out
}

// record records the ranks of a group of the service s and returns the number of changed rows.
func (tt *table) record(t *testing.T, upstreams []cataloguer.Upstream, group identifier.ModelGroup, addresses ...string) int {
	t.Helper()
	tt.version++
	rows, err := grouper.Update(tt.list(), upstreams,
		grouper.Membership{ID: identifier.GroupID{Service: "s", Group: group}, Addresses: addresses}, tt.version)
	require.NoError(t, err)
	for _, row := range rows {
		tt.rows[row.Key] = row
	}
	return len(rows)
}

// assigned returns the groups of the upstreams in order.
func (tt *table) assigned(upstreams []cataloguer.Upstream) []identifier.ModelGroup {
	grouper.Assign(tt.list(), upstreams)
	out := make([]identifier.ModelGroup, len(upstreams))
	for i, u := range upstreams {
		out[i] = u.Group
	}
	return out
}

func fleet(addresses ...string) []cataloguer.Upstream {
	out := make([]cataloguer.Upstream, len(addresses))
	for i, a := range addresses {
		out[i] = cataloguer.Upstream{ID: identifier.Upstream("u" + a), Service: "s", Address: a}
	}
	return out
}

// Guards against ranks without a group after a restart, ranks that stay in a former group, and rows of ended groups.
func TestRanksBelongToTheGroupThatWasFoundLast(t *testing.T) {
	t.Parallel()
	groups := &table{rows: map[string]replicator.Row{}}
	upstreams := fleet("1", "2", "3", "4")
	require.Equal(t, []identifier.ModelGroup{"", "", "", ""}, groups.assigned(upstreams))

	require.Equal(t, 1, groups.record(t, upstreams, "a", "2", "1"))
	require.Equal(t, []identifier.ModelGroup{"a", "a", "a", "a"}, groups.assigned(upstreams), "the only group is assumed")
	require.Equal(t, 1, groups.record(t, upstreams, "b", "3"))
	require.Equal(t, []identifier.ModelGroup{"a", "a", "b", ""}, groups.assigned(upstreams))
	require.Zero(t, groups.record(t, upstreams, "a", "1", "2"), "an unchanged group needs no row")

	groups.record(t, upstreams, "b", "2", "3")
	require.Equal(t, []identifier.ModelGroup{"a", "b", "b", ""}, groups.assigned(upstreams))
	require.Equal(t, 1, groups.record(t, upstreams, "a", "1", "2"), "rank 2 is back")
	require.Equal(t, []identifier.ModelGroup{"a", "a", "b", ""}, groups.assigned(upstreams))

	upstreams = fleet("3", "4")
	groups.record(t, upstreams, "c", "4")
	require.Len(t, groups.list(), 2, "the row of a group without listed ranks is removed")
	require.Equal(t, []identifier.ModelGroup{"b", "c"}, groups.assigned(upstreams))
}

// Guards against a damaged row that keeps the groups of other rows from being used.
func TestDamagedRowsAreSkipped(t *testing.T) {
	t.Parallel()
	groups := &table{rows: map[string]replicator.Row{}}
	upstreams := fleet("1")
	groups.record(t, upstreams, "a", "1")
	rows := append(groups.list(), replicator.Row{Key: "x", Value: []byte("{"), Version: 9},
		replicator.Row{Key: "y", Value: []byte(`{"service":"s","group":"z","addresses":["1"]}`), Version: 9})
	require.Len(t, grouper.Assign(rows, upstreams), 2)
	require.Equal(t, identifier.ModelGroup("a"), upstreams[0].Group)
}
