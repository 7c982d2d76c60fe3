//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of the platform, and the course of the case.
const (
	recoverTime   = 12 * time.Second // RecoverS
	judgedTime    = 55 * time.Second // from the end of recoverTime on
	callPause     = 8 * time.Millisecond
	clientTime    = 6 * time.Second // X-Deadline-Ms
	beforeTime    = 6 * time.Second
	downTime      = 500 * time.Millisecond
	firstVersion  = 2
	lastVersion   = 4
	firstNamedAt  = 2 * time.Second         // after the machines are back
	quickGap      = 2600 * time.Millisecond // with the disruption
	slowGap       = 15 * time.Second
	servedAtLeast = 0.25
)

const (
	regionsText  = "zone-a=region-a,zone-b=region-b,zone-c=region-c"
	gatewayCount = 2
	mostEngines  = 10
)

// configureStreams writes the configuration with one route of resumable streams.
func configureStreams(s *store, version int, originAddress string) {
	delay := func(from, to string) map[string]any { return map[string]any{"From": from, "Target": to, "delay_ms": 1} }
	s.putJSON("keyed.op", "config", map[string]any{
		"Version": version,
		"Limits":  map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Routes": []any{map[string]any{
			"Name": "advice", "Host": "advice.example", "PathPrefix": "/advice/", "Service": "engines", "RouteKind": "stream", "TimeoutMs": 6000, "SloMs": 400,
			"Priority": 1, "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "GapTargetMs": 300,
		}},
		"Services": []any{
			map[string]any{"Name": "engines", "HealthPath": "/healthz", "MaxConns": 344, "Engine": map[string]any{
				"Slots": engineSlots, "KvCapacity": 1640000, "KvBytes": 163840, "Stride": 6, "SizeMb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219,
				"context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 964, "answer": 119},
				"layers": 16, "layer_mb": 4540.0, "Chunks": chunkTotal, "ChunkBytes": chunkLength,
				"Models": []any{map[string]any{"Name": modelName, "LoadS": 4.0, "WarmS": warmTime.Seconds()}},
				"delays": []any{delay("zone-a", "zone-b"), delay("zone-a", "zone-c"), delay("zone-b", "zone-c")},
			}},
			map[string]any{"Name": "weights", "Origin": originAddress, "Zone": "zone-b", "LinkMbps": 7.3, "MaxConns": 48},
		},
		"Tenants": []any{map[string]any{"Name": "tenant-a", "ApiKeys": []string{"key-a"}}},
	})
}

// A request is one client attempt and its end.
type request struct {
	sent   time.Time
	served bool
}

// callers send streams at a steady rate through all gateways in turn.
type callers struct {
	gateways []*gateway
	number   atomic.Int64
	pause    time.Duration // between two requests
	record   *recorder

	mu       sync.Mutex
	requests []request
}

// run sends requests until ctx is done, and waits for the answers.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(c.pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-ticker.C:
		}
		n := c.number.Add(1)
		wg.Go(func() { c.call(n) })
	}
}

// call sends one request, and once more, as another attempt, if it was refused.
func (c *callers) call(n int64) {
	deadline := time.Now().Add(clientTime)
	for attempt := range 2 {
		id := fmt.Sprintf("%012x%04x", n, attempt)
		sent := time.Now()
		after, err := c.attempt(id, c.gateways[(int(n)+attempt)%len(c.gateways)].callers, time.Until(deadline))
		c.mu.Lock()
		c.requests = append(c.requests, request{sent: sent, served: err == nil})
		c.mu.Unlock()
		if err == nil {
			c.record.add("request %s served", id)
			return
		}
		c.record.add("request %s: %v", id, err)
		if after < 0 || after > time.Until(deadline)/3 {
			return
		}
		time.Sleep(after)
	}
}

// attempt sends one client attempt. After a refusal it returns when to come back, otherwise -1.
func (c *callers) attempt(id, address string, left time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/advice/1", strings.NewReader("a question "+id))
	if err != nil {
		return -1, err
	}
	req.Host = "advice.example"
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10), "Authorization": "Token key-a", "X-Model": modelName,
		"X-Token-Usage": "300,240", "X-Prompt-Prefix": "5c1e07a2:40," + id[:12] + ":260",
	} {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return -1, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return -1, err
	case resp.StatusCode != http.StatusOK:
		seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || parseErr != nil {
			seconds = -1
		}
		return time.Duration(seconds * float64(time.Second)), fmt.Errorf("answered %d, %s", resp.StatusCode, strings.TrimSpace(string(body)))
	case resp.Header.Get("X-Server-Seal") == "" || strings.Count(string(body), "id: ") != streamEvents:
		return -1, errors.New("stream without a seal or not whole")
	}
	return -1, nil
}

// served returns how many of the requests sent between two times were served, and of how many.
func (c *callers) served(from, to time.Time) (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, sent := 0, 0
	for _, r := range c.requests {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return served, sent
}

// A fleet is a small deployment between sound stand-ins.
type fleet struct {
	engines   []*engine
	gateways  []*gateway
	origin    *origin
	processes []*process // all processes under test, the sidecars in the order of the engines first
	record    *recorder
	store     *store
}

// newFleet returns a fleet with so many engines, and the address of its origin.
func newFleet(r *recorder, dir string, engines int) (*fleet, string, error) {
	f := &fleet{origin: &origin{}, record: r, store: newStore()}
	f.origin.newest.Store(1)
	originAddress, err := serve(f.origin)
	if err != nil {
		return nil, "", err
	}
	configureStreams(f.store, 1, originAddress)
	storeAddress, err := serve(f.store)
	if err != nil {
		return nil, "", err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range engines {
		zone := zones[i%len(zones)]
		e, err := startEngine(f.store, r, fmt.Sprintf("i-%04x", 4099*(i+1)), zone)
		if err != nil {
			return nil, "", err
		}
		p, err := newSidecar(dir, fmt.Sprintf("side-%s-%d", strings.TrimPrefix(zone, "zone-"), i/len(zones)+1), zone, regionsText, storeAddress, e.address, "engines")
		if err != nil {
			return nil, "", err
		}
		f.engines, f.processes = append(f.engines, e), append(f.processes, p)
	}
	for i := range gatewayCount {
		g, err := newGateway(dir, fmt.Sprintf("edge-%s-1", strings.TrimPrefix(zones[i], "zone-")), zones[i], regionsText, storeAddress, memoryMiB)
		if err != nil {
			return nil, "", err
		}
		f.gateways, f.processes = append(f.gateways, g), append(f.processes, g.process)
	}
	return f, originAddress, nil
}

// start starts all processes under test and waits until the gateways are ready.
func (f *fleet) start() error {
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if !await(15*time.Second, func() bool { return isReady(g.ready) }) {
			return errors.New(g.name + " is not ready")
		}
	}
	return nil
}

func (f *fleet) kill() {
	for _, p := range f.processes {
		p.kill()
	}
}

// name names a version, as the operator does.
func (f *fleet) name(version int) {
	f.origin.newest.Store(int64(version))
	f.store.putJSON("keyed.op", "version/"+modelName, map[string]any{"Model": modelName, "Version": version})
	f.record.add("the operator names version %d, the store has acknowledged it", version)
}

// rollsOut reports whether an engine has loaded a version and most others have accepted the
// order to load it.
func (f *fleet) rollsOut(version int) bool {
	accepted, loaded := 0, 0
	for _, e := range f.engines {
		e.mu.Lock()
		if e.ordered == version {
			accepted++
		}
		if e.loaded == version {
			loaded++
		}
		e.mu.Unlock()
	}
	return loaded > 0 && accepted >= mostEngines
}

// versions returns how many engines have loaded each version.
func (f *fleet) versions() string {
	counts := map[int]int{}
	for _, e := range f.engines {
		counts[e.version()]++
	}
	return fmt.Sprint(counts)
}

// runVersions names three versions in quick succession after the final fault of a day, in which
// all processes are killed. Without the disruption each version has time to be loaded.
func runVersions(r *recorder, dir string) int {
	f, originAddress, err := newFleet(r, dir, 14)
	if err != nil {
		return r.notRun(err)
	}
	defer f.kill()
	if err := f.start(); err != nil {
		return r.notRun(err)
	}
	time.Sleep(4 * time.Second) // the start
	c := &callers{gateways: f.gateways, pause: callPause, record: r}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		c.run(ctx)
		close(ended)
	}()
	begun := time.Now()
	time.Sleep(beforeTime)
	configureStreams(f.store, 2, originAddress)
	fault := time.Now()
	f.kill()
	r.add("final fault: a configuration was acknowledged, all processes are killed")
	time.Sleep(downTime)
	back := time.Now()
	if err := f.start(); err != nil {
		return r.notRun(err)
	}
	r.add("the machines are back")
	gap := slowGap
	if *trouble {
		gap = quickGap
	}
	for v := firstVersion; v <= lastVersion; v++ {
		time.Sleep(time.Until(back.Add(firstNamedAt + time.Duration(v-firstVersion)*gap)))
		if *trouble && v == lastVersion && !await(6*time.Second, func() bool { return f.rollsOut(firstVersion) }) {
			return r.notRun(errors.New("the first version that was named does not get to the engines"))
		}
		f.name(v)
	}
	judgedFrom := back.Add(recoverTime)
	judgedTo := judgedFrom.Add(judgedTime)
	for time.Now().Before(judgedTo) {
		time.Sleep(5 * time.Second)
		r.add("engines by version: %s", f.versions())
	}
	cancel()
	<-ended
	servedBefore, sentBefore := c.served(begun, fault.Add(-time.Second))
	served, sent := c.served(judgedFrom, judgedTo)
	lastServed, lastSent := c.served(judgedTo.Add(-20*time.Second), judgedTo)
	status := exitHeld
	if float64(servedBefore) >= servedAtLeast*float64(sentBefore) && float64(served) < servedAtLeast*float64(sent) {
		status = exitBroken
	}
	return r.verdict(status, "served: before the final fault %d of %d, later than %s after the machines are back %d of %d, of these in the last 20 s %d of %d; engines by version: %s; the origin sent %.1f copies",
		servedBefore, sentBefore, recoverTime, served, sent, lastServed, lastSent, f.versions(), float64(f.origin.sent)/float64(chunkTotal*chunkLength))
}
