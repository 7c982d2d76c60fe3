package replicator_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
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

// A store that turned an entry away serves it again three seconds after a version was
// named, and the entry reads the record before it hears of it. It used the older version
// three seconds past the bound; the next message of another entry must tell it.
func TestMessageCorrectsTheBoundOfAVersionThatWasReadLate(t *testing.T) {
	const version, bound, late = 6, 8 * time.Second, 3 * time.Second
	settings := replicator.Settings{Period: time.Second, PullTimeout: time.Second, VersionLife: 2 * bound}
	from, to := newProcessWith("a", gooseberrypass.RoleEntry, noLoads{}, settings), newProcessWith("b", gooseberrypass.RoleEntry, noLoads{}, settings)
	from.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 1, Records: []gooseberrypass.KeyedRecord{
		{Key: "b", Value: []byte(`{"address":"b","id":"b","role":"entry"}`)},
	}}, Topic: gooseberrypass.TopicProcesses})
	from.handle(operatorRecord("version", version))
	to.handleAt(now.Add(late), operatorRecord("version", version))
	from.handleAt(now.Add(late), gooseberrypass.Tick{})
	to.handleAt(now.Add(late), gossiper.Received{Message: from.sender.last})
	targets := to.materializer.Snapshot().Targets["m"]
	if got, want := targets.Required(now.Add(bound), bound), version; got != want {
		t.Errorf("required version at the bound: got %d, want %d", got, want)
	}
	if got, want := targets[0].ObservedAt, now; got.Before(want) {
		t.Errorf("the version was seen at %s, before it was named at %s", got, want)
	}
}

// An entry that has just started assumes the age of a version, and must not make others,
// which saw it being named, use the newer version early.
func TestMessageCarriesNoAssumedAge(t *testing.T) {
	settings := replicator.Settings{Period: time.Second, PullTimeout: time.Second, VersionLife: time.Minute}
	from := newProcessWith("a", gooseberrypass.RoleEntry, noLoads{}, settings)
	from.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 1, Records: []gooseberrypass.KeyedRecord{
		{Key: "b", Value: []byte(`{"address":"b","id":"b","role":"entry"}`)},
	}}, Topic: gooseberrypass.TopicProcesses})
	e := operatorRecord("version", 6)
	e.FirstRead = true
	from.handle(e)
	if got := from.sender.last; got.Next[gooseberrypass.TopicOperator] != 7 || len(got.Targets) > 0 {
		t.Errorf("got targets %+v in message %+v, want none", got.Targets, got)
	}
}
