//go:build review

package main

import (
	"context"
	"flag"
	"sync"
	"time"
)

// The course of the case of an order that is taken up late.
const (
	smallFleet     = 7
	smallChunks    = 24
	smallLength    = 4096                   // bytes
	killedAfter    = 100 * time.Millisecond // after the order has arrived
	startedAfter   = 500 * time.Millisecond // after the kill
	nextNamedAfter = 2700 * time.Millisecond
	ordersJudged   = 12 * time.Second
)

var takenUpAfter = flag.Duration("taken-up-after", time.Second, "time until an engine takes up an order")

// runOrders kills one sidecar while its engine has not taken up its order to load a version yet.
// A newer version was named before.
func runOrders(r *recorder, dir string) int {
	chunkTotal, chunkLength = smallChunks, smallLength
	f, _, err := newFleet(r, dir, smallFleet)
	if err != nil {
		return r.notRun(err)
	}
	defer f.kill()
	var once sync.Once
	for i, e := range f.engines {
		sidecar := f.processes[i]
		e.orderDelay = *takenUpAfter
		e.onOrder = func(version int) {
			r.add("an order to load version %d arrives at engine %s", version, e.id)
			if !*trouble || version != firstVersion {
				return
			}
			once.Do(func() {
				time.AfterFunc(killedAfter, func() {
					sidecar.kill()
					r.add("the process of %s is killed", sidecar.name)
					time.Sleep(startedAfter)
					r.add("the process of %s is started, error %v", sidecar.name, sidecar.start())
				})
			})
		}
	}
	if err := f.start(); err != nil {
		return r.notRun(err)
	}
	time.Sleep(4 * time.Second) // the start
	c := &callers{gateways: f.gateways, pause: 40 * time.Millisecond, record: r}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		c.run(ctx)
		close(ended)
	}()
	time.Sleep(2 * time.Second)
	begun := time.Now()
	f.name(firstVersion)
	time.Sleep(nextNamedAfter)
	f.name(firstVersion + 1)
	time.Sleep(ordersJudged)
	cancel()
	<-ended
	broken := 0
	for _, e := range f.engines {
		e.mu.Lock()
		broken += e.broken
		e.mu.Unlock()
	}
	status := exitHeld
	if broken > 0 {
		status = exitBroken
	}
	served, sent := c.served(begun, time.Now())
	return r.verdict(status, "%d requests ran on a load with pieces that are missing or of another version; served: %d of %d; engines by version: %s", broken, served, sent, f.versions())
}
