package admitter_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

const (
	capacity   = 8
	queueLimit = 64
	maxLatency = 4 * time.Second
	// tunedLimit is the longest FIFO queue whose last job still finishes within
	// maxLatency.
	tunedLimit = capacity * int((maxLatency-service)/service)
	service    = time.Second     // mean service time
	span       = 5 * time.Minute // time in which jobs arrive
)

// A policy is a Queue or the FIFO queue that it is compared with.
type policy interface {
	Finish(now time.Time, id string, cost int64, completed bool) []admitter.Decision
	Offer(now time.Time, job admitter.Job) []admitter.Decision
}

// A fifo is the baseline: one bounded queue in order of arrival.
type fifo struct {
	limit       int
	queue       []admitter.Job
	running     int
	skipExpired bool // refuse queued jobs whose deadline has passed
}

func (f *fifo) Finish(now time.Time, _ string, _ int64, _ bool) []admitter.Decision {
	f.running--
	return f.dispatch(now)
}

func (f *fifo) Offer(now time.Time, job admitter.Job) []admitter.Decision {
	if len(f.queue) >= f.limit {
		return []admitter.Decision{{ID: job.ID, Verdict: admitter.VerdictRefuse}}
	}
	f.queue = append(f.queue, job)
	return f.dispatch(now)
}

func (f *fifo) dispatch(now time.Time) []admitter.Decision {
	var decisions []admitter.Decision
	for f.running < capacity && len(f.queue) > 0 {
		job := f.queue[0]
		f.queue = f.queue[1:]
		d := admitter.Decision{ID: job.ID, Verdict: admitter.VerdictStart}
		if f.skipExpired && now.After(job.Deadline) {
			d.Verdict = admitter.VerdictRefuse
		} else {
			f.running++
		}
		decisions = append(decisions, d)
	}
	return decisions
}

// An arrival is one job of a simulated load.
type arrival struct {
	at          time.Time
	job         admitter.Job
	serviceTime time.Duration
}

// A source sends the jobs of one account and priority.
type source struct {
	account    gooseberrypass.ID
	load       float64       // as a share of the capacity
	maxLatency time.Duration // from arrival to deadline
	priority   gooseberrypass.Priority
}

// arrivals returns the jobs that sources send within span, in order of arrival.
// Arrivals are a Poisson process; service times are uniform from 0.5 to 1.5
// times the mean.
func arrivals(seed uint64, sources ...source) []arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1_800_000_000, 0)
	var list []arrival
	for _, s := range sources {
		gap := float64(service) / capacity / s.load
		for at := time.Duration(random.ExpFloat64() * gap); at < span; at += time.Duration(random.ExpFloat64() * gap) {
			list = append(list, arrival{
				at: start.Add(at),
				job: admitter.Job{
					Account:  s.account,
					Cost:     100,
					Deadline: start.Add(at + s.maxLatency),
					ID:       fmt.Sprintf("%s-%d-%d", s.account, s.priority, len(list)),
					Priority: s.priority,
				},
				serviceTime: time.Duration((0.5 + random.Float64()) * float64(service)),
			})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.job.ID, b.job.ID))
	})
	return list
}

// simulate runs a load through a policy. It returns, for each job that ran,
// whether it finished before its deadline.
func simulate(p policy, list []arrival) map[string]bool {
	byID := map[string]arrival{}
	for _, a := range list {
		byID[a.job.ID] = a
	}
	type end struct {
		at time.Time
		id string
	}
	var ends []end // sorted by time
	useful := map[string]bool{}
	apply := func(now time.Time, decisions []admitter.Decision) {
		for _, d := range decisions {
			if d.Verdict != admitter.VerdictStart {
				continue
			}
			e := end{at: now.Add(byID[d.ID].serviceTime), id: d.ID}
			i, _ := slices.BinarySearchFunc(ends, e, func(a, b end) int { return a.at.Compare(b.at) })
			ends = slices.Insert(ends, i, e)
		}
	}
	for len(list) > 0 || len(ends) > 0 {
		if len(ends) > 0 && (len(list) == 0 || !ends[0].at.After(list[0].at)) {
			e := ends[0]
			ends = ends[1:]
			useful[e.id] = !e.at.After(byID[e.id].job.Deadline)
			apply(e.at, p.Finish(e.at, e.id, 100, true))
			continue
		}
		a := list[0]
		list = list[1:]
		apply(a.at, p.Offer(a.at, a.job))
	}
	return useful
}

// usefulShare returns the share of a load's selected jobs that finished in time.
func usefulShare(useful map[string]bool, list []arrival, selected func(j admitter.Job) bool) float64 {
	n, good := 0, 0
	for _, a := range list {
		if !selected(a.job) {
			continue
		}
		n++
		if useful[a.job.ID] {
			good++
		}
	}
	return float64(good) / float64(n)
}

func all(admitter.Job) bool { return true }

// mixedLoad returns the sources of ten accounts, one of which sends half of all
// jobs. Each sends 30% of its jobs with a high priority.
func mixedLoad(load float64) []source {
	sources := make([]source, 0, 20)
	for i := range 10 {
		weight := 1.0 / 18
		if i == 0 {
			weight = 9.0 / 18
		}
		id := gooseberrypass.ID(fmt.Sprintf("account-%d", i))
		sources = append(sources,
			source{account: id, load: load * weight * 0.3, maxLatency: maxLatency, priority: 7},
			source{account: id, load: load * weight * 0.7, maxLatency: maxLatency, priority: 2})
	}
	return sources
}

// oneLarge returns sources that together send 1.5 times the capacity: one
// account sends as much as nine others together.
func oneLarge() []source {
	sources := make([]source, 0, 10)
	sources = append(sources, source{account: "large", load: 0.75, maxLatency: maxLatency})
	for i := range 9 {
		id := gooseberrypass.ID(fmt.Sprintf("small-%d", i))
		sources = append(sources, source{account: id, load: 0.75 / 9, maxLatency: maxLatency})
	}
	return sources
}
