package claimer

import (
	"context"
	"fmt"
)

// Row is a row of the table. Version 0 means that the row does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires a row to have a version. Version 0 requires that the row does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets the value of a row.
type Write struct {
	Key   string
	Value []byte
}

// Table is a transactional table. Transact applies all writes if all conditions hold, and returns the new versions by
// key. If a condition does not hold, it applies none and returns *ConflictError with the current rows. Any other error
// means that the outcome is unknown. Each write increases the version of its row.
type Table interface {
	Transact(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error)
}

// Objects is the object store, which holds bodies that are too large for a row.
type Objects interface {
	PutObject(ctx context.Context, key string, value []byte) error
	Object(ctx context.Context, key string) ([]byte, error)
}

// ConflictError reports conditions that did not hold. Rows are the current rows of these conditions.
type ConflictError struct{ Rows []Row }

// Error returns the cause and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d rows were changed by another writer; read them and try again", len(e.Rows))
}
