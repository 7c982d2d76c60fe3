package router_test

import (
	"fmt"
	"testing"
	"time"
)

// pair runs a scenario and its naive version: round robin, FIFO queues and
// plain retries.
func pair(s scenario) (*result, *result) {
	n := s
	n.naive = true
	return run(s), run(n)
}

func TestUsefulAnswersUnderLoad(t *testing.T) {
	tests := []struct {
		load, useful, xNaive float64 // at least
	}{{0.7, 0.99, 0.99}, {1, 0.99, 0.99}, {1.5, 0.9, 1.5}, {2, 0.6, 1.5}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.load), func(t *testing.T) {
			got, naive := pair(scenario{load: tt.load, seed: 1})
			if got.share() < tt.useful || got.share() < tt.xNaive*naive.share() || got.highShare() < 0.99 {
				t.Errorf("got %.3f useful, %.3f of high priority, naive %.3f, want %.2f, 0.99 and %.1f times naive",
					got.share(), got.highShare(), naive.share(), tt.useful, tt.xNaive)
			}
		})
	}
}

func slow(m *model)   { m.stations[0].slow = 5 }
func frozen(m *model) { m.stations[0].frozen = true }
func lying(m *model)  { m.stations[0].lying, m.stations[0].slow = true, 3 }

// deadDomain takes a failure domain down for some time in the middle of a run.
func deadDomain(m *model) {
	set := func(dead bool) {
		for i, s := range m.stations {
			if domain(i) == "a" {
				s.dead, s.queue = dead, nil
			}
		}
	}
	m.after(20*time.Second, func() { set(true) })
	m.after(35*time.Second, func() { set(false) })
}

func TestFaultyEndpoint(t *testing.T) {
	faults := map[string]func(*model){"slow": slow, "frozen": frozen, "load report stuck": lying}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			got, naive := pair(scenario{fault: fault, load: 0.6, seed: 1})
			if got.share() < 0.99 || got.share() < naive.share() || got.p95() > naive.p95() {
				t.Errorf("got %.3f useful, first token %v, naive %.3f, %v", got.share(), got.p95(), naive.share(), naive.p95())
			}
		})
	}
}

// amplification is the attempts for each request offered over some seconds.
func (r *result) amplification(from, to int) float64 {
	attempts, offered := 0, 0
	for s := from; s < to; s++ {
		attempts += r.attemptsAt[s]
		offered += r.offeredAt[s]
	}
	return float64(attempts) / float64(offered)
}

// When a failure domain dies and comes back, retries stay within their budget
// and end with the fault; those of the naive version go on.
func TestRetryStormDiesOut(t *testing.T) {
	got, naive := pair(scenario{fault: deadDomain, load: 0.9, seed: 1, time: time.Minute})
	for _, span := range []struct {
		name     string
		from, to int
		most     float64
	}{{"before", 5, 20, 1.01}, {"during", 20, 35, 1.2}, {"after", 45, 60, 1.01}} {
		t.Logf("%s: %.2f attempts a request, naive %.2f", span.name, got.amplification(span.from, span.to), naive.amplification(span.from, span.to))
		if a := got.amplification(span.from, span.to); a > span.most {
			t.Errorf("%s the fault: got %.2f attempts a request, want at most %.2f", span.name, a, span.most)
		}
	}
	if a := naive.amplification(45, 60); a < 1.5 {
		t.Errorf("naive version: got %.2f attempts a request after the fault: the storm proves nothing", a)
	}
}

// Cache events that are late or lost cost cache hits, and no answers.
func TestCacheEventsLost(t *testing.T) {
	whole, naive := pair(scenario{load: 0.7, seed: 1})
	lossy := run(scenario{eventLoss: 0.7, load: 0.7, seed: 1})
	if lossy.share() < 0.99 || lossy.hitShare() < 1.5*naive.hitShare() || whole.hitShare() < lossy.hitShare() {
		t.Errorf("got %.3f useful, hits %.3f, with all events %.3f, naive %.3f", lossy.share(), lossy.hitShare(), whole.hitShare(), naive.hitShare())
	}
}

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
		{"lying", scenario{fault: lying, load: 0.6}},
		{"dead-domain", scenario{fault: deadDomain, load: 0.9}},
		{"events-lost", scenario{eventLoss: 0.7, load: 0.7}},
	}
	for _, s := range scenarios {
		b.Run(s.name, func(b *testing.B) {
			var got, naive *result
			for i := range b.N {
				s.seed, s.time = uint64(i+1), time.Minute
				got, naive = pair(s.scenario)
			}
			b.ReportMetric(got.share(), "useful")
			b.ReportMetric(naive.share(), "naive-useful")
			b.ReportMetric(got.share()/naive.share(), "x-naive")
			b.ReportMetric(got.highShare(), "high-useful")
			b.ReportMetric(got.p95().Seconds(), "p95-first-s")
			b.ReportMetric(naive.p95().Seconds(), "naive-p95-first-s")
			b.ReportMetric(got.hitShare(), "hits")
			b.ReportMetric(naive.hitShare(), "naive-hits")
			b.ReportMetric(got.amplification(5, 60), "attempts")
			b.ReportMetric(naive.amplification(5, 60), "naive-attempts")
		})
	}
}
