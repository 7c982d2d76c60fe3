package replicator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// startEntry returns an entry that has read a list of an entry and an agent of another region.
func startEntry(t *testing.T) *process {
	t.Helper()
	p := newProcessIn("near", "entry", gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{FarPeriod: 300 * time.Millisecond, Period: 100 * time.Millisecond, PullTimeout: time.Second})
	var records registrations
	records.add(t, "far-agent", gooseberrypass.RoleAgent, "far-agent:1", "far")
	records.add(t, "far-entry", gooseberrypass.RoleEntry, "far-entry:1", "far")
	p.handle(records.since(0))
	p.handle(gooseberrypass.Tick{})
	return p
}

// An entry that had just started took endpoints that were full or about to load a version for
// free, for up to a second and more, until each other process sent its next message.
func TestEntryThatHasStartedAsksForTheStateOfOthers(t *testing.T) {
	starting := startEntry(t)
	for _, address := range []string{"far-agent:1", "far-entry:1"} {
		if !slices.Contains(starting.sender.to, address) {
			t.Errorf("%s is not asked, got messages to %v", address, starting.sender.to)
		}
	}
	if !starting.sender.last.Starting {
		t.Error("the message does not say that the entry has just started")
	}
	starting.handleAt(now.Add(time.Second), gooseberrypass.Tick{})
	if starting.sender.last.Starting {
		t.Error("the message says a second later that the entry has just started")
	}
}

func TestEntryThatHasStartedIsToldTheStateAtOnce(t *testing.T) {
	ask := gossiper.Message{Address: "starting:1", From: "starting", Role: gooseberrypass.RoleEntry, Starting: true}
	entry := newProcessWith("other", gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{Period: time.Hour, FarPeriod: time.Hour, PullTimeout: time.Second})
	agent := newProcess("agent", gooseberrypass.RoleAgent)
	agent.replicator.SetEndpointStatus(now, balancer.EndpointStatus{Address: "engine:1", Loading: true})
	for name, p := range map[string]*process{"entry": entry, "agent": agent} {
		p.sender.to = nil
		p.handle(gossiper.Received{Message: ask})
		if got, want := count(p.sender.to, "starting:1"), 1; got != want {
			t.Errorf("%s: got %d replies, want %d", name, got, want)
		}
		p.handleAt(now.Add(time.Millisecond), gossiper.Received{Message: ask})
		if got, want := count(p.sender.to, "starting:1"), 1; got != want {
			t.Errorf("%s: got %d replies to two messages in a millisecond, want %d", name, got, want)
		}
	}
	if s := agent.sender.last.EndpointStatus; s == nil || !s.Loading {
		t.Errorf("reply of the agent: got status %+v, want that the engine is loading", s)
	}
	ask.Starting = false
	entry.sender.to = nil
	entry.handleAt(now.Add(time.Minute), gossiper.Received{Message: ask})
	if got := count(entry.sender.to, "starting:1"); got != 0 {
		t.Errorf("got %d replies to a regular message, want 0", got)
	}
}

// The state of an entry that starts anew under the same name is asked for again.
func TestEveryStartIsAnswered(t *testing.T) {
	ask := gossiper.Message{Address: "starting:1", From: "starting", Role: gooseberrypass.RoleEntry, Starting: true}
	entry := newProcessWith("other", gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{Period: time.Hour, FarPeriod: time.Hour, PullTimeout: time.Second})
	for n := range 3 {
		entry.sender.to = nil
		entry.handleAt(now.Add(time.Duration(n)*time.Second), gossiper.Received{Message: ask})
		if got, want := count(entry.sender.to, "starting:1"), 1; got != want {
			t.Errorf("start %d: got %d replies, want %d", n, got, want)
		}
	}
}
