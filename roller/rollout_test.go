package roller_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/roller"
)

const (
	deadlineSteps = 2   // steps that a request may wait
	load          = 0.7 // requests for each instance in a step
	loadSteps     = 5   // steps that an engine needs to load
	maxShare      = 0.2 // share of a failure domain that may be out of service
	rolloutSeed   = 7
	statusLag     = 3 // largest age of the view of other instances, in steps
	steps         = 400
)

// A worker is an instance of a simulated rollout.
type worker struct {
	domain  gooseberrypass.FailureDomain
	id      gooseberrypass.ID
	loading int  // remaining steps of the load, 0 in service
	newer   bool // serves the new version
}

func (w *worker) serving() bool { return w.loading == 0 }

// An outcome is the result of a simulated rollout.
type outcome struct {
	answered float64 // share of requests answered in time until all instances have the version
	done     bool    // all instances have the version
	least    float64 // lowest share of a failure domain in service
}

// A queue counts waiting requests by the number of steps that they may still wait.
type queue struct {
	answered, offered float64
	waiting           [deadlineSteps]float64
}

// step adds offered requests and answers up to capacity, oldest first.
func (q *queue) step(offered, capacity float64) {
	q.offered += offered
	copy(q.waiting[:], q.waiting[1:])
	q.waiting[deadlineSteps-1] = offered
	for i := range q.waiting {
		n := min(q.waiting[i], capacity)
		q.waiting[i] -= n
		q.answered += n
		capacity -= n
	}
}

// rollout simulates a rollout over failure domains of the given sizes. Each instance
// sees the others as they were up to statusLag steps ago and answers one request in
// a step.
func rollout(domains []int, seed uint64, decide func(self gooseberrypass.ID, view []roller.Candidate) bool) outcome {
	rng := rand.New(rand.NewPCG(seed, 0))
	var workers []*worker
	for d, n := range domains {
		for range n {
			workers = append(workers, &worker{
				domain: gooseberrypass.FailureDomain(strconv.Itoa(d)), id: gooseberrypass.ID("i" + strconv.Itoa(len(workers))),
			})
		}
	}
	history := make([][]roller.Candidate, 0, steps)
	result := outcome{least: 1}
	var requests queue
	for range steps {
		now := make([]roller.Candidate, 0, len(workers))
		serving := 0
		result.done = true
		for _, w := range workers {
			now = append(now, roller.Candidate{FailureDomain: w.domain, Finished: w.newer, ID: w.id, Serving: w.serving()})
			result.done = result.done && w.newer
			if w.serving() {
				serving++
			}
		}
		requests.step(load*float64(len(workers)), float64(serving))
		if result.done {
			break
		}
		history = append(history, now)
		for i, w := range workers {
			if w.loading > 0 {
				w.loading--
				w.newer = w.loading == 0
				continue
			}
			view := slices.Clone(history[max(0, len(history)-1-rng.IntN(statusLag+1))])
			view[i] = now[i]
			if !w.newer && decide(w.id, view) {
				w.loading = loadSteps
			}
		}
		result.least = min(result.least, leastServing(workers, len(domains)))
	}
	result.answered = requests.answered / requests.offered
	return result
}

func leastServing(workers []*worker, domains int) float64 {
	serving, all := make([]float64, domains), make([]float64, domains)
	for _, w := range workers {
		d, _ := strconv.Atoi(string(w.domain))
		all[d]++
		if w.serving() {
			serving[d]++
		}
	}
	least := 1.0
	for d := range all {
		if all[d] > 1 {
			least = min(least, serving[d]/all[d])
		}
	}
	return least
}

// TestWavesKeepLiveRequestsAnswered compares waves with a rollout in which every
// instance leaves service as soon as it can, at seven tenths of the capacity and
// with stale views of the other instances.
func TestWavesKeepLiveRequestsAnswered(t *testing.T) {
	digest := gooseberrypass.DigestOf([]byte("v2"))
	domains := []int{5, 5, 5}
	waves := rollout(domains, rolloutSeed, func(self gooseberrypass.ID, view []roller.Candidate) bool {
		return roller.Allowed(self, digest, view, maxShare)
	})
	simultaneous := rollout(domains, rolloutSeed, func(gooseberrypass.ID, []roller.Candidate) bool { return true })
	t.Logf("answered in time %.3f in waves, %.3f all at once", waves.answered, simultaneous.answered)
	if !waves.done || waves.least < 1-maxShare || waves.answered < 1 {
		t.Errorf("got %+v, want all to finish, %.2f in service and every request answered", waves, 1-maxShare)
	}
	if simultaneous.least > 0 || simultaneous.answered > 0.8 {
		t.Errorf("got %+v when all leave at once, want requests lost", simultaneous)
	}
}

func TestWavesKeepTheFloorInAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SliceOfN(rapid.IntRange(1, 8), 1, 4).Draw(t, "domains")
		share := rapid.Float64Range(0, 0.9).Draw(t, "share")
		digest := gooseberrypass.DigestOf([]byte(rapid.String().Draw(t, "version")))
		got := rollout(domains, rapid.Uint64().Draw(t, "seed"), func(self gooseberrypass.ID, view []roller.Candidate) bool {
			return roller.Allowed(self, digest, view, share)
		})
		if !got.done {
			t.Fatal("the rollout did not finish")
		}
		floor := 1.0
		for _, n := range domains {
			if n > 1 {
				floor = min(floor, 1-float64(max(1, int(share*float64(n))))/float64(n))
			}
		}
		if got.least < floor-1e-9 {
			t.Fatalf("got %.2f of a failure domain in service, want at least %.2f", got.least, floor)
		}
	})
}

func TestSingleInstancesGoOneAfterAnother(t *testing.T) {
	digest := gooseberrypass.DigestOf([]byte("v2"))
	view := make([]roller.Candidate, 0, 3)
	for i := range 3 {
		name := strconv.Itoa(i)
		view = append(view, roller.Candidate{FailureDomain: gooseberrypass.FailureDomain(name), ID: gooseberrypass.ID(name), Serving: true})
	}
	for left := range view {
		var allowed []int
		for i, c := range view {
			if !c.Finished && roller.Allowed(c.ID, digest, view, maxShare) {
				allowed = append(allowed, i)
			}
		}
		if len(allowed) != 1 {
			t.Fatalf("got %d instances allowed after %d, want 1", len(allowed), left)
		}
		view[allowed[0]].Finished = true
	}
	if !roller.Allowed("0", digest, view[:1], maxShare) {
		t.Error("got a lone instance refused, want it allowed")
	}
}

func member(id gooseberrypass.ID, change func(m *gooseberrypass.Member)) gooseberrypass.Member {
	m := gooseberrypass.Member{
		Listed: gooseberrypass.ListedInstance{ID: id, State: gooseberrypass.ListedLive},
		Status: &gooseberrypass.AgentStatus{EndpointUp: true, Loaded: []gooseberrypass.LoadedVersion{{Model: "m"}}},
	}
	change(&m)
	return m
}

func TestWatcherSkipsDeadAndStuckInstances(t *testing.T) {
	digest := gooseberrypass.DigestOf([]byte("v2"))
	target := func(phase gooseberrypass.Phase) []gooseberrypass.TargetStatus {
		return []gooseberrypass.TargetStatus{{Digest: digest, Model: "m", Phase: phase}}
	}
	members := []gooseberrypass.Member{
		member("silent", func(m *gooseberrypass.Member) { m.Silent = true }),
		member("leaving", func(m *gooseberrypass.Member) { m.Status.Leaving = true }),
		member("down", func(m *gooseberrypass.Member) { m.Status.EndpointUp = false }),
		member("crashed-by-it", func(m *gooseberrypass.Member) {
			m.Status.EndpointUp, m.Status.Loaded, m.Status.Targets = false, nil, target(gooseberrypass.PhaseFailed)
		}),
		member("stuck", func(m *gooseberrypass.Member) { m.Status.Targets = target(gooseberrypass.PhaseFetching) }),
		member("waiting", func(m *gooseberrypass.Member) { m.Status.Targets = target(gooseberrypass.PhaseWaiting) }),
		member("unheard", func(m *gooseberrypass.Member) { m.Status = nil }),
		member("failed-in-service", func(m *gooseberrypass.Member) { m.Status.Targets = target(gooseberrypass.PhaseFailed) }),
	}
	now := time.Unix(1_800_000_000, 0)
	w := roller.NewWatcher(time.Minute)
	for _, c := range w.Candidates(now, members, "m", digest) {
		if c.ID == "unheard" && (c.Finished || c.Skipped || c.Serving) {
			t.Errorf("got %+v for an instance without a status, want it unfinished and out of service", c)
		}
	}
	got := w.Candidates(now.Add(2*time.Minute), members, "m", digest)
	want := []roller.Candidate{
		{ID: "crashed-by-it"},
		{ID: "stuck", Skipped: true, Serving: true},
		{ID: "waiting", Serving: true},
		{ID: "unheard", Skipped: true},
		{ID: "failed-in-service", Skipped: true, Serving: true},
	}
	if len(got) != len(want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("got %+v, want %+v", got[i], want[i])
		}
	}
	view := []roller.Candidate{got[0], {ID: "self", Serving: true}}
	if roller.Allowed("self", digest, view, maxShare) {
		t.Error("got a version that crashed an engine allowed on the next one, want it held")
	}
}
