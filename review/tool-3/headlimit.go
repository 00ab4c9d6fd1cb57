package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kept is a client that sends its requests on one connection for as long as the gateway keeps that open.
type kept struct {
	gateway *gateway
	name    string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
}

// send sends a request whose head has about a number of bytes, and returns the status of the answer; 0 if there is none.
// isNew reports whether the connection was opened for it.
func (k *kept) send(headBytes int) (status int, isNew bool) {
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.gateway.front, time.Second)
		if err != nil {
			return 0, true
		}
		k.conn, k.reader, isNew = conn, bufio.NewReader(conn), true
	}
	k.sent++
	id := fmt.Sprintf("%s-%03d", k.name, k.sent)
	head := "POST /puxa403/2f HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\nCredential: " + key +
		"\r\nContent-Length: 5\r\nNotes: "
	head += strings.Repeat("n", max(headBytes-len(head)-4, 1)) + "\r\n\r\n"
	_ = k.conn.SetDeadline(time.Now().Add(4 * time.Second))
	started := time.Now()
	_, _ = io.WriteString(k.conn, head+"order")
	response, err := http.ReadResponse(k.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		k.record.line("client  %s sent at %.3f with a head of %d bytes, new connection=%t, answered nothing complete (%v)",
			id, k.record.since(started), len(head), isNew, err)
		k.close()
		return 0, isNew
	}
	k.record.line("client  %s sent at %.3f with a head of %d bytes, new connection=%t, answered %d",
		id, k.record.since(started), len(head), isNew, response.StatusCode)
	if response.Close {
		k.close()
	}
	return response.StatusCode, isNew
}

func (k *kept) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// playHeadLimit raises the limit of heads in the configuration, and checks that requests within the new limit are served
// on connections that clients have kept.
func playHeadLimit(s *scene) ([]string, error) {
	if err := s.startStore(); err != nil {
		return nil, err
	}
	if _, err := s.startRunners(4, 12, 30*time.Millisecond); err != nil {
		return nil, err
	}
	withLimit := func(version, headBytes int) map[string]any {
		c := configuration(version)
		c["limits"] = map[string]any{"maxHeaderBytes": headBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
		return c
	}
	first := 16384
	if !s.trouble {
		first = 32768
	}
	s.store.put("op", "config", withLimit(3, first))
	if err := s.startGateways("pl-central-a", "pl-central-b"); err != nil {
		return nil, err
	}
	var clients []*kept
	for i := range 40 {
		clients = append(clients, &kept{gateway: s.gateways[i%2], name: fmt.Sprintf("c%02d", i), record: s.record})
	}
	var mu sync.Mutex
	all, denied := 0, 0
	var broken []string
	// round lets each client send one request.
	round := func(headBytes int) {
		var wg sync.WaitGroup
		for _, k := range clients {
			wg.Go(func() {
				status, isNew := k.send(headBytes)
				mu.Lock()
				defer mu.Unlock()
				all++
				if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
					denied++
					broken = append(broken, fmt.Sprintf("DENIED: %s got %d for a head of %d bytes, new connection=%t", k.name, status, headBytes, isNew))
				}
			})
		}
		wg.Wait()
	}
	for range 5 {
		round(800)
		time.Sleep(500 * time.Millisecond)
	}
	if s.trouble {
		s.store.put("op", "config", withLimit(4, 32768))
		s.record.line("operator  version 4 raises maxHeaderBytes from 16384 to 32768")
	}
	// configApplyMs is 2,000.
	for range 8 {
		time.Sleep(500 * time.Millisecond)
		round(800)
	}
	s.record.line("clients  send heads of 24000 bytes from here on")
	for range 5 {
		round(24000)
		time.Sleep(500 * time.Millisecond)
	}
	for _, k := range clients {
		k.close()
	}
	s.record.line("%d of %d requests were denied; the rule allows %d", denied, all, 5+all/500)
	if denied <= 5+all/500 {
		return nil, nil
	}
	return broken, nil
}
