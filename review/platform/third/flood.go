//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The crowd of playFlood.
const (
	floodCallers = 1200
	floodBytes   = maxBody - 1024 // of a legal large body
	floodTime    = 12 * time.Second
	linkBytes    = 125 << 20 // a second: the link of an edge machine, 1,000 Mbit/s
)

// A pacer limits what all callers together send.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

// wait waits until n bytes may be sent.
func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// playFlood has callers that nobody controls send large bodies of legal size at once.
func playFlood(p *play) error {
	s, err := startStore(p.ip(2))
	if err != nil {
		return err
	}
	for i := range 3 {
		if _, err := startPlainWorker(p.ip(60+i), fmt.Sprintf("i-plain-%d", i), "wuno96b", 6, s, func(*http.Request) time.Duration { return 30 * time.Millisecond }); err != nil {
			return err
		}
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
	if p.trouble {
		go flood(p, g.callers)
	}
	const limit = edgeMemory << 20
	most, answered, asked := 0, 0, 0
	until := time.Now().Add(floodTime + 3*time.Second)
	nextCall := time.Now()
	var calls sync.WaitGroup
	var ok atomic.Int64
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(100 * time.Millisecond)
		if g.ended() {
			p.breaks("the gateway has ended")
			return nil
		}
		held, conns := unread(g.callers)
		now, peak := g.memory()
		if n%5 == 0 || held+now > most {
			p.note("resident %.1f MiB (peak %.1f), unread %.1f MiB on %d connections, together %.1f of %d MiB", mib(now), mib(peak), mib(held), conns, mib(now+held), edgeMemory)
		}
		most = max(most, now+held)
		if time.Now().After(nextCall) {
			nextCall = nextCall.Add(time.Second)
			asked++
			calls.Go(func() {
				status, err := call(g.callers, "/order/x", fmt.Sprintf("ordinary-%d", n), 2500*time.Millisecond)
				p.note("ordinary request: %d, %v", status, err)
				if status == http.StatusOK {
					ok.Add(1)
				}
			})
		}
	}
	calls.Wait()
	answered = int(ok.Load())
	p.note("ordinary requests: %d of %d answered", answered, asked)
	if most > limit {
		p.breaks("the gateway held %.1f MiB, its machine gives it %d", mib(most), edgeMemory)
	}
	return nil
}

func mib(n int) float64 { return float64(n) / (1 << 20) }

// flood connects the crowd. Each caller announces a legal body and sends it; most stop one
// byte short and stay. One that is refused or closed comes again.
func flood(p *play, address string) {
	var pace pacer
	var refused, cut, closed atomic.Int64
	end := time.Now().Add(floodTime)
	piece := strings.Repeat("x", 64<<10)
	var callers sync.WaitGroup
	for n := range floodCallers {
		callers.Go(func() {
			for round := 0; time.Now().Before(end); round++ {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					closed.Add(1)
					time.Sleep(200 * time.Millisecond)
					continue
				}
				head := fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd-%d-%d\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n", hostName, n, round, accountKey, floodBytes)
				_ = conn.SetWriteDeadline(end)
				_, err = conn.Write([]byte(head))
				left := floodBytes
				if n%8 != 0 {
					left-- // stops just short of the end
				}
				for left > 0 && err == nil {
					k := min(len(piece), left)
					pace.wait(k)
					_, err = conn.Write([]byte(piece[:k]))
					left -= k
				}
				if err != nil {
					cut.Add(1)
				}
				_ = conn.SetReadDeadline(end)
				buf := make([]byte, 512)
				if k, err := conn.Read(buf); err == nil && k > 12 {
					refused.Add(1)
				}
				_ = conn.Close()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	p.note("crowd: %d answers, %d sends broken off, %d connects failed", refused.Load(), cut.Load(), closed.Load())
}
