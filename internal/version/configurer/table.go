package configurer

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

type (
	// Row is a row of the table.
	Row struct {
		Key     string
		Version uint64
		Value   []byte
	}
	// Condition requires the version of a row; version 0 requires that the row is absent.
	Condition struct {
		Key     string
		Version uint64
	}
	// Write sets or deletes a row.
	Write struct {
		Key    string
		Value  []byte
		Delete bool
	}
)

// Table is the platform's transactional table. Reads may be stale.
type Table interface {
	// Transact applies all writes if all conditions hold and returns the new versions of the rows by key. It returns a
	// *RowConflictError if a condition does not hold and an *UnavailableError if the table did not respond.
	Transact(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error)
	// Get returns the rows with these keys. Absent rows are left out.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than after, in the order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// TableFuncs implements Table with functions, which adapt another package's client.
type TableFuncs struct {
	TransactFunc func(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error)
	GetFunc      func(ctx context.Context, keys ...string) ([]Row, error)
	ScanFunc     func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Transact calls TransactFunc.
func (f TableFuncs) Transact(ctx context.Context, conditions []Condition, writes []Write) (map[string]uint64, error) {
	return f.TransactFunc(ctx, conditions, writes)
}

// Get calls GetFunc.
func (f TableFuncs) Get(ctx context.Context, keys ...string) ([]Row, error) {
	return f.GetFunc(ctx, keys...)
}

// Scan calls ScanFunc.
func (f TableFuncs) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return f.ScanFunc(ctx, prefix, after, limit)
}

// RowConflictError reports that a condition of a transaction did not hold and nothing was written.
type RowConflictError struct {
	// Rows holds the current rows whose conditions did not hold. An absent row has version 0.
	Rows []Row
}

// Error states the number of rows and the remedy.
func (e *RowConflictError) Error() string {
	return fmt.Sprintf("%d rows have another version; read them and try again", len(e.Rows))
}

// UnavailableError reports that the table did not respond.
type UnavailableError struct {
	// MayHaveApplied is true if a write may have taken effect although its response was lost.
	MayHaveApplied bool
	Cause          error
}

// Error states the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the table is unavailable: %v; try again", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// Keys of the configuration's rows.
const (
	// headKey is the row with the newest revision. Each write changes it.
	headKey = "config/head"
	// logPrefix begins the keys of the change log, which has one row for each of the newest revisions.
	logPrefix = "config/log/"
	// resourcePrefix begins the keys of the current resources.
	resourcePrefix = "config/resource/"
)

// logKey pads the revision with zeros, so that the order of the keys is the order of the revisions.
func logKey(r identifier.Revision) string {
	return fmt.Sprintf("%s%020d", logPrefix, uint64(r))
}

func resourceKey(kind, name string) string {
	return resourcePrefix + kind + "/" + name
}

// logRow is a row of the change log. It is written once and never changed, so a read that finds it is never stale.
type logRow struct {
	change messenger.Change
	// writeID identifies the write, so that a writer recognizes its own row after a lost response.
	writeID string
	// digest covers kind, name and revision of every resource at this revision. It verifies that a scan of the
	// resources, which is not atomic and may be stale, returned exactly this revision.
	digest uint64
}

type wireLogRow struct {
	Revision uint64          `json:"revision"`
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value,omitempty"`
	Write    string          `json:"write"`
	Digest   string          `json:"digest"`
}

func encodeLogRow(l logRow) []byte {
	// Marshal cannot fail, because the value is canonical JSON.
	text, _ := json.Marshal(wireLogRow{
		Revision: uint64(l.change.Revision),
		Kind:     l.change.Kind,
		Name:     l.change.Name,
		Value:    l.change.Value,
		Write:    l.writeID,
		Digest:   strconv.FormatUint(l.digest, 16),
	})
	return text
}

func decodeLogRow(row Row) (logRow, error) {
	var w wireLogRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return logRow{}, corruptRowError(row.Key, err)
	}
	digest, err := strconv.ParseUint(w.Digest, 16, 64)
	if err != nil {
		return logRow{}, corruptRowError(row.Key, err)
	}
	change := messenger.Change{Revision: identifier.Revision(w.Revision), Kind: w.Kind, Name: w.Name, Value: w.Value}
	return logRow{change: change, writeID: w.Write, digest: digest}, nil
}

type wireResourceRow struct {
	Revision uint64          `json:"revision"`
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Value    json.RawMessage `json:"value"`
}

func encodeResourceRow(c messenger.Change) []byte {
	// Marshal cannot fail, because the value is canonical JSON.
	text, _ := json.Marshal(wireResourceRow{Revision: uint64(c.Revision), Kind: c.Kind, Name: c.Name, Value: c.Value})
	return text
}

func decodeResourceRow(row Row) (messenger.Change, error) {
	var w wireResourceRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return messenger.Change{}, corruptRowError(row.Key, err)
	}
	return messenger.Change{Revision: identifier.Revision(w.Revision), Kind: w.Kind, Name: w.Name, Value: w.Value}, nil
}

func encodeHead(r identifier.Revision) []byte {
	return strconv.AppendUint(nil, uint64(r), 10)
}

func decodeHead(row Row) (identifier.Revision, error) {
	r, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return 0, corruptRowError(row.Key, err)
	}
	return identifier.Revision(r), nil
}

func corruptRowError(key string, cause error) error {
	return errors.Wrapf(cause, "row %s cannot be read; restore it from a process that holds the configuration", key)
}

// resourceDigest returns the digest of one resource. The digest of all resources is the exclusive or of these digests.
// To update it for a change, only the old and the new digest of the changed resource are needed.
func resourceDigest(kind, name string, r identifier.Revision) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s@%d", kind, name, uint64(r)))
}

// encodeWriteID returns the hexadecimal form of a write ID.
func encodeWriteID(raw [16]byte) string {
	return hex.EncodeToString(raw[:])
}
