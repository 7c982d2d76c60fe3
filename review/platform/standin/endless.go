//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The course of the case of the answer without end.
const (
	answerSlack     = 500 * time.Millisecond // after the timeout of the route
	declaredLength  = 1 << 30                // of an answer without end
	endlessAt       = 4 * time.Second
	endlessClients  = 80
	endlessEnd      = endlessAt + 3*endlessPeriod + 4*time.Second
	endlessFor      = 6200 * time.Millisecond
	endlessPeriod   = 8500 * time.Millisecond // between the begins of two troubles
	endlessPatience = 4 * time.Second
	endlessShare    = 0.37 // of the requests of one worker
	endlessTimeout  = 2500 * time.Millisecond
	endlessWorkers  = 6
	endlessPart     = 32 << 10
	endlessPause    = 20 * time.Millisecond
)

// answerEndless writes an answer with a length, and its body until the caller closes.
func answerEndless(w *worker, c *workerConn, r *http.Request) bool {
	id, self := r.Header.Get("X-Attempt-Id"), w.identity()
	w.stage.record.note("worker %s answers %s without end", self, id)
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Load: " + w.load() + "\r\nX-Server-Seal: " + seal(self, id) + "\r\nContent-Length: " + strconv.Itoa(declaredLength) + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	part, sent := strings.Repeat("x", endlessPart), 0
	for {
		n, err := io.WriteString(c, part)
		if sent += n; err != nil {
			w.stage.record.note("worker %s sees the connection of %s closed after %d bytes", self, id, sent)
			return false
		}
		time.Sleep(endlessPause)
	}
}

// playEndless sends requests while one worker answers some without end. The clients wait for
// longer than the route allows. Of the requests that last longer than their timeout, at most
// a quarter, or seven, may have no final answer answerSlack after it.
func playEndless(s *stage) (verdict, error) {
	log := &runLog{runs: map[string][]run{}}
	routes := map[string]route{
		"order": {attempts: 2, kind: "unsafe", objectMs: 150, timeout: endlessTimeout},
		"stock": {attempts: 2, kind: "safe", objectMs: 150, timeout: endlessTimeout},
	}
	s.publish(configuration(1, routes, map[string][]string{"tenant-a": {"key-a"}}))
	var begin time.Time
	var started atomic.Bool
	answer := func(w *worker, c *workerConn, r *http.Request, body []byte) bool {
		if s.trouble && w.number == 0 && started.Load() && rand.Float64() < endlessShare {
			if since := time.Since(begin) - endlessAt; since >= 0 && since < 3*endlessPeriod && since%endlessPeriod < endlessFor {
				return answerEndless(w, c, r)
			}
		}
		return answerShort(w, c, r, body)
	}
	for i := range endlessWorkers {
		if _, err := s.newWorker(i, log, &worker{answer: answer, queue: 32, slots: 16, work: func() time.Duration { return time.Duration(15+rand.IntN(30)) * time.Millisecond }}); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startGateways(2); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(stableWindow)
	begin = time.Now()
	started.Store(true)
	var mu sync.Mutex
	answered, long, late := 0, 0, 0
	var wg sync.WaitGroup
	for i := range endlessClients {
		wg.Go(func() {
			for n := 0; time.Since(begin) < endlessEnd; n++ {
				q := request{address: s.gateways[i%2].callers(), body: "order", key: "key-a", limit: endlessPatience, method: http.MethodPost, path: fmt.Sprintf("/order/%d-%d", i, n)}
				if n%2 == 1 {
					q.method, q.path, q.body = http.MethodGet, fmt.Sprintf("/stock/%d-%d", i, n), ""
				}
				o := s.send(q)
				took := time.Since(o.sent)
				mu.Lock()
				if o.err == nil && o.status == http.StatusOK {
					answered++
				}
				if took > endlessTimeout {
					long++
				}
				if took > endlessTimeout+answerSlack {
					late++
					s.record.note("CONFIG: %s had no final answer %s after it was sent; %d bytes had come", o.id, took.Round(time.Millisecond), len(o.body))
				}
				mu.Unlock()
				time.Sleep(time.Duration(30+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if answered == 0 {
		return verdict{}, fmt.Errorf("%w: no request was answered", errNotRun)
	}
	return verdict{broken: late >= 8 && 4*late > long, text: fmt.Sprintf(
		"%d requests were answered; %d lasted longer than the route's %s, %d of these had no final answer %s after it", answered, long, endlessTimeout, late, answerSlack)}, nil
}
