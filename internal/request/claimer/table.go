package claimer

import (
	"context"
	"fmt"
)

// Row is a row of the table. Version 0 means that the row is absent.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires a row to have a version; version 0 requires it to be absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets the value of a row.
type Write struct {
	Key   string
	Value []byte
}

// Table is the transactional table. Transact applies all writes if all conditions hold and returns the new versions.
// Otherwise it returns *ConflictError with the current rows, or any other error when the outcome is not known. Versions
// of a row grow with each write.
type Table interface {
	Transact(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, key string, value []byte) error
	Object(ctx context.Context, key string) ([]byte, error)
}

// ConflictError tells that conditions did not hold. Rows are the current rows of these conditions.
type ConflictError struct{ Rows []Row }

// Error names the cause and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%d rows were changed by another writer; read them and try again", len(e.Rows))
}
