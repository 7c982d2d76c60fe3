package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An engine answered a request with an error from its queue, without beginning an answer
// on the prompt. That cleared the part under which engines crash.
func TestErrorOfEngineDoesNotClearPart(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusGatewayTimeout} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
			for n := range 500 {
				f.sendPrompt("/model/", 1000+n, fmt.Sprint("common-", n%20))
			}
			crashes, sound := 0, 1500
			for n := range 40 {
				f.transport.onSend = nil
				f.transport.reactions = []reaction{{body: "id: 0\n\n", version: 1}}
				for i := range 50 {
					sound++
					f.sendPrompt("/model/", sound, fmt.Sprint("common-", i%20))
				}
				f.transport.onSend = func(gooseberrypass.Dispatch) {
					f.transport.reactions = []reaction{{cut: true, version: 1}}
					if n%3 == 2 {
						f.transport.reactions = []reaction{{body: "error", status: status}}
						return
					}
					crashes++
				}
				f.sendPrompt("/model/", n, "common-1", "deadly")
				f.clock.Advance(2 * time.Second)
			}
			// Five crashes may pass before the part must be known, and another request within
			// the time for that. Three more may slip through.
			if want := 5 + 1 + 3; crashes > want {
				t.Errorf("crashes of engines: got %d, want at most %d", crashes, want)
			}
		})
	}
}
