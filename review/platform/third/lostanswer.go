//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The bounds of the small deployments that playLostAnswer judges by.
const (
	stableWindow  = 3 * time.Second
	configApply   = 2 * time.Second
	maxSkew       = 5 * time.Second
	lostTime      = 4500 * time.Millisecond
	lostShare     = 0.35
	lostAt        = 31 * time.Second // from the start
	lostCallEvery = 100 * time.Millisecond
)

// playLostAnswer takes a key away while the store loses answers.
func playLostAnswer(p *play) error {
	s, err := startStore(p.ip(2))
	if err != nil {
		return err
	}
	const service = "wuno96b"
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 3 {
		w, err := startPlainWorker(p.ip(60+i), fmt.Sprintf("i-plain-%d", i), service, 6, s, func(*http.Request) time.Duration { return 30 * time.Millisecond })
		if err != nil {
			return err
		}
		w.onRun = func(id string) {
			p.note("worker %s runs %s", w.id, id)
			mu.Lock()
			ran[id] = true
			mu.Unlock()
		}
	}
	routes := []map[string]any{route("order", "unsafe", service, 1, nil)}
	services := []map[string]any{{"Name": service, "HealthPath": "/healthz", "MaxConns": 51}}
	s.putJSON("keyed.op", "config", config(7, routes, services))
	var gateways []*gateway
	for i := range 2 {
		g, err := p.startGateway(1+i, s.address, "")
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := awaitAnswer(g.callers, "/order/x"); err != nil {
			return err
		}
	}
	time.Sleep(lostAt - time.Since(p.started))
	from := time.Now()
	until := from.Add(lostTime)
	if p.trouble {
		p.note("the store loses answers for %s", lostTime)
		answers, lost := 0, 0
		s.setLost(func(caller, topic string, records int) bool {
			mu.Lock()
			defer mu.Unlock()
			if time.Now().After(until) {
				return false
			}
			answers++
			if topic != "keyed.op" || float64(lost+1) > lostShare*float64(answers) {
				return false
			}
			lost++
			p.note("the answer to a read of %s by %s is lost, %d records (%d of %d)", topic, caller, records, lost, answers)
			return true
		})
	}
	time.Sleep(time.Until(from.Add(3 * time.Second)))
	changed := config(9, routes, services)
	changed["Tenants"] = changed["Tenants"].([]map[string]any)[1:] // without the key of the callers
	s.putJSON("keyed.op", "config", changed)
	acked := time.Now()
	p.note("configuration 9, without the key of the callers, is acknowledged")
	judged := acked.Add(configApply + maxSkew)
	if inTouch := until.Add(stableWindow); inTouch.After(judged) {
		judged = inTouch
	}
	type sent struct {
		at time.Time
		id string
	}
	var all []sent
	for n := 0; time.Since(acked) < 32*time.Second; n++ {
		id := fmt.Sprintf("order-%03d", n)
		all = append(all, sent{at: time.Now(), id: id})
		status, err := call(gateways[n%2].callers, "/order/"+id, id, 2500*time.Millisecond)
		p.note("%s at %s: %d, %v", id, gateways[n%2].name, status, err)
		time.Sleep(lostCallEvery)
	}
	mu.Lock()
	defer mu.Unlock()
	stale, count := time.Duration(0), 0
	for _, r := range all {
		if ran[r.id] && !r.at.Before(judged) {
			count++
			stale = max(stale, r.at.Sub(acked))
		}
	}
	p.note("judged from %.1f s after the acknowledgement: %d requests ran with the key that was taken away", judged.Sub(acked).Seconds(), count)
	if count > 0 {
		p.breaks("%d requests, sent by machines in touch up to %.1f s after the acknowledgement, ran with a key that was taken away", count, stale.Seconds())
	}
	return nil
}
