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

// Entries went on sending to an endpoint whose agent had heard that it leaves, until they
// heard it themselves.
func TestEntriesLearnFromAnAgentThatItsEndpointLeaves(t *testing.T) {
	const heardFor, start = 200 * time.Millisecond, 5
	leaving := gooseberrypass.Advisory{Leaving: true}
	told := []balancer.AdvisoryReport{{Advisory: leaving, Age: heardFor, Endpoint: "e", StartMillis: start}}
	for _, test := range []struct {
		name string
		play func(agent *process)
		want []balancer.AdvisoryReport
	}{
		{name: "said nothing", play: func(agent *process) {
			agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "e:1", EngineStartMillis: start})
		}},
		{name: "leaves", play: func(agent *process) {
			agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "e:1", EngineStartMillis: start})
			agent.replicator.SetDeparture(now, now.Add(-heardFor), start)
		}, want: told},
		{name: "leaves before its status is known", play: func(agent *process) {
			agent.replicator.SetDeparture(now, now.Add(-heardFor), start)
			agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "e:1", EngineStartMillis: start})
		}, want: told},
		{name: "starts anew", play: func(agent *process) {
			agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "e:1", EngineStartMillis: start})
			agent.replicator.SetDeparture(now, now.Add(-heardFor), start)
			agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "e:1", EngineStartMillis: start + 1})
		}},
		{name: "is not listed", play: func(agent *process) {
			agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "other:1", EngineStartMillis: start})
			agent.replicator.SetDeparture(now, now.Add(-heardFor), start)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := replicator.Settings{Period: time.Second, PullTimeout: time.Second}
			agent := newProcessWith("agent", gooseberrypass.RoleAgent, nil, settings)
			loads := &advisoryLoads{}
			entry := newProcessWith("entry", gooseberrypass.RoleEntry, loads, settings)
			var records registrations
			records.add(t, "entry", gooseberrypass.RoleEntry, "entry:1", "")
			agent.handle(records.since(0))
			entry.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 2, Records: []gooseberrypass.KeyedRecord{
				{Key: "e", Value: []byte("up")}, {Key: "f", Offset: 1, Value: []byte("up")},
			}}, Topic: gooseberrypass.TopicEndpoints})
			test.play(agent)
			entry.handle(gossiper.Received{Message: agent.sender.last})
			if !reflect.DeepEqual(loads.added, test.want) {
				t.Errorf("got %+v, want %+v", loads.added, test.want)
			}
		})
	}
}

// The news is sent at once, and once only beside the regular messages.
func TestDepartureIsToldAtOnce(t *testing.T) {
	agent := newProcess("agent", gooseberrypass.RoleAgent)
	var records registrations
	records.add(t, "entry", gooseberrypass.RoleEntry, "entry:1", "")
	agent.handle(records.since(0))
	agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "e:1", EngineStartMillis: 5})
	agent.sender.to = nil
	for range 3 {
		agent.replicator.SetDeparture(now, now, 5)
	}
	if got, want := len(agent.sender.to), 1; got != want {
		t.Errorf("messages: got %d, want %d", got, want)
	}
}

// An agent may speak of its own endpoint only, and no limit or pause is its to tell.
func TestAgentTellsNothingButDepartures(t *testing.T) {
	loads := &advisoryLoads{}
	entry := newProcessWith("entry", gooseberrypass.RoleEntry, loads, replicator.Settings{Period: time.Second, PullTimeout: time.Second})
	entry.handle(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 2, Records: []gooseberrypass.KeyedRecord{
		{Key: "e", Value: []byte("up")}, {Key: "f", Offset: 1, Value: []byte("up")},
	}}, Topic: gooseberrypass.TopicEndpoints})
	m := gossiper.Message{
		Advisories: []balancer.AdvisoryReport{
			{Advisory: gooseberrypass.Advisory{Limited: true, Rate: 1}, Endpoint: "f"},
			{Advisory: gooseberrypass.Advisory{Leaving: true}, Endpoint: "f"},
		},
		EndpointStatus: &balancer.EndpointStatus{Address: "e:1"}, From: "agent", Role: gooseberrypass.RoleAgent,
	}
	entry.handle(gossiper.Received{Message: m})
	want := []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Leaving: true}, Endpoint: "e"}}
	if !reflect.DeepEqual(loads.added, want) {
		t.Errorf("got %+v, want %+v", loads.added, want)
	}
}
