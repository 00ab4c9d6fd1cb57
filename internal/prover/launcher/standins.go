package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Paths to which the stand-ins respond once they are ready.
const (
	platformReadyPath = "/vms/v1/list"
	engineReadyPath   = "/engine/v1/report"
	serviceReadyPath  = "/report"
)

// limitArgs returns the arguments that give a stand-in exactly the capacity that its resource declares, so that it
// crashes under any load above the limits.
func limitArgs(limits Limits) []string {
	return []string{
		"--cold", strconv.Itoa(limits.Cold),
		"--warm", strconv.Itoa(limits.Warm),
		"--warm-after", strconv.Itoa(limits.WarmAfter),
	}
}

// lockStepArgs returns the arguments of an engine in a group whose steps the stand-in of rank 0 coordinates.
func lockStepArgs(g GroupPlan, rank int, coordinator string, seed uint64) []string {
	return []string{
		"--group-size", strconv.Itoa(g.Ranks),
		"--rank", strconv.Itoa(rank),
		"--coordinator", coordinator,
		"--experts", strconv.Itoa(g.Experts),
		// The stand-in parses a signed number.
		"--group-seed", strconv.FormatUint(seed&math.MaxInt64, 10),
	}
}

// vm is an element of the platform's VM list.
type vm struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	State         string `json:"state"`
}

const (
	vmLive    = "live"
	vmLeaving = "leaving"
)

// SetVMList sets the platform's VM list to all nodes except the absent ones. absent and leaving hold names of nodes. A
// leaving node is listed as such.
func (d *Deployment) SetVMList(ctx context.Context, absent, leaving map[string]bool) error {
	vms := []vm{}
	for _, n := range d.Nodes() {
		state := vmLive
		if leaving[n.Name] {
			state = vmLeaving
		}
		if !absent[n.Name] {
			vms = append(vms, vm{Name: n.Name, Address: n.AdvertisedAddress, FailureDomain: n.FailureDomain, State: state})
		}
	}
	return d.Control(ctx, d.Platform, "/vms/v1/set", map[string]any{"vms": vms})
}

// Control posts a command to a stand-in, for example a fault to /fault of the platform or to /control of an upstream.
func (d *Deployment) Control(ctx context.Context, s Standin, path string, command any) error {
	raw, err := json.Marshal(command)
	if err != nil {
		return errors.Wrapf(err, "encode the command to %s", s.Name)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL()+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrapf(err, "command to %s", s.Name)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "command to %s", s.Name)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "read the response of %s", s.Name)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("command to %s%s: %s: %s", s.Name, path, response.Status, responseBody)
	}
	return nil
}
