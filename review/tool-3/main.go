// Command tool3 plays the cases of the review that are scripts. Each starts real gateways on loopback addresses beside
// stand-ins of the store, of runners and of clients, and judges what these have seen.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// scene is what a case plays in.
type scene struct {
	ctx     context.Context
	folder  string
	trouble bool
	record  *record
	store   *store
	// storeAddress is where the gateways call the store.
	storeAddress string
	gateways     []*gateway
	cleanups     []func()
	// mu is held while a gateway is started or ended.
	mu sync.Mutex
}

// cases are the cases by name. Each returns the violations that it has seen.
var cases = map[string]func(*scene) ([]string, error){
	"poison": func(s *scene) ([]string, error) { return playPoison(s, 8, 1, 0, 1) },
	// The runner crashes before its first event.
	"poison0":   func(s *scene) ([]string, error) { return playPoison(s, 8, 0, 0, 1) },
	"callers":   func(s *scene) ([]string, error) { return playPoison(s, 8, -1, 0, 10) },
	"caller":    func(s *scene) ([]string, error) { return playPoison(s, 8, -1, 0, 1) },
	"cold":      playCold,
	"headLimit": playHeadLimit,
	// The deadly part is followed by nine others that sound requests share, or by five.
	"longPrompt":  func(s *scene) ([]string, error) { return playPoison(s, 4, 0, 9, 1) },
	"shortPrompt": func(s *scene) ([]string, error) { return playPoison(s, 4, 0, 5, 1) },
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the record")
	keep := flag.Bool("keep", false, "keep the settings and logs of the gateways")
	flag.Parse()
	os.Exit(run(*name, *folder, *keep))
}

func run(name, folder string, keep bool) int {
	play, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	temporary, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if keep {
		fmt.Println(temporary)
	} else {
		defer os.RemoveAll(temporary)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	s := &scene{ctx: ctx, folder: temporary, trouble: os.Getenv("TROUBLE") != "0", record: r, store: newStore()}
	defer s.close()
	s.endOnSignals()
	broken, err := play(s)
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for i, b := range broken {
			r.line("BROKEN %s", b)
			if i < 5 {
				fmt.Println("broken:", b)
			}
		}
		fmt.Println("violations:", len(broken))
		return exitBroken
	}
	r.line("the rule held")
	fmt.Println("held")
	return exitHeld
}

// endOnSignals ends the gateways and the program if it is told to stop before the case has ended.
func (s *scene) endOnSignals() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE)
	go func() {
		<-signals
		s.mu.Lock()
		for _, g := range s.gateways {
			g.end()
		}
		os.Exit(exitFailed)
	}()
}

func (s *scene) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gateways {
		g.end()
	}
	for _, cleanup := range s.cleanups {
		cleanup()
	}
}

// startStore serves the store on a free port.
func (s *scene) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(l) }()
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
	s.storeAddress = l.Addr().String()
	return nil
}

// startGateways starts gateways, one in each zone in turn, and waits until they are ready.
func (s *scene) startGateways(zones ...string) error {
	var hosts []string
	for i := range zones {
		hosts = append(hosts, fmt.Sprintf("127.0.0.%d", i+11))
	}
	p, err := freePorts(hosts)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		g, err := newGateway(s.folder, fmt.Sprintf("front-%s-%d", zone, i+1), hosts[i], zone, p, hosts[:min(3, len(hosts))], s.storeAddress)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.gateways = append(s.gateways, g)
		err = g.start()
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	for _, g := range s.gateways {
		if err := g.awaitReady(ctx); err != nil {
			return err
		}
	}
	s.record.line("%d gateways are ready", len(s.gateways))
	return nil
}

// sleepUntil sleeps until some seconds after the start of the record.
func (s *scene) sleepUntil(seconds float64) {
	time.Sleep(time.Until(s.record.started.Add(time.Duration(seconds * float64(time.Second)))))
}
