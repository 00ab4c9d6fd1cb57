package logger_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/logger"
)

var eventRow = regexp.MustCompile(`^\| \d`)

// Guards against an event that docs/events.md lacks, describes with another number, level or message, or still lists
// after its removal, so that an operator finds nothing or something false for a log line.
func TestPageMatchesCatalogue(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "events.md"))
	require.NoError(t, err)
	const columns = 6
	var got []logger.Described
	for _, line := range strings.Split(string(page), "\n") {
		if !eventRow.MatchString(line) {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		require.Len(t, cells, columns, line)
		for i, cell := range cells {
			cells[i] = strings.TrimSpace(cell)
			require.NotEmpty(t, cells[i], line)
		}
		number, err := strconv.Atoi(cells[0])
		require.NoError(t, err)
		got = append(got, logger.Described{Event: logger.Event(number), Level: cells[1], Message: cells[2]})
	}
	require.Equal(t, logger.Catalogue(), got)
}
