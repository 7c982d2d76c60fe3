//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// playForeign has another writer write an entry into the list of workers whose fields are not
// spelled as on the pages.
func playForeign(p *play) error {
	s, err := startStore(p.ip(2))
	if err != nil {
		return err
	}
	const service = "wuno96b"
	for i := range 3 {
		w, err := startPlainWorker(p.ip(60+i), fmt.Sprintf("i-plain-%d", i), service, 6, s, func(*http.Request) time.Duration { return 30 * time.Millisecond })
		if err != nil {
			return err
		}
		w.onRun = func(id string) { p.note("worker %s runs %s", w.id, id) }
	}
	s.putJSON("keyed.op", "config", config(7,
		[]map[string]any{route("order", "unsafe", service, 1, nil)},
		[]map[string]any{{"Name": service, "HealthPath": "/healthz", "MaxConns": 51}}))
	g, err := p.startGateway(1, s.address, "")
	if err != nil {
		return err
	}
	if err := awaitAnswer(g.callers, "/order/x"); err != nil {
		return err
	}
	// A server of something else, which has nothing to do with this system.
	lis, err := net.Listen("tcp", net.JoinHostPort(p.ip(90), "0"))
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var foreign []string
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("X-Attempt-Id")
			p.note("the foreign server runs %s: %s %s", id, r.Method, r.URL)
			mu.Lock()
			foreign = append(foreign, id)
			mu.Unlock()
			_, _ = io.WriteString(w, "done\n")
		}))
	}()
	time.Sleep(4 * time.Second) // the gateway is in touch
	if p.trouble {
		go func() {
			for seq := 1; ; seq++ { // as often as a worker
				entry, _ := json.Marshal(map[string]any{
					"service": service, "address": lis.Addr().String(), "zone": "musanze-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq,
				})
				p.note("another writer writes servers/other-1: %s", entry)
				s.put("keyed.servers", "other-1", entry)
				time.Sleep(1200 * time.Millisecond)
			}
		}()
	}
	ok := map[int]int{}
	const requests = 100
	for n := range requests {
		id := fmt.Sprintf("order-%03d", n)
		status, err := call(g.callers, "/order/"+id, id, 1500*time.Millisecond)
		p.note("%s: %d, %v", id, status, err)
		ok[status]++
		time.Sleep(100 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	p.note("answers by status: %v; %d orders ran at the foreign server", ok, len(foreign))
	if len(foreign) > 0 {
		p.breaks("%d of %d orders ran at a server of something else, whose entry names no worker to use (first %s)", len(foreign), requests, foreign[0])
	}
	return nil
}
