package router_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
)

type fixedMembers []gooseberrypass.Member

func (m fixedMembers) Members() []gooseberrypass.Member { return m }

func newMembers(n int) fixedMembers {
	m := make(fixedMembers, 0, n)
	for i := range n {
		m = append(m, gooseberrypass.Member{
			Listed: gooseberrypass.ListedInstance{
				FailureDomain: "a", ID: gooseberrypass.ID(string(rune('a' + i))), Pool: "p", Region: "r",
				Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
			},
			Status: &gooseberrypass.AgentStatus{
				EndpointUp: true, Load: gooseberrypass.EngineLoad{Capacity: 1000},
				Loaded: []gooseberrypass.LoadedVersion{{Digest: weights(), Model: "jingle"}},
			},
		})
	}
	return m
}

// chosenEndpoints returns the endpoints chosen at least once in 200 choices. Each
// attempt ends with result.
func chosenEndpoints(t *testing.T, r *router.Router, q router.Query, result router.Result) []gooseberrypass.ID {
	t.Helper()
	var ids []gooseberrypass.ID
	for range 200 {
		ticket, err := r.Choose(q)
		if err != nil {
			continue
		}
		ticket.Done(result)
		if id := ticket.Member().Listed.ID; !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func newRouter(t *testing.T, m fixedMembers) (*router.Router, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	self := gooseberrypass.ListedInstance{FailureDomain: "a", ID: "entry", Region: "r"}
	r, err := router.New(clock, newConfig(), m, self, 1, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return r, clock
}

// TestCandidates checks which endpoints may be chosen, by state of one of them
// and by query.
func TestCandidates(t *testing.T) {
	other := gooseberrypass.DigestOf([]byte("other"))
	tests := []struct {
		name   string
		change func(m *gooseberrypass.Member) // of endpoint a
		query  router.Query
		want   string
	}{
		{"all", func(*gooseberrypass.Member) {}, router.Query{}, "abc"},
		{"leaving", func(m *gooseberrypass.Member) { m.Status.Leaving = true }, router.Query{}, "bc"},
		{"listed as leaving", func(m *gooseberrypass.Member) { m.Listed.State = gooseberrypass.ListedLeaving }, router.Query{}, "bc"},
		{"silent", func(m *gooseberrypass.Member) { m.Silent = true }, router.Query{}, "bc"},
		{"endpoint down", func(m *gooseberrypass.Member) { m.Status.EndpointUp = false }, router.Query{}, "bc"},
		{"other pool", func(m *gooseberrypass.Member) { m.Listed.Pool = "q" }, router.Query{}, "bc"},
		{"not loaded", func(m *gooseberrypass.Member) { m.Status.Loaded = nil }, router.Query{}, "bc"},
		{"old version still serves", func(m *gooseberrypass.Member) { m.Status.Loaded[0].Digest = other }, router.Query{}, "abc"},
		{"stream of the old version", func(m *gooseberrypass.Member) { m.Status.Loaded[0].Digest = other }, router.Query{Weights: other}, "a"},
		{"loading", func(m *gooseberrypass.Member) {
			m.Status.Targets = []gooseberrypass.TargetStatus{{Model: "jingle", Phase: gooseberrypass.PhaseLoading}}
		}, router.Query{}, "bc"},
		{"avoided", func(*gooseberrypass.Member) {}, router.Query{Avoid: []gooseberrypass.ID{"a"}}, "bc"},
		{"all avoided", func(*gooseberrypass.Member) {}, router.Query{Avoid: []gooseberrypass.ID{"a", "b", "c"}}, "abc"},
		{"far", func(m *gooseberrypass.Member) { m.Listed.Region = "far" }, router.Query{}, "bc"},
		{"full near", func(m *gooseberrypass.Member) { m.Status.Load.Running = 5000 }, router.Query{}, "bc"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMembers(3)
			tt.change(&m[0])
			r, _ := newRouter(t, m)
			tt.query.Target = "jingle"
			var got []byte
			for _, id := range chosenEndpoints(t, r, tt.query, router.ResultAnswered) {
				got = append(got, id...)
			}
			if string(got) != tt.want {
				t.Errorf("got endpoints %q, want %q", got, tt.want)
			}
		})
	}
}

// TestEjection checks how long each result excludes an endpoint, and that no
// more than half of the endpoints are ejected even if all fail.
func TestEjection(t *testing.T) {
	q := router.Query{Target: "jingle"}
	m := newMembers(8)
	r, clock := newRouter(t, m)
	_ = chosenEndpoints(t, r, q, router.ResultFailed)
	if got := len(chosenEndpoints(t, r, q, router.ResultAnswered)); got < 4 {
		t.Errorf("all failed: got %d endpoints in use, want 4 or more", got)
	}
	clock.Advance(2 * time.Minute)
	if got := len(chosenEndpoints(t, r, q, router.ResultAnswered)); got != 8 {
		t.Errorf("all answer again: got %d endpoints in use, want 8", got)
	}
	for _, tt := range []struct {
		result   router.Result
		duration time.Duration
	}{{router.ResultFailed, 2 * time.Second}, {router.ResultLeaving, 5 * time.Second}, {router.ResultUnready, 2 * time.Second}} {
		result, duration := tt.result, tt.duration
		for range 3 {
			ticket, err := r.Choose(router.Query{Avoid: []gooseberrypass.ID{"b", "c", "d", "e", "f", "g", "h"}, Target: "jingle"})
			if err != nil {
				break // no endpoint left
			}
			ticket.Done(result)
		}
		if got := chosenEndpoints(t, r, q, router.ResultAnswered); slices.Contains(got, "a") {
			t.Errorf("%v: got endpoint a in use, want it out", result)
		}
		clock.Advance(duration)
		if got := chosenEndpoints(t, r, q, router.ResultAnswered); !slices.Contains(got, "a") {
			t.Errorf("%v: got endpoint a out of use after %v, want it in", result, duration)
		}
	}
}
