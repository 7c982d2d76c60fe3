package admitter_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

// TestUsefulAnswersUnderOverload checks that at twice the capacity the queue
// finishes at least 1.5 times as many jobs in time as a FIFO queue, with or
// without dropping expired jobs.
func TestUsefulAnswersUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		list := arrivals(seed, mixedLoad(2)...)
		got := usefulShare(simulate(admitter.NewQueue(queueLimit, capacity), list), list, all)
		naive := usefulShare(simulate(&fifo{limit: queueLimit}, list), list, all)
		skipping := usefulShare(simulate(&fifo{limit: queueLimit, skipExpired: true}, list), list, all)
		if got < 1.5*naive || got < 1.5*skipping {
			t.Errorf("seed %d: got %.3f in time, FIFO %.3f, FIFO that drops expired jobs %.3f, want at least 1.5 times either", seed, got, naive, skipping)
		}
		if got < 0.45 {
			t.Errorf("seed %d: got %.3f in time at twice the capacity, want at least 0.45", seed, got)
		}
	}
}

// TestHighPriorityLosesNoneToLow checks that all high-priority jobs, which take
// 0.6 of the capacity, finish in time beside an overload of low priority.
func TestHighPriorityLosesNoneToLow(t *testing.T) {
	for seed := range uint64(5) {
		list := arrivals(seed,
			source{account: "fitting", load: 0.6, maxLatency: maxLatency, priority: 7},
			source{account: "care", load: 1.4, maxLatency: maxLatency, priority: 2})
		high := func(j admitter.Job) bool { return j.Priority == 7 }
		got := usefulShare(simulate(admitter.NewQueue(queueLimit, capacity), list), list, high)
		if got != 1 {
			t.Errorf("seed %d: got %.4f of the high-priority jobs in time, want 1", seed, got)
		}
		if naive := usefulShare(simulate(&fifo{limit: queueLimit, skipExpired: true}, list), list, high); naive > 0.9 {
			t.Errorf("seed %d: got %.4f of the high-priority jobs in time with FIFO, want at most 0.9, else the load proves nothing", seed, naive)
		}
	}
}

// TestLargeAccountStarvesNobody checks that nine small accounts get their jobs
// finished in time beside one account that sends as much as they do together.
func TestLargeAccountStarvesNobody(t *testing.T) {
	small := func(j admitter.Job) bool { return j.Account != "large" }
	for seed := range uint64(5) {
		list := arrivals(seed, oneLarge()...)
		got := usefulShare(simulate(admitter.NewQueue(queueLimit, capacity), list), list, small)
		naive := usefulShare(simulate(&fifo{limit: queueLimit, skipExpired: true}, list), list, small)
		if got < 0.95 || naive > 0.5 {
			t.Errorf("seed %d: got %.3f of the small accounts' jobs in time, want at least 0.95; FIFO %.3f, want at most 0.5", seed, got, naive)
		}
	}
}

// BenchmarkUsefulAnswers reports, for each load, the jobs finished in time as a
// share of those that the capacity allows (x-ideal), for the queue and for FIFO
// queues, and the ratio of the queue to the better plain FIFO queue (x-naive).
func BenchmarkUsefulAnswers(b *testing.B) {
	for _, load := range []float64{0.7, 1, 1.5, 2} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			list := arrivals(1, mixedLoad(load)...)
			high := func(j admitter.Job) bool { return j.Priority == 7 }
			var got, naive, skipping, tuned, gotHigh, tunedHigh float64
			for b.Loop() {
				got = usefulShare(simulate(admitter.NewQueue(queueLimit, capacity), list), list, all)
				naive = usefulShare(simulate(&fifo{limit: queueLimit}, list), list, all)
				skipping = usefulShare(simulate(&fifo{limit: queueLimit, skipExpired: true}, list), list, all)
				ended := simulate(&fifo{limit: tunedLimit}, list)
				tuned, tunedHigh = usefulShare(ended, list, all), usefulShare(ended, list, high)
				ended = simulate(admitter.NewQueue(queueLimit, capacity), list)
				gotHigh = usefulShare(ended, list, high)
			}
			b.ReportMetric(got*max(load, 1), "x-ideal")
			b.ReportMetric(naive*max(load, 1), "fifo-x-ideal")
			b.ReportMetric(skipping*max(load, 1), "fifo-skipping-x-ideal")
			b.ReportMetric(tuned*max(load, 1), "fifo-tuned-x-ideal")
			b.ReportMetric(got/max(naive, skipping), "x-naive")
			b.ReportMetric(gotHigh, "high-in-time")
			b.ReportMetric(tunedHigh, "fifo-tuned-high-in-time")
		})
	}
}

// BenchmarkFairness reports the share of jobs finished in time for nine small
// accounts beside one that sends as much as they do together, at 1.5 times the
// capacity.
func BenchmarkFairness(b *testing.B) {
	list := arrivals(1, oneLarge()...)
	small := func(j admitter.Job) bool { return j.Account != "large" }
	var got, naive float64
	for b.Loop() {
		got = usefulShare(simulate(admitter.NewQueue(queueLimit, capacity), list), list, small)
		naive = usefulShare(simulate(&fifo{limit: queueLimit, skipExpired: true}, list), list, small)
	}
	b.ReportMetric(got, "small-in-time")
	b.ReportMetric(naive, "fifo-small-in-time")
}

// BenchmarkAdmission measures the time to offer and finish one job on a full
// queue of ten accounts.
func BenchmarkAdmission(b *testing.B) {
	for _, limit := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("queued=%d", limit), func(b *testing.B) {
			q := admitter.NewQueue(limit, 1)
			now := time.Unix(1_800_000_000, 0)
			job := func(i int) admitter.Job {
				return admitter.Job{
					Account:  gooseberrypass.ID(fmt.Sprintf("account-%d", i%10)),
					Cost:     1,
					Deadline: now.Add(1000 * time.Hour),
					ID:       strconv.Itoa(i),
				}
			}
			running := "0"
			for i := range limit + 1 {
				q.Offer(now, job(i))
			}
			i := limit + 1
			for b.Loop() {
				for _, d := range q.Finish(now, running, 1, false) {
					running = d.ID
				}
				q.Offer(now, job(i))
				i++
			}
		})
	}
}
