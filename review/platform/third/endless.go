//go:build review

package main

import "time"

const (
	endlessTime     = 100 * time.Second
	endlessVersions = 6 // named one after another, each once the one before is loaded
)

// playEndless names versions while the engine beside a sidecar returns staged pieces as bytes
// without end.
func playEndless(p *play) error {
	s, err := startStore(p.ip(2))
	if err != nil {
		return err
	}
	origin, err := startOrigin(p.ip(3))
	if err != nil {
		return err
	}
	s.putJSON("keyed.op", "config", config(7, []map[string]any{route("draft", "stream", engineName, 2, map[string]any{"Resumable": true, "GapTargetMs": 300, "Sticky": true})}, engineServices(origin)))
	s.putJSON("keyed.op", "version/"+modelName, map[string]any{"Model": modelName, "Version": 1})
	e, err := startEngine(p, p.ip(31), "i-engine-1", s, 1)
	if err != nil {
		return err
	}
	x, err := p.startSidecar(1, e, s.address)
	if err != nil {
		return err
	}
	g, err := p.startGateway(1, s.address, "")
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	e.endless = p.trouble
	e.mu.Unlock()
	most, named := 0, 1
	for p.broken == nil && time.Since(p.started) < endlessTime {
		e.mu.Lock()
		loaded := e.loaded
		e.mu.Unlock()
		if loaded == named && named < endlessVersions {
			named++
			s.putJSON("keyed.op", "version/"+modelName, map[string]any{"Model": modelName, "Version": named})
			p.note("version %d is named", named)
		}
		time.Sleep(20 * time.Millisecond)
		if x.ended() || g.ended() {
			p.breaks("a process has ended")
			return nil
		}
		now, peak := x.memory()
		if peak > most+(4<<20) {
			most = peak
			p.note("sidecar: resident %.1f MiB, peak %.1f of %d MiB", mib(now), mib(peak), sideMemory)
		}
		if peak > sideMemory<<20 {
			time.Sleep(100 * time.Millisecond)
			_, peak = x.memory()
			p.breaks("the sidecar held %.1f MiB, its machine gives it %d", mib(peak), sideMemory)
		}
	}
	e.mu.Lock()
	p.note("engine: version %d loaded, %d orders", e.loaded, e.orders)
	e.mu.Unlock()
	_, peak := x.memory()
	p.note("sidecar: peak %.1f of %d MiB", mib(peak), sideMemory)
	return nil
}
