package attempter_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// paced makes the engine generate a token each time the test allows one. It
// returns the function that allows n tokens.
func paced(e *fakeEngine, tokens int) func(n int) {
	allowed := make(chan struct{})
	e.generate = func(ctx context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		list := tokensOf(o.AttemptID, o.Digest, tokens)[o.From:]
		next := replay(list, io.EOF)
		return stream(func() (gooseberrypass.Token, error) {
			select {
			case <-allowed:
				return next()
			case <-ctx.Done():
				return gooseberrypass.Token{}, ctx.Err()
			}
		}), nil
	}
	return func(n int) {
		for range n {
			allowed <- struct{}{}
		}
	}
}

func drained(a *agent) bool {
	select {
	case <-a.Drained():
		return true
	default:
		return false
	}
}

// TestPlannedStopCutsNothing stops an agent with one attempt running and one
// queued. The running one must complete even beyond the stop limit; the queued
// one and new ones must be refused as not run.
func TestPlannedStopCutsNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	const tokens = 6
	e := newFakeEngine(1, digestOf("v1"))
	allow := paced(e, tokens)
	a := newEngineAgent(t, e)
	defer a.server.Close()
	ended := make(chan *answer, 2)
	for i := range 2 { // one runs, one is queued
		go func() { ended <- a.ask(t, attemptOf(fmt.Sprintf("a-%d", i))) }()
		for a.status(t).GetRunning()+a.status(t).GetQueued() <= int64(i) {
			time.Sleep(time.Millisecond)
		}
	}
	allow(1)
	a.handle(gooseberrypass.StopRequested{})
	if got := <-ended; got.failed.GetOutcome() != "not run" || got.failed.GetReason() != "leaving" {
		t.Errorf("got %v for the queued attempt, want not run for leaving", got.failed)
	}
	if got := a.ask(t, attemptOf("new")); got.failed.GetOutcome() != "not run" || got.failed.GetReason() != "leaving" {
		t.Errorf("got %v for new work, want not run for leaving", got.failed)
	}
	if !a.status(t).GetLeaving() {
		t.Error("got leaving false in the status, want true")
	}
	for range 30 { // three times the stop limit
		a.tick()
	}
	if drained(a) {
		t.Error("got drained with an answer in progress")
	}
	allow(tokens - 1)
	if got := <-ended; !got.complete() {
		t.Errorf("got failed %v after %q, want the complete answer", got.failed, got.text.String())
	}
	a.tick()
	if !drained(a) {
		t.Error("got not drained after the last answer")
	}
	a.server.CloseClientConnections()
}

func TestLongStreamIsOfferedToAnotherEndpoint(t *testing.T) {
	tests := []struct {
		name      string
		kv        []byte
		maxTokens int64
		pace      time.Duration // between tokens
		wantMoved bool
	}{
		{"outlasts the stop", []byte("kv"), 64, time.Second, true},
		{"ends in time", []byte("kv"), 10, 100 * time.Millisecond, false},
		{"no export", nil, 64, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEngine(1, digestOf("v1"))
			e.kv = tt.kv
			allow := paced(e, 10)
			a := newEngineAgent(t, e)
			m := attemptOf("a-1")
			m.MaxTokens = tt.maxTokens
			go allow(1)
			got, err := a.send(context.Background(), m)
			if err != nil {
				t.Fatal(err)
			}
			a.handle(gooseberrypass.StopRequested{})
			for i := range 9 {
				a.clock.Advance(tt.pace)
				if i == 6 {
					a.clock.Advance(5 * time.Second) // half of the stop limit
				}
				allow(1)
				for pieces := got.pieces; got.pieces == pieces && got.next(); {
					continue
				}
			}
			for got.next() {
				continue
			}
			if got.moved.GetNext() > 0 != tt.wantMoved {
				t.Errorf("got moved %v, want %t", got.moved, tt.wantMoved)
			}
			if !got.complete() {
				t.Errorf("got failed %v, want the complete answer if no endpoint takes over the stream", got.failed)
			}
		})
	}
}

// TestMovedStreamIsWhole moves a stream to a second endpoint and cancels it on
// the first, as an entry does. The two parts must form the complete answer.
func TestMovedStreamIsWhole(t *testing.T) {
	const tokens = 12
	e := newFakeEngine(1, digestOf("v1"))
	e.kv = []byte("kv")
	allow := paced(e, tokens)
	a := newEngineAgent(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go allow(1)
	first, err := a.send(ctx, attemptOf("a-1"))
	if err != nil {
		t.Fatal(err)
	}
	a.handle(gooseberrypass.StopRequested{})
	a.clock.Advance(6 * time.Second)
	go allow(3)
	for first.moved == nil && first.next() {
		continue
	}
	cancel()
	for a.InFlight(model) > 0 {
		time.Sleep(time.Millisecond)
	}
	a.tick()
	if !drained(a) || !slices.Contains(e.cancelled, "a-1") {
		t.Errorf("got drained %t, cancelled %v, want the attempt ended", drained(a), e.cancelled)
	}
	second := newFakeEngine(1, digestOf("v1"))
	allow = paced(second, tokens)
	b := newEngineAgent(t, second)
	m := attemptOf("a-1")
	m.From, m.KvCache, m.WeightsDigest = first.moved.GetNext(), first.moved.GetKvCache(), first.digest
	go allow(tokens - int(first.moved.GetNext()))
	rest := b.ask(t, m)
	got, want := first.text.String()+rest.text.String(), textOf(tokensOf("a-1", digestOf("v1"), tokens))
	if got != want || !rest.complete() {
		t.Errorf("got %q, failed %v, want %q", got, rest.failed, want)
	}
}

func TestLeavingFollowsListAndConfig(t *testing.T) {
	listing := func(revision uint64, id gooseberrypass.ID, state gooseberrypass.ListedState) gooseberrypass.Event {
		return gooseberrypass.ListingObserved{Listing: gooseberrypass.Listing{
			Instances: []gooseberrypass.ListedInstance{{ID: id, State: state}}, Revision: revision,
		}}
	}
	drain := func(drain bool) gooseberrypass.Event {
		return gooseberrypass.ConfigAccepted{Config: configOf(2, digestOf("v1"),
			section(gooseberrypass.KindInstance, "w-1", map[string]any{"drain": drain}))}
	}
	leaving, live := gooseberrypass.ListedLeaving, gooseberrypass.ListedLive
	tests := []struct {
		name   string
		events []gooseberrypass.Event
		want   bool
	}{
		{"listed as leaving", []gooseberrypass.Event{listing(1, "w-1", leaving)}, true},
		{"another is leaving", []gooseberrypass.Event{listing(1, "w-2", leaving)}, false},
		{"list empty after it", []gooseberrypass.Event{listing(1, "w-1", leaving), gooseberrypass.ListingObserved{Listing: gooseberrypass.Listing{Revision: 2}}}, true},
		{"older list after it", []gooseberrypass.Event{listing(2, "w-1", leaving), listing(1, "w-1", live)}, true},
		{"list failed after it", []gooseberrypass.Event{listing(1, "w-1", leaving), gooseberrypass.ListingObserved{Err: io.EOF}}, true},
		{"live again", []gooseberrypass.Event{listing(1, "w-1", leaving), listing(2, "w-1", live)}, false},
		{"drained by configuration", []gooseberrypass.Event{drain(true)}, true},
		{"drain taken back", []gooseberrypass.Event{drain(true), drain(false)}, false},
		{"stop is never taken back", []gooseberrypass.Event{gooseberrypass.StopRequested{}, listing(1, "w-1", live), drain(false)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEngine(1, digestOf("v1"))
			e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
				return replay(tokensOf(o.AttemptID, o.Digest, 1), io.EOF), nil
			}
			a := newEngineAgent(t, e)
			for _, event := range tt.events {
				a.handle(event)
			}
			if got := a.Status().Leaving; got != tt.want {
				t.Errorf("got leaving %t, want %t", got, tt.want)
			}
			if got := a.ask(t, attemptOf("a-1")); got.complete() == tt.want {
				t.Errorf("got complete answer %t, failed %v while leaving is %t", got.complete(), got.failed, tt.want)
			}
		})
	}
}

func TestStatusWaitsForAChange(t *testing.T) {
	e := newFakeEngine(3, digestOf("v1"))
	a := newEngineAgent(t, e)
	first := a.status(t)
	if first.GetCapacity() != 3 || len(first.GetLoaded()) != 1 || !first.GetEndpointUp() || first.GetServices()[0] != string(service) {
		t.Errorf("got status %v, want a capacity of 3, one loaded version, the service, up", first)
	}
	poll := func(version uint64) <-chan *wire.StatusResponse {
		got := make(chan *wire.StatusResponse, 1)
		go func() {
			s, _ := a.Server().Status(context.Background(), &wire.StatusRequest{Version: version, WaitMs: 5000})
			got <- s
		}()
		return got
	}
	if got := <-poll(first.GetVersion() - 1); got.GetVersion() != first.GetVersion() {
		t.Errorf("got version %d for a reader that is behind, want %d at once", got.GetVersion(), first.GetVersion())
	}
	got := poll(first.GetVersion())
	_ = a.clock.BlockUntilContext(context.Background(), 1)
	a.handle(gooseberrypass.StopRequested{})
	if s := <-got; s.GetVersion() <= first.GetVersion() || !s.GetLeaving() {
		t.Errorf("got version %d, leaving %t, want a later one with leaving true", s.GetVersion(), s.GetLeaving())
	}
	version := a.status(t).GetVersion()
	got = poll(version)
	_ = a.clock.BlockUntilContext(context.Background(), 1)
	a.clock.Advance(5 * time.Second)
	if s := <-got; s.GetVersion() != version {
		t.Errorf("got version %d when nothing changed, want %d", s.GetVersion(), version)
	}
}

// TestStatusDelaysLoadChanges checks that a reader with LoadWaitMs gets a change
// of load only after that time, and any other change at once.
func TestStatusDelaysLoadChanges(t *testing.T) {
	e := newFakeEngine(3, digestOf("v1"))
	a := newEngineAgent(t, e)
	hold := func(chunks int) {
		a.targets.set(gooseberrypass.TargetStatus{Digest: digestOf("v2"), Held: chunks, Model: model, Phase: gooseberrypass.PhaseFetching, Total: 9})
		a.tick()
	}
	hold(1)
	version := a.status(t).GetVersion()
	poll := func() <-chan *wire.StatusResponse {
		got := make(chan *wire.StatusResponse, 1)
		go func() {
			s, _ := a.Server().Status(context.Background(), &wire.StatusRequest{LoadWaitMs: 4000, Version: version, WaitMs: 9000})
			got <- s
		}()
		_ = a.clock.BlockUntilContext(context.Background(), 2)
		return got
	}
	got := poll()
	hold(2)
	select {
	case s := <-got:
		t.Fatalf("got version %d at once, want the change of load delayed", s.GetVersion())
	default:
	}
	a.clock.Advance(4 * time.Second)
	s := <-got
	if s.GetVersion() == version {
		t.Errorf("got version %d after the wait for the load, want a later one", s.GetVersion())
	}
	version = s.GetVersion()
	got = poll()
	a.handle(gooseberrypass.StopRequested{})
	if s := <-got; !s.GetLeaving() {
		t.Error("got no status of the stop at once")
	}
}

func TestPressureFollowsLatency(t *testing.T) {
	e := newFakeEngine(1, digestOf("v1"))
	var latency time.Duration
	a := newAgent(t, func(d *attempter.Dependencies) { d.Engine = e })
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		a.clock.Advance(latency)
		return replay(tokensOf(o.AttemptID, o.Digest, 1), io.EOF), nil
	}
	n := 0
	ask := func(times int, d time.Duration) float64 {
		latency = d
		for range times {
			n++
			if got := a.ask(t, attemptOf(strconv.Itoa(n))); !got.complete() {
				t.Fatalf("got failed %v, want an answer", got.failed)
			}
			a.clock.Advance(time.Second)
		}
		return a.Pressure()
	}
	if got := ask(60, 100*time.Millisecond); got != 0 {
		t.Errorf("got pressure %v at the usual latency, want 0", got)
	}
	if got := ask(5, 300*time.Millisecond); got < 0.5 {
		t.Errorf("got pressure %v at three times the usual latency, want at least 0.5", got)
	}
	if got := ask(30, 100*time.Millisecond); got > 0.1 {
		t.Errorf("got pressure %v back at the usual latency, want at most 0.1", got)
	}
}
