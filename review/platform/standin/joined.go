//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The load of the case of joined answers.
const (
	joinedClients = 30
	joinedCrashAt = 4 * time.Second
	joinedCrashes = 3 // of different workers
	joinedAway    = 4500 * time.Millisecond
	joinedEnd     = 19 * time.Second
	joinedGap     = 5500 * time.Millisecond // between the begins of two crashes
	joinedWorkers = 6
	lineLength    = 64
	longLines     = 3 << 20 / lineLength // of an answer of 3 MiB
	partLines     = 512                  // written at once
	partPause     = 5 * time.Millisecond
)

// longBody returns some lines of the long answer of a worker.
func longBody(worker, id string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		line := fmt.Sprintf("%s %s line %d", worker, id, i)
		b.WriteString(line + strings.Repeat(".", lineLength-1-len(line)) + "\n")
	}
	return b.String()
}

// answerLong writes a long answer in chunks.
func answerLong(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
	id, self := r.Header.Get("X-Attempt-Id"), w.identity()
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Load: " + w.load() + "\r\nX-Server-Seal: " + seal(self, id) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	for i := 0; i < longLines; i += partLines {
		part := longBody(self, id, i, i+partLines)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part); err != nil {
			w.stage.record.note("worker %s breaks off its answer to %s after %d bytes", self, id, i*lineLength)
			return false
		}
		time.Sleep(partPause)
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	w.stage.record.note("worker %s has answered %s with %d bytes", self, id, longLines*lineLength)
	return err == nil
}

// playJoined sends safe requests with long answers while a worker crashes. Each complete
// success must be the whole body of the worker that sealed it.
func playJoined(s *stage) (verdict, error) {
	log := &runLog{runs: map[string][]run{}}
	routes := map[string]route{"catalogue": {attempts: 2, kind: "safe", objectMs: 1000, timeout: 10 * time.Second}}
	s.publish(configuration(1, routes, map[string][]string{"tenant-a": {"key-a"}}))
	var workers []*worker
	for i := range joinedWorkers {
		w, err := s.newWorker(i, log, &worker{answer: answerLong})
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	if err := s.startGateways(2); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(); err != nil {
		return verdict{}, err
	}
	begin := time.Now()
	if s.trouble {
		for n := range joinedCrashes {
			time.AfterFunc(joinedCrashAt+time.Duration(n)*joinedGap, func() { workers[n].crash(joinedAway) })
		}
	}
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	for i := range joinedClients {
		wg.Go(func() {
			for n := 0; time.Since(begin) < joinedEnd; n++ {
				o := s.send(request{address: s.gateways[i%2].callers(), key: "key-a", limit: 10 * time.Second, method: http.MethodGet, path: fmt.Sprintf("/catalogue/%d-%d", i, n)})
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	whole, wrong, first := 0, 0, ""
	for _, o := range outcomes {
		if o.err != nil || o.status != http.StatusOK {
			continue
		}
		whole++
		if problem := checkLong(o, log.of(o.id)); problem != "" {
			wrong++
			s.record.note("MIXED: %s: %s", o.id, problem)
			if first == "" {
				first = problem
			}
		}
	}
	if whole == 0 {
		return verdict{}, fmt.Errorf("%w: no request was answered", errNotRun)
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("%d of %d complete answers of %d requests have a body that no worker sent; the first: %s", wrong, whole, len(outcomes), first)}, nil
}

// checkLong returns what is wrong with a complete success, "" for nothing.
func checkLong(o outcome, runs []run) string {
	for _, r := range runs {
		if o.seal != seal(r.worker, o.id) {
			continue
		}
		if want := longBody(r.worker, o.id, 0, longLines); o.body != want {
			return fmt.Sprintf("200 with the seal of %s and a complete body of %d bytes, %d lines of %s and %d of others; the worker's whole body has %d bytes",
				r.worker, len(o.body), strings.Count(o.body, r.worker+" "+o.id), r.worker, strings.Count(o.body, "\n")-strings.Count(o.body, r.worker+" "+o.id), len(want))
		}
		return ""
	}
	return fmt.Sprintf("200 with the seal %q of no worker that ran it", o.seal)
}
