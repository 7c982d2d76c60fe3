package replicator

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// Limits of the messages to agents that do not report to this entry.
const (
	agentSilence = 3 * time.Second // time without a message after which an agent may have forgotten this entry
	greetPeriod  = time.Second     // interval of the messages to one agent
	maxGreetings = 5               // messages without an answer after which the agent is taken to be dead
)

// A contact is what an entry knows of its exchange of messages with one agent.
type contact struct {
	greetedAt time.Time
	greetings int       // messages since the agent was last heard or registered
	heardAt   time.Time // last message from the agent
}

// due reports whether the agent is to be greeted.
func (c contact) due(now time.Time) bool {
	return now.Sub(c.heardAt) > agentSilence && now.Sub(c.greetedAt) >= greetPeriod && c.greetings < maxGreetings
}

// greetAgents sends a message to the agents that do not report to this entry. An
// agent reports only to the entries that it has read of in the list of processes,
// and reads that list only until it has some answer. It may have done so before any
// entry had registered, and would learn of nothing until the operator's next change.
// An entry greets the agents of its own region, and those of a region without entries. One
// that has just started greets some of all regions, as it knows the state of no endpoint.
func (r *Replicator) greetAgents(now time.Time) {
	processes := r.materializer.Snapshot().Processes
	served := regionsWithEntries(processes)
	var addresses []string
	for _, p := range processes {
		c := r.contacts[p.ID]
		if p.Role != gooseberrypass.RoleAgent || !c.due(now) {
			continue
		}
		if p.Region != r.self.Region && served[p.Region] {
			if !r.isStarting(now) || r.askedFar >= maxAskedFar {
				continue
			}
			r.askedFar++
		}
		c.greetedAt, c.greetings = now, c.greetings+1
		r.contacts[p.ID] = c
		addresses = append(addresses, p.Address)
	}
	if len(addresses) > 0 {
		r.sender.Send(r.message(now, gooseberrypass.RoleAgent), addresses)
	}
}

func regionsWithEntries(processes []materializer.Process) map[gooseberrypass.Region]bool {
	served := map[gooseberrypass.Region]bool{}
	for _, p := range processes {
		if p.Role == gooseberrypass.RoleEntry {
			served[p.Region] = true
		}
	}
	return served
}

// resetContacts forgets the exchanges with the processes that have registered or
// left: one that registers again has started anew.
func (r *Replicator) resetContacts(e gooseberrypass.TopicChanged) {
	if e.Topic != gooseberrypass.TopicProcesses {
		return
	}
	for _, record := range e.Batch.Records {
		delete(r.contacts, gooseberrypass.ID(record.Key))
		delete(r.repliedAt, gooseberrypass.ID(record.Key))
	}
}
