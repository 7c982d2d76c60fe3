package limiter_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/limiter"
)

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

func newConfig() fixedConfig {
	account := func(id gooseberrypass.ID, rate float64, burst int) gooseberrypass.Section {
		return gooseberrypass.NewSection(gooseberrypass.KindClientAccount, id, nil, map[string]any{"rate": rate, "burst": burst})
	}
	return fixedConfig{gooseberrypass.NewConfig(1, nil, []gooseberrypass.Section{account("large", 30, 30), account("free", 0, 0)})}
}

// entriesOf returns the event for n live entries, a leaving entry and an agent.
func entriesOf(n int) gooseberrypass.MembersChanged {
	e := gooseberrypass.MembersChanged{Members: []gooseberrypass.Member{
		{Listed: gooseberrypass.ListedInstance{Role: gooseberrypass.RoleEntry, State: gooseberrypass.ListedLeaving}},
		{Listed: gooseberrypass.ListedInstance{Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive}},
	}}
	for range n {
		e.Members = append(e.Members, gooseberrypass.Member{
			Listed: gooseberrypass.ListedInstance{Role: gooseberrypass.RoleEntry, State: gooseberrypass.ListedLive},
		})
	}
	return e
}

// admitted sends 300 requests per second of an account, spread over the limiters,
// and returns the number that passed.
func admitted(clock *clockwork.FakeClock, limiters []*limiter.Limiter, account gooseberrypass.ID, seconds int) int {
	passed := 0
	next := gooseberrypass.HandlerFunc(func(context.Context, *gooseberrypass.Request, gooseberrypass.Answer) error {
		passed++
		return nil
	})
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{}).WithAccountID(account)
	const perSecond = 300
	for i := range seconds * perSecond {
		_ = limiters[i%len(limiters)].Wrap(next).Handle(context.Background(), req, nil)
		clock.Advance(time.Second / perSecond)
	}
	return passed
}

// All entries together must admit the rate of an account while entries start and
// stop. Each entry knows only how many there are. Without shares each of them would
// admit the whole rate.
func TestSharesOfEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limiters := make([]*limiter.Limiter, 0, 3)
	for range 3 {
		l, err := limiter.New(clock, newConfig(), prometheus.NewRegistry())
		if err != nil {
			t.Fatal(err)
		}
		limiters = append(limiters, l)
	}
	if got := admitted(clock, limiters, "large", 10); got < 3*300 {
		t.Errorf("without shares: got %d requests in 10 s, want the rate of 300 from each entry", got)
	}
	for _, entries := range []int{3, 1, 2, 3} {
		for _, l := range limiters {
			l.Handle(clock.Now(), entriesOf(entries))
		}
		_ = admitted(clock, limiters[:entries], "large", 2) // drains the buckets
		got := admitted(clock, limiters[:entries], "large", 10)
		if got < 290 || got > 310 {
			t.Errorf("%d entries: got %d requests in 10 s, want 300", entries, got)
		}
	}
	if got, want := admitted(clock, limiters, "free", 1), 300; got != want {
		t.Errorf("without a rate: got %d, want %d", got, want)
	}
}

func TestRefusal(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l, err := limiter.New(clock, newConfig(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	_ = admitted(clock, []*limiter.Limiter{l}, "large", 2)
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{}).WithAccountID("large")
	next := gooseberrypass.HandlerFunc(func(context.Context, *gooseberrypass.Request, gooseberrypass.Answer) error { return nil })
	var failure *gooseberrypass.RequestError
	for range 3 {
		err = l.Wrap(next).Handle(context.Background(), req, nil)
	}
	if !errors.As(err, &failure) || failure.Outcome != gooseberrypass.OutcomeNotRun || failure.Reason != gooseberrypass.ReasonLimited || failure.RetryAfter <= 0 || failure.RetryAfter > time.Second {
		t.Errorf("got %+v, want a refusal with the time to wait", failure)
	}
}
