//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds and limits of the small deployments of the users' pages.
const (
	boundsText  = "\n[bounds]\ngrace = 8s\nheartbeat = 1200ms\nretry-ratio = 0.2\nretry-slack = 104\nretry-window = 10s\nstable = 3000ms\nversion = 8000ms\n"
	edgeFiles   = 4100
	edgeMemory  = 284 // MiB
	sideMemory  = 152 // MiB
	maxBody     = 4194304
	accountKey  = "jnbanfqasnmgkcuyj8pj"
	accountName = "bozi300"
	otherKey    = "bvk9m68k7b2ex5wa5xwy"
	otherName   = "cupa410"
	hostName    = "hulo84.example"
)

// A gateway is a gateway process and its addresses.
type gateway struct {
	*process
	callers string
	ready   string
}

// startGateway starts a gateway of the template deploy/gateway.ini.
func (p *play) startGateway(n int, storeAddress, more string) (*gateway, error) {
	ip := p.ip(10 + n)
	var ports [4]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	name := fmt.Sprintf("edge-%d", n)
	settings := fmt.Sprintf("[machine]\ncallers-listen = %s\nfailure-domain = musanze-a\ninstance = %s\nlisten = %s\nmax-files = +%d\nmemory = %dMiB\nmetrics-listen = %s\nready-listen = %s\nregion = musanze\nregions = musanze-a=musanze\nstore = %s\n",
		ports[0], name, ports[1], edgeFiles, edgeMemory, ports[2], ports[3], storeAddress) + boundsText + more
	proc, err := p.start(name, "gateway", settings)
	return &gateway{process: proc, callers: ports[0], ready: ports[3]}, err
}

// A route of the configuration, as a document.
func route(name, kind, service string, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": hostName, "PathPrefix": "/" + name + "/", "RouteKind": kind, "TimeoutMs": 6000, "SloMs": 400, "Priority": 1,
		"Service": service, "MaxAttempts": attempts, "Public": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// config returns the operator's configuration as a document.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": accountName, "ApiKeys": []string{accountKey}, "Priority": 1}, {"Name": otherName, "ApiKeys": []string{otherKey}, "Priority": 1}},
	}
}

// A plainWorker is a sound worker of a plain service.
type plainWorker struct {
	address string
	born    int64
	id      string
	onRun   func(id string)
	seq     int
	service string
	slots   int
	store   *store
	work    func(r *http.Request) time.Duration

	mu      sync.Mutex
	running int
	runs    map[string]int // by attempt
}

func startPlainWorker(ip, id, service string, slots int, s *store, work func(*http.Request) time.Duration) (*plainWorker, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &plainWorker{address: lis.Addr().String(), born: time.Now().UnixMilli(), id: id, runs: map[string]int{}, service: service, slots: slots, store: s, work: work}
	go func() { _ = http.Serve(lis, w) }()
	go func() {
		for {
			w.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return w, nil
}

// register writes the record of the worker.
func (w *plainWorker) register() {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	w.store.putJSON("keyed.servers", w.id, map[string]any{
		"Service": w.service, "Address": w.address, "Zone": "musanze-a", "Version": "v1", "Slots": w.slots, "State": "ready", "ColdLeftMs": 0, "Models": []any{}, "Seq": seq, "born": w.born,
	})
}

// ServeHTTP implements http.Handler.
func (w *plainWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Instance-Id", w.id)
	if r.Header.Get("X-Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	if w.running >= 4*w.slots {
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.runs[id]++
	w.mu.Unlock()
	if w.onRun != nil {
		w.onRun(id)
	}
	select {
	case <-time.After(w.work(r)):
	case <-r.Context().Done():
	}
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	rw.Header().Set("X-Server-Seal", "seal-"+id)
	rw.Header().Set("Content-Length", "800")
	_, _ = io.WriteString(rw, strings.Repeat("x", 800))
}

// callOnce sends one ordinary request on a connection of its own. It returns the status and
// the Retry-After of the answer.
func callOnce(address, path, id string, deadline time.Duration) (int, time.Duration, error) {
	conn, err := net.DialTimeout("tcp", address, min(time.Second, deadline))
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 600\r\nConnection: close\r\n\r\n%s",
		path, hostName, id, max(deadline.Milliseconds(), 1), accountKey, strings.Repeat("b", 600)); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	back, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, time.Duration(back * float64(time.Second)), err
}

// call is callOnce without the Retry-After.
func call(address, path, id string, deadline time.Duration) (int, error) {
	status, _, err := callOnce(address, path, id, deadline)
	return status, err
}

// awaitAnswer waits until a gateway answers an ordinary request.
func awaitAnswer(address, path string) error {
	var err error
	for n := range 200 {
		status := 0
		if status, err = call(address, path, fmt.Sprintf("first-%d", n), 2*time.Second); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no answer after the start: %v", err)
}
