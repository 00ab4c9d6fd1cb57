package reserver_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/request/reserver"
)

// Guards against bodies that together take more memory than there is, and against memory that is not given back.
func TestLargeBodiesShareTheMemory(t *testing.T) {
	t.Parallel()
	const limit, size = 1 << 20, 300 << 10
	r := reserver.New(limit)
	var reservations []reserver.Reservation
	whole := 0
	for range 10 {
		v := r.Reserve()
		data, err := v.ReadAll(bytes.NewReader(make([]byte, size)), size)
		if err == nil {
			require.Len(t, data, size)
			whole++
		} else {
			require.ErrorIs(t, err, reserver.ErrExhausted)
			require.Less(t, len(data), size)
		}
		require.LessOrEqual(t, r.Taken(), int64(limit))
		reservations = append(reservations, v)
	}
	require.Equal(t, 3, whole)
	small := r.Reserve()
	data, err := small.ReadAll(strings.NewReader("small"), size)
	require.NoError(t, err)
	require.Equal(t, "small", string(data), "small bodies pass")
	for i := range reservations {
		reservations[i].Release()
		reservations[i].Release()
	}
	require.Zero(t, r.Taken())
}

// Guards against a body that is read beyond its limit, and against an error of the body that is lost.
func TestBodiesAreReadUpToTheirLimitOrError(t *testing.T) {
	t.Parallel()
	for _, limit := range []int{1, 1000, 1024, 1500, 64 << 10} {
		v := reserver.New(1 << 20).Reserve()
		data, err := v.ReadAll(bytes.NewReader(make([]byte, 100<<10)), limit)
		require.NoError(t, err)
		require.Len(t, data, limit)
	}
	broken := errors.New("broken")
	v := reserver.New(1 << 20).Reserve()
	data, err := v.ReadAll(io.MultiReader(strings.NewReader("part"), &failingReader{broken}), 1000)
	require.ErrorIs(t, err, broken)
	require.Equal(t, "part", string(data))
	v = reserver.Reservation{}
	_, err = v.ReadAll(bytes.NewReader(make([]byte, 100<<10)), 100<<10)
	require.ErrorIs(t, err, reserver.ErrExhausted)
}

type failingReader struct{ err error }

func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }
