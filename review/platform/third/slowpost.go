//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The crowd of playSlowPost.
const (
	slowCallers = 1900
	slowBody    = maxBody - 1024 // announced
	slowPiece   = 1200           // bytes
	slowPause   = 200 * time.Millisecond
	calmTime    = 4 * time.Second // before the crowd: the gateway is in touch
	slowTime    = 40 * time.Second
	ordinary    = 10 // clients
)

// playSlowPost has callers that nobody controls send large bodies of legal size piece by piece.
func playSlowPost(p *play) error {
	s, err := startStore(p.ip(2))
	if err != nil {
		return err
	}
	for i := range 3 {
		w, err := startPlainWorker(p.ip(60+i), fmt.Sprintf("i-plain-%d", i), "wuno96b", 6, s, func(*http.Request) time.Duration { return 30 * time.Millisecond })
		if err != nil {
			return err
		}
		w.onRun = func(id string) { p.note("worker %s runs %s", w.id, id) }
	}
	s.putJSON("keyed.op", "config", config(7,
		[]map[string]any{route("order", "unsafe", "wuno96b", 1, nil)},
		[]map[string]any{{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConns": 51}}))
	g, err := p.startGateway(1, s.address, "")
	if err != nil {
		return err
	}
	if err := awaitAnswer(g.callers, "/order/x"); err != nil {
		return err
	}
	begin := time.Now().Add(calmTime)
	end := begin.Add(slowTime)
	var crowd atomic.Int64
	if p.trouble {
		time.AfterFunc(calmTime, func() {
			p.note("the crowd comes: %d callers, each sends a body of %d bytes in pieces of %d", slowCallers, slowBody, slowPiece)
			for n := range slowCallers {
				go slowPost(g.callers, n, end, &crowd)
			}
		})
	}
	type answer struct {
		at     time.Time
		status int
	}
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for n := range ordinary {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			for k := 0; time.Now().Before(end); k++ {
				sent := time.Now()
				status := 0
				for try := range 2 { // a client's one retry, after a promise or if nothing was read
					left := 2500*time.Millisecond - time.Since(sent)
					id := fmt.Sprintf("ordinary-%d-%d-%d", n, k, try)
					var back time.Duration
					var err error
					status, back, err = callOnce(g.callers, "/order/x", id, left)
					p.note("%s: %d, %v", id, status, err)
					if status != http.StatusServiceUnavailable {
						break
					}
					time.Sleep(min(back, (2500*time.Millisecond-time.Since(sent))/3))
				}
				mu.Lock()
				answers = append(answers, answer{at: sent, status: status})
				mu.Unlock()
				time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
			}
		})
	}
	ready := func() int {
		resp, err := http.Get("http://" + g.ready + "/v1/readyz")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		_, conns := unread(g.callers)
		now, peak := g.memory()
		mu.Lock()
		got := map[int]int{}
		for _, a := range answers {
			if time.Since(a.at) < time.Second {
				got[a.status]++
			}
		}
		mu.Unlock()
		p.note("ready %d, %d connections, crowd %d, resident %.1f MiB (peak %.1f); ordinary requests of the last second by status: %v", ready(), conns, crowd.Load(), mib(now), mib(peak), got)
		if g.ended() {
			p.breaks("the gateway has ended")
			return nil
		}
	}
	clients.Wait()
	slices.SortFunc(answers, func(a, b answer) int { return a.at.Compare(b.at) })
	ok, asked := 0, 0
	last, longest := begin, time.Duration(0)
	for _, a := range answers {
		if a.at.Before(begin) {
			continue
		}
		asked++
		if a.status == http.StatusOK {
			ok++
			longest, last = max(longest, a.at.Sub(last)), a.at
		}
	}
	longest = max(longest, end.Sub(last))
	p.note("ordinary requests: %d of %d answered, the longest time without one %.1f s", ok, asked, longest.Seconds())
	if longest > 3*time.Second {
		p.breaks("the gateway was ready and took no new connection of %d ordinary clients for %.1f s; %d of %d requests were answered", ordinary, longest.Seconds(), ok, asked)
	}
	return nil
}

// slowPost sends a body of legal size piece by piece, on a new connection each time that it is
// refused or closed.
func slowPost(address string, n int, end time.Time, open *atomic.Int64) {
	piece := strings.Repeat("x", slowPiece)
	for round := 0; time.Now().Before(end); round++ {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		open.Add(1)
		_, err = fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd-%d-%d\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", hostName, n, round, accountKey, slowBody)
		for left := slowBody - 1; left > 0 && err == nil && time.Now().Before(end); left -= slowPiece {
			if _, err = conn.Write([]byte(piece)); err == nil {
				buf := make([]byte, 256)
				_ = conn.SetReadDeadline(time.Now().Add(slowPause))
				if k, rerr := conn.Read(buf); k > 0 || rerr != nil && !isTimeout(rerr) {
					break // refused or closed
				}
			}
		}
		_ = conn.Close()
		open.Add(-1)
		time.Sleep(200 * time.Millisecond)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
