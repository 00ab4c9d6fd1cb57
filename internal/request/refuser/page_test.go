package refuser_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/request/refuser"
)

// reasons returns the values of all constants of type messenger.Reason, parsed from the source code.
func reasons(t *testing.T) []messenger.Reason {
	t.Helper()
	path := filepath.Join("..", "..", "connection", "messenger", "messenger.go")
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	var out []messenger.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Reason" {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		require.True(t, ok)
		value, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		out = append(out, messenger.Reason(value))
		return true
	})
	require.NotEmpty(t, out)
	return out
}

// guideStatuses returns the status of each cause in the section of the operators' guide between two texts.
func guideStatuses(t *testing.T, from, to string) map[messenger.Reason]int {
	t.Helper()
	guide, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operators-guide.md"))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(guide), from)
	require.True(t, found, from)
	section, _, found := strings.Cut(rest, to)
	require.True(t, found, to)
	out := map[messenger.Reason]int{}
	for _, line := range strings.Split(section, "\n") {
		cells := strings.Split(line, "|")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		status, err := strconv.Atoi(strings.TrimSpace(cells[2]))
		require.NoError(t, err, line)
		out[messenger.Reason(strings.Trim(cells[1], " `"))] = status
	}
	return out
}

// Guards against a cause that is missing from the operators' guide, or that the guide lists with another status or
// outcome than callers receive.
func TestGuideListsEveryCause(t *testing.T) {
	t.Parallel()
	notRun := guideStatuses(t, "\nNot run:\n", "\nUnknown (may have run")
	unknown := guideStatuses(t, "\nUnknown (may have run", "\n## Status and explain")
	all := reasons(t)
	require.Len(t, all, len(notRun)+len(unknown))
	for _, reason := range all {
		problem := refuser.NotRun(reason, 0)
		expected, listed := notRun[reason]
		if !listed {
			problem = refuser.Unknown(reason)
			expected, listed = unknown[reason]
		}
		require.True(t, listed, "the guide does not list %s", reason)
		require.Equal(t, expected, problem.Status, reason)
	}
	// A reason without a text gets that of another reason, which shows as a duplicate title.
	reasonByTitle := map[string]messenger.Reason{}
	for _, reason := range all {
		title := refuser.NotRun(reason, 0).Title
		if _, listed := unknown[reason]; listed {
			title = refuser.Unknown(reason).Title
		}
		require.Empty(t, reasonByTitle[title], "%s has no text of its own", reason)
		reasonByTitle[title] = reason
	}
}
