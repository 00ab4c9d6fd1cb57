package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a process of the product.
type gateway struct {
	name     string
	host     string
	folder   string
	settings string
	front    string
	ready    string
	control  string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// ports are the ports that all gateways of a deployment have in common.
type ports struct{ front, ready, control, internal int }

// freePorts returns ports that are free on all hosts.
func freePorts(hosts []string) (ports, error) {
	for range 50 {
		l, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return ports{}, err
		}
		base := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if base > 60000 {
			continue
		}
		if allFree(hosts, base, base+3) {
			return ports{base, base + 1, base + 2, base + 3}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func allFree(hosts []string, first, last int) bool {
	for _, host := range hosts {
		for port := first; port <= last; port++ {
			address := fmt.Sprintf("%s:%d", host, port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", address)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

// newGateway writes the settings of a gateway. The bounds are those of the site rekaw-wspolny.
func newGateway(folder, name, host, zone string, p ports, seeds []string, storeAddress string) (*gateway, error) {
	g := &gateway{
		name: name, host: host, folder: folder, settings: filepath.Join(folder, name+".conf"),
		front: fmt.Sprintf("%s:%d", host, p.front), ready: fmt.Sprintf("%s:%d", host, p.ready),
		control: fmt.Sprintf("%s:%d", host, p.control),
	}
	var controls []string
	for _, s := range seeds {
		controls = append(controls, fmt.Sprintf("%s:%d", s, p.control))
	}
	lines := []string{
		"nodeName=" + name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + host, "zone=" + zone,
		"region=pl-central", "zones.pl-central-a=pl-central", "zones.pl-central-b=pl-central", "zones.pl-central-c=pl-central",
		"listen.front=" + g.front, "listen.ready=" + g.ready, "listen.control=" + g.control,
		fmt.Sprintf("internalPorts=%d,%d", p.internal, p.internal), "seeds=" + strings.Join(controls, ","),
		"firstStart=true", "lossCounts=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
		"limits.maxFds=4200", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip",
		"heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts",
		"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.addrReuseS=2",
		"bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
		"bounds.lostSlackMs=200", "bounds.configApplyMs=2000", "bounds.downgradeSlackMs=250", "bounds.stretchMaxMs=5000",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10",
		"bounds.extraRetries=90", "bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000", "bounds.recoverS=12",
		"bounds.passMs=120", "bounds.retryAfterS=0", "bounds.stall_ms=1500", "bounds.requireFence=false",
		"provider.address=" + storeAddress, "provider.form=table", "provider.writesPerS=400", "provider.readsPerS=2000",
		"provider.txMs=3.0", "provider.partIopsS=300", "provider.rowBytes=65536", "provider.across=true",
		"provider.historyS=20", "provider.blobBytes=8388608", "provider.blobMs=25.0", "provider.blobBwS=80.0",
	}
	return g, os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the process with the command of the deploy file, in the repository's root.
func (g *gateway) start() error {
	out, err := os.OpenFile(filepath.Join(g.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command("target/currantledge", "gateway")
	g.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CURRANTLEDGE_NODE_FILE=" + g.settings,
	}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(g.cmd, g.ended)
	return nil
}

// awaitReady waits until the gateway reports that it is ready.
func (g *gateway) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + g.ready + "/currantledge/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready in time", g.name)
}

// isRunning reports whether the process has not ended.
func (g *gateway) isRunning() bool {
	if g.ended == nil {
		return false
	}
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// end kills the process if it still runs and waits for its end.
func (g *gateway) end() {
	if g.isRunning() {
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.ended
	}
}
