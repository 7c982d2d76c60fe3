package claimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// in runs a test of a world, whose promises must hold in the end.
func in(t *testing.T, entries int, gated bool, test func(*testing.T, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(entries, gated)
		test(t, w)
		w.log.land()
		w.stop()
		if got := w.broken(); got != "" {
			t.Error(got)
		}
	})
}

func reasonOf(err error) gooseberrypass.Reason {
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return ""
}

func check(t *testing.T, s *submission, outcome gooseberrypass.Outcome, reason gooseberrypass.Reason) {
	t.Helper()
	synctest.Wait()
	if s.outcome != outcome || reasonOf(s.err) != reason {
		t.Errorf("got %v (%v), want %v (%s)", s.outcome, s.err, outcome, reason)
	}
}

const (
	answered = gooseberrypass.OutcomeAnswered
	isNotRun = gooseberrypass.OutcomeNotRun
	unknown  = gooseberrypass.OutcomeUnknown
)

func TestSameKeyAtTwoEntriesAtOnce(t *testing.T) {
	in(t, 2, false, func(t *testing.T, w *world) {
		t.Helper()
		for range 100 {
			key := newKey()
			one := w.send(w.entries[0], key, "1", time.Minute)
			two := w.send(w.entries[1], key, "1", time.Minute)
			w.serve(nil)
			check(t, one, answered, "")
			check(t, two, answered, "")
			if one.ran+two.ran != 1 {
				t.Fatalf("got %d runs, want 1", one.ran+two.ran)
			}
		}
	})
}

func TestAppendFates(t *testing.T) {
	tests := []struct {
		name    string
		fate    fate
		outcome gooseberrypass.Outcome
		reason  gooseberrypass.Reason
		again   gooseberrypass.Outcome // of the same key, sent again
	}{
		{"applied", applied, answered, "", answered},
		{"applied twice", appliedTwice, answered, "", answered},
		{"answer lost", answerLost, isNotRun, gooseberrypass.ReasonLogDown, answered},
		{"refused for rate", refusedForRate, answered, "", answered},
		{"dropped", dropped, isNotRun, gooseberrypass.ReasonLogDown, answered},
		{"lands after the answer", lands, isNotRun, gooseberrypass.ReasonLogDown, answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in(t, 2, true, func(t *testing.T, w *world) {
				t.Helper()
				key := newKey()
				first := w.send(w.entries[0], key, "1", time.Minute)
				synctest.Wait()
				w.log.decide(0, tt.fate)
				synctest.Wait()
				w.log.land()
				w.log.mu.Lock()
				w.log.gated = false
				w.log.mu.Unlock()
				time.Sleep(time.Second) // for a claim that is sent again
				w.serve(nil)
				check(t, first, tt.outcome, tt.reason)
				time.Sleep(3 * time.Second) // a release takes its time
				second := w.send(w.entries[1], key, "1", time.Minute)
				w.serve(nil)
				check(t, second, tt.again, "")
			})
		})
	}
}

// An entry freezes between the moment its claim is settled and the dispatch,
// and wakes an hour later: the call is not made, and its key is free again.
func TestFrozenBetweenWinningAndDispatch(t *testing.T) {
	in(t, 2, true, func(t *testing.T, w *world) {
		t.Helper()
		key := newKey()
		frozen := w.send(w.entries[0], key, "1", time.Minute)
		synctest.Wait()
		w.entries[0].clock.freeze(true)
		w.log.decide(0, applied)
		time.Sleep(time.Hour)
		other := w.send(w.entries[1], key, "1", 5*time.Second)
		time.Sleep(6 * time.Second)
		check(t, other, unknown, gooseberrypass.ReasonDeadline)
		w.entries[0].clock.freeze(false)
		synctest.Wait()
		if w.serve(nil) {
			t.Error("call was made an hour late")
		}
		check(t, frozen, isNotRun, gooseberrypass.ReasonDeadline)
		w.log.decide(0, applied) // the release
		synctest.Wait()
		w.log.mu.Lock()
		w.log.gated = false
		w.log.mu.Unlock()
		time.Sleep(10 * time.Second)
		again := w.send(w.entries[1], key, "1", time.Minute)
		w.serve(nil)
		check(t, again, answered, "")
	})
}

// The goroutines of requests are frozen while their claims win, and wake when
// both the verdict and the deadline have passed: no call is made.
func TestWokenWithVerdictAndDeadline(t *testing.T) {
	in(t, 1, false, func(t *testing.T, w *world) {
		t.Helper()
		w.entries[0].caller.freeze(true)
		for range 20 {
			w.send(w.entries[0], newKey(), "1", time.Minute)
		}
		time.Sleep(time.Hour)
		w.entries[0].caller.freeze(false)
		if w.serve(nil) {
			t.Error("call was made an hour late")
		}
		for _, s := range w.sent {
			check(t, s, isNotRun, gooseberrypass.ReasonDeadline)
		}
	})
}

// The caller leaves while its call runs: the outcome is recorded all the same.
func TestCallerLeaves(t *testing.T) {
	in(t, 2, false, func(t *testing.T, w *world) {
		t.Helper()
		key := newKey()
		left := w.send(w.entries[0], key, "1", time.Minute)
		synctest.Wait()
		left.cancel()
		w.serve(nil)
		again := w.send(w.entries[1], key, "1", time.Minute)
		check(t, again, answered, "")
		if got := w.runs[key]; got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// An entry is killed at each step of a call; the same key, sent to another
// entry, never runs again where the first may have run.
func TestKilledAtEachStep(t *testing.T) {
	steps := []struct {
		name string
		want gooseberrypass.Outcome // of the key sent again
	}{{"append", unknown}, {"dispatch", unknown}, {"outcome's append", answered}, {"recorded", answered}}
	for at, tt := range steps {
		t.Run(tt.name, func(t *testing.T) {
			in(t, 2, true, func(t *testing.T, w *world) {
				t.Helper()
				key := newKey()
				w.send(w.entries[0], key, "1", time.Minute)
				synctest.Wait()
				for i := range at {
					if i == 1 {
						w.serve(nil)
					} else {
						w.log.decide(0, applied)
					}
					synctest.Wait()
				}
				w.entries[0].kill()
				w.serve(nil)
				w.log.land()
				w.log.mu.Lock()
				w.log.gated = false
				w.log.mu.Unlock()
				again := w.send(w.entries[1], key, "1", 30*time.Second)
				w.serve(nil)
				time.Sleep(time.Minute)
				synctest.Wait()
				if again.outcome != tt.want {
					t.Errorf("got %d runs, then %v (%v)", w.runs[key], again.outcome, again.err)
				}
			})
		})
	}
}

func TestLogDownTrimmedAndBack(t *testing.T) {
	in(t, 2, false, func(t *testing.T, w *world) {
		t.Helper()
		old := newKey()
		w.send(w.entries[0], old, "1", time.Minute)
		w.serve(nil)
		w.log.setDown(true)
		synctest.Wait()
		down := w.send(w.entries[1], newKey(), "2", time.Minute)
		check(t, down, isNotRun, gooseberrypass.ReasonLogDown)
		time.Sleep(retention + time.Minute)
		w.log.trim()
		w.log.setDown(false)
		time.Sleep(5 * time.Second)
		late := w.send(w.entries[1], old, "1", time.Minute)
		check(t, late, isNotRun, gooseberrypass.ReasonKeyExpired)
		fresh := w.send(w.entries[1], newKey(), "3", time.Minute)
		w.serve(nil)
		check(t, fresh, answered, "")
	})
}

// A log that forgets claims before their time is found out: keys that it may
// have held are refused.
func TestTrimmedTooSoon(t *testing.T) {
	in(t, 2, false, func(t *testing.T, w *world) {
		t.Helper()
		w.entries[1].view.stall(true)
		key := newKey()
		w.send(w.entries[0], key, "1", time.Minute)
		w.serve(nil)
		time.Sleep(10 * time.Second)
		w.log.mu.Lock()
		w.log.first += gooseberrypass.Offset(len(w.log.records))
		w.log.records = nil
		w.log.mu.Unlock()
		w.entries[1].view.stall(false)
		time.Sleep(10 * time.Second)
		again := w.send(w.entries[1], key, "1", time.Minute)
		w.serve(nil)
		check(t, again, isNotRun, gooseberrypass.ReasonKeyExpired)
	})
}

func TestKeys(t *testing.T) {
	in(t, 3, false, func(t *testing.T, w *world) {
		t.Helper()
		w.send(w.entries[0], newKey(), "1", time.Minute)
		used := w.sent[0].key
		w.serve(nil)
		tests := []struct {
			name, key, body string
			outcome         gooseberrypass.Outcome
			reason          gooseberrypass.Reason
		}{
			{"none", "", "1", isNotRun, gooseberrypass.ReasonBadRequest},
			{"not version 7", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "1", isNotRun, gooseberrypass.ReasonBadRequest},
			{"too old", keyAt(-retention), "1", isNotRun, gooseberrypass.ReasonKeyExpired},
			{"from the future", keyAt(time.Hour), "1", isNotRun, gooseberrypass.ReasonBadRequest},
			{"clock minutes ahead", keyAt(4 * time.Minute), "1", answered, ""},
			{"used, other body", used, "2", isNotRun, gooseberrypass.ReasonKeyConflict},
			{"used", used, "1", answered, ""},
		}
		for _, tt := range tests {
			for i, e := range w.entries {
				s := w.send(e, tt.key, tt.body, time.Minute)
				w.serve(nil)
				synctest.Wait()
				if s.outcome != tt.outcome || reasonOf(s.err) != tt.reason {
					t.Errorf("%s at entry %d: got %v (%v), want %v (%s)", tt.name, i, s.outcome, s.err, tt.outcome, tt.reason)
				}
			}
		}
	})
}

func TestLookup(t *testing.T) {
	in(t, 2, false, func(t *testing.T, w *world) {
		t.Helper()
		key, held := newKey(), newKey()
		w.send(w.entries[0], key, "1", time.Minute)
		w.serve(nil)
		w.send(w.entries[0], held, "1", time.Minute)
		synctest.Wait()
		tests := []struct {
			name, key string
			account   gooseberrypass.ID
			outcome   gooseberrypass.Outcome
			body      string
		}{
			{"answered", key, "radio", answered, "receipt for 1"},
			{"other account", key, "tv", unknown, ""},
			{"under way", held, "radio", unknown, ""},
			{"never sent", newKey(), "radio", unknown, ""},
		}
		for _, tt := range tests {
			got, err := w.entries[1].lookup.Outcome(context.Background(), tt.account, tt.key)
			if err != nil || got.Outcome != tt.outcome || string(got.Body) != tt.body {
				t.Errorf("%s: got %+v, %v, want %v %q", tt.name, got, err, tt.outcome, tt.body)
			}
		}
	})
}

// The log takes no append for its rate for longer than the caller waits.
func TestRefusedForRateUntilDeadline(t *testing.T) {
	in(t, 2, true, func(t *testing.T, w *world) {
		t.Helper()
		key := newKey()
		first := w.send(w.entries[0], key, "1", 5*time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			w.log.decide(0, refusedForRate)
		}
		check(t, first, isNotRun, gooseberrypass.ReasonDeadline)
		w.log.mu.Lock()
		w.log.gated = false
		w.log.mu.Unlock()
		time.Sleep(5 * time.Second)
		second := w.send(w.entries[1], key, "1", time.Minute)
		w.serve(nil)
		check(t, second, answered, "")
		if first.ran+second.ran != 1 {
			t.Errorf("got %d runs, want 1", first.ran+second.ran)
		}
	})
}
