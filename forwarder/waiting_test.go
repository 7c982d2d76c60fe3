package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
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
