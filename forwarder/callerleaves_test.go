package forwarder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Callers gave up on requests with a part that takes long to read. Their sound endpoints
// had not crashed, but the part was taken for the cause of crashes.
func TestCallersThatLeaveAreNoEvidenceOfCrashes(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
	for n := range 500 {
		f.sendPrompt("/model/", 1000+n, fmt.Sprint("common-", n%20))
	}
	for n := range 8 {
		ctx, leave := context.WithCancel(context.Background())
		f.transport.onSend = func(gooseberrypass.Dispatch) { leave() }
		f.transport.reactions = []reaction{{hang: true}}
		path := fmt.Sprint("/model/", n)
		func() {
			defer func() { _ = recover() }()
			f.forwarder.HandleProxyRequest(ctx, &gooseberrypass.ProxyRequest{
				AccountKey: "key", Body: []byte(path), Deadline: f.clock.Now().Add(5 * time.Second), Host: "h", ID: path, LastEvent: -1, Method: "POST", Path: path,
				SharedParts: []string{"common-1", "long"}, URI: path,
			}, &caller{})
		}()
		f.clock.Advance(3 * time.Second)
	}
	f.transport.onSend, f.transport.reactions = nil, []reaction{{body: "id: 0\n\n", version: 1}}
	c := f.sendPrompt("/model/", 100, "common-1", "long")
	if got, want := c.body.String(), "id: 0\n\n"; got != want {
		t.Errorf("sound request after callers left: got %q and %+v, want %q", got, c.failure, want)
	}
}
