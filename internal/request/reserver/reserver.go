// Package reserver bounds the memory that the bodies of all open requests and responses of a process take together. It has
// no I/O of its own.
package reserver

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that other bodies take all of the memory.
var ErrExhausted = errors.New("other bodies take all of the memory for them; send the request again later")

const (
	// freeBytes is the part of each body that does not count in the memory of a Reserver, so that small bodies pass while
	// large ones take all of it. An account counts it.
	freeBytes = 16 << 10
	// firstBytes is the size of the first buffer of a body. Buffers double.
	firstBytes = 1 << 10
)

// Reserver is the memory for bodies. It is safe for concurrent use.
type Reserver struct {
	limit int64
	taken atomic.Int64
}

// New returns a Reserver of some bytes.
func New(limit int64) *Reserver {
	return &Reserver{limit: limit}
}

// Taken returns the reserved bytes.
func (r *Reserver) Taken() int64 {
	return r.taken.Load()
}

func (r *Reserver) take(n int64) bool {
	if r.taken.Add(n) <= r.limit {
		return true
	}
	r.taken.Add(-n)
	return false
}

// Account is a further sum that bodies count in, with all of their bytes.
type Account interface {
	// Take reports whether there is room for more bytes, and counts them if so.
	Take(n int64) bool
	// Return subtracts bytes.
	Return(n int64)
}

// Reservation is the part of the memory that one body takes. The zero value takes nothing and can take nothing.
type Reservation struct {
	reserver *Reserver
	account  Account
	// size is what the account has taken, and taken the part of it that the Reserver has taken.
	size  int64
	taken int64
}

// Reserve returns a Reservation that has taken nothing.
func (r *Reserver) Reserve() Reservation {
	return Reservation{reserver: r}
}

// ReserveFor returns a Reservation that has taken nothing and counts in an account as well.
func (r *Reserver) ReserveFor(a Account) Reservation {
	return Reservation{reserver: r, account: a}
}

// Grow raises the size of the body that the reservation is for, and reports whether there is memory for it.
func (v *Reservation) Grow(size int) bool {
	more := max(int64(size)-v.size, 0)
	missing := max(int64(size)-freeBytes-v.taken, 0)
	if missing > 0 && (v.reserver == nil || !v.reserver.take(missing)) {
		return false
	}
	if v.account != nil && more > 0 && !v.account.Take(more) {
		if missing > 0 {
			v.reserver.taken.Add(-missing)
		}
		return false
	}
	v.taken += missing
	v.size += more
	return true
}

// Release gives the memory back. The reservation has taken nothing afterwards.
func (v *Reservation) Release() {
	if v.reserver != nil && v.taken > 0 {
		v.reserver.taken.Add(-v.taken)
	}
	if v.account != nil && v.size > 0 {
		v.account.Return(v.size)
	}
	v.taken, v.size = 0, 0
}

// ReadAll reads up to limit bytes of a body. It returns what it has read, with ErrExhausted if there is no memory for more.
func (v *Reservation) ReadAll(body io.Reader, limit int) ([]byte, error) {
	data := make([]byte, 0, min(firstBytes, limit))
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), limit)
			if size == len(data) {
				return data, nil
			}
			if !v.Grow(size) {
				return data, ErrExhausted
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
