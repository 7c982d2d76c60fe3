package forwarder_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// exchange makes every entry tell every other one, some times over.
func exchange(entries []*fixture) {
	for range 3 {
		for _, from := range entries {
			for _, to := range entries {
				to.tracker.AddRequestCrashes(from.tracker.RequestCrashes())
			}
		}
	}
}

func newEntries(t *testing.T, n int) []*fixture {
	t.Helper()
	entries := make([]*fixture, 0, n)
	for range n {
		entries = append(entries, newFixture(t, reaction{reset: true}))
	}
	return entries
}

// Entries forgot a request that crashes endpoints once those that had seen the crashes were
// restarted, and it crashed as many more.
func TestCrashesOutlastTheEntriesThatSawThem(t *testing.T) {
	for name, crashes := range map[string][]int{"seen by one": {3, 0, 0, 0}, "seen by three": {1, 1, 0, 1}, "seen by two": {0, 2, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			entries := newEntries(t, len(crashes))
			for i, n := range crashes {
				for range n {
					entries[i].send("/once/poison", "key")
				}
			}
			exchange(entries)
			for restart := range 2 * len(entries) {
				i := restart % len(entries)
				age := entries[i].clock.Now().Sub(newFixture(t).clock.Now())
				entries[i] = newFixture(t, reaction{reset: true})
				entries[i].clock.Advance(age)
				exchange(entries)
				for _, f := range entries {
					before := len(f.transport.sent)
					f.send("/once/poison", "key")
					if got := len(f.transport.sent) - before; got > 0 {
						t.Fatalf("after %d restarts: got %d dispatches of the request, want 0", restart+1, got)
					}
					f.clock.Advance(5 * time.Second)
				}
			}
		})
	}
}

// A request that crashes endpoints was let through again and again, as the quarantine always took
// as long. It comes at all entries for a quarter of an hour, and entries are restarted meanwhile.
func TestQuarantineOfARequestGrowsWithItsCrashes(t *testing.T) {
	const (
		pause = 400 * time.Millisecond
		until = 15 * time.Minute
	)
	entries := newEntries(t, 4)
	age, sent := time.Duration(0), 0
	for n := 0; age < until; n++ {
		i := n % len(entries)
		if n%100 == 99 {
			entries[i] = newFixture(t, reaction{reset: true})
			entries[i].clock.Advance(age)
			exchange(entries)
		}
		before := len(entries[i].transport.sent)
		entries[i].send("/once/poison", "key")
		if len(entries[i].transport.sent) > before {
			sent++
			exchange(entries)
		}
		for _, f := range entries {
			f.clock.Advance(pause)
		}
		age += pause
	}
	if got, want := sent, 3+3; got > want {
		t.Errorf("got %d dispatches, want at most %d: three before the quarantine, and three retries", got, want)
	}
}

// What entries tell one another again and again is no further crash, and ends the quarantine
// no later.
func TestCrashesThatAreToldAgainDoNotCountAgain(t *testing.T) {
	entries := newEntries(t, 4)
	entries[0].send("/once/x", "key")
	entries[1].send("/once/x", "key")
	exchange(entries)
	entries[2].send("/once/x", "key")
	if got, want := len(entries[2].transport.sent), 1; got != want {
		t.Fatalf("after two crashes: got %d dispatches, want %d", got, want)
	}
	for range 13 { // 65 s, the quarantine takes 60
		exchange(entries)
		for _, f := range entries {
			f.clock.Advance(5 * time.Second)
		}
	}
	for i, f := range entries {
		before := len(f.transport.sent)
		f.send("/once/x", "key")
		if got, want := len(f.transport.sent)-before, 1; got != want {
			t.Errorf("entry %d after the quarantine: got %d dispatches, want %d", i, got, want)
		}
	}
}

// A request that many callers send was refused for a minute after one crash that broke three
// runs of it, although others were answered.
func TestAnswerClearsARequest(t *testing.T) {
	entries := newEntries(t, 3)
	for range 3 {
		entries[0].send("/once/popular", "key")
	}
	sound := newFixture(t, reaction{body: "answer"})
	entries = append(entries, sound)
	sound.transport.onSend = func(gooseberrypass.Dispatch) { exchange(entries) } // it runs already when they hear of the crashes
	for _, f := range entries {
		f.clock.Advance(time.Second)
	}
	if c := sound.send("/once/popular", "key"); c.body.String() != "answer" {
		t.Fatalf("got %q, want the answer", c.body.String())
	}
	exchange(entries)
	for i, f := range entries[1:3] {
		f.clock.Advance(time.Second)
		before := len(f.transport.sent)
		f.send("/once/popular", "key")
		if got, want := len(f.transport.sent)-before, 1; got != want {
			t.Errorf("entry %d after the answer: got %d dispatches, want %d", i+1, got, want)
		}
	}
	entries[0].clock.Advance(time.Second)
	entries[0].send("/once/popular", "key") // with the two above three crashes since
	exchange(entries[:3])
	for i, f := range entries[:3] {
		before := len(f.transport.sent)
		f.send("/once/popular", "key")
		if got := len(f.transport.sent) - before; got > 0 {
			t.Errorf("entry %d after three further crashes: got %d dispatches, want 0", i, got)
		}
	}
}

// One crash that breaks many runs of a request at many entries begins one quarantine of the
// usual length.
func TestOneCrashDoesNotLengthenTheQuarantine(t *testing.T) {
	entries := newEntries(t, 4)
	for _, f := range entries {
		for range 3 {
			f.send("/once/popular", "key")
		}
	}
	exchange(entries)
	for i, f := range entries {
		f.clock.Advance(f.settings.QuarantineTime + time.Second)
		before := len(f.transport.sent)
		f.send("/once/popular", "key")
		if got, want := len(f.transport.sent)-before, 1; got != want {
			t.Errorf("entry %d after the usual quarantine: got %d dispatches, want %d", i, got, want)
		}
	}
}
