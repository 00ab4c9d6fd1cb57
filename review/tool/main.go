// Command review plays the cases of an independent review: it starts gateways as separate processes, and stand-ins of the
// platform's store, of runners and of clients. A case ends with status 1 if the rule was broken, 0 if it held, and 2 if it
// could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(*bed) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD-FILE, run in the repository")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// unplayable is the panic value of a case that could not run.
type unplayable struct{ cause error }

func check(err error) {
	if err != nil {
		panic(unplayable{err})
	}
}

func play(run func(*bed) bool, recordPath string) (code int) {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	b := &bed{folder: folder, began: time.Now(), record: file, trouble: os.Getenv("TROUBLE") != "0", hosts: rand.Perm(200)}
	defer func() {
		b.close()
		if cause, is := recover().(unplayable); is {
			b.note("could not run: %v", cause.cause)
			code = 2
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	if run(b) {
		b.note("RESULT: the rule was broken")
		return 1
	}
	b.note("RESULT: the rule held")
	return 0
}

// bed is the deployment of one case.
type bed struct {
	folder  string
	began   time.Time
	trouble bool
	hosts   []int
	mu      sync.Mutex
	record  *os.File
	// gateways are all that were started.
	gateways []*gateway
	ports    [4]int
}

// note writes a line to the record and to standard output.
func (b *bed) note(format string, args ...any) {
	b.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// log writes a line to the record.
func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%9.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// host returns an unused loopback host.
func (b *bed) host() string {
	n := b.hosts[0]
	b.hosts = b.hosts[1:]
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250, n+10)
}

func (b *bed) close() {
	for _, g := range b.gateways {
		g.kill()
	}
}

// serve serves a handler at a free port of a loopback host and returns its address and its server.
func serve(host string, handler http.Handler) (string, *http.Server) {
	l, err := net.Listen("tcp", host+":0")
	check(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), server
}

// freePort returns a port that is free on all of some hosts.
func freePort(hosts []string) int {
	for range 100 {
		port := 21000 + rand.IntN(9000)
		free := true
		for _, h := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	panic(unplayable{fmt.Errorf("no free port")})
}

// gateway is a gateway process.
type gateway struct {
	name, zone, host      string
	front, ready, control string
	command               *exec.Cmd
	done                  chan struct{}
	settings, log         string
}

// startGateways starts one gateway in each of some zones, as the platform does, and waits until all are ready.
func (b *bed) startGateways(storeAddress string, zones ...string) {
	var hosts, names []string
	for range zones {
		hosts = append(hosts, b.host())
	}
	for i := range b.ports {
		b.ports[i] = freePort(hosts)
	}
	seen := map[string]int{}
	var zoneLines string
	for _, z := range zones {
		if seen[z]++; seen[z] == 1 {
			zoneLines += "zones." + z + "=region\n"
		}
		names = append(names, fmt.Sprintf("front-%s-%d", z, seen[z]))
	}
	var seeds []string
	for _, h := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h, b.ports[2]))
	}
	for i, z := range zones {
		g := &gateway{name: names[i], zone: z, host: hosts[i]}
		at := func(k int) string { return fmt.Sprintf("%s:%d", g.host, b.ports[k]) }
		g.front, g.ready, g.control = at(0), at(1), at(2)
		g.settings = filepath.Join(b.folder, g.name+".conf")
		g.log = filepath.Join(b.folder, g.name+".log")
		text := "nodeName=" + g.name + "\nrole=gateway\nmachineClass=front\nserves=front,control\nip=" + g.host + "\nzone=" + z +
			"\nregion=region\n" + zoneLines + "listen.front=" + g.front + "\nlisten.ready=" + g.ready + "\nlisten.control=" + g.control +
			fmt.Sprintf("\ninternalPorts=%d,%d\n", b.ports[3], b.ports[3]) + "seeds=" + strings.Join(seeds, ",") + "\n" +
			settingsTail + "provider.address=" + storeAddress + "\n"
		check(os.WriteFile(g.settings, []byte(text), 0o600))
		b.gateways = append(b.gateways, g)
		check(g.start())
	}
	for _, g := range b.gateways {
		b.await(20*time.Second, g.name+" is ready", g.isReady)
	}
}

const settingsTail = `firstStart=true
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lostSlackMs=200
bounds.configApplyMs=2000
bounds.downgradeSlackMs=250
bounds.stretchMaxMs=5000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.extraRetries=90
bounds.coldOver=1.5
bounds.coldSlack=5
bounds.evacMs=5000
bounds.recoverS=12
bounds.passMs=120
bounds.retryAfterS=0
bounds.stall_ms=1500
bounds.requireFence=false
provider.form=table
provider.writesPerS=400
provider.readsPerS=2000
provider.txMs=3.0
provider.partIopsS=300
provider.rowBytes=65536
provider.across=true
provider.historyS=20
provider.blobBytes=8388608
provider.blobMs=25.0
provider.blobBwS=80.0
`

func (g *gateway) start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command("target/currantledge", "gateway")
	g.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CURRANTLEDGE_NODE_FILE=" + g.settings,
	}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(g.command, g.done)
	return nil
}

func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
		<-g.done
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/currantledge/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (b *bed) await(limit time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(unplayable{fmt.Errorf("not within %v: %s", limit, what)})
		}
	}
}

var errNothingServed = fmt.Errorf("no request was served before the disruption")
