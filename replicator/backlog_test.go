package replicator_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// backlogLoads are the backlogs of an entry.
type backlogLoads struct {
	noLoads
	own, told map[gooseberrypass.ID]scheduler.Backlog
}

func (l *backlogLoads) OwnBacklogs() map[gooseberrypass.ID]scheduler.Backlog { return l.own }

func (l *backlogLoads) SetEntryBacklogs(_ time.Time, _ gooseberrypass.ID, backlogs map[gooseberrypass.ID]scheduler.Backlog) {
	l.told = backlogs
}

// An entry must learn which requests lack capacity at others, and that they no longer do.
func TestEntriesTellOneAnotherTheirBacklogs(t *testing.T) {
	settings := replicator.Settings{Period: time.Second, PullTimeout: time.Second}
	source, target := &backlogLoads{own: map[gooseberrypass.ID]scheduler.Backlog{"s": {Waiting: []int{1, 2}}}}, &backlogLoads{}
	from, to := newProcessWith("a", gooseberrypass.RoleEntry, source, settings), newProcessWith("b", gooseberrypass.RoleEntry, target, settings)
	var records registrations
	records.add(t, "b", gooseberrypass.RoleEntry, "b:1", "")
	from.handle(records.since(0))
	for i, want := range []map[gooseberrypass.ID]scheduler.Backlog{source.own, nil} {
		source.own = want
		from.handleAt(now.Add(time.Duration(i+1)*time.Second), gooseberrypass.Tick{})
		to.handle(gossiper.Received{Message: from.sender.last})
		if !reflect.DeepEqual(target.told, want) {
			t.Errorf("got %v, want %v", target.told, want)
		}
	}
}
