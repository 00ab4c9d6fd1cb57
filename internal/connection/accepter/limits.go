package accepter

import (
	"golang.org/x/sys/unix"

	"currantledge.example/currantledge/internal/connection/shedder"
)

const (
	// defaultBytes is what the connections of a listener may take in a process whose settings hold no limits.
	defaultBytes = 64 << 20
	// connectionShare is the part of the descriptors of a process for the connections of its clients. A request also takes
	// a connection to an upstream.
	connectionShare = 0.375
	// maxDefaultConnections bounds the connections of a listener where the process may open very many descriptors.
	maxDefaultConnections = 4096
	// assumedDescriptors is used if the limit of the process cannot be read.
	assumedDescriptors = 1024
)

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// DefaultLimits returns the limits of a listener in a process whose settings hold none.
func DefaultLimits() shedder.Limits {
	return shedder.Limits{Bytes: defaultBytes, Connections: min(ConnectionsOf(Descriptors()), maxDefaultConnections)}
}

// ConnectionsOf returns how many connections of clients there may be with a number of descriptors.
func ConnectionsOf(descriptors int) int {
	return int(float64(descriptors) * connectionShare)
}
