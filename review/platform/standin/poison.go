//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The course of the case of the poison request.
const (
	poisonAway     = 3 * time.Second // a worker that crashed is back then
	poisonClients  = 24
	poisonEnd      = 100 * time.Second // at most
	poisonGap      = 4 * time.Second   // between two restarts
	poisonGateways = 5
	poisonPath     = "/order/poison"
	poisonPause    = 400 * time.Millisecond
	poisonRolls    = 2
	poisonWorkers  = 6
)

// maxPoisonRetries is the number of retries that may reach workers.
const maxPoisonRetries = 3

// playPoison sends a request that crashes each worker which begins it, again and again, while
// the gateways are restarted in turn. Of those sent later than the stable window after the
// third crash, no more than three may reach workers through gateways in touch.
func playPoison(s *stage) (verdict, error) {
	log := &runLog{runs: map[string][]run{}}
	routes := map[string]route{"order": {attempts: 2, kind: "unsafe", objectMs: 300, timeout: 2500 * time.Millisecond}}
	s.publish(configuration(1, routes, map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {"key-b"}}))
	var mu sync.Mutex
	var crashes []time.Time
	answer := func(w *worker, c *workerConn, r *http.Request, body []byte) bool {
		if r.URL.Path != poisonPath {
			return answerShort(w, c, r, body)
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		w.crash(poisonAway)
		return false
	}
	for i := range poisonWorkers {
		if _, err := s.newWorker(i, log, &worker{answer: answer, work: func() time.Duration { return time.Duration(100+rand.IntN(100)) * time.Millisecond }}); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startGateways(poisonGateways); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(); err != nil {
		return verdict{}, err
	}
	begin := time.Now()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(done)
		time.Sleep(8 * time.Second)
		if !s.trouble {
			time.Sleep(50 * time.Second)
			return
		}
		for range poisonRolls {
			for _, p := range s.gateways {
				_ = p.restart()
				time.Sleep(poisonGap)
			}
		}
	})
	running := func() bool {
		select {
		case <-done:
			return false
		default:
			return time.Since(begin) < poisonEnd
		}
	}
	type sent struct {
		gateway *process
		inTouch bool
		outcome
	}
	var poison, sound []sent
	send := func(list *[]sent, key, path string) {
		p := s.gateways[rand.IntN(poisonGateways)]
		if !p.ready() {
			return // the platform sends clients elsewhere
		}
		touch := p.inTouch()
		o := s.send(request{address: p.callers(), body: "order", key: key, limit: 2500 * time.Millisecond, method: http.MethodPost, path: path})
		mu.Lock()
		defer mu.Unlock()
		*list = append(*list, sent{gateway: p, inTouch: touch && p.inTouch(), outcome: o})
	}
	wg.Go(func() {
		for running() {
			send(&poison, "key-a", poisonPath)
			time.Sleep(poisonPause)
		}
	})
	for i := range poisonClients {
		wg.Go(func() {
			for n := 0; running(); n++ {
				send(&sound, "key-b", fmt.Sprintf("/order/%d-%d", i, n))
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	if len(crashes) < 3 {
		return verdict{}, fmt.Errorf("%w: the request crashed %d workers only", errNotRun, len(crashes))
	}
	third := crashes[2]
	retries, reached := 0, 0
	for _, o := range poison {
		runs := log.of(o.id)
		reached += len(runs)
		if len(runs) > 0 && o.inTouch && o.sent.After(third.Add(stableWindow)) {
			retries++
			s.record.note("BUDGET: %s, sent %s after the third crash to %s in touch, reached %s and crashed it", o.id, o.sent.Sub(third).Round(time.Millisecond), o.gateway.name, runs[0].worker)
		}
	}
	lost, answered := 0, 0
	for _, o := range sound {
		if o.status == http.StatusOK && o.err == nil {
			answered++
		} else if len(log.of(o.id)) > 0 && o.sent.After(third.Add(stableWindow)) {
			lost++
		}
	}
	return verdict{broken: retries > maxPoisonRetries, text: fmt.Sprintf(
		"the request was sent %d times and crashed %d workers; %d of these later than %s after the third crash through gateways in touch, at most %d may; %d other orders answered, %d ran since then and got no answer of a worker",
		len(poison), reached, retries, stableWindow, maxPoisonRetries, answered, lost)}, nil
}
