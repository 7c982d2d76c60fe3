package balancer_test

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

func settings() balancer.Settings {
	return balancer.Settings{
		Ejection: time.Second, MaxEjection: 4 * time.Second, EnginePenalty: 1, Fill: 1.25, RefusalBackoff: 100 * time.Millisecond,
		AdvisoryTTL: 30 * time.Second, ReportTTL: 3 * time.Second, StatusTTL: 8 * time.Second, PlainFill: 2, PlainPenalty: 0.4, ResumeFill: 1.5, SlowTolerance: 1.5,
		VersionMargin: time.Second, VersionTimeout: 8 * time.Second,
	}
}

func quietLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

type fixture struct {
	balancer *balancer.Balancer
	clock    *clockwork.FakeClock
	snapshot *materializer.Snapshot
}

// newFixture returns a balancer in region r0 with n engines that have version 1 and
// 4 slots. Every second engine is in region r1.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	return newFixtureWith(t, n, settings())
}

func newFixtureWith(t *testing.T, n int, s balancer.Settings) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.balancer = balancer.New(f.clock, balancer.Self{ID: "self", Region: "r0"}, func(d gooseberrypass.FailureDomain) gooseberrypass.Region {
		return gooseberrypass.Region(d)
	}, s, 1, quietLogger())
	f.snapshot = &materializer.Snapshot{Targets: map[string]materializer.Targets{}}
	for i := range n {
		f.snapshot.Endpoints = append(f.snapshot.Endpoints, gooseberrypass.Endpoint{
			Address: fmt.Sprintf("a%d", i), FailureDomain: gooseberrypass.FailureDomain(fmt.Sprintf("r%d", i%2)),
			ID: gooseberrypass.ID(fmt.Sprintf("e%d", i)), Models: map[string]int{"m": 1}, Service: "s", Slots: 4,
		})
	}
	f.publish()
	return f
}

func (f *fixture) publish() {
	f.balancer.Handle(f.clock.Now(), materializer.Changed{Snapshot: f.snapshot})
}

func (f *fixture) choose(t *testing.T) *balancer.Ticket {
	t.Helper()
	ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
	if err != nil {
		t.Fatalf("choose: %v", err)
	}
	return ticket
}

// assertRefused checks that a request is refused as not run with reason want.
func (f *fixture) assertRefused(t *testing.T, want gooseberrypass.Reason) {
	t.Helper()
	ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
	var failure *gooseberrypass.RequestError
	if !errors.As(err, &failure) {
		t.Fatalf("got endpoint %v, want a refusal", ticket)
	}
	if failure.Reason != want || failure.Outcome != gooseberrypass.OutcomeNotRun {
		t.Errorf("got %s %s, want not run %s", failure.Outcome, failure.Reason, want)
	}
}

func TestRefusesWhenAllEndpointsAreFull(t *testing.T) {
	f := newFixture(t, 2)
	for range 10 { // 2 engines of 4 slots, Fill 1.25
		f.choose(t)
	}
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
}

func TestCountsRequestsOfOtherEntries(t *testing.T) {
	f := newFixture(t, 2)
	f.balancer.SetEntryLoads(f.clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{"e0": {Requests: 5}, "e1": {Requests: 4}})
	if got, want := f.choose(t).Endpoint().ID, gooseberrypass.ID("e1"); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
	f.clock.Advance(3 * time.Second)
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	f.choose(t) // the load of the other entry has expired
}

func TestPrefersLocalRegionAtEqualLoad(t *testing.T) {
	f := newFixture(t, 2)
	if got, want := f.choose(t).Endpoint().ID, gooseberrypass.ID("e0"); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestSilentEndpointIsPassedOverAndProbed(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(t).Done(balancer.ResultTimedOut)
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint)
	f.clock.Advance(time.Second)
	probe := f.choose(t)
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint) // one probe at a time
	probe.HeadReceived(time.Millisecond)
	probe.Done(balancer.ResultAnswered)
	f.choose(t)
	f.choose(t)
}

func TestEndpointWhoseAddressAnotherHasIsPassedOver(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(t).Done(balancer.ResultReplaced)
	f.clock.Advance(2 * time.Second)
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint)
}

func TestSingleFailureDoesNotEject(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(t).Done(balancer.ResultFailed)
	f.choose(t).Done(balancer.ResultAnswered)
	f.choose(t).Done(balancer.ResultFailed)
	f.choose(t).Done(balancer.ResultFailed)
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint)
}

func TestSlowEndpointGetsLess(t *testing.T) {
	f := newFixture(t, 3)
	counts := map[gooseberrypass.ID]int{}
	for range 300 {
		ticket := f.choose(t)
		id := ticket.Endpoint().ID
		counts[id]++
		took := 100 * time.Millisecond
		if id == "e2" {
			took = time.Second
		}
		ticket.HeadReceived(took)
		ticket.Done(balancer.ResultAnswered)
	}
	if counts["e2"]*4 > counts["e0"] {
		t.Errorf("slow endpoint got %d, want at most a quarter of %d", counts["e2"], counts["e0"])
	}
}

func TestOldVersionIsNotUsedNearItsBound(t *testing.T) {
	f := newFixture(t, 2)
	f.snapshot.Targets["m"] = materializer.Targets{{Since: f.clock.Now(), Version: 2}}
	f.snapshot.Endpoints[1].Models = map[string]int{"m": 2}
	f.publish()
	if got := f.choose(t).ExpectedVersion(); got != 0 {
		t.Errorf("expected version before the bound: got %d, want none", got)
	}
	f.clock.Advance(7 * time.Second)
	ticket := f.choose(t)
	if got, want := ticket.Endpoint().ID, gooseberrypass.ID("e1"); got != want {
		t.Errorf("endpoint: got %s, want %s", got, want)
	}
	if got, want := ticket.ExpectedVersion(), 2; got != want {
		t.Errorf("expected version: got %d, want %d", got, want)
	}
}

// Requests began past a bound that was named, or became known to be earlier, while they
// waited at an engine. Their tickets must tell, until they have begun.
func TestWaitingRequestHearsOfBoundsNamedMeanwhile(t *testing.T) {
	f := newFixture(t, 1)
	sent := f.clock.Now()
	var got []time.Duration
	begun := f.choose(t).WatchMustBegin(func(latest time.Time) { got = append(got, latest.Sub(sent)) })
	for _, targets := range []materializer.Targets{
		{{Since: sent.Add(time.Second), Version: 2}},
		{{Since: sent.Add(time.Second), Version: 2}, {Since: sent.Add(2 * time.Second), Version: 3}},
		{{Since: sent, Version: 2}, {Since: sent.Add(2 * time.Second), Version: 3}},
		{{Since: sent, Version: 2}, {Since: sent.Add(-time.Second), Version: 3}}, // version 2 was read late
	} {
		f.snapshot.Targets["m"] = targets
		f.publish()
	}
	begun()
	f.snapshot.Targets["m"] = materializer.Targets{{Since: sent.Add(-2 * time.Second), Version: 3}}
	f.publish()
	bound := settings().VersionTimeout
	if want := []time.Duration{bound + time.Second, bound, bound - time.Second}; !slices.Equal(got, want) {
		t.Errorf("latest begins: got %v, want %v", got, want)
	}
}

// An engine that crashed is loaded with the older version while its new one is still
// believed to be there. A request without a latest begin must not run on the older one.
func TestNewestVersionIsExpectedBeforeItIsRequired(t *testing.T) {
	f := newFixture(t, 1)
	f.snapshot.Targets["m"] = materializer.Targets{{Since: f.clock.Now(), Version: 2}}
	f.snapshot.Endpoints[0].Models = map[string]int{"m": 2}
	f.publish()
	if got, want := f.choose(t).ExpectedVersion(), 2; got != want {
		t.Errorf("expected version: got %d, want %d", got, want)
	}
}

func TestNewerVersionThanRequiredIsExpected(t *testing.T) {
	f := newFixture(t, 1)
	f.snapshot.Targets["m"] = materializer.Targets{{Since: f.clock.Now(), Version: 2}, {Since: f.clock.Now().Add(4 * time.Second), Version: 3}}
	f.snapshot.Endpoints[0].Models = map[string]int{"m": 3}
	f.publish()
	f.clock.Advance(7 * time.Second)
	if got, want := f.choose(t).ExpectedVersion(), 3; got != want {
		t.Errorf("expected version: got %d, want %d", got, want)
	}
}

func TestAgentStatusOverridesList(t *testing.T) {
	f := newFixture(t, 2)
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a0", EngineStartMillis: 2, Loading: true})
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a0", EngineStartMillis: 1, Models: map[string]int{"m": 1}}) // about an earlier start of the engine
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a1", Models: map[string]int{}})
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint)
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a0", EngineStartMillis: 2, Models: map[string]int{"m": 2}})
	if got, want := f.choose(t).Endpoint().ID, gooseberrypass.ID("e0"); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestRefusalDetailCountsEndpointStates(t *testing.T) {
	f := newFixture(t, 4)
	f.snapshot.Targets["m"] = materializer.Targets{{Since: f.clock.Now(), Version: 2}}
	f.snapshot.Endpoints[0].Leaving = true
	f.publish()
	f.clock.Advance(7 * time.Second)
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a1", Loading: true})
	_, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
	var failure *gooseberrypass.RequestError
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a refusal", err)
	}
	if got, want := failure.Detail, "no endpoint takes work (1 leaving, 1 loading, 2 of another version, version 2 required)"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestLeavingEndpointGetsNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.snapshot.Endpoints[0].Leaving = true
	f.publish()
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint)
}

func TestBackoffAfterRefusal(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(t).Done(balancer.ResultFull)
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
	f.clock.Advance(100 * time.Millisecond)
	f.choose(t)
}

// Requests sent to an endpoint behind a congested link or on a suspended instance
// wait there until they time out.
func TestEndpointThatGivesNoSignGetsNoMore(t *testing.T) {
	f := newStallFixture(t, 3)
	silent := f.choose(t)
	f.clock.Advance(stall + time.Millisecond)
	for range 6 {
		ticket := f.choose(t)
		if ticket.Endpoint().ID == silent.Endpoint().ID {
			t.Fatalf("endpoint %s got a request %v after it last sent data", silent.Endpoint().ID, stall)
		}
		ticket.HeadReceived(time.Millisecond)
		ticket.Done(balancer.ResultAnswered)
	}
	silent.EventReceived()
	if !f.isChosen(t, silent.Endpoint().ID) {
		t.Error("an endpoint that sent data again gets no requests")
	}
}

// If each of eleven entries has to detect an unreachable endpoint by itself, eleven
// times as many requests are lost there.
func TestEndpointSilentToAnotherEntryGetsNothing(t *testing.T) {
	f := newStallFixture(t, 3)
	f.clock.Advance(2 * stall)
	f.balancer.SetEntryLoads(f.clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{"e1": {Requests: 1, Stalled: true}})
	if f.isChosen(t, "e1") {
		t.Error("an endpoint that is silent to another entry gets requests")
	}
	f.balancer.SetEntryLoads(f.clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{})
	if !f.isChosen(t, "e1") {
		t.Error("an endpoint gets no requests although no entry reports it as silent")
	}
}

// After this process was suspended, all endpoints look silent to it. It must not
// refuse all requests then.
func TestSilenceOfMostEndpointsRefusesNobody(t *testing.T) {
	f := newStallFixture(t, 3)
	for range 3 {
		f.choose(t)
	}
	f.clock.Advance(time.Minute)
	f.choose(t)
}

// Endpoints of a service that takes longer than StallTimeout to the head of an answer
// must not be taken for silent.
func TestSlowServiceIsNotSilent(t *testing.T) {
	f := newStallFixture(t, 1)
	first := f.choose(t)
	first.HeadReceived(2 * stall)
	first.Done(balancer.ResultAnswered)
	f.choose(t)
	f.clock.Advance(2 * stall)
	f.choose(t)
}

const stall = 400 * time.Millisecond

func newStallFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := newFixture(t, n)
	s := settings()
	s.StallTimeout, s.StallFactor, s.EnginePenalty = stall, 3, 0
	f.balancer = balancer.New(f.clock, balancer.Self{ID: "self", Region: "r0"}, func(d gooseberrypass.FailureDomain) gooseberrypass.Region {
		return gooseberrypass.Region(d)
	}, s, 1, quietLogger())
	f.publish()
	return f
}

// isChosen reports whether an endpoint gets at least one of nine requests.
func (f *fixture) isChosen(t *testing.T, id gooseberrypass.ID) bool {
	t.Helper()
	chosen := false
	const tries = 9
	tickets := make([]*balancer.Ticket, 0, tries)
	for range tries {
		ticket := f.choose(t)
		tickets = append(tickets, ticket)
		chosen = chosen || ticket.Endpoint().ID == id
	}
	for _, ticket := range tickets {
		ticket.Done(balancer.ResultInconclusive)
	}
	return chosen
}

// A stream that moves must not have to move again at once.
func TestStayingRequestAvoidsEndpointsThatDrain(t *testing.T) {
	f := newFixture(t, 1)
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a0", DrainsIn: time.Minute, Models: map[string]int{"m": 1}})
	if _, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"}); err != nil {
		t.Fatalf("a request that ends before the drain: %v", err)
	}
	ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s", Staying: true})
	if err == nil {
		t.Errorf("got endpoint %s, want a refusal", ticket.Endpoint().ID)
	}
}

// An endpoint is lost when no entry that has requests there hears from it. One that is
// merely full sends events to others, and silence of most endpoints says nothing about
// any of them.
func TestEndpointThatNoEntryHearsFromIsLost(t *testing.T) {
	const stall = 400 * time.Millisecond
	here, other := balancer.Load{Requests: 1, Stalled: true}, balancer.Load{Requests: 1}
	for _, tt := range []struct {
		name    string
		reports map[gooseberrypass.ID]balancer.Load // of other entries
		after   time.Duration
		want    bool
	}{
		{"nobody hears from it", map[gooseberrypass.ID]balancer.Load{"b": here, "c": here}, stall + 1, true},
		{"another entry hears from it", map[gooseberrypass.ID]balancer.Load{"b": here, "c": other}, stall + 1, false},
		{"it may just be slow", map[gooseberrypass.ID]balancer.Load{"b": here}, stall, false},
		{"alone, for a while", nil, 2 * stall, false},
		{"alone, for long", nil, 2*stall + 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := settings()
			s.StallTimeout, s.StallFactor = stall, 1
			f := newFixtureWith(t, 1, s)
			ticket := f.choose(t)
			f.clock.Advance(tt.after)
			for entry, load := range tt.reports {
				f.balancer.SetEntryLoads(f.clock.Now(), entry, map[gooseberrypass.ID]balancer.Load{"e0": load})
			}
			if got := ticket.EndpointLost(); got != tt.want {
				t.Errorf("got lost %t, want %t", got, tt.want)
			}
			ticket.EventReceived()
			if ticket.EndpointLost() {
				t.Error("lost right after an event")
			}
		})
	}
}

func TestSilenceOfMostEndpointsLosesNone(t *testing.T) {
	s := settings()
	s.StallTimeout, s.StallFactor = 400*time.Millisecond, 1
	f := newFixtureWith(t, 4, s)
	tickets := []*balancer.Ticket{f.choose(t), f.choose(t), f.choose(t), f.choose(t)}
	f.clock.Advance(time.Second)
	for _, ticket := range tickets {
		if ticket.EndpointLost() {
			t.Errorf("endpoint %s is lost though all are silent", ticket.Endpoint().ID)
		}
	}
}

// An agent that dies while its engine loads does not report the end, so that the engine
// counts as loading only for a while. The versions that it reported count for longer, as
// agents of other regions report seldom.
func TestLoadingExpiresBeforeTheVersions(t *testing.T) {
	f := newFixture(t, 1)
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a0", Loading: true, Models: map[string]int{"m": 2}})
	f.assertRefused(t, gooseberrypass.ReasonNoEndpoint)
	f.clock.Advance(3 * time.Second) // ReportTTL
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if _, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s", Version: 2}); err != nil {
		t.Errorf("version 2 after the report that it is loaded: %v", err)
	}
	f.clock.Advance(5 * time.Second) // StatusTTL
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s", Version: 2}); err == nil {
		t.Errorf("got endpoint %s by an expired report, want a refusal", ticket.Endpoint().ID)
	}
}
