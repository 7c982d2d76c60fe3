//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The course of the case of the late copy of a refusal.
const (
	garbleFor       = 5 * time.Second
	garblePause     = 2 * time.Second
	garbleShare     = 0.03 // of the answers
	garbleSpared    = 2    // of the workers: three of five garble at once, a share of 0.6
	refusedClients  = 3    // at each gateway, for each service
	refusedEnd      = 90 * time.Second
	refusedGateways = 5
	refusedLimit    = 8 * time.Second
	refusedServices = 5 // of one worker each
)

// playRefused sends orders to workers that are often full and at times write a second copy
// of an answer, where the next answer on that connection is due. An order that is answered
// 503 must not run, and none may run twice.
func playRefused(s *stage) (verdict, error) {
	log := &runLog{runs: map[string][]run{}}
	routes := map[string]route{}
	for i := range refusedServices {
		routes[fmt.Sprintf("order-%d", i)] = route{attempts: 2, kind: "unsafe", objectMs: 4000, service: fmt.Sprintf("orders-%d", i), timeout: refusedLimit}
	}
	s.publish(configuration(1, routes, map[string][]string{"tenant-a": {"key-a"}}))
	begin := time.Now()
	var copies atomic.Int64
	refused := func(w *worker, c *workerConn, refusal string) {
		since := time.Since(begin)
		round := int(since / (garbleFor + garblePause))
		garbles := since%(garbleFor+garblePause) < garbleFor && (w.number+round)%refusedServices >= garbleSpared
		if s.trouble && garbles && rand.Float64() < garbleShare {
			copies.Add(1)
			c.extra = []byte(refusal)
			s.record.note("worker %s will send a second copy of this refusal", w.identity())
		}
	}
	work := func() time.Duration { return time.Duration(60+rand.IntN(120)) * time.Millisecond }
	for i := range refusedServices {
		w := &worker{answer: answerShort, queue: 1, refused: refused, service: fmt.Sprintf("orders-%d", i), slots: 2, work: work}
		if _, err := s.newWorker(i, log, w); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startGateways(refusedGateways); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	for i := range refusedClients * refusedGateways * refusedServices {
		wg.Go(func() {
			path := fmt.Sprintf("/order-%d/%d", i%refusedServices, i)
			for time.Since(begin) < refusedEnd {
				o := s.send(request{address: s.gateways[i/refusedServices%refusedGateways].callers(), body: "order", key: "key-a", limit: refusedLimit, method: http.MethodPost, path: path})
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	answered, twice, promised := 0, 0, 0
	for _, o := range outcomes {
		runs := log.of(o.id)
		if o.err == nil && o.status == http.StatusOK {
			answered++
		}
		if len(runs) > 1 {
			twice++
			s.record.note("TWICE: %s ran %d times, the client got %d", o.id, len(runs), o.status)
		}
		if o.err == nil && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && len(runs) > 0 {
			promised++
			s.record.note("REFUSED: %s was answered %d and ran at %s", o.id, o.status, runs[0].worker)
		}
	}
	if answered == 0 {
		return verdict{}, fmt.Errorf("%w: no request was answered", errNotRun)
	}
	return verdict{broken: twice+promised > 0, text: fmt.Sprintf("of %d orders, %d were answered 200, %d were answered 503 and ran, %d ran twice; %d second copies", len(outcomes), answered, promised, twice, copies.Load())}, nil
}
