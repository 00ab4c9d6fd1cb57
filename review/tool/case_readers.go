package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["readers"] = playReaders }

const (
	// readersGone is the number of clients that stop reading.
	readersGone = 20
	// documentBytes is the size of an answer under documentPrefix.
	documentBytes  = 4 << 20
	documentPrefix = "/proof/"
	approvePrefix  = "/approve/"
	lookupPrefix   = "/lookup/"
)

// openUnread sends a request over a new connection and reads nothing.
func (b *bed) openUnread(g *gateway, path, key string, deadline time.Duration) net.Conn {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	conn, err := dialer.Dial("tcp", g.front)
	check(err)
	id := newID()
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n\r\n",
		path, hostName, id, deadline.Milliseconds(), key)
	b.log("client: %s %s sent to %s; the client stops reading and keeps its connection", id, path, g.name)
	return conn
}

// playReaders lets some clients of one gateway stop reading, and has others send requests to all gateways.
func playReaders(b *bed) bool {
	const timeout = 1500 * time.Millisecond
	s := newStore(b.host())
	for _, service := range []string{"proof-app", "shop-desk"} {
		for i, zone := range []string{"pl-central-a", "pl-central-b", "pl-central-c"} {
			r := b.newRunner(fmt.Sprintf("i-%s-%d", service, i), service, zone, 6, 30*time.Millisecond)
			r.answerBytes = func(path string) int {
				if strings.HasPrefix(path, documentPrefix) {
					return documentBytes
				}
				return usualAnswerBytes
			}
			s.put("servers", r.id, r.entry("ready"))
		}
	}
	routes := []map[string]any{
		route("proof", documentPrefix, "idempotent", "proof-app", 2, timeout, 150*time.Millisecond),
		route("approve", approvePrefix, "non_idempotent", "proof-app", 1, timeout, 150*time.Millisecond),
		route("lookup", lookupPrefix, "idempotent", "shop-desk", 2, timeout, 150*time.Millisecond),
	}
	services := []map[string]any{plainService("proof-app"), plainService("shop-desk")}
	s.put("op", "config", config(7, routes, services, tenant("sleeves", tenantKey)))
	b.startGateways(s.address, "pl-central-a", "pl-central-b", "pl-central-c")

	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	count := func(span time.Duration) {
		var running sync.WaitGroup
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
			for _, g := range b.gateways {
				for _, q := range []request{
					{method: http.MethodGet, path: documentPrefix + "1"},
					{method: http.MethodPost, path: approvePrefix + "1", body: []byte("proof")},
					{method: http.MethodGet, path: lookupPrefix + "1"},
					{method: http.MethodGet, path: lookupPrefix + "2"},
				} {
					q.key, q.deadline = tenantKey, timeout
					running.Go(func() {
						x := b.send(context.Background(), g, q)
						kind := q.path[:len(q.path)-1]
						mu.Lock()
						defer mu.Unlock()
						sent[kind]++
						if x.status == http.StatusOK && x.err == nil {
							served[kind]++
						}
					})
				}
			}
		}
		running.Wait()
	}
	count(2 * time.Second)
	b.note("before: served %v of %v", served, sent)
	if b.trouble {
		for range readersGone {
			conn := b.openUnread(b.gateways[0], documentPrefix+"1", tenantKey, timeout)
			defer conn.Close()
			time.Sleep(100 * time.Millisecond)
		}
	} else {
		time.Sleep(readersGone * 100 * time.Millisecond)
	}
	// All of the requests that nobody reads are past their deadline and the timeout of their route by far.
	time.Sleep(4 * time.Second)
	count(40 * time.Second)
	allSent, allServed := 0, 0
	for kind := range sent {
		allSent, allServed = allSent+sent[kind], allServed+served[kind]
	}
	all := float64(allServed) / float64(allSent)
	starved := false
	for kind := range sent {
		share := float64(served[kind]) / float64(sent[kind])
		b.note("Starved: %s: %d of %d served, %.3f; all requests %.3f (bound a quarter of that)", kind, served[kind], sent[kind], share, all)
		starved = starved || share < all/4
	}
	return starved
}
