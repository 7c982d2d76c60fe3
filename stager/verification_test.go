package stager_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// An engine served weights with a chunk that had been corrupt for long when it took them: the
// agent had verified the chunk, stood still, and ordered the load. The agent stands still
// before each of its calls, in turn, while each chunk turns corrupt.
func TestChunksAreVerifiedShortlyBeforeTheyAreLoaded(t *testing.T) {
	for _, inService := range []bool{true, false} {
		played, broken := 0, 0
		for call := 1; ; call++ {
			ordered := false
			for index := range chunkCount {
				m := newLoadModel(t, inService)
				var calls atomic.Int32
				m.engine.onCall = func() {
					if int(calls.Add(1)) != call {
						return
					}
					ordered = len(m.engine.orders) > 0
					m.rot(index)
					m.stop(5 * time.Second)
				}
				m.nameVersions(materializer.Target{Since: m.now, Version: 2})
				played++
				if m.play(3 * bound) {
					broken++
					t.Errorf("in service %t, stopped before call %d, chunk %d corrupt: a corrupt load is in service", inService, call, index)
				}
				if got := m.served(); !m.tainted && got != 2 && ordered {
					t.Errorf("in service %t, stopped before call %d, chunk %d corrupt after the load: version %d is in service, want 2", inService, call, index, got)
				}
			}
			if ordered {
				break
			}
		}
		t.Logf("in service %t: %d played, %d broken", inService, played, broken)
	}
}

// The engine took an order long after it was sent, or its answer was lost. Nothing read the
// chunks again, and the engine was put into service with what it had taken.
func TestLoadThatWasAcceptedLateServesOnlyOnceItIsVerified(t *testing.T) {
	for _, held := range []time.Duration{0, 1500 * time.Millisecond, 4 * time.Second} {
		for _, lost := range []bool{false, true} {
			for _, rotten := range []bool{false, true} {
				for _, inService := range []bool{true, false} {
					name := fmt.Sprintf("held for %s, answer lost %t, corrupt %t, in service %t", held, lost, rotten, inService)
					t.Run(name, func(t *testing.T) {
						m := newLoadModel(t, inService)
						m.engine.hold = func() {
							m.engine.hold = nil
							m.engine.lost = lost
							if rotten {
								m.rot(1)
							}
							m.stop(held)
						}
						first := materializer.Target{Since: m.now, Version: 2}
						m.nameVersions(first)
						if m.play(2 * bound) {
							t.Error("a corrupt load is in service")
						}
						uncertain := rotten && held > 2*time.Second
						if got, want := m.served() == 2, !uncertain; got != want {
							t.Errorf("version 2 in service: got %t, want %t", got, want)
						}
						m.nameVersions(first, materializer.Target{Since: m.now, Version: 3})
						if m.play(2 * bound); m.served() != 3 || m.tainted {
							t.Errorf("next version: got version %d in service (corrupt %t), want 3", m.served(), m.tainted)
						}
					})
				}
			}
		}
	}
}

// A load that could not be verified ends with its engine's start.
func TestEngineThatStartsAnewAfterACorruptLoadServes(t *testing.T) {
	m := newLoadModel(t, true)
	m.engine.hold = func() {
		m.engine.hold = nil
		m.rot(1)
		m.stop(4 * time.Second)
	}
	m.nameVersions(materializer.Target{Since: m.now, Version: 2})
	if m.play(bound); m.served() != 0 {
		t.Fatalf("got version %d in service, want none", m.served())
	}
	m.engine.report = gooseberrypass.EngineReport{StartMillis: 2}
	if m.play(bound); m.served() != 2 || m.tainted {
		t.Errorf("got version %d in service (corrupt %t), want 2", m.served(), m.tainted)
	}
}

// The verification of a load reads again what it could not read.
func TestVerificationOfALoadIsRepeated(t *testing.T) {
	m := newLoadModel(t, true)
	failures := 0
	m.engine.hold = func() {
		m.engine.hold = nil
		m.stop(4 * time.Second)
		m.engine.unreadable = func() error {
			if failures++; failures <= 3 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
	}
	m.nameVersions(materializer.Target{Since: m.now, Version: 2})
	if m.play(2 * bound); m.served() != 2 || failures <= 3 {
		t.Errorf("got version %d in service after %d reads, want 2", m.served(), failures)
	}
}

// The engine accepted an order late, with a corrupt chunk. The agent had begun to order the
// load again and staged that chunk anew, so that the load looked sound when it was verified.
func TestRepairBeforeARepeatedOrderDoesNotHideACorruptLoad(t *testing.T) {
	for _, rotten := range []bool{false, true} {
		for _, inService := range []bool{true, false} {
			m := newLoadModel(t, inService)
			m.engine.late = true
			m.engine.hold = func() {
				m.engine.hold = nil
				if rotten {
					m.rot(1)
				}
				m.stop(4 * time.Second)
			}
			m.engine.before = func(context.Context) {
				if order := m.engine.held; order != nil {
					m.engine.held = nil
					m.engine.accept(*order)
				}
			}
			m.nameVersions(materializer.Target{Since: m.now, Version: 2})
			if m.play(2 * bound) {
				t.Errorf("in service %t: a corrupt load is in service", inService)
			}
			if got, want := m.served() == 2, !rotten; got != want {
				t.Errorf("corrupt %t, in service %t: version 2 in service: got %t, want %t", rotten, inService, got, want)
			}
			first := materializer.Target{Since: m.now.Add(-2 * bound), Version: 2}
			m.nameVersions(first, materializer.Target{Since: m.now, Version: 3})
			m.play(2 * bound)
			for _, status := range m.recorder.statuses {
				if rotten && status.Models["m"] == 2 && !status.Loading {
					t.Errorf("in service %t: entries were told to use the corrupt load before the next version", inService)
				}
			}
			if got := m.served(); got != 3 {
				t.Errorf("corrupt %t, in service %t: version %d in service, want 3", rotten, inService, got)
			}
		}
	}
}
