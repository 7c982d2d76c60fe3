package balancer_test

import (
	"fmt"
	"testing"
	"time"
)

// passSeeds is the number of seeds that each load is played with.
const passSeeds = 4

// rankedModel returns the load of the ranked deployment on 12 engines of 8.6 requests a second.
func rankedModel(capacity float64) passLoadModel {
	return passLoadModel{
		classes: []passClass{{1290, 400 * time.Millisecond, 0.327}, {787, 400 * time.Millisecond, 0.394}, {607, 800 * time.Millisecond, 0.279}},
		engines: 12, entries: 6, ranked: true, rate: capacity * 8.6 * 12, run: 20 * time.Second, spec: passSpec, spread: 0.6,
	}
}

// Short prompts behind long ones were late, long ones found no engine without prompts to read,
// and a prediction that leaves engines idle would lower the throughput. Load: short (607
// tokens in the mean), medium (787) and long prompts (1,290, up to three times as many), at
// 0.9, 1.1 and 1.5 of the capacity.
func TestLoadLongPromptsBesideShortOnes(t *testing.T) {
	for _, capacity := range []float64{0.9, 1.1, 1.5} {
		t.Run(fmt.Sprintf("%g of capacity", capacity), func(t *testing.T) {
			m := rankedModel(capacity)
			got := m.simulateAll()
			m.oldPolicy = true
			old := m.simulateAll()
			t.Logf("all: %v; old policy: %v", got.total, old.total)
			for class, c := range m.classes {
				t.Logf("%g tokens: %v; old policy: %v", c.mean, got.byClass[class], old.byClass[class])
				for i, size := range []string{"smallest seven tenths", "next fifth", "largest tenth"} {
					part := got.bySize[class][i]
					t.Logf("%g tokens, %s: %v; old policy: %v", c.mean, size, part, old.bySize[class][i])
					if 2*part.served() < got.byClass[class].served() {
						t.Errorf("%g tokens, %s: got %.2f served, want at least half of %.2f", c.mean, size, part.served(), got.byClass[class].served())
					}
				}
			}
			if got.total.served() < 0.97*old.total.served() {
				t.Errorf("served: got %.3f, want no less than the %.3f of the old policy but for three in a hundred", got.total.served(), old.total.served())
			}
			if got.total.inTimeShare() < 0.99*old.total.inTimeShare() {
				t.Errorf("in time: got %.3f, want no less than the %.3f of the old policy but for one in a hundred", got.total.inTimeShare(), old.total.inTimeShare())
			}
			if got.total.late > old.total.late && capacity > 1 {
				t.Errorf("late under overload: got %d, want at most the %d of the old policy", got.total.late, old.total.late)
			}
		})
	}
}

// Requests that were sent to an engine slowed by its machine's other work were late. Load: the
// classes of the uneven deployment on 24 engines, of which 15 in 100 take 2.5 times as long,
// others every 600 ms; 6 entries hear paces at answers and by messages every 100 ms.
func TestLoadEnginesThatShareTheirMachines(t *testing.T) {
	for _, perEngine := range []float64{3.5, 5.5, 7} {
		t.Run(fmt.Sprintf("%g requests a second per engine", perEngine), func(t *testing.T) {
			m := passLoadModel{
				classes: []passClass{{1290, 500 * time.Millisecond, 0.408}, {787, 400 * time.Millisecond, 0.3}, {607, 400 * time.Millisecond, 0.292}},
				engines: 24, entries: 6, paceChange: 600 * time.Millisecond, rate: perEngine * 24, run: 15 * time.Second, spec: unevenSpec, spread: 0.5,
			}
			with := m.simulateAll()
			m.hidesPace = true
			without := m.simulateAll()
			m.oldPolicy = true
			t.Logf("with pace: %v; without: %v; old policy without: %v", with.total, without.total, m.simulateAll().total)
			if with.total.inTimeShare() < without.total.inTimeShare() {
				t.Errorf("in time: got %.3f, want no less than the %.3f without pace", with.total.inTimeShare(), without.total.inTimeShare())
			}
			if with.total.served() < 0.97*without.total.served() {
				t.Errorf("served: got %.3f, want no less than the %.3f without pace but for three in a hundred", with.total.served(), without.total.served())
			}
		})
	}
}
