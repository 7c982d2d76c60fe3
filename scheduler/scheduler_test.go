package scheduler_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// A fakeChooser has a number of free places, which all requests with at most a certain prompt
// can take.
type fakeChooser struct {
	clock   gooseberrypass.Clock
	demand  int // requests counted
	free    int
	longest int // prompt tokens
	queries []balancer.Query
	roomAt  time.Time // a rate limit lets no request through before
}

func (c *fakeChooser) CountDemand(gooseberrypass.ID) { c.demand++ }

// Serves reports whether a request is not restricted to the region that has no endpoints.
func (*fakeChooser) Serves(q balancer.Query) bool {
	return !q.Regions.Equal(gooseberrypass.RegionSet{"gone": {}})
}

func (c *fakeChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	if !q.Polled {
		c.demand++
	}
	if wait := c.clock.Until(c.roomAt); wait > 0 {
		return nil, &gooseberrypass.RequestError{Reason: gooseberrypass.ReasonOverloaded, RetryAfter: wait}
	}
	if !c.Serves(q) {
		return nil, &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonNoEndpoint}
	}
	if c.free == 0 || c.longest > 0 && q.PromptTokens > c.longest {
		return nil, &gooseberrypass.RequestError{Reason: gooseberrypass.ReasonOverloaded}
	}
	c.free--
	c.queries = append(c.queries, q)
	return &balancer.Ticket{}, nil
}

func (*fakeChooser) FirstEvent(balancer.Query) time.Duration       { return 100 * time.Millisecond }
func (*fakeChooser) SharesMachines(service gooseberrypass.ID) bool { return service == "uneven" }

type fixture struct {
	*scheduler.Scheduler
	chooser  *fakeChooser
	clock    *clockwork.FakeClock
	registry *prometheus.Registry
	t        *testing.T
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{chooser: &fakeChooser{}, clock: clockwork.NewFakeClock(), registry: prometheus.NewRegistry(), t: t}
	f.chooser.clock = f.clock
	var err error
	f.Scheduler, err = scheduler.New(f.clock, f.chooser, scheduler.Settings{LeastWaitShare: 0.1, MaxWaiting: 4, Mode: scheduler.ModeAuto, MostWaitShare: 0.4, ReportTTL: 3 * time.Second}, 1, f.registry, log)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// request returns a request of one of three ranks that is subject to the hold-back.
func (f *fixture) request(rank int, account gooseberrypass.ID, prompt int) *scheduler.Request {
	return &scheduler.Request{
		Account: account, ArrivedAt: f.clock.Now(), Key: 1, Rank: rank, Ranks: 3,
		Query: balancer.Query{Objective: 400 * time.Millisecond, PromptTokens: prompt, Service: "s"},
	}
}

// wait adds a request that must wait.
func (f *fixture) wait(rank int, account gooseberrypass.ID, prompt int) *scheduler.Waiter {
	f.t.Helper()
	w, ticket, err := f.Enter(f.request(rank, account, prompt))
	if w == nil {
		f.t.Fatalf("got ticket %v, error %v, want a request that waits", ticket, err)
	}
	return w
}

// next frees one place and returns which of the waiting requests got it, -1 for none.
func (f *fixture) next(waiters []*scheduler.Waiter) int {
	f.chooser.free = 1
	f.Serve("s", true)
	return slices.IndexFunc(waiters, func(w *scheduler.Waiter) bool {
		_, ok := w.Granted()
		return ok
	})
}

// Requests that polled for capacity got it by chance: neither urgency nor account nor deadline
// mattered, and a new request could overtake all that waited.
func TestFreedPlacesGoToTheMostUrgentRequest(t *testing.T) {
	f := newFixture(t)
	first := f.wait(1, "large", 0)
	f.clock.Advance(time.Millisecond)
	waiters := []*scheduler.Waiter{first, f.wait(1, "large", 0), f.wait(0, "large", 0), f.wait(1, "small", 0)}
	got := make([]int, 0, len(waiters))
	for range waiters {
		got = append(got, f.next(waiters))
	}
	if want := []int{2, 3, 0, 1}; !slices.Equal(got, want) {
		t.Errorf("order: got %v, want %v", got, want)
	}
}

// Short prompts took each place before an engine was free enough for a long one.
func TestRequestThatFitsNoEndpointHoldsBackLessUrgentOnes(t *testing.T) {
	f := newFixture(t)
	long := f.wait(1, "a", 5000)
	f.chooser.free, f.chooser.longest = 1, 1000
	short := f.wait(1, "b", 100)
	if got := f.next([]*scheduler.Waiter{long, short}); got >= 0 {
		t.Errorf("got a place for request %d, want none", got)
	}
	w, ticket, _ := f.Enter(f.request(0, "c", 100))
	if w != nil || ticket == nil {
		t.Error("a more urgent request waits, want a place at once")
	}
	other := f.request(2, "d", 100)
	other.Query.Regions = gooseberrypass.RegionSet{"r": {}}
	if w, _, _ := f.Enter(other); w == nil {
		t.Error("a less urgent request of one region got a place, want a wait")
	}
}

// A short request that a long one held back found a free place only at the next tick after the
// long one had left, and was refused if its own wait ended before.
func TestRequestThatLeavesReleasesThoseItHeldBack(t *testing.T) {
	for name, refused := range map[string]bool{"end of its wait": true, "its caller leaves": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			long := f.wait(1, "a", 5000)
			f.chooser.free, f.chooser.longest = 1, 1000
			short := f.wait(1, "b", 100)
			if ticket, err := f.Leave(long, refused); ticket != nil || err == nil {
				t.Errorf("long request: got ticket %v, error %v, want a refusal", ticket, err)
			}
			if ticket, ok := short.Granted(); !ok || ticket == nil {
				t.Errorf("short request: got %v, %t, want the free place", ticket, ok)
			}
		})
	}
}

// A request waited for the moment at which a rate limit lets it through, but was tried only at
// the next tick, after its wait had ended.
func TestWaitingRequestIsServedWhenALimitLetsItThrough(t *testing.T) {
	f := newFixture(t)
	f.chooser.free, f.chooser.roomAt = 1, f.clock.Now().Add(20*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan *balancer.Ticket, 1)
	go func() {
		ticket, _ := f.Choose(ctx, f.request(0, "a", 0))
		done <- ticket
	}()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(20 * time.Millisecond)
	select {
	case ticket := <-done:
		if ticket == nil {
			t.Error("got a refusal, want a place")
		}
	case <-time.After(2 * time.Second):
		t.Error("the request still waits after the limit lets it through")
	}
}

// Entries share rate limits by demand. An entry counted only the requests that it had tried to
// send, so one with many waiting requests got a share that was too small.
func TestEachRequestCountsAsDemandOnce(t *testing.T) {
	f := newFixture(t)
	waiters := []*scheduler.Waiter{f.wait(1, "a", 0), f.wait(1, "a", 0), f.wait(1, "b", 0)}
	if got, want := f.chooser.demand, len(waiters); got != want {
		t.Errorf("got a demand of %d requests, want %d", got, want)
	}
	for range waiters {
		f.next(waiters)
	}
	if got, want := f.chooser.demand, len(waiters); got != want {
		t.Errorf("got a demand of %d requests after they were served, want %d", got, want)
	}
}

// A waiting request held its memory and its place in the queue after its caller had left, or
// while the entry was about to stop.
func TestRequestsThatLeaveOrAreStopped(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := f.Choose(ctx, f.request(0, "a", 0)); err == nil {
		t.Error("got a place for a caller that has left")
	}
	if got := f.OwnBacklogs(); got != nil {
		t.Errorf("got backlog %v after the caller has left, want none", got)
	}
	done := make(chan error, 1)
	go func() {
		_, err := f.Choose(t.Context(), f.request(0, "a", 0))
		done <- err
	}()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	f.Stop()
	var refusal *gooseberrypass.RequestError
	if err := <-done; !errors.As(err, &refusal) || refusal.Outcome != gooseberrypass.OutcomeNotRun {
		t.Errorf("got %v from a stop, want a refusal that has not run", err)
	}
	if w, _, err := f.Enter(f.request(0, "a", 0)); w != nil || err == nil {
		t.Error("a request waits after the stop, want a refusal")
	}
}

// Without a bound a burst of requests that wait would use up the memory of an entry.
func TestFullQueueRefusesTheLeastUrgentRequest(t *testing.T) {
	f := newFixture(t)
	last := f.wait(2, "a", 0)
	for range 4 {
		f.wait(1, "a", 0)
	}
	if ticket, ok := last.Granted(); !ok || ticket != nil {
		t.Errorf("got %v, %t, want a refusal of the least urgent request", ticket, ok)
	}
}

// The most urgent requests wait the longest, and none so long that its first event is late.
func TestWaitGrowsWithUrgency(t *testing.T) {
	f := newFixture(t)
	for rank, want := range []time.Duration{160, 100, 40} {
		if got := f.wait(rank, "a", 0).Deadline().Sub(f.clock.Now()).Round(time.Millisecond); got != want*time.Millisecond {
			t.Errorf("rank %d waits %s, want %d ms", rank, got, want)
		}
	}
	slow := f.request(0, "a", 0)
	slow.Query.Objective = 120 * time.Millisecond
	if w, _, _ := f.Enter(slow); w == nil || w.Deadline().Sub(f.clock.Now()) != 20*time.Millisecond {
		t.Error("want a wait of 20 ms, as the first event takes 100 ms")
	}
}

// headroom returns the headroom of a request of each rank.
func (f *fixture) headroom() []float64 {
	headroom := make([]float64, 0, 3)
	for rank := range 3 {
		f.chooser.free = 1
		if _, _, err := f.Enter(f.request(rank, "a", 0)); err != nil {
			f.t.Fatal(err)
		}
		headroom = append(headroom, f.chooser.queries[len(f.chooser.queries)-1].Headroom)
	}
	return headroom
}

// Less urgent requests at other entries took the places that the most urgent ones lacked. An
// entry that crashed, froze or whose messages are lost must not hold them back for ever, and a
// fifth of the requests is never held back.
func TestHoldBackFollowsReportsOfOtherEntries(t *testing.T) {
	f := newFixture(t)
	f.headroom()
	tick := func(n int) {
		for range n {
			f.clock.Advance(100 * time.Millisecond)
			f.Handle(f.clock.Now(), gooseberrypass.Tick{})
		}
	}
	f.SetEntryBacklogs(f.clock.Now(), "b", map[gooseberrypass.ID]scheduler.Backlog{"s": {Refused: []int{1, 0, 0}}})
	tick(1)
	if got := f.headroom(); got[0] != 0 || got[1] != 0 || got[2] <= 0 {
		t.Errorf("headroom after a report: got %v, want some for the least urgent rank alone", got)
	}
	tick(20)
	if got := f.headroom(); got[0] != 0 || got[1] <= 0 || got[2] <= got[1] {
		t.Errorf("headroom after 2 s: got %v, want some for the second rank and more for the least urgent one", got)
	}
	exempt := f.request(2, "a", 0)
	exempt.Key = 5
	f.chooser.free = 1
	if _, _, err := f.Enter(exempt); err != nil || f.chooser.queries[len(f.chooser.queries)-1].Headroom != 0 {
		t.Error("a request of the exempt fifth is held back")
	}
	tick(31) // the report expires after 3 s, and the headroom shrinks within 2 s
	if got := f.headroom(); slices.Max(got) > 0 {
		t.Errorf("headroom after the report has expired: got %v, want none", got)
	}
	f.SetEntryBacklogs(f.clock.Now(), "b", map[gooseberrypass.ID]scheduler.Backlog{"s": {Refused: []int{1, 0, 0}}})
	f.clock.Advance(10 * time.Second) // this entry freezes
	tick(1)
	if got := f.headroom(); slices.Max(got) > 0 {
		t.Errorf("headroom after a freeze: got %v, want none", got)
	}
}

// All refused callers were told the same time and came back as one burst.
func TestRetryAfterIsSpreadAndBounded(t *testing.T) {
	f := newFixture(t)
	for range 200 {
		if _, _, err := f.Enter(f.request(0, "a", 0)); err != nil && f.chooser.free > 0 {
			t.Fatal(err)
		}
		f.Serve("s", true)
		f.clock.Advance(10 * time.Millisecond)
	}
	times := map[time.Duration]struct{}{}
	for range 50 {
		got := f.RetryAfter(f.request(0, "a", 0), 6*time.Second)
		if got < 200*time.Millisecond || got > 2*time.Second {
			t.Errorf("got %s, want 0.2 to 2 s", got)
		}
		times[got] = struct{}{}
	}
	if len(times) < 40 {
		t.Errorf("got %d different times of 50, want nearly all different", len(times))
	}
}

// Services that need no order must be served as before.
func TestSchedulesOnlyServicesThatNeedIt(t *testing.T) {
	route := func(name string, priority int, service gooseberrypass.ID) gooseberrypass.Route {
		return gooseberrypass.Route{Name: name, Priority: priority, Public: true, Targets: []gooseberrypass.RouteTarget{{Service: service, Weight: 1}}}
	}
	d := gooseberrypass.NewDeployment(1, []gooseberrypass.Route{route("a", 0, "s"), route("b", 1, "s"), route("c", 1, "equal"), route("d", 1, "uneven")}, nil, nil, gooseberrypass.CallerLimits{})
	f := newFixture(t)
	for service, want := range map[gooseberrypass.ID]bool{"s": true, "equal": false, "uneven": true} {
		if got := f.Schedules(d, service); got != want {
			t.Errorf("%s: got %t, want %t", service, got, want)
		}
	}
}
