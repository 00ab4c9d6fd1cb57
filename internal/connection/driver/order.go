package driver

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Order is an order to an engine.
type Order interface{ order() }

type (
	// PrepareMap announces an expert map. The engine does not run SwitchStep before it has received the DecideMap.
	PrepareMap struct {
		Fence   identifier.Fence
		Version identifier.MapVersion
		// Map lists, for each rank, the experts that it holds.
		Map        [][]identifier.Expert
		SwitchStep identifier.Step
	}
	// DecideMap commits a prepared map, which applies from its switch step on, or drops it.
	DecideMap struct {
		Fence   identifier.Fence
		Version identifier.MapVersion
		Commit  bool
	}
	// LoadModel loads a model version, or an adapter of it.
	LoadModel struct {
		Fence   identifier.Fence
		Model   identifier.Model
		Version string
		Adapter string
	}
	// UnloadModel unloads a model, or an adapter of it.
	UnloadModel struct {
		Fence   identifier.Fence
		Model   identifier.Model
		Adapter string
	}
	// ChangeRole changes the role of the engine, such as prefill or decode.
	ChangeRole struct {
		Fence identifier.Fence
		Role  string
	}
)

func (PrepareMap) order()  {}
func (DecideMap) order()   {}
func (LoadModel) order()   {}
func (UnloadModel) order() {}
func (ChangeRole) order()  {}

// Order sends an order and returns once the engine has acknowledged it. The error is *StaleFenceError if the engine has
// seen a higher fencing number, and *RefusedOrderError if it cannot execute the order.
func (e *Engine) Order(ctx context.Context, o Order) error {
	status, raw, err := e.client.query(ctx, http.MethodPost, "/engine/v1/orders", encodeOrder(o))
	if err != nil {
		return err
	}
	if status == http.StatusOK || status == http.StatusNoContent {
		return nil
	}
	var refusal wireOrderRefusal
	if status != http.StatusConflict || json.Unmarshal(raw, &refusal) != nil {
		return errors.Newf("engine returned status %d for an order; check that it implements the engine protocol", status)
	}
	if refusal.Error == codeStaleFence {
		return &StaleFenceError{Fence: identifier.Fence(refusal.Fence)}
	}
	return &RefusedOrderError{Code: refusal.Error, Step: identifier.Step(refusal.Step)}
}

func encodeOrder(o Order) wireOrder {
	switch o := o.(type) {
	case PrepareMap:
		return wireOrder{
			Fence: uint64(o.Fence), Kind: "prepareMap", Version: uint64(o.Version),
			Map: encodeMap(o.Map), SwitchStep: uint64(o.SwitchStep),
		}
	case DecideMap:
		return wireOrder{Fence: uint64(o.Fence), Kind: "decideMap", Version: uint64(o.Version), Commit: o.Commit}
	case LoadModel:
		return wireOrder{
			Fence: uint64(o.Fence), Kind: "loadModel",
			Model: string(o.Model), ModelVersion: o.Version, Adapter: o.Adapter,
		}
	case UnloadModel:
		return wireOrder{Fence: uint64(o.Fence), Kind: "unloadModel", Model: string(o.Model), Adapter: o.Adapter}
	case ChangeRole:
		return wireOrder{Fence: uint64(o.Fence), Kind: "changeRole", Role: o.Role}
	}
	return wireOrder{}
}

func encodeMap(byRank [][]identifier.Expert) [][]int {
	out := make([][]int, 0, len(byRank))
	for _, experts := range byRank {
		ids := make([]int, 0, len(experts))
		for _, x := range experts {
			ids = append(ids, int(x))
		}
		out = append(out, ids)
	}
	return out
}
