package attempter_test

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass/attempter"
)

// steps are what a registry and its naive version have in common.
type steps interface {
	Begin(id string) (goesOn, refused bool)
	Finish(id string, notRun bool)
	Refuse(id string) bool
	Start(id string) bool
	Sweep(now time.Time)
}

// A forgetful registry is the naive version: it knows only what is in progress,
// and says of the rest that it will not run.
type forgetful struct {
	queued  map[string]bool
	started map[string]bool
}

func (f *forgetful) Begin(id string) (bool, bool) {
	if f.queued[id] || f.started[id] {
		return false, false
	}
	f.queued[id] = true
	return true, false
}

func (f *forgetful) Finish(id string, _ bool) { delete(f.queued, id); delete(f.started, id) }

func (f *forgetful) Refuse(id string) bool { return !f.started[id] }

func (f *forgetful) Start(id string) bool {
	f.started[id] = true
	return true
}

func (f *forgetful) Sweep(time.Time) {}

// broken drives random interleavings of attempts, their copies and refusals and
// returns what was broken: an attempt that ran twice or after a refusal. Copies
// come until an attempt's deadline and a minute have passed.
func broken(t *rapid.T, r steps, ids int) string {
	type fate struct {
		phase   string // of the copy in progress
		refused bool
		runs    int
		since   time.Time // of the first mention
	}
	fates := map[string]*fate{}
	now := time.Unix(1_800_000_000, 0)
	r.Sweep(now)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		id := strconv.Itoa(rapid.IntRange(1, ids).Draw(t, "id"))
		f, ok := fates[id]
		if !ok {
			f = &fate{since: now}
			fates[id] = f
		}
		op := rapid.SampledFrom([]string{"arrive", "arrive", "start", "finish", "refuse", "sweep", "freeze"}).Draw(t, "op")
		switch {
		case op == "arrive" && now.Sub(f.since) < 2*time.Minute:
			goesOn, refused := r.Begin(id)
			f.refused = f.refused || refused
			if goesOn {
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
		case op == "freeze": // the process is suspended; copies wait in its sockets
			now = now.Add(time.Hour)
			for _, f := range fates {
				f.since = f.since.Add(time.Hour)
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
		if id := broken(t, r, 8); id != "" {
			t.Fatalf("got attempt %s run twice or after its refusal", id)
		}
		if got := r.Len(); got > limit {
			t.Fatalf("got %d known, want at most %d", got, limit)
		}
	})
}

func TestForgetfulRegistryBreaksThePromise(t *testing.T) {
	found := 0
	rapid.Check(t, func(t *rapid.T) {
		if broken(t, &forgetful{queued: map[string]bool{}, started: map[string]bool{}}, 8) != "" {
			found++
		}
	})
	if found == 0 {
		t.Error("got no broken promise from the naive version, want some")
	}
}

func TestRegistryMemory(t *testing.T) {
	const limit, reserve = 16, 4
	now := time.Unix(1_800_000_000, 0)
	pass := func(r *attempter.Registry, d time.Duration) {
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
	if goesOn, refused := r.Begin("new"); goesOn || !refused {
		t.Errorf("got goes on %t, refused %t at a full registry, want refused", goesOn, refused)
	}
	for i := range reserve {
		r.Refuse("settled-" + strconv.Itoa(i))
	}
	if goesOn, refused := r.Begin("beyond"); goesOn || refused || r.Refuse("beyond too") {
		t.Errorf("got goes on %t, refused %t with no record left, want nothing promised", goesOn, refused)
	}
	pass(r, 2*time.Minute+6*time.Second)
	if goesOn, _ := r.Begin("later"); !goesOn {
		t.Error("got refused after the time of memory, want a new attempt to go on")
	}
	if goesOn, refused := r.Begin("settled-0"); goesOn || !refused {
		t.Errorf("got goes on %t, refused %t for a late copy, want refused", goesOn, refused)
	}
}
