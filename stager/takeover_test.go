package stager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// restartAgent replaces the agent by a new process, after some time without any.
func (m *loadModel) restartAgent(down time.Duration, targets ...materializer.Target) {
	m.stop(down)
	m.pool.chunks, m.pool.wants = cacher.New(1<<20), nil
	m.stager = m.newStager(m.pool.chunks, m.pool, m.origin, fixtureSettings())
	m.nameVersions(targets...)
}

// acceptHeld accepts the order that the engine has held back, if it still fits. The load takes
// some time, or none.
func (m *loadModel) acceptHeld(warm time.Duration) bool {
	order := m.engine.held
	m.engine.held = nil
	if order == nil || order.Orders != m.engine.report.Orders {
		return false
	}
	before := m.engine.report.Models
	m.engine.accept(*order)
	loaded := m.engine.report.Models
	if warm > 0 {
		m.engine.report.Models, m.engine.report.Busy = before, true
		broken := m.play(warm)
		m.engine.report.Models, m.engine.report.Busy = loaded, false
		return broken
	}
	return false
}

// An agent was killed before its engine had accepted the order, the next process staged another
// version, and the engine served a load of both.
func TestOrderOfAKilledAgentIsNotServedUnverified(t *testing.T) {
	const never = -1
	played := 0
	for _, named := range []int{never, 0, 1, 2} { // when version 3 is named: before the order, while no agent runs, after
		for _, after := range []time.Duration{0, 100, 300, 500, 700, 1000, 1500, 2500, 4000} { // from the start of the next process to the acceptance
			for _, warm := range []time.Duration{0, 300} {
				for _, rotten := range []bool{false, true} {
					name := fmt.Sprintf("version 3 named %d, accepted after %d ms, load of %d ms, corrupt %t", named, after, warm, rotten)
					m := newLoadModel(t, true)
					m.engine.late = true
					targets := []materializer.Target{{Since: m.now, Version: 2}}
					name3 := func(when int) {
						if when == named {
							targets = append(targets, materializer.Target{Since: m.now, Version: 3})
						}
					}
					m.nameVersions(targets...)
					m.advance(2700 * time.Millisecond)
					name3(0)
					m.nameVersions(targets...)
					for m.engine.held == nil && len(m.engine.orders) == 0 {
						m.advance(100 * time.Millisecond)
					}
					if rotten {
						m.rot(1)
					}
					name3(1)
					m.restartAgent(500*time.Millisecond, targets...)
					name3(2)
					m.nameVersions(targets...)
					broken := m.play(after * time.Millisecond)
					broken = m.acceptHeld(warm*time.Millisecond) || broken
					broken = m.play(2*bound) || broken
					if broken {
						t.Errorf("%s: a load of wrong chunks is in service", name)
					}
					want := 3
					if named == never {
						want = 2
					}
					if got := m.served(); got != want && (named != never || !rotten) {
						t.Errorf("%s: got version %d in service in the end, want %d", name, got, want)
					}
					played++
				}
			}
		}
	}
	t.Logf("%d played", played)
}

// The engine has taken what an earlier process had staged before the next one ran.
func TestLoadThatAnEarlierAgentOrderedIsVerifiedAndServes(t *testing.T) {
	for _, busy := range []bool{false, true} {
		m := newLoadModel(t, true)
		m.engine.late = true
		target := materializer.Target{Since: m.now, Version: 2}
		m.nameVersions(target)
		for m.engine.held == nil {
			m.advance(100 * time.Millisecond)
		}
		m.stop(500 * time.Millisecond)
		m.engine.accept(*m.engine.held)
		stages := m.engine.stages
		if busy {
			m.engine.report.Models, m.engine.report.Busy = map[string]int{"m": 1}, true
		}
		m.restartAgent(0, target)
		m.advance(300 * time.Millisecond)
		m.engine.report = gooseberrypass.EngineReport{StartMillis: 1, Models: map[string]int{"m": 2}, Orders: m.engine.report.Orders}
		if m.play(bound) || m.served() != 2 {
			t.Errorf("busy %t: got version %d in service, want 2", busy, m.served())
		}
		if got := m.engine.stages - stages; got != 0 {
			t.Errorf("busy %t: got %d chunks staged anew, want none", busy, got)
		}
	}
}

// An engine that was kept out of service waited for its turn to load the next version, as if it
// had callers to lose.
func TestEngineOutOfServiceLoadsTheNextVersionAtOnce(t *testing.T) {
	m := newLoadModel(t, true)
	m.engine.hold = func() {
		m.engine.hold = nil
		m.rot(1)
		m.stop(4 * time.Second)
	}
	first := materializer.Target{Since: m.now, Version: 2}
	m.nameVersions(first)
	if m.play(2 * bound); m.served() != 0 {
		t.Fatalf("got version %d in service, want none", m.served())
	}
	m.nameVersions(first, materializer.Target{Since: m.now, Version: 3})
	if m.play(time.Second); m.served() != 3 || m.tainted {
		t.Errorf("got version %d in service (corrupt %t) a second after it was named, want 3", m.served(), m.tainted)
	}
}
