//go:build review

package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The operator's limits and the memory of the machine, as the site file has them.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16384
	memoryMiB      = 284
)

// What the crowd sends: heads within the operator's limit and chunked bodies in very small
// chunks, which stop one byte short of their end.
const (
	chunkBytes = 16
	chunkCount = 512
	fieldBytes = len("abc:1\r\n")
	headBytes  = 15900
)

var (
	crowdSize = flag.Int("callers", 1400, "callers of the crowd")
	crowdHold = flag.Duration("hold", 5*time.Second, "time for which the crowd stays open")
)

// The course of the case: the crowd comes three times to each of two machines.
const (
	crowdWaves   = 3
	machineCount = 2
	restartDelay = 500 * time.Millisecond
)

// configureOrders writes a configuration with one route of unsafe requests.
func configureOrders(s *store) {
	s.putJSON("keyed.op", "config", map[string]any{
		"Version": 1,
		"Limits":  map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": maxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Routes": []any{map[string]any{
			"Name": "orders", "Host": "orders.example", "PathPrefix": "/orders/", "Service": "orders", "RouteKind": "unsafe", "TimeoutMs": 1200, "SloMs": 150, "MaxAttempts": 1, "Priority": 2,
		}},
		"Services": []any{map[string]any{"Name": "orders", "HealthPath": "/healthz", "MaxConns": 51}},
		"Tenants":  []any{map[string]any{"Name": "tenant-a", "ApiKeys": []string{"key-a"}}},
	})
}

// A machine runs one gateway. It plays the platform: it ends the process when it exceeds the
// memory of the machine, and starts it again after a short delay.
type machine struct {
	*gateway
	ends atomic.Int64 // of the process, by itself or for its memory
	peak atomic.Int64 // bytes
}

// run plays the platform until done is closed.
func (m *machine) run(r *recorder, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := int64(m.memory())
		m.peak.Store(max(m.peak.Load(), used))
		if used > memoryMiB<<20 {
			r.add("%s uses %d MiB of %d: the platform ends its process", m.name, used>>20, memoryMiB)
			m.kill()
		}
		if !m.hasEnded() {
			continue
		}
		m.ends.Add(1)
		r.add("the process of %s has ended, for the %d. time", m.name, m.ends.Load())
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			r.add("%s: %v", m.name, err)
			return
		}
	}
}

var orderNumber atomic.Int64

// order sends one ordinary request and returns its status, or an error.
func order(address string) (string, int, error) {
	id := fmt.Sprintf("%016x", orderNumber.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders/1", strings.NewReader("one order"))
	if err != nil {
		return id, 0, err
	}
	req.Host = "orders.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	req.Header.Set("Authorization", "Token key-a")
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return id, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(body) != orderAnswer(id) {
		err = errors.New("another body")
	}
	return id, resp.StatusCode, err
}

// A tally counts the ends of ordinary requests.
type tally struct{ answered, refused, failed atomic.Int64 }

// callOrders sends ordinary requests to a machine until done is closed.
func callOrders(address string, r *recorder, t *tally, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id, status, err := order(address)
		switch {
		case err != nil:
			t.failed.Add(1)
			r.add("ordinary request %s failed: %v", id, err)
		case status == http.StatusOK:
			t.answered.Add(1)
			r.add("ordinary request %s answered", id)
		default:
			t.refused.Add(1)
			r.add("ordinary request %s answered %d", id, status)
		}
	}
}

// fieldName returns a name of three letters.
func fieldName(i int) string {
	return string([]byte{'a' + byte(i/676%26), 'a' + byte(i/26%26), 'a' + byte(i%26)})
}

// crowdHead returns the head of a request of the crowd: legal, with many short fields.
func crowdHead(n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /orders/1 HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-a\r\nTransfer-Encoding: chunked\r\n", n)
	for i := 0; b.Len()+fieldBytes+len("\r\n") <= headBytes; i++ {
		b.WriteString(fieldName(i) + ":1\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// comeOne sends one request of the crowd, and leaves its connection open.
func comeOne(address string, n int) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
	_, err = io.WriteString(conn, crowdHead(n)+strings.Repeat(chunk, chunkCount)+"0\r\n\r")
	return conn, err
}

// come lets the crowd come, and leave after a while.
func come(address string, r *recorder) {
	var wg sync.WaitGroup
	var came, failed atomic.Int64
	gate := make(chan struct{}, 64)
	for n := range *crowdSize {
		gate <- struct{}{}
		wg.Go(func() {
			conn, err := comeOne(address, n)
			<-gate
			if conn != nil {
				defer func() { _ = conn.Close() }()
			}
			if err != nil {
				failed.Add(1)
				return
			}
			came.Add(1)
			time.Sleep(*crowdHold)
		})
	}
	wg.Wait()
	r.add("the crowd has left: %d had sent their requests, %d had been cut off", came.Load(), failed.Load())
}

// newMachines returns machines whose gateways are ready.
func newMachines(dir, storeAddress string) ([]*machine, error) {
	var machines []*machine
	for i := range machineCount {
		g, err := newGateway(dir, fmt.Sprintf("edge-%d", i+1), "zone-a", "zone-a=region-a", storeAddress, memoryMiB)
		if err == nil {
			err = g.start()
		}
		if err != nil {
			return machines, err
		}
		machines = append(machines, &machine{gateway: g})
		if !await(10*time.Second, func() bool { return isReady(g.ready) }) {
			return machines, errors.New("the gateway is not ready")
		}
	}
	return machines, nil
}

// runCrowd plays a crowd of callers that nobody controls beside ordinary ones.
func runCrowd(r *recorder, dir string) int {
	s := newStore()
	configureOrders(s)
	storeAddress, err := serve(s)
	if err != nil {
		return r.notRun(err)
	}
	for i := range 2 {
		if err := startWorker(s, r, fmt.Sprintf("i-%d", i)); err != nil {
			return r.notRun(err)
		}
	}
	machines, err := newMachines(dir, storeAddress)
	defer func() {
		for _, m := range machines {
			m.kill()
		}
	}()
	if err != nil {
		return r.notRun(err)
	}
	orders, done := &tally{}, make(chan struct{})
	var running sync.WaitGroup
	for _, m := range machines {
		running.Go(func() { m.run(r, done) })
		running.Go(func() { callOrders(m.callers, r, orders, done) })
	}
	time.Sleep(2 * time.Second)
	for wave := range crowdWaves {
		for _, m := range machines {
			_ = await(10*time.Second, func() bool { return isReady(m.ready) })
			r.add("before the %d. crowd at %s: %d MiB at most", wave+1, m.name, m.peak.Load()>>20)
			if *trouble {
				come(m.callers, r)
			} else {
				time.Sleep(*crowdHold)
			}
		}
	}
	time.Sleep(2 * time.Second)
	close(done)
	running.Wait()
	return judgeCrowd(r, machines, orders)
}

// judgeCrowd applies the rule: on a tenth of the machines, two at least, processes end by
// themselves three times, and memory over the limit counts.
func judgeCrowd(r *recorder, machines []*machine, orders *tally) int {
	status, broken, text := exitHeld, 0, ""
	for _, m := range machines {
		if m.ends.Load() >= 3 {
			broken++
		}
		text += fmt.Sprintf("%s: peak memory %d MiB of %d, its process ended %d times; ", m.name, m.peak.Load()>>20, memoryMiB, m.ends.Load())
	}
	if broken >= max(2, (len(machines)+9)/10) {
		status = exitBroken
	}
	return r.verdict(status, "%sordinary requests: %d answered, %d refused, %d failed", text, orders.answered.Load(), orders.refused.Load(), orders.failed.Load())
}
