package replicator_test

import (
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// listChanged returns the event of a read of the endpoint list.
func listChanged(batch gooseberrypass.KeyedBatch, first bool) gooseberrypass.TopicChanged {
	return gooseberrypass.TopicChanged{Batch: batch, FirstRead: first, Topic: gooseberrypass.TopicEndpoints}
}

func endpointRecord(key string, offset gooseberrypass.Offset) gooseberrypass.KeyedRecord {
	return gooseberrypass.KeyedRecord{Key: key, Offset: offset, Value: []byte("up")}
}

func hasEndpoint(m *materializer.Materializer, id gooseberrypass.ID) bool {
	for _, e := range m.Snapshot().Endpoints {
		if e.ID == id {
			return true
		}
	}
	return false
}

func announcesList(address string, next gooseberrypass.Offset) gossiper.Received {
	return gossiper.Received{Message: gossiper.Message{
		Address: address, From: "other", Next: map[gooseberrypass.Topic]gooseberrypass.Offset{gooseberrypass.TopicEndpoints: next}, Role: gooseberrypass.RoleEntry,
	}}
}

// Two entries start anew. The second one reads the newest record of every key right after
// an endpoint's record was deleted, and the store returns no deletions. What it passes on
// must tell the first one, which read shortly before, that the endpoint is gone.
func TestDeletionBeforeTheFirstReadIsPassedOn(t *testing.T) {
	first, second := newEntry("b"), newEntry("a")
	first.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 4, Records: []gooseberrypass.KeyedRecord{
		endpointRecord("stays", 1), endpointRecord("leaves", 3),
	}}, true))
	// The deletion has offset 4.
	second.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 6, Records: []gooseberrypass.KeyedRecord{
		endpointRecord("stays", 1), endpointRecord("new", 5),
	}}, true))
	first.handle(announcesList(second.serve(t), 6))
	for id, want := range map[gooseberrypass.ID]bool{"leaves": false, "new": true, "stays": true} {
		if got := hasEndpoint(first.materializer, id); got != want {
			t.Errorf("endpoint %s listed: got %v, want %v", id, got, want)
		}
	}
}

// The same through a third entry, which takes the list from the second one.
func TestDeletionIsPassedOnThroughAnotherProcess(t *testing.T) {
	first, second, third := newEntry("c"), newEntry("a"), newEntry("b")
	first.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 4, Records: []gooseberrypass.KeyedRecord{
		endpointRecord("stays", 1), endpointRecord("leaves", 3),
	}}, true))
	second.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 6, Records: []gooseberrypass.KeyedRecord{endpointRecord("stays", 1)}}, true))
	third.handle(announcesList(second.serve(t), 6))
	first.handle(announcesList(third.serve(t), 6))
	if hasEndpoint(first.materializer, "leaves") {
		t.Error("the endpoint whose record was deleted is listed")
	}
	if !hasEndpoint(first.materializer, "stays") {
		t.Error("the other endpoint is not listed")
	}
}

// The log is trimmed past the offset of a process, which then reads every key again and
// finds out which ones are gone. It passes these deletions on as well.
func TestDeletionFoundAfterATrimIsPassedOn(t *testing.T) {
	first, second := newEntry("b"), newEntry("a")
	for _, p := range []*process{first, second} {
		p.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 4, Records: []gooseberrypass.KeyedRecord{endpointRecord("leaves", 3)}}, true))
	}
	second.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 5}, false))
	first.handle(announcesList(second.serve(t), 5))
	if hasEndpoint(first.materializer, "leaves") {
		t.Error("the endpoint whose record was deleted is listed")
	}
}

// A process that has read on since its first read passes on only what is new.
func TestLaterRecordsArePassedOnAlone(t *testing.T) {
	first, second := newEntry("b"), newEntry("a")
	for _, p := range []*process{first, second} {
		p.handle(listChanged(gooseberrypass.KeyedBatch{Complete: true, Next: 2, Records: []gooseberrypass.KeyedRecord{endpointRecord("stays", 1)}}, true))
	}
	second.handle(listChanged(gooseberrypass.KeyedBatch{Next: 3, Records: []gooseberrypass.KeyedRecord{endpointRecord("new", 2)}}, false))
	extract := second.materializer.RecordsFrom(gooseberrypass.TopicEndpoints, 2)
	if extract.Complete || len(extract.Records) != 1 {
		t.Errorf("records: got %d, complete %v, want 1, not complete", len(extract.Records), extract.Complete)
	}
	first.handle(announcesList(second.serve(t), 3))
	if !hasEndpoint(first.materializer, "stays") || !hasEndpoint(first.materializer, "new") {
		t.Errorf("endpoints: got %v, want both", first.materializer.Snapshot().Endpoints)
	}
}

// An agent takes the list of processes from others too. A process that has deregistered
// must not stay in it.
func TestDeregistrationBeforeTheFirstReadIsPassedOn(t *testing.T) {
	agent, entry := newProcess("agent", gooseberrypass.RoleAgent), newGreetingEntry()
	var records registrations
	records.add(t, "stays", gooseberrypass.RoleEntry, "stays:1", "")
	records.add(t, "leaves", gooseberrypass.RoleEntry, "leaves:1", "")
	e := records.since(0)
	e.Batch.Complete = true
	agent.handle(e)
	e = records.since(0)
	e.Batch = gooseberrypass.KeyedBatch{Complete: true, Next: 3, Records: e.Batch.Records[:1]}
	entry.handle(e)
	m := announcesList(entry.serve(t), 0)
	m.Message.Next = map[gooseberrypass.Topic]gooseberrypass.Offset{gooseberrypass.TopicProcesses: 3}
	agent.handle(m)
	if got := agent.materializer.Snapshot().Processes; len(got) != 1 || got[0].ID != "stays" {
		t.Errorf("processes: got %v, want the one that stays", got)
	}
}
