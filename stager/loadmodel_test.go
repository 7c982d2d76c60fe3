package stager_test

import (
	"testing"
	"time"
)

// excusedRot is how long a chunk may have been corrupt when a load takes it.
const excusedRot = 3 * time.Second

// A loadModel is an engine whose staged chunks turn corrupt, and an agent that stands still.
type loadModel struct {
	*fixture
	rottenAt map[int]time.Time
	tainted  bool // the loaded version has a chunk that was corrupt for too long
}

// newLoadModel returns the model of an agent that has staged version 2.
func newLoadModel(t *testing.T, inService bool) *loadModel {
	t.Helper()
	m := &loadModel{fixture: newFixture(t), rottenAt: map[int]time.Time{}}
	if !inService {
		m.engine.report.Models = nil
	}
	m.pool.holds = map[int]bool{2: true, 3: true}
	m.engine.onAccept = m.accept
	return m
}

// accept judges the chunks that a load takes.
func (m *loadModel) accept() {
	m.tainted = false
	version := m.engine.report.Models["m"]
	for i := range chunkCount {
		at, rotten := m.rottenAt[i]
		wrong := string(m.engine.stage[i]) != string(chunkBody(version, i))
		m.tainted = m.tainted || wrong && (!rotten || m.now.Sub(at) > excusedRot)
	}
}

func (m *loadModel) rot(index int) {
	m.engine.mu.Lock()
	defer m.engine.mu.Unlock()
	m.engine.stage[index] = []byte("rotten..")
	m.rottenAt[index] = m.now
}

// stop lets time pass in which the agent does nothing.
func (m *loadModel) stop(d time.Duration) {
	m.now = m.now.Add(d)
	m.clock.Advance(d)
}

// served returns the version that entries use, 0 for none.
func (m *loadModel) served() int {
	if n := len(m.recorder.statuses); n > 0 && !m.recorder.statuses[n-1].Loading {
		return m.recorder.statuses[n-1].Models["m"]
	}
	return 0
}

// play lets time pass and reports whether a tainted load was in service meanwhile.
func (m *loadModel) play(d time.Duration) bool {
	for end := m.now.Add(d); m.now.Before(end); {
		m.advance(100 * time.Millisecond)
		if m.tainted && m.served() == m.engine.report.Models["m"] && m.served() > 0 {
			return true
		}
	}
	return false
}
