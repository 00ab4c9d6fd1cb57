// Package adapter adapts the client of the platform's table to the table interfaces of the packages that use it, and its
// errors to theirs.
package adapter

import (
	"context"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/storer"
	"currantledge.example/currantledge/internal/request/claimer"
	"currantledge.example/currantledge/internal/version/configurer"
	"currantledge.example/currantledge/internal/version/coordinator"
	"currantledge.example/currantledge/internal/version/leaser"
)

// ConfigurationTable returns the table as the writer of the configuration uses it.
func ConfigurationTable(client *storer.Client) configurer.Table {
	return configurer.TableFuncs{
		TransactFunc: func(ctx context.Context, conditions []configurer.Condition, writes []configurer.Write) (map[string]uint64, error) {
			versions, err := client.Transact(ctx, convert(conditions, toCondition), convert(writes, toWrite))
			return versions, configurationError(err)
		},
		GetFunc: func(ctx context.Context, keys ...string) ([]configurer.Row, error) {
			rows, err := client.Get(ctx, keys...)
			return convert(rows, fromRow), configurationError(err)
		},
		ScanFunc: func(ctx context.Context, prefix, after string, limit int) ([]configurer.Row, error) {
			rows, err := client.Scan(ctx, prefix, after, limit)
			return convert(rows, fromRow), configurationError(err)
		},
	}
}

// configurationError converts the errors of the client to those of package configurer.
func configurationError(err error) error {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return &configurer.RowConflictError{Rows: convert(conflict.Rows, fromRow)}
	}
	var unavailable *storer.UnavailableError
	if errors.As(err, &unavailable) {
		return &configurer.UnavailableError{MayHaveApplied: unavailable.MayHaveApplied, Cause: unavailable.Cause}
	}
	return err
}

func toCondition(c configurer.Condition) storer.Condition { return storer.Condition(c) }
func toWrite(w configurer.Write) storer.Write             { return storer.Write(w) }
func fromRow(r storer.Row) configurer.Row                 { return configurer.Row(r) }

// convert converts each item of a slice.
func convert[F, T any](from []F, convertItem func(F) T) []T {
	out := make([]T, len(from))
	for i, f := range from {
		out[i] = convertItem(f)
	}
	return out
}

// claimTable implements claimer.Table.
type claimTable struct{ client *storer.Client }

// ClaimTable returns the table as the claimer uses it.
func ClaimTable(client *storer.Client) claimer.Table {
	return claimTable{client: client}
}

// Transact applies all writes if all conditions hold, and returns the new versions by key. It returns
// *claimer.ConflictError with the current rows if a condition does not hold.
func (t claimTable) Transact(
	ctx context.Context, conditions []claimer.Condition, writes []claimer.Write,
) (map[string]uint64, error) {
	versions, err := t.client.Transact(ctx,
		convert(conditions, func(c claimer.Condition) storer.Condition { return storer.Condition(c) }),
		convert(writes, func(w claimer.Write) storer.Write { return storer.Write{Key: w.Key, Value: w.Value} }),
	)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		return nil, &claimer.ConflictError{
			Rows: convert(conflict.Rows, func(r storer.Row) claimer.Row { return claimer.Row(r) }),
		}
	}
	return versions, err
}

// leaseTable implements leaser.Table.
type leaseTable struct{ client *storer.Client }

// LeaseTable returns the table as the leaser uses it.
func LeaseTable(client *storer.Client) leaser.Table {
	return leaseTable{client: client}
}

// Transact applies all writes if all conditions hold, and returns the new versions by key.
func (t leaseTable) Transact(ctx context.Context, conditions []leaser.Condition, writes []leaser.RowWrite) (map[string]uint64, error) {
	return t.client.Transact(ctx,
		convert(conditions, func(c leaser.Condition) storer.Condition { return storer.Condition(c) }),
		convert(writes, func(w leaser.RowWrite) storer.Write { return storer.Write(w) }),
	)
}

// Get returns the existing rows with these keys.
func (t leaseTable) Get(ctx context.Context, keys ...string) ([]leaser.Row, error) {
	rows, err := t.client.Get(ctx, keys...)
	return convert(rows, func(r storer.Row) leaser.Row { return leaser.Row(r) }), err
}

// mapTable implements coordinator.Table.
type mapTable struct{ client *storer.Client }

// MapTable returns the table as the coordinator uses it.
func MapTable(client *storer.Client) coordinator.Table {
	return mapTable{client: client}
}

// Read returns the row, or an empty one if it is absent.
func (t mapTable) Read(ctx context.Context, key string) (coordinator.Row, error) {
	rows, err := t.client.Get(ctx, key)
	if err != nil || len(rows) == 0 {
		return coordinator.Row{}, err
	}
	return coordinator.Row{Version: rows[0].Version, Value: rows[0].Value}, nil
}

// Write sets the row if it has the version of the condition, and returns the new version. It returns
// *coordinator.ConflictError with the current row if it does not.
func (t mapTable) Write(ctx context.Context, key string, condition uint64, value []byte) (uint64, error) {
	versions, err := t.client.Transact(ctx,
		[]storer.Condition{{Key: key, Version: condition}}, []storer.Write{{Key: key, Value: value}})
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		for _, row := range conflict.Rows {
			if row.Key == key {
				return 0, &coordinator.ConflictError{Row: coordinator.Row{Version: row.Version, Value: row.Value}}
			}
		}
	}
	return versions[key], err
}
