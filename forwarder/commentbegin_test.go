package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An engine that reads a prompt sent comments to keep the connection. They
// cleared the part under which engines crash.
func TestCommentDoesNotClearPart(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
	for n := range 500 {
		f.sendPrompt("/model/", 1000+n, fmt.Sprint("common-", n%20))
	}
	f.transport.onSend = func(gooseberrypass.Dispatch) {
		f.transport.reactions = []reaction{{body: ": keep-alive\n\n", cut: true, version: 1}}
	}
	sent := len(f.transport.sent)
	for n := range 40 {
		f.sendPrompt("/model/", n, "common-1", "deadly")
		f.clock.Advance(1500 * time.Millisecond)
	}
	if got, want := len(f.transport.sent)-sent, 9; got > want {
		t.Errorf("requests with the part at engines: got %d, want at most %d", got, want)
	}
}
