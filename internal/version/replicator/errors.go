package replicator

import "github.com/cockroachdb/errors"

var (
	// ErrHistoryLost means that the platform no longer has the requested changes.
	ErrHistoryLost = errors.New("the platform has dropped the requested changes; read the full table")
	// ErrConflict means that a row did not have the expected version. Nothing was written.
	ErrConflict = errors.New("the row does not have the expected version; read it again")
	// ErrRefused means that the platform refused the call without any effect.
	ErrRefused = errors.New("the platform refused the call; try again later")
)
