package balancer_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// Operators could not see why an endpoint got nothing.
func TestOverviewTellsWhyAnEndpointGetsNothing(t *testing.T) {
	type told struct {
		leaving, limited bool
		pause            time.Duration
		state            string
	}
	for _, test := range []struct {
		name string
		play func(t *testing.T, f *fixture)
		want told
	}{
		{name: "nothing known", play: func(*testing.T, *fixture) {}, want: told{state: "with room"}},
		{name: "leaving in the list", play: func(_ *testing.T, f *fixture) {
			f.snapshot.Endpoints[0].Leaving = true
			f.publish()
		}, want: told{leaving: true, state: "leaving"}},
		{name: "says that it leaves", play: func(t *testing.T, f *fixture) {
			t.Helper()
			f.choose(t).AdvisoryReceived(gooseberrypass.Advisory{Leaving: true})
		}, want: told{leaving: true, state: "leaving"}},
		{name: "asks for a pause", play: func(t *testing.T, f *fixture) {
			t.Helper()
			refuse(f.choose(t), 3*time.Second)
			f.clock.Advance(time.Second)
		}, want: told{pause: 2 * time.Second, state: "pausing"}},
		{name: "limit used up", play: func(t *testing.T, f *fixture) {
			t.Helper()
			f.choose(t).AdvisoryReceived(limited(0.5))
		}, want: told{limited: true, state: "at its rate limit"}},
		{name: "loading", play: func(_ *testing.T, f *fixture) {
			f.snapshot.Deployment = gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{Engine: &gooseberrypass.EngineSpec{Model: "m"}, ID: "s"}}, nil, gooseberrypass.CallerLimits{})
			f.publish()
			f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a0", Loading: true, Models: map[string]int{"m": 1}})
		}, want: told{state: "loading"}},
		{name: "refused a request", play: func(t *testing.T, f *fixture) {
			t.Helper()
			f.choose(t).Done(balancer.ResultFull)
		}, want: told{state: "full"}},
		{name: "no room", play: func(t *testing.T, f *fixture) {
			t.Helper()
			f.balancer.SetEntryLoads(f.clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{"e0": {Requests: 8}})
		}, want: told{state: "full"}},
		{name: "timed out", play: func(t *testing.T, f *fixture) {
			t.Helper()
			f.choose(t).Done(balancer.ResultTimedOut)
		}, want: told{state: "ejected"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			test.play(t, f)
			all := f.balancer.Overview()
			if len(all) != 1 {
				t.Fatalf("got %d endpoints, want 1", len(all))
			}
			o := all[0]
			got := told{leaving: o.Leaving, limited: o.Limit != nil, pause: time.Duration(o.PauseMillis) * time.Millisecond, state: o.State}
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// The page counts the requests of all entries, names the versions that the agent reports and
// the limit with this entry's share.
func TestOverviewOfLoadVersionsAndLimit(t *testing.T) {
	f := newFixture(t, 3)
	f.balancer.SetEntryLoads(f.clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{"e1": {Requests: 2, UnreadTokens: 70}})
	f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: "a1", Models: map[string]int{"m": 2}})
	f.balancer.AddAdvisories(f.clock.Now(), "other", []balancer.AdvisoryReport{{Advisory: limited(4), Endpoint: "e1"}})
	all := f.balancer.Overview()
	if len(all) != 3 || all[0].ID != "e0" || all[1].ID != "e1" || all[2].ID != "e2" {
		t.Fatalf("got %+v, want e0, e1 and e2", all)
	}
	got := all[1]
	if got.Requests != 2 || got.OwnRequests != 0 || got.UnreadTokens != 70 || got.Slots != 4 {
		t.Errorf("load: got %+v, want 2 requests with 70 tokens, none of this entry, of 4", got)
	}
	if got.Models["m"] != 2 || all[0].Models["m"] != 1 {
		t.Errorf("versions: got %v and %v, want 2 as reported and 1 as listed", got.Models, all[0].Models)
	}
	if got.Limit == nil || *got.Limit != 4 || got.Share == nil || *got.Share <= 0 || *got.Share >= 4 {
		t.Errorf("limit: got %v, share %v, want 4 and a part of it", got.Limit, got.Share)
	}
}

// Reading the page changed which endpoints were chosen next.
func TestOverviewChangesNothing(t *testing.T) {
	watched, alone := newFixture(t, 5), newFixture(t, 5)
	for i := range 20 {
		watched.balancer.Overview()
		if got, want := watched.choose(t).Endpoint().ID, alone.choose(t).Endpoint().ID; got != want {
			t.Errorf("request %d: got %s, want %s", i, got, want)
		}
	}
}
