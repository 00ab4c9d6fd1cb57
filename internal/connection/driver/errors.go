package driver

import (
	"fmt"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// NotStartedError tells that the upstream ran nothing of the request.
type NotStartedError struct {
	Reason messenger.Reason
	Cause  error
}

// Error names the cause and the remedy.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("upstream started nothing (%s): %v; the request may be sent again", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// BrokenError tells that the upstream may have run the request but its answer is not whole.
type BrokenError struct{ Cause error }

// Error names the cause and the remedy.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("upstream's answer broke off: %v; repeat the request only if it may run twice", e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// StaleFenceError tells that the engine has seen a higher fencing number.
type StaleFenceError struct{ Fence identifier.Fence }

// Error names the fencing number and the remedy.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order refused, the engine has seen fence %d; stop giving orders and acquire the lease again", e.Fence)
}

// RefusedOrderError tells that the engine cannot follow an order.
type RefusedOrderError struct {
	// Code is the engine's error code, for example switchStepPassed.
	Code string
	// Step is the next step that the engine runs.
	Step identifier.Step
}

// Error names the code and the remedy.
func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("order refused: %s, the engine's next step is %d; give a new order that fits its report", e.Code, e.Step)
}
