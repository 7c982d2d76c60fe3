package admitter_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

func TestUsefulAnswersUnderOverload(t *testing.T) {
	for seed := range uint64(5) {
		list := arrivals(seed, mixedLoad(2)...)
		got := usefulOf(simulate(admitter.NewQueue(queueLimit, capacity), list), list, all)
		naive := usefulOf(simulate(&fifo{limit: queueLimit}, list), list, all)
		skipping := usefulOf(simulate(&fifo{limit: queueLimit, skipLate: true}, list), list, all)
		if got < 1.5*naive || got < 1.5*skipping {
			t.Errorf("seed %d: got %.3f useful, FIFO %.3f, FIFO without late jobs %.3f, want 1.5 times", seed, got, naive, skipping)
		}
		if got < 0.45 {
			t.Errorf("seed %d: got %.3f useful at twice the capacity, want at least 0.45", seed, got)
		}
	}
}

func TestHighPriorityLosesNoneToLow(t *testing.T) {
	for seed := range uint64(5) {
		list := arrivals(seed,
			source{account: "fitting", load: 0.6, patience: patience, priority: 7},
			source{account: "care", load: 1.4, patience: patience, priority: 2})
		high := func(j admitter.Job) bool { return j.Priority == 7 }
		got := usefulOf(simulate(admitter.NewQueue(queueLimit, capacity), list), list, high)
		if got != 1 {
			t.Errorf("seed %d: got %.4f of high priority in time, want 1", seed, got)
		}
		if naive := usefulOf(simulate(&fifo{limit: queueLimit, skipLate: true}, list), list, high); naive > 0.9 {
			t.Errorf("seed %d: got %.4f from FIFO, want it to lose high priority", seed, naive)
		}
	}
}

func TestLargeAccountStarvesNobody(t *testing.T) {
	small := func(j admitter.Job) bool { return j.Account != "large" }
	for seed := range uint64(5) {
		list := arrivals(seed, oneLarge()...)
		got := usefulOf(simulate(admitter.NewQueue(queueLimit, capacity), list), list, small)
		naive := usefulOf(simulate(&fifo{limit: queueLimit, skipLate: true}, list), list, small)
		if got < 0.95 || naive > 0.5 {
			t.Errorf("seed %d: got %.3f of the nine in time, want 0.95; FIFO %.3f, want at most 0.5", seed, got, naive)
		}
	}
}

// BenchmarkUsefulAnswers gives the share of answers in time by load, as a share
// of what the capacity allows, and against FIFO.
func BenchmarkUsefulAnswers(b *testing.B) {
	for _, load := range []float64{0.7, 1, 1.5, 2} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			list := arrivals(1, mixedLoad(load)...)
			high := func(j admitter.Job) bool { return j.Priority == 7 }
			var got, naive, skipping, tuned, gotHigh, tunedHigh float64
			for b.Loop() {
				got = usefulOf(simulate(admitter.NewQueue(queueLimit, capacity), list), list, all)
				naive = usefulOf(simulate(&fifo{limit: queueLimit}, list), list, all)
				skipping = usefulOf(simulate(&fifo{limit: queueLimit, skipLate: true}, list), list, all)
				ended := simulate(&fifo{limit: tunedLimit}, list)
				tuned, tunedHigh = usefulOf(ended, list, all), usefulOf(ended, list, high)
				ended = simulate(admitter.NewQueue(queueLimit, capacity), list)
				gotHigh = usefulOf(ended, list, high)
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

// BenchmarkFairness gives the share in time of nine small accounts beside one
// that sends as much as they do together, at one and a half the capacity.
func BenchmarkFairness(b *testing.B) {
	list := arrivals(1, oneLarge()...)
	small := func(j admitter.Job) bool { return j.Account != "large" }
	var got, naive float64
	for b.Loop() {
		got = usefulOf(simulate(admitter.NewQueue(queueLimit, capacity), list), list, small)
		naive = usefulOf(simulate(&fifo{limit: queueLimit, skipLate: true}, list), list, small)
	}
	b.ReportMetric(got, "small-in-time")
	b.ReportMetric(naive, "fifo-small-in-time")
}

// BenchmarkAdmission gives the cost of admitting and ending one job at a full
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
