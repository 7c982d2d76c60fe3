package forwarder_test

import (
	"fmt"
	"testing"
	"time"
)

// An answer with neither a length nor chunks ends with its connection. An engine that
// crashed right after the head seemed to have answered with a complete, empty stream.
func TestStreamWithoutEventsHasBrokenOff(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
	for n := range 500 {
		f.sendPrompt("/model/", 1000+n, fmt.Sprint("common-", n%20))
	}
	f.transport.reactions = []reaction{{unframed: true, version: 1}}
	sent := len(f.transport.sent)
	for n := range 20 {
		c := f.sendPrompt("/model/", n, "common-1", "deadly")
		if c.status == 200 && !c.aborted {
			t.Errorf("request %d: got a complete answer with status %d and %d bytes, want a failure", n, c.status, c.body.Len())
		}
		f.clock.Advance(1500 * time.Millisecond)
	}
	if got, want := len(f.transport.sent)-sent, 9; got > want {
		t.Errorf("requests with the part at engines: got %d, want at most %d", got, want)
	}
}
