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

var eventRowPattern = regexp.MustCompile(`^\| \d`)

// Guards against an event that is missing from docs/events.md, is listed there with another number, level or message,
// or is still listed after its removal: an operator would look up a log line and find nothing or a wrong explanation.
func TestPageMatchesCatalogue(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "events.md"))
	require.NoError(t, err)
	const columns = 6
	var got []logger.Descriptor
	for _, line := range strings.Split(string(page), "\n") {
		if !eventRowPattern.MatchString(line) {
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
		got = append(got, logger.Descriptor{Event: logger.Event(number), Level: cells[1], Message: cells[2]})
	}
	require.Equal(t, logger.Catalogue(), got)
}
