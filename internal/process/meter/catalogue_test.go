package meter_test

import (
	"expvar"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
)

// tableRow holds the cells of a table row of docs/metrics.md that the catalogue defines too.
type tableRow struct{ name, kind, unit string }

// Guards against a metric that is missing from docs/metrics.md, is listed there with another type or unit, or is still
// listed after its removal.
func TestPageMatchesCatalogue(t *testing.T) {
	t.Parallel()
	var want []tableRow
	for _, d := range meter.Catalogue() {
		want = append(want, tableRow{string(d.Name), string(d.Type), d.Unit})
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "metrics.md"))
	require.NoError(t, err)
	var got []tableRow
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(line, "|")
		require.Len(t, cells, 6, line)
		got = append(got, tableRow{strings.Trim(cells[1], " `"), strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])})
		require.NotEmpty(t, strings.TrimSpace(cells[4]), line)
	}
	require.Equal(t, want, got)
}

// Guards against a metric that is declared but missing from the catalogue, and therefore from docs/metrics.md.
func TestCatalogueIsComplete(t *testing.T) {
	t.Parallel()
	listed := map[string]bool{}
	for _, d := range meter.Catalogue() {
		listed[string(d.Name)] = true
	}
	file, err := parser.ParseFile(token.NewFileSet(), "meter.go", nil, 0)
	require.NoError(t, err)
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		kind, ok := spec.Type.(*ast.Ident)
		if !ok || kind.Name != "Name" {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		require.True(t, ok)
		name, err := strconv.Unquote(literal.Value)
		require.NoError(t, err)
		require.True(t, listed[name], "metric %s is not in the catalogue", name)
		declared++
		return true
	})
	require.Len(t, listed, declared)
}

// Guards against an event whose counter is missing from the catalogue.
func TestCountedEventsAreListed(t *testing.T) {
	t.Parallel()
	m := meter.New()
	for _, d := range logger.Catalogue() {
		m.CountEvent(d.Event)
	}
	counters := map[string]bool{}
	for _, d := range meter.Catalogue() {
		if d.Type == meter.TypeCounter {
			counters[string(d.Name)] = true
		}
	}
	for _, name := range publishedNames(t) {
		require.True(t, counters[name], "counter %s is not in the catalogue", name)
	}
}

// publishedNames returns the names of all metrics that the process publishes.
func publishedNames(t *testing.T) []string {
	t.Helper()
	all, ok := expvar.Get("currantledge").(*expvar.Map)
	require.True(t, ok)
	var names []string
	all.Do(func(kv expvar.KeyValue) { names = append(names, kv.Key) })
	require.NotEmpty(t, names)
	return names
}
