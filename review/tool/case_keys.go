package main

import (
	"context"
	"net/http"
	"time"
)

func init() { cases["keys"] = playKeys }

const (
	tenantKey  = "n2ctnfzs989anu6wsjnb"
	strangeKey = "zzzzzzzzzzzzzzzzzzzz"
	// configApply is bounds.configApplyMs.
	configApply = 2 * time.Second
)

// playKeys takes the only key of the only tenant away, and goes on sending requests with it, and with one that no
// configuration ever held.
func playKeys(b *bed) bool {
	s := newStore(b.host())
	r := b.newRunner("i-7f3a91c2", "proof-app", "pl-central-a", 6, 30*time.Millisecond)
	s.put("servers", r.id, r.entry("ready"))
	routes := []map[string]any{route("approve", "/approve/", "non_idempotent", "proof-app", 1, 1500*time.Millisecond, 150*time.Millisecond)}
	services := []map[string]any{plainService("proof-app")}
	s.put("op", "config", config(7, routes, services, tenant("sleeves", tenantKey)))
	b.startGateways(s.address, "pl-central-a", "pl-central-b")

	var exchanges []exchange
	round := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, g := range b.gateways {
				for _, key := range []string{tenantKey, strangeKey} {
					exchanges = append(exchanges, b.send(context.Background(), g, request{
						method: http.MethodPost, path: "/approve/1", key: key, body: []byte("proof"), deadline: 1500 * time.Millisecond,
					}))
				}
			}
		}
	}
	round(4 * time.Second)
	var revokedAt time.Time
	if b.trouble {
		revokedAt = s.put("op", "config", config(12, routes, services, tenant("sleeves")))
		b.note("store: acknowledged version 12, in which the tenant has no key, at %.3f s", revokedAt.Sub(b.began).Seconds())
	}
	round(10 * time.Second)

	dropped, strange, served := 0, 0, 0
	for _, x := range exchanges {
		found, ran := r.ran(x.id)
		switch {
		case !ran:
		case x.key == strangeKey:
			strange++
			b.log("BROKEN: %s ran, sent with a key that no configuration held; Tenant %q", x.id, found.tenant)
		case !revokedAt.IsZero() && x.sentAt.Sub(revokedAt) > configApply:
			dropped++
			b.log("BROKEN: %s ran, sent %.3f s after its key was dropped; Tenant %q", x.id, x.sentAt.Sub(revokedAt).Seconds(), found.tenant)
		default:
			served++
		}
	}
	b.note("%d requests; %d ran under a key in force", len(exchanges), served)
	b.note("CONFIG: %d requests with the dropped key ran though sent later than %v after the acknowledgement", dropped, configApply)
	b.note("ROUTE: %d requests ran with a key that no configuration ever held", strange)
	if served == 0 {
		check(errNothingServed)
	}
	return dropped > 0 || strange > 0
}
