package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// An endpoint was sent more than the limit that it had named, as only some kinds of
// answers were heard.
func TestLimitIsHeardOnEveryKindOfAnswer(t *testing.T) {
	a := gooseberrypass.Advisory{Limited: true, Rate: 1}
	for name, test := range map[string]struct {
		path     string
		reaction reaction
	}{
		"answer":       {"/once/", reaction{advisory: a, body: "whole"}},
		"stream":       {"/stream/", reaction{advisory: a, body: "id: 0\n\n"}},
		"cut stream":   {"/rigid/", reaction{advisory: a, body: "id: 0\n\nid: 1", cut: true}},
		"error":        {"/once/", reaction{advisory: a, status: http.StatusInternalServerError}},
		"refusal":      {"/once/", reaction{advisory: a, notRun: true, status: http.StatusServiceUnavailable}},
		"wrong target": {"/once/", reaction{advisory: a, notRun: true, status: http.StatusMisdirectedRequest}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.reaction, reaction{body: "whole"})
			f.send(test.path, "key")
			if got, want := f.balancer.LimitedEndpoints(), 1; got != want {
				t.Errorf("limited endpoints: got %d, want %d", got, want)
			}
		})
	}
}

// An endpoint that says in any of its answers that it leaves was sent further requests, as the
// list did not know yet.
func TestEndpointThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	a := gooseberrypass.Advisory{Leaving: true}
	for name, test := range map[string]struct {
		path     string
		reaction reaction
	}{
		"answer":     {"/once/", reaction{advisory: a, body: "whole"}},
		"stream":     {"/stream/", reaction{advisory: a, body: "id: 0\n\n"}},
		"cut stream": {"/rigid/", reaction{advisory: a, body: "id: 0\n\nid: 1", cut: true}},
		"error":      {"/once/", reaction{advisory: a, status: http.StatusInternalServerError}},
		"refusal":    {"/once/", reaction{advisory: a, notRun: true, status: http.StatusServiceUnavailable}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.reaction, reaction{body: "whole"})
			f.send(test.path, "key")
			leaving := f.transport.sent[0].Endpoint.ID
			for range 20 {
				f.send("/once/", "key")
			}
			for _, d := range f.transport.sent[1:] {
				if d.Endpoint.ID == leaving {
					t.Fatalf("endpoint %s got a request after it had said that it leaves", leaving)
				}
			}
		})
	}
}

// A request that one endpoint turns away with a pause goes elsewhere at once, and none goes
// there until the pause ends.
func TestRequestLeavesAnEndpointThatAsksForAPause(t *testing.T) {
	f := newFixture(t, reaction{advisory: gooseberrypass.Advisory{Pause: 10 * time.Second}, notRun: true, status: http.StatusServiceUnavailable}, reaction{body: "whole"})
	if got := f.send("/safe/", "key").status; got != http.StatusOK {
		t.Fatalf("got status %d, want the answer of another endpoint", got)
	}
	pausing := f.transport.sent[0].Endpoint.ID
	for range 99 {
		f.clock.Advance(100 * time.Millisecond)
		f.send("/safe/", "key")
	}
	for _, d := range f.transport.sent[1:] {
		if d.Endpoint.ID == pausing {
			t.Fatalf("endpoint %s got a request in its pause", pausing)
		}
	}
}

// A limitedChooser has endpoints that take the next request after wait.
type limitedChooser struct {
	polls int
	wait  time.Duration
}

func (c *limitedChooser) Choose(balancer.Query) (*balancer.Ticket, error) {
	c.polls++
	return nil, &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded, RetryAfter: c.wait}
}

func (*limitedChooser) Entries() int { return 1 }

// A caller waited for an endpoint that would not take a request in time, and was told to
// come back before it does.
func TestRequestThatNoEndpointWillTakeInTimeIsRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		wait, retryAfter time.Duration
		polls            int
	}{
		{wait: 0, polls: 5, retryAfter: time.Second},
		{wait: 30 * time.Millisecond, polls: 3, retryAfter: time.Second},
		{wait: 50 * time.Millisecond, polls: 1, retryAfter: time.Second},
		{wait: 1500 * time.Millisecond, polls: 1, retryAfter: 1500 * time.Millisecond},
		{wait: time.Minute, polls: 1, retryAfter: 5 * time.Second / 3},
	} {
		t.Run(test.wait.String(), func(t *testing.T) {
			f := newFixture(t, reaction{})
			f.settings.QueuePoll, f.settings.QueueWaitShare = 10*time.Millisecond, 0.5
			c := &limitedChooser{wait: test.wait}
			var err error
			if f.forwarder, err = f.build(c); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for f.clock.BlockUntilContext(ctx, 1) == nil {
					f.clock.Advance(f.settings.QueuePoll)
				}
			}()
			failure := f.send("/safe/", "key").failure
			if failure == nil || failure.Outcome != gooseberrypass.OutcomeNotRun {
				t.Fatalf("got %v, want a refusal that has not run", failure)
			}
			if got := c.polls; got != test.polls {
				t.Errorf("got %d choices, want %d", got, test.polls)
			}
			if got := failure.RetryAfter; got != test.retryAfter {
				t.Errorf("got Retry-After %s, want %s", got, test.retryAfter)
			}
		})
	}
}
