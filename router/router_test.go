package router_test

import (
	"fmt"
	"testing"
	"time"
)

// runBoth runs a scenario with the router and with a naive baseline: round robin,
// FIFO queues and retries without a budget.
func runBoth(s scenario) (*result, *result) {
	n := s
	n.naive = true
	return run(s), run(n)
}

// TestUsefulAnswersUnderLoad checks the share of requests answered in time, by
// load, overall and for high priority, and against the baseline.
func TestUsefulAnswersUnderLoad(t *testing.T) {
	tests := []struct {
		load, useful, timesNaive float64 // at least
	}{{0.7, 0.99, 0.99}, {1, 0.99, 0.99}, {1.5, 0.9, 1.5}, {2, 0.6, 1.5}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.load), func(t *testing.T) {
			got, naive := runBoth(scenario{load: tt.load, seed: 1})
			if got.usefulShare() < tt.useful || got.usefulShare() < tt.timesNaive*naive.usefulShare() || got.highUsefulShare() < 0.99 {
				t.Errorf("got %.3f in time, %.3f of high priority, baseline %.3f, want at least %.2f, 0.99 and %.1f times the baseline",
					got.usefulShare(), got.highUsefulShare(), naive.usefulShare(), tt.useful, tt.timesNaive)
			}
		})
	}
}

func slow(m *model)        { m.workers[0].slowdown = 5 }
func frozen(m *model)      { m.workers[0].frozen = true }
func reportsIdle(m *model) { m.workers[0].idleReport, m.workers[0].slowdown = true, 3 }

// failDomain makes a failure domain fail from 20 s to 35 s of a run.
func failDomain(m *model) {
	set := func(dead bool) {
		for i, w := range m.workers {
			if domain(i) == "a" {
				w.dead, w.queue = dead, nil
			}
		}
	}
	m.after(20*time.Second, func() { set(true) })
	m.after(35*time.Second, func() { set(false) })
}

// TestFaultyEndpoint checks that one slow, frozen or wrongly reporting endpoint
// costs at most 1% of the answers, and that the router does no worse than the
// baseline.
func TestFaultyEndpoint(t *testing.T) {
	faults := map[string]func(*model){"slow": slow, "frozen": frozen, "load report stuck": reportsIdle}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			got, naive := runBoth(scenario{fault: fault, load: 0.6, seed: 1})
			if got.usefulShare() < 0.99 || got.usefulShare() < naive.usefulShare() || got.firstTokenP95() > naive.firstTokenP95() {
				t.Errorf("got %.3f in time, 95th percentile of the first token %v, baseline %.3f, %v", got.usefulShare(), got.firstTokenP95(), naive.usefulShare(), naive.firstTokenP95())
			}
		})
	}
}

// amplification returns the attempts for each request offered in the seconds from
// from up to, but not including, to.
func (r *result) amplification(from, to int) float64 {
	attempts, offered := 0, 0
	for s := from; s < to; s++ {
		attempts += r.attemptsAt[s]
		offered += r.offeredAt[s]
	}
	return float64(attempts) / float64(offered)
}

// TestRetryStormDiesOut checks that retries stay within their budget while a
// failure domain is down, and stop after it has recovered. Those of the baseline
// must go on, which shows that the load is high enough for a retry storm.
func TestRetryStormDiesOut(t *testing.T) {
	got, naive := runBoth(scenario{fault: failDomain, load: 0.9, seed: 1, totalTime: time.Minute})
	for _, span := range []struct {
		name     string
		from, to int
		max      float64
	}{{"before", 5, 20, 1.01}, {"during", 20, 35, 1.2}, {"after", 45, 60, 1.01}} {
		t.Logf("%s: %.2f attempts for each request, baseline %.2f", span.name, got.amplification(span.from, span.to), naive.amplification(span.from, span.to))
		if a := got.amplification(span.from, span.to); a > span.max {
			t.Errorf("%s the fault: got %.2f attempts for each request, want at most %.2f", span.name, a, span.max)
		}
	}
	if a := naive.amplification(45, 60); a < 1.5 {
		t.Errorf("baseline: got %.2f attempts for each request after the fault, want at least 1.5: without a retry storm the test proves nothing", a)
	}
}

// TestCacheEventsLost checks that lost cache events reduce the cache hits but not
// the requests answered in time.
func TestCacheEventsLost(t *testing.T) {
	whole, naive := runBoth(scenario{load: 0.7, seed: 1})
	lossy := run(scenario{eventLoss: 0.7, load: 0.7, seed: 1})
	if lossy.usefulShare() < 0.99 || lossy.cacheHitShare() < 1.5*naive.cacheHitShare() || whole.cacheHitShare() < lossy.cacheHitShare() {
		t.Errorf("got %.3f in time, cache hits %.3f, with all events %.3f, baseline %.3f", lossy.usefulShare(), lossy.cacheHitShare(), whole.cacheHitShare(), naive.cacheHitShare())
	}
}

// BenchmarkRouting reports the measurements of each scenario for the router and
// for the baseline.
func BenchmarkRouting(b *testing.B) {
	scenarios := []struct {
		name string
		scenario
	}{
		{"load=0.7", scenario{load: 0.7}},
		{"load=1.0", scenario{load: 1}},
		{"load=1.5", scenario{load: 1.5}},
		{"load=2.0", scenario{load: 2}},
		{"slow", scenario{fault: slow, load: 0.6}},
		{"frozen", scenario{fault: frozen, load: 0.6}},
		{"lying", scenario{fault: reportsIdle, load: 0.6}},
		{"dead-domain", scenario{fault: failDomain, load: 0.9}},
		{"events-lost", scenario{eventLoss: 0.7, load: 0.7}},
	}
	for _, s := range scenarios {
		b.Run(s.name, func(b *testing.B) {
			var got, naive *result
			for i := range b.N {
				s.seed, s.totalTime = uint64(i+1), time.Minute
				got, naive = runBoth(s.scenario)
			}
			b.ReportMetric(got.usefulShare(), "useful")
			b.ReportMetric(naive.usefulShare(), "naive-useful")
			b.ReportMetric(got.usefulShare()/naive.usefulShare(), "x-naive")
			b.ReportMetric(got.highUsefulShare(), "high-useful")
			b.ReportMetric(got.firstTokenP95().Seconds(), "p95-first-s")
			b.ReportMetric(naive.firstTokenP95().Seconds(), "naive-p95-first-s")
			b.ReportMetric(got.cacheHitShare(), "hits")
			b.ReportMetric(naive.cacheHitShare(), "naive-hits")
			b.ReportMetric(got.amplification(5, 60), "attempts")
			b.ReportMetric(naive.amplification(5, 60), "naive-attempts")
		})
	}
}
