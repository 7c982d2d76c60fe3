package replicator_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An operator names two versions two seconds apart, and a process that starts then takes
// the operator's records from another one. The store keeps only the newer record, but the
// older version's bound holds for the new process too: until the newer one's, requests
// must begin on the older version at least.
func TestNewProcessKnowsTheBoundOfAnEarlierVersion(t *testing.T) {
	const older, bound = 6, 8 * time.Second
	from, to := newProcess("a", gooseberrypass.RoleEntry), newProcess("b", gooseberrypass.RoleEntry)
	named := now.Add(-2 * time.Second)
	from.handleAt(named, operatorRecord("version", older))
	from.handle(operatorRecord("version", older+1))
	to.handle(messageFromAhead(from.serve(t)))
	if got, want := to.materializer.Snapshot().Targets["m"].Required(named.Add(bound), bound), older; got != want {
		t.Errorf("required version at the older one's bound: got %d, want %d", got, want)
	}
}

// A process that has just started may have assumed when a version was named. What others
// know of it stands.
func TestKnownVersionKeepsItsTime(t *testing.T) {
	p := newProcess("b", gooseberrypass.RoleEntry)
	p.handle(operatorRecord("version", 6))
	e := operatorRecord("config", 7)
	e.Ages = []time.Duration{0}
	e.Targets = []gooseberrypass.AgedTarget{{Age: time.Minute, Model: "m", Version: 6}, {Age: time.Minute, Model: "m", Version: 5}}
	p.handle(e)
	targets := p.materializer.Snapshot().Targets["m"]
	if len(targets) != 2 || targets[0].Version != 5 || targets[1].Version != 6 {
		t.Fatalf("got targets %+v, want versions 5 and 6", targets)
	}
	if got := targets[1].Since; !got.Equal(now) {
		t.Errorf("version 6 was named at %s, want %s", got, now)
	}
}
