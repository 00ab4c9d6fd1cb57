package replicator

import "fmt"

// Era counts how often the platform's store was restored from a copy. The store then gives out again the versions that it
// has lost.
type Era uint64

const (
	// counterBits is the number of low bits of a version that hold the store's counter.
	counterBits = 44
	maxCounter  = 1<<counterBits - 1
	// MaxEra is the highest era that a version can hold.
	MaxEra Era = 1<<(64-counterBits) - 1
)

// NewVersion returns the version of a row from the store's era and counter. Versions of a later era are higher than those
// of an earlier one, whatever the counter.
func NewVersion(era Era, counter uint64) uint64 {
	return uint64(era)<<counterBits | min(counter, maxCounter)
}

// EraOf returns the era of a version.
func EraOf(version uint64) Era {
	return Era(version >> counterBits)
}

// CounterOf returns the store's counter in a version; 0 in the version of a row that does not exist.
func CounterOf(version uint64) uint64 {
	return version & maxCounter
}

// VersionText returns a version as text: the era and the counter.
func VersionText(version uint64) string {
	return fmt.Sprintf("%d.%d", EraOf(version), CounterOf(version))
}

// Precedence orders the contents of a row that were written at different times, as far as the contents tell.
type Precedence struct {
	// Generation rises with each configuration, or with each start of an upstream.
	Generation uint64
	// Final is set for the last content of a generation.
	Final bool
}

func (p Precedence) after(other Precedence) bool {
	if p.Generation != other.Generation {
		return p.Generation > other.Generation
	}
	return p.Final && !other.Final
}
