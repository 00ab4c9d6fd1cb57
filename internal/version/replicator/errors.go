package replicator

import "github.com/cockroachdb/errors"

var (
	// ErrHistoryLost says that the platform no longer has the changes that were asked for.
	ErrHistoryLost = errors.New("the platform has dropped the history; read the table in full")
	// ErrConflict says that a row did not have the expected version.
	ErrConflict = errors.New("a row does not have the expected version; read it and decide again")
	// ErrTurnedAway says that the platform refused the call without doing anything.
	ErrTurnedAway = errors.New("the platform refused the call; try again later")
)
