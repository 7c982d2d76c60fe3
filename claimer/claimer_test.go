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

// A clientRequest is one request of a caller and the response that it received.
type clientRequest struct {
	body     string
	cancel   context.CancelFunc
	err      error
	key      string
	outcome  gooseberrypass.Outcome
	received string
	runs     int
}

// Start, Write and End implement gooseberrypass.Answer.
func (cr *clientRequest) Start(gooseberrypass.Digest) error { return nil }

func (cr *clientRequest) Write(piece []byte) error { cr.received += string(piece); return nil }
func (cr *clientRequest) End() error               { return nil }

// A cluster consists of entries that share one log, and a service that counts its
// runs per key.
type cluster struct {
	calls       []chan error // dispatched calls that the service has not answered yet
	entries     []*entry
	log         *fakeLog
	mu          sync.Mutex
	requests    []*clientRequest
	serviceRuns map[string]int
	useNaive    bool
	wg          sync.WaitGroup
}

func newCluster(entries int, gated bool) *cluster {
	c := &cluster{log: &fakeLog{first: 1, gated: gated}, serviceRuns: map[string]int{}}
	for i := range entries {
		c.entries = append(c.entries, startEntry(c.log, time.Duration(i-1)*3*time.Minute, &c.wg))
	}
	time.Sleep(1100 * time.Millisecond) // the first tick, after 1 s, starts the reads
	return c
}

func newKey() string { return keyAt(0) }

// keyAt returns a key created d from now. uuid.NewV7 cannot be used: its times
// never decrease, but each synctest bubble starts at the same earlier time.
func keyAt(d time.Duration) string {
	id := uuid.New()
	millis := time.Now().Add(d).UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

// send sends a request to an entry on a new goroutine.
func (c *cluster) send(e *entry, key, body string, deadline time.Duration) *clientRequest {
	cr := &clientRequest{body: body, key: key}
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Account: "radio", Body: []byte(body), Call: "grant", Deadline: time.Now().Add(e.clock.skew + deadline),
		Key: key, Kind: gooseberrypass.RequestCall, Target: "licensing",
	}).WithAccountID("radio").WithTarget("licensing", false)
	filter := e.filter
	if c.useNaive {
		filter = naiveClaimer{e.view}
	}
	handler := filter.Wrap(gooseberrypass.HandlerFunc(func(ctx context.Context, _ *gooseberrypass.Request, a gooseberrypass.Answer) error {
		return c.callService(ctx, cr, a)
	}))
	ctx, cancel := context.WithTimeout(e.lifetime, deadline)
	cr.cancel = cancel
	c.requests = append(c.requests, cr)
	c.wg.Go(func() {
		defer cancel()
		err := handler.Handle(ctx, req, cr)
		var failure *gooseberrypass.RequestError
		c.mu.Lock()
		defer c.mu.Unlock()
		cr.err = err
		switch {
		case err == nil:
			cr.outcome = gooseberrypass.OutcomeAnswered
		case errors.As(err, &failure):
			cr.outcome = failure.Outcome
		}
	})
	return cr
}

// callService makes a call of the service and waits for the test to answer it.
func (c *cluster) callService(ctx context.Context, cr *clientRequest, a gooseberrypass.Answer) error {
	decided := make(chan error, 1)
	c.mu.Lock()
	c.calls = append(c.calls, decided)
	c.mu.Unlock()
	var err error
	select {
	case err = <-decided:
	case <-ctx.Done(): // the service still runs the call
		err = abortedError()
	}
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) && failure.Outcome == gooseberrypass.OutcomeNotRun {
		return err
	}
	c.mu.Lock()
	c.serviceRuns[cr.key]++
	cr.runs++
	c.mu.Unlock()
	if err != nil {
		return err
	}
	_ = a.Start(gooseberrypass.Digest{})
	_ = a.Write([]byte("receipt for " + cr.body))
	return a.End()
}

// answerNextCall answers the oldest pending call of the service with err, or
// successfully if err is nil. It reports whether there was one.
func (c *cluster) answerNextCall(err error) bool {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return false
	}
	c.calls[0] <- err
	c.calls = c.calls[1:]
	return true
}

// stop ends all entries, requests, calls and appends.
func (c *cluster) stop() {
	for _, e := range c.entries {
		e.requestClock.freeze(false)
		e.clock.freeze(false)
		e.kill()
	}
	for _, cr := range c.requests {
		cr.cancel()
	}
	for c.answerNextCall(notRunError()) || len(c.log.pending) > 0 {
		c.log.resolveAppend(0, dropped)
	}
	c.wg.Wait()
}

func notRunError() error {
	return &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
}

func abortedError() error { return &gooseberrypass.RequestError{Reason: gooseberrypass.ReasonCut} }

// violation returns the guarantee that was violated, "" for none.
func (c *cluster) violation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, n := range c.serviceRuns {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", key, n)
		}
	}
	for _, cr := range c.requests {
		if cr.outcome == gooseberrypass.OutcomeNotRun && cr.runs > 0 {
			return fmt.Sprintf("request with key %s got outcome \"not run\" but ran", cr.key)
		}
		if cr.outcome == gooseberrypass.OutcomeAnswered && cr.received != "receipt for "+cr.body {
			return fmt.Sprintf("request %q got answer %q", cr.body, cr.received)
		}
	}
	return ""
}

// A naiveClaimer reads the log, and if it has no claim of the key, appends one and
// makes the call without reading it back: two entries can both claim a key.
type naiveClaimer struct{ log *view }

func (n naiveClaimer) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, a gooseberrypass.Answer) error {
		batch, err := n.log.Read(ctx, "claims", 1, 0)
		if err != nil {
			return notRunError()
		}
		for _, r := range batch.Records {
			if string(r.Body) == req.Key() {
				return &gooseberrypass.RequestError{}
			}
		}
		if _, err := n.log.Append(ctx, "claims", []byte(req.Key())); err != nil {
			return notRunError()
		}
		return next.Handle(ctx, req, a)
	})
}

// A step is one operation of a random history. kind selects the operation in
// apply; a and b select its entry, key, append or variant.
type step struct{ kind, a, b int }

// apply runs one step.
func (c *cluster) apply(s step, keys []string) {
	e := c.entries[s.a%len(c.entries)]
	switch s.kind {
	case 0, 1, 2:
		c.send(e, keys[s.b%len(keys)], []string{"1", "1", "1", "2"}[s.b%4], 30*time.Second)
	case 3:
		c.log.resolveAppend(s.a, appendResult(s.b%int(numAppendResults)))
	case 4, 5, 6:
		c.log.resolveAppend(s.a, applied)
	case 7, 8, 9:
		c.answerNextCall([]error{nil, nil, nil, notRunError(), abortedError()}[s.b%5])
	case 10:
		e.view.setStalled(s.b%3 == 0)
	case 11:
		e.clock.freeze(s.b%3 == 0)
	case 12:
		e.kill()
		e.clock.freeze(false)
		c.entries[s.a%len(c.entries)] = startEntry(c.log, e.clock.skew, &c.wg)
	case 13:
		c.log.applyLate()
	case 14:
		c.log.setUnavailable(s.b%5 == 0)
	case 15:
		time.Sleep([]time.Duration{time.Millisecond, time.Second, 12 * time.Second, 10 * time.Minute}[s.b%4])
		c.log.trim()
	}
	synctest.Wait()
}

func runHistory(t *testing.T, steps []step, useNaive bool) string {
	t.Helper()
	violation := ""
	synctest.Test(t, func(*testing.T) {
		c := newCluster(3, true)
		c.useNaive = useNaive
		keys := []string{newKey(), newKey()}
		for _, s := range steps {
			c.apply(s, keys)
		}
		c.log.applyLate()
		c.stop()
		violation = c.violation()
	})
	return violation
}

// randomHistory returns n steps generated from a seed: mostly requests, appends and
// answers of the service, and about one fault in twelve.
func randomHistory(seed uint64, n int) []step {
	rng := rand.New(rand.NewPCG(seed, 1))
	steps := make([]step, n)
	for i := range steps {
		kind := rng.IntN(10)
		if rng.IntN(12) == 0 {
			kind = 10 + rng.IntN(6)
		}
		steps[i] = step{kind, rng.IntN(6), rng.IntN(24)}
	}
	return steps
}

// Appends are reordered, lost, delayed and duplicated, entries are suspended,
// killed and restarted, and the log fails. No key may run twice, and no request
// that ran may get the outcome "not run". The naive claimer violates this in the
// same histories.
func TestAtMostOnceInAnyHistory(t *testing.T) {
	naiveViolations := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := randomHistory(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(10, 60).Draw(rt, "steps"))
		if got := runHistory(t, steps, false); got != "" {
			rt.Fatal(got)
		}
		if runHistory(t, steps, true) != "" {
			naiveViolations++
		}
	})
	if naiveViolations == 0 {
		t.Error("the naive claimer violated no guarantee, so the histories do not cover the races")
	}
	t.Logf("naive claimer violated a guarantee in %d histories", naiveViolations)
}
