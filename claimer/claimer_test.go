package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
)

// A submission is one request of a caller, and what it was told.
type submission struct {
	cancel  context.CancelFunc
	body    string
	err     error
	key     string
	outcome gooseberrypass.Outcome
	ran     int
	told    string
}

// Start, Write and End implement gooseberrypass.Answer.
func (s *submission) Start(gooseberrypass.Digest) error { return nil }
func (s *submission) Write(piece []byte) error          { s.told += string(piece); return nil }
func (s *submission) End() error                        { return nil }

// A world is some entries over one log and one service that counts its runs.
type world struct {
	calls   []chan error // dispatched calls that wait for the service
	entries []*entry
	log     *gatedLog
	mu      sync.Mutex
	naive   bool
	runs    map[string]int
	sent    []*submission
	wg      sync.WaitGroup
}

func newWorld(entries int, gated bool) *world {
	w := &world{log: &gatedLog{first: 1, gated: gated}, runs: map[string]int{}}
	for i := range entries {
		w.entries = append(w.entries, startEntry(w.log, time.Duration(i-1)*3*time.Minute, &w.wg))
	}
	time.Sleep(1100 * time.Millisecond) // the first tick starts the reading
	return w
}

func newKey() string { return keyAt(0) }

// keyAt returns a key made d from now. The library's generator never goes back
// in time, which each bubble of a test does.
func keyAt(d time.Duration) string {
	id := uuid.New()
	millis := time.Now().Add(d).UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// send hands a request to an entry, on a goroutine of its own.
func (w *world) send(e *entry, key, body string, deadline time.Duration) *submission {
	s := &submission{body: body, key: key}
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Account: "radio", Body: []byte(body), Call: "grant", Deadline: time.Now().Add(e.clock.skew + deadline),
		Key: key, Kind: gooseberrypass.RequestCall, Target: "licensing",
	}).WithAccountID("radio").WithTarget("licensing", false)
	filter := e.filter
	if w.naive {
		filter = naiveClaimer{e.view}
	}
	handler := filter.Wrap(gooseberrypass.HandlerFunc(func(ctx context.Context, _ *gooseberrypass.Request, a gooseberrypass.Answer) error {
		return w.call(ctx, s, a)
	}))
	ctx, cancel := context.WithTimeout(e.life, deadline)
	s.cancel = cancel
	w.sent = append(w.sent, s)
	w.wg.Go(func() {
		defer cancel()
		err := handler.Handle(ctx, req, s)
		var failure *gooseberrypass.RequestError
		w.mu.Lock()
		defer w.mu.Unlock()
		s.err = err
		switch {
		case err == nil:
			s.outcome = gooseberrypass.OutcomeAnswered
		case errors.As(err, &failure):
			s.outcome = failure.Outcome
		}
	})
	return s
}

// call is the way to the service: it waits for the test to decide.
func (w *world) call(ctx context.Context, s *submission, a gooseberrypass.Answer) error {
	decided := make(chan error, 1)
	w.mu.Lock()
	w.calls = append(w.calls, decided)
	w.mu.Unlock()
	var err error
	select {
	case err = <-decided:
	case <-ctx.Done(): // the service goes on
		err = cutOff()
	}
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) && failure.Outcome == gooseberrypass.OutcomeNotRun {
		return err
	}
	w.mu.Lock()
	w.runs[s.key]++
	s.ran++
	w.mu.Unlock()
	if err != nil {
		return err
	}
	_ = a.Start(gooseberrypass.Digest{})
	_ = a.Write([]byte("receipt for " + s.body))
	return a.End()
}

// serve decides the oldest call that waits for the service.
func (w *world) serve(err error) bool {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) == 0 {
		return false
	}
	w.calls[0] <- err
	w.calls = w.calls[1:]
	return true
}

// stop ends everything that runs.
func (w *world) stop() {
	for _, e := range w.entries {
		e.caller.freeze(false)
		e.clock.freeze(false)
		e.kill()
	}
	for _, s := range w.sent {
		s.cancel()
	}
	for w.serve(notRun()) || len(w.log.pending) > 0 {
		w.log.decide(0, dropped)
	}
	w.wg.Wait()
}

func notRun() error {
	return &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
}

func cutOff() error { return &gooseberrypass.RequestError{Reason: gooseberrypass.ReasonCut} }

// broken returns what is wrong with the promises, "" for nothing.
func (w *world) broken() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, n := range w.runs {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", key, n)
		}
	}
	for _, s := range w.sent {
		if s.outcome == gooseberrypass.OutcomeNotRun && s.ran > 0 {
			return fmt.Sprintf("request with key %s was told not run, and ran", s.key)
		}
		if s.outcome == gooseberrypass.OutcomeAnswered && s.told != "receipt for "+s.body {
			return fmt.Sprintf("request %q was told %q", s.body, s.told)
		}
	}
	return ""
}

// A naiveClaimer looks whether the log has a claim of the key, and if not
// appends one and makes the call.
type naiveClaimer struct{ log *view }

func (n naiveClaimer) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, a gooseberrypass.Answer) error {
		batch, err := n.log.Read(ctx, "claims", 1, 0)
		if err != nil {
			return notRun()
		}
		for _, r := range batch.Records {
			if string(r.Body) == req.Key() {
				return &gooseberrypass.RequestError{}
			}
		}
		if _, err := n.log.Append(ctx, "claims", []byte(req.Key())); err != nil {
			return notRun()
		}
		return next.Handle(ctx, req, a)
	})
}

// An op is one step of a history: what happens, and to which entry, key or
// append.
type op struct{ kind, a, b int }

// apply makes one step.
func (w *world) apply(o op, keys []string) {
	e := w.entries[o.a%len(w.entries)]
	switch o.kind {
	case 0, 1, 2:
		w.send(e, keys[o.b%len(keys)], []string{"1", "1", "1", "2"}[o.b%4], 30*time.Second)
	case 3:
		w.log.decide(o.a, fate(o.b%int(fates)))
	case 4, 5, 6:
		w.log.decide(o.a, applied)
	case 7, 8, 9:
		w.serve([]error{nil, nil, nil, notRun(), cutOff()}[o.b%5])
	case 10:
		e.view.stall(o.b%3 == 0)
	case 11:
		e.clock.freeze(o.b%3 == 0)
	case 12:
		e.kill()
		e.clock.freeze(false)
		w.entries[o.a%len(w.entries)] = startEntry(w.log, e.clock.skew, &w.wg)
	case 13:
		w.log.land()
	case 14:
		w.log.setDown(o.b%5 == 0)
	case 15:
		time.Sleep([]time.Duration{time.Millisecond, time.Second, 12 * time.Second, 10 * time.Minute}[o.b%4])
		w.log.trim()
	}
	synctest.Wait()
}

func play(t *testing.T, ops []op, naive bool) string {
	t.Helper()
	broken := ""
	synctest.Test(t, func(*testing.T) {
		w := newWorld(3, true)
		w.naive = naive
		keys := []string{newKey(), newKey()}
		for _, o := range ops {
			w.apply(o, keys)
		}
		w.log.land()
		w.stop()
		broken = w.broken()
	})
	return broken
}

// history returns n steps drawn from a seed, most of them requests, appends and
// runs, some of them faults.
func history(seed uint64, n int) []op {
	rng := rand.New(rand.NewPCG(seed, 1))
	ops := make([]op, n)
	for i := range ops {
		kind := rng.IntN(10)
		if rng.IntN(12) == 0 {
			kind = 10 + rng.IntN(6)
		}
		ops[i] = op{kind, rng.IntN(6), rng.IntN(24)}
	}
	return ops
}

// Whatever the order in which appends land, are lost or come twice, entries
// freeze, die and start, and the log goes down: no key runs twice, and nobody
// is told "not run" of what ran. The naive version breaks that in the same
// histories.
func TestAtMostOnceInAnyHistory(t *testing.T) {
	naiveBroke := 0
	rapid.Check(t, func(rt *rapid.T) {
		ops := history(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(10, 60).Draw(rt, "steps"))
		if got := play(t, ops, false); got != "" {
			rt.Fatal(got)
		}
		if play(t, ops, true) != "" {
			naiveBroke++
		}
	})
	if naiveBroke == 0 {
		t.Error("the naive version never ran twice, so the histories prove nothing")
	}
	t.Logf("naive version broke a promise in %d histories", naiveBroke)
}
