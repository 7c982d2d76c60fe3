package stager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Guards against a sound engine that is kept out of service as the agents that rank before the
// one beside it are gone, and the agent gave up before it read the origin or the archive.
func TestInheritedLoadIsVerifiedWithoutOtherAgents(t *testing.T) {
	const agents = 10
	for i := range 2 * agents {
		left, originGone := i%agents, i < agents
		t.Run(fmt.Sprint("agent ", left, " without origin ", originGone), func(t *testing.T) {
			fl := newFleet(t, agents)
			fl.advance(5 * time.Second)
			fl.origin.gone = originGone
			f := fl.agents[left]
			f.engine.report.Orders, f.engine.report.Busy = 1, true
			for _, other := range fl.agents {
				if other != f {
					other.intercept = func(gooseberrypass.Effect) bool { return true }
				}
			}
			fl.restartAgents()
			fl.advance(500 * time.Millisecond)
			f.engine.report.Busy = false
			fl.advance(5 * time.Second)
			if got := f.recorder.statuses[len(f.recorder.statuses)-1]; got.Loading || got.Models["m"] != 1 {
				t.Errorf("status: got %+v, want version 1 in service", got)
			}
		})
	}
}
