//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The prompts of playBlame. The deadly part comes with all of the sound ones.
const (
	deadlyPart  = "dead0001"
	soundParts  = "5c1e07a2:40,91bd3f06:120,a07c44e1:60,b3390f1d:30,c2f01a77:25,d81e6b02:80,e44b7d19:35,f0a9c3d5:50,17bb90e8:20"
	blamePath   = "/draft/"
	blameWindow = 3 * time.Second // StableWindowMs
)

// A generation is one request for the model as its client saw it.
type generation struct {
	sent   time.Time
	status int
	err    error
}

// generate sends a request for the model and reads the whole answer.
func generate(client *http.Client, address, id, key, parts string) generation {
	g := generation{sent: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+blamePath+id, strings.NewReader("body of "+id))
	if err != nil {
		g.err = err
		return g
	}
	req.GetBody = nil
	req.Host = hostName
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": "6000", "Authorization": "Token " + key, "X-Model": modelName, "X-Token-Usage": "460,120", "X-Prompt-Prefix": parts + "," + id + ":10",
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		g.err = err
		return g
	}
	defer resp.Body.Close()
	g.status = resp.StatusCode
	_, g.err = io.Copy(io.Discard, bufio.NewReader(resp.Body))
	return g
}

// playBlame has requests come with a part of a prompt that crashes each engine which begins an
// answer on it, when the other parts of the prompt were not asked for of late.
func playBlame(p *play) error {
	s, err := startStore(p.ip(2))
	if err != nil {
		return err
	}
	origin, err := startOrigin(p.ip(3))
	if err != nil {
		return err
	}
	s.putJSON("keyed.op", "config", config(7, []map[string]any{route("draft", "stream", engineName, 2, map[string]any{"Resumable": true, "GapTargetMs": 300, "Sticky": true})}, engineServices(origin)))
	s.putJSON("keyed.op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 1})
	var mu sync.Mutex
	begun := map[string]time.Time{}
	var crashes []time.Time
	for i := range 6 {
		e, err := startEngine(p, p.ip(31+i), fmt.Sprintf("i-engine-%d", i), s, 1)
		if err != nil {
			return err
		}
		e.crashOn = deadlyPart
		e.onBegin = func(id string) {
			p.note("engine %s begins %s", e.name, id)
			mu.Lock()
			defer mu.Unlock()
			if begun[id].IsZero() {
				begun[id] = time.Now()
			}
			if strings.HasPrefix(id, "deadly") {
				crashes = append(crashes, time.Now())
			}
		}
		if _, err := p.startSidecar(1+i, e, s.address); err != nil {
			return err
		}
	}
	var gateways []*gateway
	for i := range 3 {
		g, err := p.startGateway(1+i, s.address, "")
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	clients := make([]*http.Client, len(gateways))
	for i := range clients {
		clients[i] = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	}
	var wg sync.WaitGroup
	var results sync.Map
	var seq atomic.Int64
	send := func(kind, parts string) {
		key := accountKey
		if kind == "other" {
			key = otherKey
		}
		n := int(seq.Add(1))
		id := fmt.Sprintf("%s%06d", kind, n)
		wg.Go(func() {
			g := generate(clients[n%len(clients)], gateways[n%len(gateways)].callers, id, key, parts)
			results.Store(id, g)
			p.note("%s with %s: %d, %v after %s", id, parts, g.status, g.err, time.Since(g.sent).Round(time.Millisecond))
		})
	}
	// every runs f at a rate until a time from the start of the play.
	every := func(period time.Duration, from, until time.Duration, f func(n int)) {
		wg.Go(func() {
			time.Sleep(from - time.Since(p.started))
			for n := 0; time.Since(p.started) < until; n++ {
				f(n)
				time.Sleep(period)
			}
		})
	}
	const end = 84 * time.Second
	every(50*time.Millisecond, 6*time.Second, end, func(n int) { send("other", fmt.Sprintf("0ther%03d:40", n%10)) })
	every(250*time.Millisecond, 8*time.Second, 20*time.Second, func(int) { send("sound", soundParts) })
	every(500*time.Millisecond, 52*time.Second, end, func(int) { send("sound", soundParts) })
	if p.trouble {
		every(time.Second, 44*time.Second, end, func(int) { send("deadly", soundParts+","+deadlyPart+":70") })
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	calmUntil := p.started.Add(21 * time.Second)
	from := p.started.Add(52 * time.Second)
	if n := len(crashes); n > 0 {
		from = crashes[min(n, 5)-1].Add(2 * blameWindow)
	}
	var calm, calmBegun, late, lateBegun int
	results.Range(func(key, value any) bool {
		id, g := key.(string), value.(generation)
		if !strings.HasPrefix(id, "sound") {
			return true
		}
		at, ok := begun[id]
		_ = at
		switch {
		case g.sent.Before(calmUntil):
			calm++
			if ok {
				calmBegun++
			}
		case g.sent.After(from):
			late++
			if ok {
				lateBegun++
			}
		}
		return true
	})
	p.note("crashes: %d", len(crashes))
	p.note("sound requests with the same first part: %d of %d begun while it was calm, %d of %d later than %s after the crashes", calmBegun, calm, lateBegun, late, 2*blameWindow)
	if calm < 20 || late < 20 || calmBegun == 0 {
		return fmt.Errorf("too few requests: %d and %d", calm, late)
	}
	if float64(lateBegun)/float64(late) < 0.5*float64(calmBegun)/float64(calm) {
		p.breaks("of %d sound requests with the same first part %d begin at the first attempt, of %d in calm %d did", late, lateBegun, calm, calmBegun)
	}
	return nil
}
