package matrixrunner_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/matrixrunner"
)

// Guards against a combination of a fault and a step that AllCells leaves out or contains twice, so that a run of all
// cells would not test it.
func TestAllCellsCoverMatrix(t *testing.T) {
	t.Parallel()
	names := map[string]bool{}
	for _, cell := range matrixrunner.AllCells() {
		names[cell.String()] = true
	}
	require.Len(t, names, len(matrixrunner.Faults())*len(matrixrunner.Steps()))
}

// Guards against cells of make check that leave out a possible fault or step, or that contain an impossible cell.
func TestCheckCoversAllFaultsAndSteps(t *testing.T) {
	t.Parallel()
	faults, steps := map[matrixrunner.Fault]bool{}, map[matrixrunner.Step]bool{}
	for _, cell := range matrixrunner.CheckCells() {
		require.NotEmpty(t, cell.Faults)
		require.Empty(t, matrixrunner.ImpossibleReason(cell), cell)
		faults[cell.Faults[0]], steps[cell.Step] = true, true
	}
	for _, cell := range matrixrunner.AllCells() {
		if matrixrunner.ImpossibleReason(cell) == "" {
			require.True(t, faults[cell.Faults[0]], cell.Faults[0])
			require.True(t, steps[cell.Step], cell.Step)
		}
	}
}

// Guards against cell names in the output that --cell does not accept, and against a misspelled name that runs no cell.
func TestParseCell(t *testing.T) {
	t.Parallel()
	for _, cells := range [][]matrixrunner.Cell{matrixrunner.AllCells(), matrixrunner.PairCells()} {
		for _, cell := range cells {
			parsed, err := matrixrunner.ParseCell(cell.String())
			require.NoError(t, err)
			require.Equal(t, cell, parsed)
		}
	}
	for _, name := range []string{"", "kill", "kill/", "/idle", "killing/idle", "kill/idleness", "kill+/idle"} {
		_, err := matrixrunner.ParseCell(name)
		require.Error(t, err, name)
	}
}

// Guards against sequences that differ between runs with the same seed, or that do not depend on the seed.
func TestSequencesDependOnlyOnSeed(t *testing.T) {
	t.Parallel()
	require.Equal(t, matrixrunner.SequenceCells(1, 20), matrixrunner.SequenceCells(1, 20))
	require.NotEqual(t, matrixrunner.SequenceCells(1, 20), matrixrunner.SequenceCells(2, 20))
}

// Guards against a failed cell that does not fail the run, and against a known failure that does.
func TestFailedCellsFailRun(t *testing.T) {
	t.Parallel()
	known := filepath.Join(t.TempDir(), "known")
	require.NoError(t, os.WriteFile(known, []byte("test: other Test\ncell: kill/idle\n"), 0o600))
	tests := []struct {
		cell    string
		fails   bool
		summary string
	}{
		{"kill/idle", false, "faults: cells=1 passed=0 failed=1 impossible=0 notRun=0\n"},
		{"kill/accept", true, "faults: cells=1 passed=0 failed=1 impossible=0 notRun=0\n"},
		{"ignoredFence/idle", false, "faults: cells=1 passed=0 failed=0 impossible=1 notRun=0\n"},
	}
	for _, test := range tests {
		t.Run(test.cell, func(t *testing.T) {
			t.Parallel()
			cell, err := matrixrunner.ParseCell(test.cell)
			require.NoError(t, err)
			var output bytes.Buffer
			err = matrixrunner.Run(t.Context(), matrixrunner.Config{
				// No deployment starts with these binaries, so every cell that runs fails.
				Binaries: launcher.Binaries{Product: "/bin/false", Standin: "/bin/false"},
				Cells:    []matrixrunner.Cell{cell},
				Seed:     1,
				KnownRed: known,
				Output:   &output,
			})
			require.Equal(t, test.fails, err != nil, err)
			require.Contains(t, output.String(), test.summary)
		})
	}
}

// Guards against a misspelled cell in the list of known failures, which would match no cell and never be removed.
func TestKnownCellsMustExist(t *testing.T) {
	t.Parallel()
	known := filepath.Join(t.TempDir(), "known")
	require.NoError(t, os.WriteFile(known, []byte("cell: kill/idleness\n"), 0o600))
	require.ErrorContains(t, matrixrunner.Run(t.Context(), matrixrunner.Config{KnownRed: known}), "idleness")
}
