//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The course of the case of the last keys.
const (
	keysRevokeAt = 6 * time.Second
	keysGap      = 100 * time.Millisecond
	keysEnd      = 16 * time.Second
	keysPause    = 100 * time.Millisecond
)

// unknownKey is a key that no configuration ever holds.
const unknownKey = "key-of-nobody"

// playKeys takes the keys of all tenants away, one after the other. Later than configApply
// after the acknowledgement no request may run: none has a key that the configuration holds.
func playKeys(s *stage) (verdict, error) {
	log := &runLog{runs: map[string][]run{}}
	routes := map[string]route{
		"order": {attempts: 2, kind: "unsafe", objectMs: 150, timeout: 2500 * time.Millisecond},
		"stock": {attempts: 2, kind: "safe", objectMs: 150, timeout: 2500 * time.Millisecond},
	}
	tenants := map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {"key-b"}, "tenant-c": {"key-c"}}
	s.publish(configuration(1, routes, tenants))
	for i := range 3 {
		if _, err := s.newWorker(i, log, &worker{answer: answerShort, work: func() time.Duration { return 30 * time.Millisecond }}); err != nil {
			return verdict{}, err
		}
	}
	if err := s.startGateways(2); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(); err != nil {
		return verdict{}, err
	}
	begin := time.Now()
	var mu sync.Mutex
	var allAt time.Time // acknowledgement of the configuration without keys
	if s.trouble {
		time.AfterFunc(keysRevokeAt, func() {
			left := map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {"key-b"}, "tenant-c": {"key-c"}}
			for i, name := range []string{"tenant-a", "tenant-b", "tenant-c"} {
				left[name] = []string{}
				at := s.publish(configuration(4+3*i, routes, left))
				mu.Lock()
				allAt = at
				mu.Unlock()
				time.Sleep(keysGap)
			}
		})
	}
	type sent struct {
		key string
		outcome
	}
	var all []sent
	var wg sync.WaitGroup
	for i, key := range []string{"key-a", "key-b", "key-c", unknownKey, ""} {
		wg.Go(func() {
			for n := 0; time.Since(begin) < keysEnd; n++ {
				q := request{address: s.gateways[n%2].callers(), body: "body", key: key, limit: 2500 * time.Millisecond, method: http.MethodPost, path: fmt.Sprintf("/order/%d", i)}
				if n/2%2 == 1 {
					q.method, q.path, q.body = http.MethodGet, fmt.Sprintf("/stock/%d", i), ""
				}
				o := s.send(q)
				mu.Lock()
				all = append(all, sent{key, o})
				mu.Unlock()
				time.Sleep(keysPause)
			}
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	served := 0
	counts := map[string]int{}
	for _, o := range all {
		runs := log.of(o.id)
		never := o.key == unknownKey || o.key == ""
		switch {
		case len(runs) == 0:
		case never:
			counts["never held"]++
			s.record.note("ROUTE: %s with key %q ran at %s for tenant %q and got %d", o.id, o.key, runs[0].worker, runs[0].tenant, o.status)
		case s.trouble && o.sent.After(allAt.Add(configApply)):
			counts["taken away"]++
			s.record.note("CONFIG: %s with key %q ran at %s for tenant %q and got %d, sent %s after the acknowledgement", o.id, o.key, runs[0].worker, runs[0].tenant, o.status, o.sent.Sub(allAt))
		default:
			served++
		}
	}
	if served == 0 {
		return verdict{}, fmt.Errorf("%w: no request with a key was served", errNotRun)
	}
	return verdict{
		broken: len(counts) > 0,
		text: fmt.Sprintf("%d requests ran without a key or with one that no configuration ever held, %d with a key later than %s after it was taken away; %d ran with keys in force",
			counts["never held"], counts["taken away"], configApply, served),
	}, nil
}
