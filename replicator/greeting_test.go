package replicator_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// registrations are the records of processes, in the order of their registration.
type registrations []gooseberrypass.KeyedRecord

func (r *registrations) add(t *testing.T, id gooseberrypass.ID, role gooseberrypass.Role, address string, region gooseberrypass.Region) {
	t.Helper()
	body, err := json.Marshal(materializer.Process{Address: address, ID: id, Region: region, Role: role})
	if err != nil {
		t.Fatal(err)
	}
	*r = append(*r, gooseberrypass.KeyedRecord{Key: string(id), Offset: gooseberrypass.Offset(len(*r)), Value: body})
}

// since returns the event of a read of the records from an offset on.
func (r *registrations) since(from int) gooseberrypass.TopicChanged {
	return gooseberrypass.TopicChanged{
		Batch:     gooseberrypass.KeyedBatch{Next: gooseberrypass.Offset(len(*r)), Records: slices.Clone((*r)[from:])},
		FirstRead: from == 0, Topic: gooseberrypass.TopicProcesses,
	}
}

func newGreetingEntry() *process {
	return newProcessWith("entry", gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{Period: time.Second, PullTimeout: time.Second})
}

// An agent and an entry start, read the list of processes and register in any order.
// Whichever comes last, the agent gets the deployment and the entry's registration
// without any further record of the operator.
func TestWhoeverStartsLastIsFound(t *testing.T) {
	steps := []string{"agent reads", "agent registers", "entry reads", "entry registers"}
	for _, order := range permutations(steps) {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			entry, agent := newGreetingEntry(), newProcess("agent", gooseberrypass.RoleAgent)
			entryAddress, agentAddress := entry.serve(t), agent.serve(t)
			entry.handle(configChanged())
			var records registrations
			read := 0
			for _, step := range order {
				switch step {
				case "agent reads":
					agent.handle(records.since(0))
				case "agent registers":
					records.add(t, "agent", gooseberrypass.RoleAgent, agentAddress, "")
				case "entry reads":
					entry.handle(records.since(0))
					read = len(records)
				case "entry registers":
					records.add(t, "entry", gooseberrypass.RoleEntry, entryAddress, "")
				}
			}
			entry.handle(records.since(read)) // the entry goes on reading the list
			at := now
			for range 3 {
				at = at.Add(2 * time.Second)
				exchange(at, entry, entryAddress, agent, agentAddress)
			}
			if agent.materializer.Deployment() == nil {
				t.Error("the agent has no deployment")
			}
			if got, want := len(agent.materializer.Snapshot().Processes), 2; got != want {
				t.Errorf("the agent knows %d processes, want %d", got, want)
			}
		})
	}
}

// exchange lets two processes send what is due and delivers it to the other one.
func exchange(at time.Time, a *process, addressA string, b *process, addressB string) {
	for _, p := range []struct {
		from        *process
		fromAddress string
		to          *process
		toAddress   string
	}{{a, addressA, b, addressB}, {b, addressB, a, addressA}, {a, addressA, b, addressB}} {
		p.from.handleAt(at, gooseberrypass.Tick{})
		sent := p.from.sender.to
		p.from.sender.to = nil
		if slices.Contains(sent, p.toAddress) {
			m := p.from.sender.last
			m.Address = p.fromAddress
			p.to.handleAt(at, gossiper.Received{Message: m})
		}
	}
}

func permutations(steps []string) [][]string {
	if len(steps) == 0 {
		return [][]string{nil}
	}
	var all [][]string
	for i, step := range steps {
		rest := slices.Delete(slices.Clone(steps), i, i+1)
		for _, p := range permutations(rest) {
			all = append(all, append([]string{step}, p...))
		}
	}
	return all
}

// The message to a new agent may be lost, so it is repeated, but not for ever.
func TestSilentAgentIsGreetedAFewTimes(t *testing.T) {
	entry := newGreetingEntry()
	var records registrations
	entry.handle(records.since(0))
	records.add(t, "agent", gooseberrypass.RoleAgent, "agent:1", "")
	entry.handle(records.since(0))
	at := now
	for range 100 {
		at = at.Add(100 * time.Millisecond)
		entry.handleAt(at, gooseberrypass.Tick{})
	}
	if got, want := count(entry.sender.to, "agent:1"), 5; got != want {
		t.Errorf("got %d messages to a silent agent, want %d", got, want)
	}
	entry.handleAt(at, gossiper.Received{Message: gossiper.Message{Address: "agent:1", From: "agent", Role: gooseberrypass.RoleAgent}})
	entry.sender.to = nil
	for range 25 {
		at = at.Add(100 * time.Millisecond)
		entry.handleAt(at, gooseberrypass.Tick{})
	}
	if got := count(entry.sender.to, "agent:1"); got != 0 {
		t.Errorf("got %d messages to an agent that has just reported, want 0", got)
	}
}

// An agent of another region is left to the entries there, if there are any.
func TestAgentsOfOtherRegionsAreLeftToTheirEntries(t *testing.T) {
	entry := newGreetingEntry()
	var records registrations
	records.add(t, "far-agent", gooseberrypass.RoleAgent, "far-agent:1", "far")
	records.add(t, "far-entry", gooseberrypass.RoleEntry, "far-entry:1", "far")
	records.add(t, "lone-agent", gooseberrypass.RoleAgent, "lone-agent:1", "lone")
	entry.handle(records.since(0))
	entry.handleAt(now.Add(time.Second), gooseberrypass.Tick{})
	if got := count(entry.sender.to, "far-agent:1"); got != 0 {
		t.Errorf("got %d messages to an agent that has entries of its own, want 0", got)
	}
	if got := count(entry.sender.to, "lone-agent:1"); got != 1 {
		t.Errorf("got %d messages to an agent without entries in its region, want 1", got)
	}
}

func count(addresses []string, address string) int {
	n := 0
	for _, a := range addresses {
		if a == address {
			n++
		}
	}
	return n
}

// Messages between entries of different regions must not grow with the square of their
// number, and an agent reports to far entries less often, as long as its region has any.
func TestFarMessagesStayInTheirRate(t *testing.T) {
	for _, far := range []int{4, 40, 300} {
		settings := replicator.Settings{
			FarPeriod: 300 * time.Millisecond, FarPeriodMost: 1500 * time.Millisecond, FarRate: 60, Period: 100 * time.Millisecond, PullTimeout: time.Second,
		}
		p := newProcessIn("here", "entry", gooseberrypass.RoleEntry, noLoads{}, settings)
		var records registrations
		records.add(t, "near", gooseberrypass.RoleEntry, "near:1", "here")
		for i := range far {
			id := gooseberrypass.ID(fmt.Sprintf("far-%d", i))
			records.add(t, id, gooseberrypass.RoleEntry, string(id), "far")
		}
		p.handle(records.since(0))
		p.sender.to = nil
		const seconds = 30
		for i := range seconds * 10 {
			p.handleAt(now.Add(time.Duration(i)*100*time.Millisecond), gooseberrypass.Tick{})
		}
		near := count(p.sender.to, "near:1")
		got := float64(len(p.sender.to)-near) / seconds
		most := max(60, float64(far)/1.5) * 1.1 // a tick more or less
		if got > most {
			t.Errorf("%d far entries: got %.0f messages a second, want at most %.0f", far, got, most)
		}
		if near < seconds*9 {
			t.Errorf("%d far entries: got %d messages to the near one, want ten a second", far, near)
		}
	}
}

func TestAgentWithoutEntriesInItsRegionReportsToAll(t *testing.T) {
	settings := replicator.Settings{FarPeriod: 3 * time.Second, Period: time.Second, PullTimeout: time.Second}
	p := newProcessIn("here", "agent", gooseberrypass.RoleAgent, nil, settings)
	var records registrations
	records.add(t, "far", gooseberrypass.RoleEntry, "far:1", "far")
	p.handle(records.since(0))
	for i := range 9 {
		p.handleAt(now.Add(time.Duration(i)*time.Second), gooseberrypass.Tick{})
	}
	if got, want := count(p.sender.to, "far:1"), 9; got != want {
		t.Errorf("got %d messages, want %d", got, want)
	}
	records.add(t, "near", gooseberrypass.RoleEntry, "near:1", "here")
	p.handle(records.since(1))
	p.sender.to = nil
	for i := range 9 {
		p.handleAt(now.Add(time.Duration(9+i)*time.Second), gooseberrypass.Tick{})
	}
	if near, far := count(p.sender.to, "near:1"), count(p.sender.to, "far:1"); near != 9 || far != 3 {
		t.Errorf("got %d messages to the near entry and %d to the far one, want 9 and 3", near, far)
	}
}
