package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// steady returns a load of three ranks at a constant factor.
func steady(factor float64) pattern {
	return pattern{
		accounts: func(rng *rand.Rand) int { return rng.IntN(24) },
		classes:  [3]float64{191.0 / 584, 230.0 / 584, 163.0 / 584},
		engines:  func(time.Duration) int { return modelEngines },
		entries:  func(rng *rand.Rand, _ time.Duration) int { return rng.IntN(modelEntries) },
		factor:   func(time.Duration, int) float64 { return factor },
	}
}

// compare runs a pattern under the polling policy and with schedulers, over a few seeds.
func (p pattern) compare(t *testing.T) (polling, scheduled *model) { //nolint:nonamedreturns // tells the results apart
	t.Helper()
	var results [2]*model
	for i := range results {
		for seed := range uint64(2) {
			p.scheduled = i == 1
			m := newModel(p, seed)
			m.run()
			if results[i] == nil {
				results[i] = m
				continue
			}
			for class, n := range m.result {
				results[i].result[class].add(n)
			}
			for account, n := range m.byAccount {
				sum := results[i].byAccount[account]
				if sum == nil {
					sum = &counts{}
					results[i].byAccount[account] = sum
				}
				sum.add(*n)
			}
			results[i].over, results[i].most, results[i].work = results[i].over+m.over, max(results[i].most, m.most), results[i].work+m.work
		}
		name := []string{"polling", "scheduled"}[i]
		for class, n := range results[i].result {
			t.Logf("%s, rank %d: in time %d (%d%%), late %d (%d%%), refused %d (%d%%)", name, class, n.inTime, n.share(n.inTime), n.late, n.share(n.late), n.refused, n.share(n.refused))
		}
		sum := results[i].total()
		t.Logf("%s: in time %d, answered %d, work %s, engines over their slots in %d steps, at most %d requests", name, sum.inTime, sum.inTime+sum.late, results[i].work, results[i].over, results[i].most)
	}
	return results[0], results[1]
}

// during returns a factor for a time, and another one outside of it.
func during(from, to time.Duration, inside, outside float64) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at >= from && at < to {
			return inside
		}
		return outside
	}
}

// Under overload the priority of a request had no effect on whether it was refused or late, and
// entries sent to the same free slot, so that engines held more requests than slots.
func TestLoadSchedulingServesUrgentRanksInTime(t *testing.T) {
	burst := steady(0.95)
	burst.factor = func(at time.Duration, class int) float64 {
		if class == 2 && at > 3*time.Second && at < 9*time.Second {
			return 2.4 * 0.95
		}
		return 0.95
	}
	dip := steady(0.9)
	dip.engines = func(at time.Duration) int {
		if at > 3*time.Second && at < 8*time.Second {
			return modelEngines * 2 / 3
		}
		return modelEngines
	}
	uneven := steady(1.3)
	uneven.entries = func(rng *rand.Rand, _ time.Duration) int {
		if rng.IntN(2) == 0 {
			return rng.IntN(3)
		}
		return rng.IntN(modelEntries)
	}
	returns := steady(1)
	returns.factor = during(2*time.Second, 4*time.Second, 2, 0.8)
	lossy := steady(1.3)
	lossy.lost = 0.3
	leaving := steady(1.3)
	leaving.leaves = 0.2
	for name, p := range map[string]pattern{
		"steady overload by 1.3":                   steady(1.3),
		"burst of the least urgent rank":           burst,
		"capacity drops by a third":                dip,
		"half of the callers at three entries":     uneven,
		"callers return after a burst of 2 s":      returns,
		"three in ten messages are lost":           lossy,
		"a fifth of the callers leave after 50 ms": leaving,
	} {
		t.Run(name, func(t *testing.T) {
			polling, scheduled := p.compare(t)
			first, old := scheduled.result[0], polling.result[0]
			if got, want := first.share(first.inTime), max(90, old.share(old.inTime)+10); got < want {
				t.Errorf("most urgent rank in time: got %d%%, want at least %d%%", got, want)
			}
			second, old := scheduled.result[1], polling.result[1]
			if got, want := second.share(second.inTime), old.share(old.inTime); got < want {
				t.Errorf("second rank in time: got %d%%, want at least %d%%", got, want)
			}
			last := scheduled.result[2]
			if got := last.share(last.inTime + last.late); got < 20 {
				t.Errorf("least urgent rank answered: got %d%%, want at least a fifth", got)
			}
			if got, want := scheduled.total().inTime, polling.total().inTime; got*100 < want*97 {
				t.Errorf("in time: got %d, want no less than %d but for 3%%", got, want)
			}
			if got, want := scheduled.work, polling.work; got*100 < want*94 {
				t.Errorf("work of the engines for answers: got %s, want no less than %s but for 6%%", got, want)
			}
			if scheduled.over*2 > polling.over {
				t.Errorf("engines with more requests than slots: got %d steps, want at most half of %d", scheduled.over, polling.over)
			}
		})
	}
}

// A few large accounts crowded out the small ones: each request had the same chance.
func TestLoadLargeAccountsLeaveRoomForSmallOnes(t *testing.T) {
	const large = 3
	p := steady(1.6)
	p.accounts = func(rng *rand.Rand) int {
		if rng.IntN(10) < 7 {
			return rng.IntN(large)
		}
		return large + rng.IntN(24-large)
	}
	polling, scheduled := p.compare(t)
	shares := func(m *model) (int, int) {
		var few, many counts
		for account, n := range m.byAccount {
			if account < large {
				few.add(*n)
			} else {
				many.add(*n)
			}
		}
		return few.share(few.inTime), many.share(many.inTime)
	}
	fewPolling, manyPolling := shares(polling)
	few, many := shares(scheduled)
	t.Logf("in time: large accounts %d%%, small ones %d%%; polling %d%%, %d%%", few, many, fewPolling, manyPolling)
	if many < manyPolling+5 || many <= few {
		t.Errorf("small accounts in time: got %d%%, want clearly more than %d%% with polling, and more than the large accounts' %d%%", many, manyPolling, few)
	}
}

// With ranks for accounts and routes, a shortage of a rank in the middle held back all less
// urgent ones so far that engines stood idle.
func TestLoadSixRanks(t *testing.T) {
	p := steady(1.3)
	p.urgentAccounts = 5
	polling, scheduled := p.compare(t)
	for rank, n := range scheduled.result {
		if got := n.share(n.inTime); rank < 3 && got < 90 {
			t.Errorf("rank %d of urgent accounts in time: got %d%%, want at least 90%%", rank, got)
		}
		if got := n.share(n.inTime + n.late); got < 20 {
			t.Errorf("rank %d answered: got %d%%, want at least a fifth", rank, got)
		}
	}
	if got, want := scheduled.total().inTime, polling.total().inTime; got < want {
		t.Errorf("in time: got %d, want at least %d", got, want)
	}
}
