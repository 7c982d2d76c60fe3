package attempter_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass/attempter"
)

// registrySteps are the operations that the registry and the naive one have in
// common.
type registrySteps interface {
	Begin(id string) (accepted, refused bool)
	Finish(id string, notRun bool)
	Refuse(id string) bool
	Start(id string) bool
	Sweep(now time.Time)
}

// A naiveRegistry keeps no tombstones: it knows only the attempts in progress
// and reports all others as refused.
type naiveRegistry struct {
	queued  map[string]bool
	started map[string]bool
}

func (r *naiveRegistry) Begin(id string) (bool, bool) {
	if r.queued[id] || r.started[id] {
		return false, false
	}
	r.queued[id] = true
	return true, false
}

func (r *naiveRegistry) Finish(id string, _ bool) { delete(r.queued, id); delete(r.started, id) }

func (r *naiveRegistry) Refuse(id string) bool { return !r.started[id] }

func (r *naiveRegistry) Start(id string) bool {
	r.started[id] = true
	return true
}

func (r *naiveRegistry) Sweep(time.Time) {}

// findViolation applies random interleavings of attempts, their copies and
// refusals. It returns the id of an attempt that ran twice or after it was
// refused, "" if there is none. Copies arrive up to one minute after the
// deadline of an attempt.
func findViolation(t *rapid.T, r registrySteps, ids int) string {
	type history struct {
		phase   string // of the copy in progress
		refused bool
		runs    int
		seenAt  time.Time // when the id was first used
	}
	histories := map[string]*history{}
	now := time.Unix(1_800_000_000, 0)
	r.Sweep(now)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		id := strconv.Itoa(rapid.IntRange(1, ids).Draw(t, "id"))
		f, ok := histories[id]
		if !ok {
			f = &history{seenAt: now}
			histories[id] = f
		}
		op := rapid.SampledFrom([]string{"arrive", "arrive", "start", "finish", "refuse", "sweep", "suspend"}).Draw(t, "op")
		switch {
		case op == "arrive" && now.Sub(f.seenAt) < 2*time.Minute:
			accepted, refused := r.Begin(id)
			f.refused = f.refused || refused
			if accepted {
				if f.phase = "queued"; f.refused {
					f.phase = "late copy"
				}
			}
		case op == "start" && (f.phase == "queued" || f.phase == "late copy"):
			if !r.Start(id) {
				r.Finish(id, true)
				f.phase, f.refused = "", true
				break
			}
			f.phase = "started"
			f.runs++
		case op == "finish" && f.phase != "" && f.phase != "started":
			r.Finish(id, true)
			f.phase, f.refused = "", true
		case op == "finish" && f.phase == "started":
			r.Finish(id, false)
			f.phase = ""
		case op == "refuse":
			f.refused = r.Refuse(id) || f.refused
		case op == "sweep":
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "s")) * time.Second)
			r.Sweep(now)
		case op == "suspend": // the process is suspended while copies wait in its sockets
			now = now.Add(time.Hour)
			for _, f := range histories {
				f.seenAt = f.seenAt.Add(time.Hour)
			}
			r.Sweep(now)
		}
		if f.runs > 1 || (f.runs > 0 && f.refused) {
			return id
		}
	}
	return ""
}

func TestRefusedNeverRunsAndNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 16).Draw(t, "limit")
		r := attempter.NewRegistry(limit, limit/8)
		if id := findViolation(t, r, 8); id != "" {
			t.Fatalf("got attempt %s run twice or after its refusal", id)
		}
		if got := r.Len(); got > limit {
			t.Fatalf("got %d known, want at most %d", got, limit)
		}
	})
}

// TestNaiveRegistryRunsTwiceOrAfterRefusal checks that findViolation detects the
// faults of a registry without tombstones.
func TestNaiveRegistryRunsTwiceOrAfterRefusal(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		if findViolation(t, &naiveRegistry{queued: map[string]bool{}, started: map[string]bool{}}, 8) != "" {
			found++
		}
	})
	if found == 0 {
		t.Error("got no violation from the naive registry, want some")
	}
}

// TestRegistryMemory fills a registry. Attempts that it has no room for must be
// refused while there is room for their tombstones, and nothing may be promised
// after that. Tombstones are evicted a minute after the deadline of their
// attempts.
func TestRegistryMemory(t *testing.T) {
	const limit, reserve = 16, 4
	now := time.Unix(1_800_000_000, 0)
	advance := func(r *attempter.Registry, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			r.Sweep(now)
		}
	}
	r := attempter.NewRegistry(limit, reserve)
	r.Sweep(now)
	for i := range limit - reserve {
		id := strconv.Itoa(i)
		r.Begin(id)
		r.Start(id)
		r.Finish(id, false)
	}
	if accepted, refused := r.Begin("new"); accepted || !refused {
		t.Errorf("got accepted %t, refused %t at a full registry, want refused", accepted, refused)
	}
	for i := range reserve {
		r.Refuse("settled-" + strconv.Itoa(i))
	}
	if accepted, refused := r.Begin("beyond"); accepted || refused || r.Refuse("beyond too") {
		t.Errorf("got accepted %t, refused %t without room for a tombstone, want neither", accepted, refused)
	}
	advance(r, 2*time.Minute+6*time.Second)
	if accepted, _ := r.Begin("later"); !accepted {
		t.Error("got a new attempt refused after tombstones expired, want it accepted")
	}
	if accepted, refused := r.Begin("settled-0"); accepted || !refused {
		t.Errorf("got accepted %t, refused %t for a late copy, want refused", accepted, refused)
	}
}
