package forwarder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A busyChooser lets one request wait and calls meanwhile.
type busyChooser struct {
	forwarder.Chooser
	meanwhile func()
}

func (c *busyChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	if m := c.meanwhile; m != nil {
		c.meanwhile = nil
		m()
	}
	return c.Chooser.Choose(q)
}

// A request waited for an endpoint while a part of its prompt was quarantined, and was
// then sent to crash one more.
func TestRequestThatWaitsIsRefusedOnceItsPartIsQuarantined(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
	for n := range 500 {
		f.sendPrompt("/model/", 1000+n, fmt.Sprint("common-", n%20))
	}
	c := &busyChooser{Chooser: f.balancer}
	var err error
	if f.forwarder, err = f.build(c); err != nil {
		t.Fatal(err)
	}
	c.meanwhile = func() {
		for n := range 6 {
			p := f.tracker.Register("engines", gooseberrypass.DigestOf([]byte{byte(n)}), []string{"deadly"})
			f.clock.Advance(50 * time.Millisecond)
			f.tracker.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("engine-", n)), true)
		}
	}
	sent := len(f.transport.sent)
	failure := f.sendPrompt("/model/", 1, "common-1", "deadly").failure
	if got := len(f.transport.sent) - sent; got > 0 {
		t.Errorf("got %d dispatches, want 0", got)
	}
	if failure == nil || failure.Reason != gooseberrypass.ReasonPoison || failure.Outcome != gooseberrypass.OutcomeNotRun {
		t.Errorf("got %+v, want a refusal that has not run", failure)
	}
}

// A patientChooser lets the clock run until an endpoint takes the request, also one that has
// refused it.
type patientChooser struct {
	forwarder.Chooser
	wait func()
}

func (c *patientChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	q.Tried = nil
	ticket, err := c.Chooser.Choose(q)
	for err != nil {
		c.wait()
		ticket, err = c.Chooser.Choose(q)
	}
	return ticket, err
}

// An order was told that it had not run, and ran: a copy of the first refusal came where the
// answer to its second dispatch was due. The second one must be marked, so that it takes no
// connection of the first.
func TestRepeatAtTheSameEndpointIsMarked(t *testing.T) {
	for name, tt := range map[string]struct {
		first     reaction
		path      string
		endpoints int
		want      []bool
	}{
		"refusal, once":        {path: "/once/", first: reaction{notRun: true, status: 503}, endpoints: 1, want: []bool{false, true}},
		"refusal, idempotent":  {path: "/safe/", first: reaction{notRun: true, status: 503}, endpoints: 1, want: []bool{false, true}},
		"error, idempotent":    {path: "/safe/", first: reaction{status: 500}, endpoints: 1, want: []bool{false, true}},
		"cut stream":           {path: "/stream/", first: reaction{body: "id: 0\n\n", cut: true, version: 1}, endpoints: 1, want: []bool{false, true}},
		"refusal, two to take": {path: "/once/", first: reaction{notRun: true, status: 503}, endpoints: 2, want: []bool{false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tt.first, reaction{body: "id: 1\n\n", version: 1})
			f.balancer.Handle(f.clock.Now(), materializer.Changed{Snapshot: &materializer.Snapshot{Endpoints: f.snapshot.Endpoints[:tt.endpoints]}})
			var err error
			if f.forwarder, err = f.build(&patientChooser{Chooser: f.balancer, wait: func() { f.clock.Advance(50 * time.Millisecond) }}); err != nil {
				t.Fatal(err)
			}
			if c := f.send(tt.path, "key"); c.status != 200 || c.aborted {
				t.Errorf("got status %d (aborted %t), want an answer", c.status, c.aborted)
			}
			got := make([]bool, 0, len(f.transport.sent))
			for _, d := range f.transport.sent {
				got = append(got, !d.FirstSent.IsZero())
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got repeats %v, want %v", got, tt.want)
			}
		})
	}
}
