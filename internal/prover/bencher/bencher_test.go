package bencher_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/bencher"
)

// Guards against lines that scripts cannot split into five fields, because a baseline or ratio is missing.
func TestFigureHasFiveFields(t *testing.T) {
	t.Parallel()
	baseline, zero := 4.0, 0.0
	tests := map[string]struct {
		figure bencher.Figure
		want   string
	}{
		"baseline":      {bencher.Figure{Name: "a", Value: 2, Unit: "ms", Baseline: &baseline}, "a 2 ms 4 0.5"},
		"no baseline":   {bencher.Figure{Name: "a", Value: 0.98765, Unit: "ratio"}, "a 0.9877 ratio - -"},
		"zero baseline": {bencher.Figure{Name: "a", Value: 2, Unit: "s", Baseline: &zero}, "a 2 s 0 -"},
		"large value":   {bencher.Figure{Name: "a", Value: 123456789, Unit: "bytes"}, "a 123456789 bytes - -"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, test.want, test.figure.String())
		})
	}
}

// Guards against an unknown name of a measure that runs nothing without an error.
func TestUnknownMeasure(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	err := bencher.Run(t.Context(), bencher.Config{Only: "nothing", Runs: 1, Output: &out, Progress: io.Discard})
	require.ErrorContains(t, err, "domainOut")
	require.Empty(t, out.String())
}
