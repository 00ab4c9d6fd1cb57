package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the pause before a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// gateway is one gateway of the deployment. The platform starts its process again when it ends.
type gateway struct {
	name  string
	index int
	// front and ready are the addresses for clients and for readiness checks.
	front, ready string
	settings     string
	log          *os.File
	record       *record

	mu       sync.Mutex
	process  *os.Process
	stopping bool
	// ends holds how each end of the process that this program did not ask for was reported.
	ends []string
	done chan struct{}
}

// freePort returns a port that is free for TCP and UDP on all hosts.
func freePort(hosts []string, from int) (int, error) {
search:
	for port := from; port < 32000; port++ {
		for _, host := range hosts {
			address := fmt.Sprintf("%s:%d", host, port)
			tcp, err := net.Listen("tcp", address)
			if err != nil {
				continue search
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp", address)
			if err != nil {
				continue search
			}
			_ = udp.Close()
		}
		return port, nil
	}
	return 0, fmt.Errorf("no free port from %d on", from)
}

// zones are the zones of the small deployment.
var zones = []string{"pl-central-a", "pl-central-b", "pl-central-c"}

// newGateways writes the settings of gateways, one for each store address.
func newGateways(folder string, rec *record, stores, zoneOf []string) ([]*gateway, error) {
	network := 1 + os.Getpid()%250
	var hosts []string
	for i := range stores {
		hosts = append(hosts, fmt.Sprintf("127.77.%d.%d", network, i+1))
	}
	first, err := freePort(hosts, 21000+os.Getpid()%5000)
	if err != nil {
		return nil, err
	}
	ports := []int{first}
	for len(ports) < 4 {
		next, err := freePort(hosts, ports[len(ports)-1]+1)
		if err != nil {
			return nil, err
		}
		ports = append(ports, next)
	}
	var seeds []string
	for _, h := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h, ports[2]))
	}
	var out []*gateway
	for i, host := range hosts {
		g := &gateway{
			name: fmt.Sprintf("front-%s-%d", zoneOf[i], i+1), index: i, record: rec,
			front: fmt.Sprintf("%s:%d", host, ports[0]), ready: fmt.Sprintf("%s:%d", host, ports[1]),
			done: make(chan struct{}),
		}
		lines := []string{
			"nodeName=" + g.name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + host,
			"zone=" + zoneOf[i], "region=pl-central",
			"zones.pl-central-a=pl-central", "zones.pl-central-b=pl-central", "zones.pl-central-c=pl-central",
			"listen.front=" + g.front, "listen.ready=" + g.ready, fmt.Sprintf("listen.control=%s:%d", host, ports[2]),
			fmt.Sprintf("internalPorts=%d,%d", ports[3], ports[3]), "seeds=" + strings.Join(seeds, ","),
			"firstStart=true", "lossCounts=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
			"limits.maxFds=4200", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip",
			"heartbeatMs=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts",
			"tolerate.machines=2", "tolerate.zones=1", "tolerate.regions=0", "bounds.seedLagS=3", "bounds.addrReuseS=2",
			"bounds.stableWindowMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8",
			"bounds.lostSlackMs=200", "bounds.configApplyMs=2000", "bounds.downgradeSlackMs=250", "bounds.stretchMaxMs=5000",
			"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10",
			"bounds.extraRetries=90", "bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000", "bounds.recoverS=12",
			"bounds.passMs=120", "bounds.retryAfterS=0", "bounds.stall_ms=1500", "bounds.requireFence=false",
			"provider.address=" + stores[i], "provider.form=table", "provider.writesPerS=400", "provider.readsPerS=2000",
			"provider.txMs=3.0", "provider.partIopsS=300", "provider.rowBytes=65536", "provider.across=true",
			"provider.historyS=20", "provider.blobBytes=8388608", "provider.blobMs=25.0", "provider.blobBwS=80.0",
		}
		g.settings = filepath.Join(folder, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		if g.log, err = os.Create(filepath.Join(folder, g.name+".log")); err != nil {
			return nil, err
		}
		out = append(out, g)
	}
	return out, nil
}

// run starts the process, and again after each end, until stop is called.
func (g *gateway) run(program string) {
	defer close(g.done)
	// The process gets its parent-death signal when the thread that started it ends.
	runtime.LockOSThread()
	for {
		cmd := exec.Command(program, "gateway")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CURRANTLEDGE_NODE_FILE=" + g.settings}
		cmd.Stdout, cmd.Stderr = g.log, g.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		g.mu.Lock()
		if g.stopping {
			g.mu.Unlock()
			return
		}
		if err := cmd.Start(); err != nil {
			g.mu.Unlock()
			g.record.add("%s did not start: %v", g.name, err)
			return
		}
		g.process = cmd.Process
		g.mu.Unlock()
		g.record.add("%s started, process %d", g.name, cmd.Process.Pid)
		err := cmd.Wait()
		g.mu.Lock()
		g.process = nil
		stopping := g.stopping
		if !stopping {
			g.ends = append(g.ends, fmt.Sprint(err))
		}
		g.mu.Unlock()
		if stopping {
			return
		}
		g.record.add("%s ENDED BY ITSELF: %v", g.name, err)
		time.Sleep(restartDelay)
	}
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		// It fails only if the process has ended.
		_ = g.process.Signal(s)
	}
}

// stop ends the process for good.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.done
	_ = g.log.Close()
}

// selfEnds returns how often the process has ended by itself.
func (g *gateway) selfEnds() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.ends)
}
