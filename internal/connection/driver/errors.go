package driver

import (
	"fmt"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// NotStartedError reports that the upstream did not start the request.
type NotStartedError struct {
	Reason messenger.Reason
	Cause  error
}

// Error returns a message with the reason, the cause and the remedy.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("upstream did not start the request (%s): %v; it may be sent again", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// BrokenError reports that the upstream may have run the request but its response is missing or incomplete.
type BrokenError struct{ Cause error }

// Error returns a message with the cause and the remedy.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("upstream's response is missing or incomplete: %v; send the request again only if it may run twice", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// StaleFenceError reports that the engine refused an order because it has seen a higher fencing number.
type StaleFenceError struct{ Fence identifier.Fence }

// Error returns a message with the fencing number and the remedy.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order refused: the engine has seen fence %d; stop sending orders and acquire the lease again", e.Fence)
}

// RefusedOrderError reports that the engine cannot execute an order.
type RefusedOrderError struct {
	// Code is the engine's error code, for example switchStepPassed.
	Code string
	// Step is the next step that the engine runs.
	Step identifier.Step
}

// Error returns a message with the code and the remedy.
func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("order refused: %s, the engine's next step is %d; send a new order that matches its report", e.Code, e.Step)
}
