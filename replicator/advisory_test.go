package replicator_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// advisoryLoads is the load of an entry that has heard an advisory.
type advisoryLoads struct {
	noLoads
	added  []balancer.AdvisoryReport
	demand map[gooseberrypass.ID]float64 // reported by another entry
	own    []balancer.AdvisoryReport
}

func (l *advisoryLoads) AddAdvisories(_ time.Time, _ gooseberrypass.ID, reports []balancer.AdvisoryReport) {
	l.added = append(l.added, reports...)
}

func (l *advisoryLoads) OwnAdvisories() []balancer.AdvisoryReport { return l.own }

func (*advisoryLoads) OwnDemand() map[gooseberrypass.ID]float64 {
	return map[gooseberrypass.ID]float64{"s": 3}
}

func (l *advisoryLoads) SetEntryDemand(_ gooseberrypass.ID, demand map[gooseberrypass.ID]float64) {
	l.demand = demand
}

// What one entry hears from an endpoint was unknown to the others, which went on sending.
func TestEntriesTellOneAnotherWhatEndpointsSay(t *testing.T) {
	want := []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Limited: true, Rate: 3.7}, Age: 20 * time.Millisecond, Endpoint: "e"}}
	from := newProcessWith("a", gooseberrypass.RoleEntry, &advisoryLoads{own: want}, replicator.Settings{Period: time.Second, PullTimeout: time.Second})
	loads := &advisoryLoads{}
	to := newProcessWith("b", gooseberrypass.RoleEntry, loads, replicator.Settings{Period: time.Second, PullTimeout: time.Second})
	var records registrations
	records.add(t, "b", gooseberrypass.RoleEntry, "b:1", "")
	from.handle(records.since(0))
	from.handleAt(now.Add(time.Second), gooseberrypass.Tick{})
	to.handle(gossiper.Received{Message: from.sender.last})
	if !reflect.DeepEqual(loads.added, want) {
		t.Errorf("got %+v, want %+v", loads.added, want)
	}
	if got := loads.demand["s"]; got != 3 {
		t.Errorf("demand for the service: got %g, want 3", got)
	}
}
