//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	workTime    = 20 * time.Millisecond
	answerBytes = 800
)

// A worker is a sound server of a plain service.
type worker struct {
	address string
	born    int64 // Unix milliseconds
	id      string
	record  *recorder
	service string
	slots   int
	store   *store

	mu      sync.Mutex
	running int
	seq     int
}

// register writes the worker's entry at each heartbeat, for as long as the program runs.
func (w *worker) register() {
	for {
		w.mu.Lock()
		w.seq++
		seq := w.seq
		w.mu.Unlock()
		w.store.putJSON("keyed.servers", w.id, map[string]any{
			"Service": w.service, "Address": w.address, "Zone": "zone-a", "Version": "v1", "Slots": w.slots, "State": "ready",
			"ColdLeftMs": 0, "Seq": seq, "born": w.born,
		})
		time.Sleep(heartbeat)
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Instance-Id", w.id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("X-Target-Instance") != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.begin() {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.record.add("ran %s at %s", id, w.id)
	time.Sleep(workTime)
	w.end()
	rw.Header().Set("X-Server-Seal", "seal-"+id)
	_, _ = io.WriteString(rw, orderAnswer(id))
}

// begin takes a slot, or a place in the queue of twice as many.
func (w *worker) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= 3*w.slots {
		return false
	}
	w.running++
	return true
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// orderAnswer returns the body of the answer to a request.
func orderAnswer(id string) string {
	return fmt.Sprintf("answer to %s %s", id, strings.Repeat("x", answerBytes))
}

// startWorker starts a worker of the service of orders.
func startWorker(s *store, r *recorder, id string) error {
	w := &worker{born: time.Now().UnixMilli(), id: id, record: r, service: "orders", slots: 6, store: s}
	var err error
	if w.address, err = serve(w); err != nil {
		return err
	}
	go w.register()
	return nil
}
