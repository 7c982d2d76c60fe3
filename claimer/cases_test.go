package claimer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// runInCluster runs a test in a new cluster and checks the guarantees at its end.
func runInCluster(t *testing.T, entries int, gated bool, test func(*testing.T, *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(entries, gated)
		test(t, c)
		c.log.applyLate()
		c.stop()
		if got := c.violation(); got != "" {
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

func checkOutcome(t *testing.T, cr *clientRequest, outcome gooseberrypass.Outcome, reason gooseberrypass.Reason) {
	t.Helper()
	synctest.Wait()
	if cr.outcome != outcome || reasonOf(cr.err) != reason {
		t.Errorf("got %v (%v), want %v (%s)", cr.outcome, cr.err, outcome, reason)
	}
}

const (
	answered = gooseberrypass.OutcomeAnswered
	notRun   = gooseberrypass.OutcomeNotRun
	unknown  = gooseberrypass.OutcomeUnknown
)

func TestSameKeyAtTwoEntriesAtOnce(t *testing.T) {
	runInCluster(t, 2, false, func(t *testing.T, c *cluster) {
		t.Helper()
		for range 100 {
			key := newKey()
			one := c.send(c.entries[0], key, "1", time.Minute)
			two := c.send(c.entries[1], key, "1", time.Minute)
			c.answerNextCall(nil)
			checkOutcome(t, one, answered, "")
			checkOutcome(t, two, answered, "")
			if one.runs+two.runs != 1 {
				t.Fatalf("got %d runs, want 1", one.runs+two.runs)
			}
		}
	})
}

func TestAppendFates(t *testing.T) {
	tests := []struct {
		name         string
		appendResult appendResult
		outcome      gooseberrypass.Outcome
		reason       gooseberrypass.Reason
		again        gooseberrypass.Outcome // of a second request with the same key
	}{
		{"applied", applied, answered, "", answered},
		{"applied twice", appliedTwice, answered, "", answered},
		{"answer lost", responseLost, answered, "", answered},
		{"refused for rate", rateLimited, answered, "", answered},
		{"dropped", dropped, notRun, gooseberrypass.ReasonLogDown, answered},
		{"lands after the answer", appliedLate, notRun, gooseberrypass.ReasonLogDown, answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInCluster(t, 2, true, func(t *testing.T, c *cluster) {
				t.Helper()
				key := newKey()
				first := c.send(c.entries[0], key, "1", time.Minute)
				synctest.Wait()
				c.log.resolveAppend(0, tt.appendResult)
				synctest.Wait()
				c.log.applyLate()
				c.log.mu.Lock()
				c.log.gated = false
				c.log.mu.Unlock()
				time.Sleep(time.Second) // for a claim that is appended again after its backoff
				c.answerNextCall(nil)
				checkOutcome(t, first, tt.outcome, tt.reason)
				time.Sleep(3 * time.Second) // for the release to be appended and read
				second := c.send(c.entries[1], key, "1", time.Minute)
				c.answerNextCall(nil)
				checkOutcome(t, second, tt.again, "")
			})
		})
	}
}

// An entry that is suspended after its claim has won and resumes an hour later
// must not make the call. It releases the key, so that another request can use it.
func TestFrozenBetweenWinningAndDispatch(t *testing.T) {
	runInCluster(t, 2, true, func(t *testing.T, c *cluster) {
		t.Helper()
		key := newKey()
		frozen := c.send(c.entries[0], key, "1", time.Minute)
		synctest.Wait()
		c.entries[0].clock.freeze(true)
		c.log.resolveAppend(0, applied)
		time.Sleep(time.Hour)
		other := c.send(c.entries[1], key, "1", 5*time.Second)
		time.Sleep(6 * time.Second)
		checkOutcome(t, other, unknown, gooseberrypass.ReasonDeadline)
		c.entries[0].clock.freeze(false)
		synctest.Wait()
		if c.answerNextCall(nil) {
			t.Error("call was made an hour after its deadline")
		}
		checkOutcome(t, frozen, notRun, gooseberrypass.ReasonDeadline)
		c.log.resolveAppend(0, applied) // the release
		synctest.Wait()
		c.log.mu.Lock()
		c.log.gated = false
		c.log.mu.Unlock()
		time.Sleep(10 * time.Second)
		again := c.send(c.entries[1], key, "1", time.Minute)
		c.answerNextCall(nil)
		checkOutcome(t, again, answered, "")
	})
}

// Request goroutines are suspended while their claims win and resume when both
// the verdict is there and the deadline has passed. A select may then pick either;
// no call must be made.
func TestWokenWithVerdictAndDeadline(t *testing.T) {
	runInCluster(t, 1, false, func(t *testing.T, c *cluster) {
		t.Helper()
		c.entries[0].requestClock.freeze(true)
		for range 20 {
			c.send(c.entries[0], newKey(), "1", time.Minute)
		}
		time.Sleep(time.Hour)
		c.entries[0].requestClock.freeze(false)
		if c.answerNextCall(nil) {
			t.Error("call was made an hour after its deadline")
		}
		for _, cr := range c.requests {
			checkOutcome(t, cr, notRun, gooseberrypass.ReasonDeadline)
		}
	})
}

// A caller disconnects while its call runs. The outcome is still recorded, so that
// a retry with the same key gets it and does not run again.
func TestCallerLeaves(t *testing.T) {
	runInCluster(t, 2, false, func(t *testing.T, c *cluster) {
		t.Helper()
		key := newKey()
		left := c.send(c.entries[0], key, "1", time.Minute)
		synctest.Wait()
		left.cancel()
		c.answerNextCall(nil)
		again := c.send(c.entries[1], key, "1", time.Minute)
		checkOutcome(t, again, answered, "")
		if got := c.serviceRuns[key]; got != 1 {
			t.Errorf("got %d runs, want 1", got)
		}
	})
}

// An entry is killed at each step of a call. A retry with the same key at another
// entry must not run if the first call may have run.
func TestKilledAtEachStep(t *testing.T) {
	steps := []struct {
		name string
		want gooseberrypass.Outcome // of the retry with the same key
	}{{"append", unknown}, {"dispatch", unknown}, {"outcome's append", answered}, {"recorded", answered}}
	for at, tt := range steps {
		t.Run(tt.name, func(t *testing.T) {
			runInCluster(t, 2, true, func(t *testing.T, c *cluster) {
				t.Helper()
				key := newKey()
				c.send(c.entries[0], key, "1", time.Minute)
				synctest.Wait()
				for i := range at {
					if i == 1 {
						c.answerNextCall(nil)
					} else {
						c.log.resolveAppend(0, applied)
					}
					synctest.Wait()
				}
				c.entries[0].kill()
				c.answerNextCall(nil)
				c.log.applyLate()
				c.log.mu.Lock()
				c.log.gated = false
				c.log.mu.Unlock()
				again := c.send(c.entries[1], key, "1", 30*time.Second)
				c.answerNextCall(nil)
				time.Sleep(time.Minute)
				synctest.Wait()
				if again.outcome != tt.want {
					t.Errorf("got %d runs, then %v (%v)", c.serviceRuns[key], again.outcome, again.err)
				}
			})
		})
	}
}

func TestLogDownTrimmedAndBack(t *testing.T) {
	runInCluster(t, 2, false, func(t *testing.T, c *cluster) {
		t.Helper()
		old := newKey()
		c.send(c.entries[0], old, "1", time.Minute)
		c.answerNextCall(nil)
		c.log.setUnavailable(true)
		synctest.Wait()
		down := c.send(c.entries[1], newKey(), "2", time.Minute)
		checkOutcome(t, down, notRun, gooseberrypass.ReasonLogDown)
		time.Sleep(retention + time.Minute)
		c.log.trim()
		c.log.setUnavailable(false)
		time.Sleep(5 * time.Second)
		late := c.send(c.entries[1], old, "1", time.Minute)
		checkOutcome(t, late, notRun, gooseberrypass.ReasonKeyExpired)
		fresh := c.send(c.entries[1], newKey(), "3", time.Minute)
		c.answerNextCall(nil)
		checkOutcome(t, fresh, answered, "")
	})
}

// A log deletes claims before the end of their retention. A reader that missed
// them must refuse the keys that they may have held.
func TestTrimmedTooSoon(t *testing.T) {
	runInCluster(t, 2, false, func(t *testing.T, c *cluster) {
		t.Helper()
		c.entries[1].view.setStalled(true)
		key := newKey()
		c.send(c.entries[0], key, "1", time.Minute)
		c.answerNextCall(nil)
		time.Sleep(10 * time.Second)
		c.log.mu.Lock()
		c.log.first += gooseberrypass.Offset(len(c.log.records))
		c.log.records = nil
		c.log.mu.Unlock()
		c.entries[1].view.setStalled(false)
		time.Sleep(10 * time.Second)
		again := c.send(c.entries[1], key, "1", time.Minute)
		c.answerNextCall(nil)
		checkOutcome(t, again, notRun, gooseberrypass.ReasonKeyExpired)
	})
}

func TestKeys(t *testing.T) {
	runInCluster(t, 3, false, func(t *testing.T, c *cluster) {
		t.Helper()
		c.send(c.entries[0], newKey(), "1", time.Minute)
		used := c.requests[0].key
		c.answerNextCall(nil)
		tests := []struct {
			name, key, body string
			outcome         gooseberrypass.Outcome
			reason          gooseberrypass.Reason
		}{
			{"none", "", "1", notRun, gooseberrypass.ReasonBadRequest},
			{"not version 7", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", "1", notRun, gooseberrypass.ReasonBadRequest},
			{"too old", keyAt(-retention), "1", notRun, gooseberrypass.ReasonKeyExpired},
			{"from the future", keyAt(time.Hour), "1", notRun, gooseberrypass.ReasonBadRequest},
			{"clock minutes ahead", keyAt(4 * time.Minute), "1", answered, ""},
			{"used, other body", used, "2", notRun, gooseberrypass.ReasonKeyConflict},
			{"used", used, "1", answered, ""},
		}
		for _, tt := range tests {
			for i, e := range c.entries {
				cr := c.send(e, tt.key, tt.body, time.Minute)
				c.answerNextCall(nil)
				synctest.Wait()
				if cr.outcome != tt.outcome || reasonOf(cr.err) != tt.reason {
					t.Errorf("%s at entry %d: got %v (%v), want %v (%s)", tt.name, i, cr.outcome, cr.err, tt.outcome, tt.reason)
				}
			}
		}
	})
}

func TestLookup(t *testing.T) {
	runInCluster(t, 2, false, func(t *testing.T, c *cluster) {
		t.Helper()
		key, held := newKey(), newKey()
		c.send(c.entries[0], key, "1", time.Minute)
		c.answerNextCall(nil)
		c.send(c.entries[0], held, "1", time.Minute)
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
			got, err := c.entries[1].outcomes.Outcome(context.Background(), tt.account, tt.key)
			if err != nil || got.Outcome != tt.outcome || string(got.Body) != tt.body {
				t.Errorf("%s: got %+v, %v, want %v %q", tt.name, got, err, tt.outcome, tt.body)
			}
		}
	})
}

// The log refuses all appends for their rate until the caller's deadline. The call
// must not run; a retry at another entry then runs once.
func TestRefusedForRateUntilDeadline(t *testing.T) {
	runInCluster(t, 2, true, func(t *testing.T, c *cluster) {
		t.Helper()
		key := newKey()
		first := c.send(c.entries[0], key, "1", 5*time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			c.log.resolveAppend(0, rateLimited)
		}
		checkOutcome(t, first, notRun, gooseberrypass.ReasonDeadline)
		c.log.mu.Lock()
		c.log.gated = false
		c.log.mu.Unlock()
		time.Sleep(5 * time.Second)
		second := c.send(c.entries[1], key, "1", time.Minute)
		c.answerNextCall(nil)
		checkOutcome(t, second, answered, "")
		if first.runs+second.runs != 1 {
			t.Errorf("got %d runs, want 1", first.runs+second.runs)
		}
	})
}
