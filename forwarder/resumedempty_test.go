package forwarder_test

import "testing"

// An engine that crashed right after the head of a resumed stream, whose answer has neither
// a length nor chunks, seemed to have nothing left to send: the stream ended as complete.
func TestResumedStreamWithoutEventsHasBrokenOff(t *testing.T) {
	const first = "id: 0\ndata: a\n\n"
	f := newFixture(t, reaction{body: first, cut: true, version: 1}, reaction{unframed: true, version: 1})
	c := f.send("/stream/x", "key")
	if got := c.body.String(); got != first || !c.aborted {
		t.Errorf("got %q (aborted %t), want %q and a cut connection", got, c.aborted, first)
	}
}
