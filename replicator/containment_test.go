package replicator_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// fragileLoads panic over the loads of another entry.
type fragileLoads struct{ noLoads }

func (fragileLoads) SetEntryLoads(time.Time, gooseberrypass.ID, map[gooseberrypass.ID]balancer.Load) {
	panic("malformed load")
}

// A panic over the loads in a message dropped the versions and the pulls that followed in it.
func TestPanicOverLoadsDoesNotDropTheVersionsOfAMessage(t *testing.T) {
	p := newProcessWith("a", gooseberrypass.RoleEntry, fragileLoads{}, replicator.Settings{Period: time.Hour, PullTimeout: time.Second})
	from := newProcess("b", gooseberrypass.RoleEntry)
	from.handle(configChanged())
	message := messageFromAhead(from.serve(t))
	message.Message.Targets = []gooseberrypass.AgedTarget{{Age: time.Second, Model: "m", Observed: true, Version: 3}}
	func() {
		defer func() { _ = recover() }() // as the control loop does
		p.handle(message)
	}()
	if got, want := ageOfVersion(p, now), time.Second; got != want {
		t.Errorf("got age of the version %v, want %v", got, want)
	}
	if p.materializer.Deployment() == nil {
		t.Error("got no deployment, want the one of the sender")
	}
}
