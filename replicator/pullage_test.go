package replicator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// The time of a slow transfer was missing in the age of a pulled version: its bound came later by
// as much, here and at all processes that this one told.
func TestAgeOfAPulledVersionHoldsTheTransfer(t *testing.T) {
	const age, transfer = 2 * time.Second, 700 * time.Millisecond
	operator := func(e gooseberrypass.TopicChanged) []gooseberrypass.Event {
		e.Topic = gooseberrypass.TopicOperator
		return []gooseberrypass.Event{e}
	}
	named := gooseberrypass.KeyedBatch{Next: 4, Records: []gooseberrypass.KeyedRecord{{Key: "version", Offset: 3, Value: []byte("v")}}}
	for name, c := range map[string]struct {
		known []gooseberrypass.Event // by the process that is pulled from
		age   func(p *process, now time.Time) time.Duration
	}{
		"version that was seen being named": {operator(gooseberrypass.TopicChanged{Batch: named}), ageOfVersion},
		"version that was found":            {operator(gooseberrypass.TopicChanged{Batch: named, FirstRead: true}), ageOfVersion},
		"version that was replaced": {operator(gooseberrypass.TopicChanged{
			Ages: []time.Duration{}, Batch: gooseberrypass.KeyedBatch{Next: 4}, Targets: []gooseberrypass.AgedTarget{{Model: "m", Observed: true, Version: 3}},
		}), ageOfVersion},
		"record":               {operator(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 4, Records: []gooseberrypass.KeyedRecord{{Key: "config", Offset: 3, Value: []byte("c")}}}}), ageOfRecord},
		"key that was deleted": {operator(gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 4, Records: []gooseberrypass.KeyedRecord{{Key: "config", Offset: 3}}}}), ageOfRecord},
	} {
		t.Run(name, func(t *testing.T) {
			from, to := newProcess("a", gooseberrypass.RoleEntry), newProcess("b", gooseberrypass.RoleAgent)
			for _, e := range c.known {
				from.handleAt(now.Add(-age), e)
			}
			effects := to.replicator.Handle(now, messageFromAhead(from.serve(t)))
			if len(effects) != 1 {
				t.Fatalf("got %d effects, want a pull", len(effects))
			}
			end := now.Add(transfer)
			to.handleAt(end, effects[0].Run(t.Context()))
			if got, want := c.age(to, end), age+transfer; got != want {
				t.Errorf("got age %v, want %v", got, want)
			}
		})
	}
}

// ageOfVersion returns the age of the only version that a process knows.
func ageOfVersion(p *process, now time.Time) time.Duration {
	if aged := p.materializer.AgedTargets(now); len(aged) == 1 {
		return aged[0].Age
	}
	return -1
}

// ageOfRecord returns the age of the only record of the operator that a process knows.
func ageOfRecord(p *process, now time.Time) time.Duration {
	if since := p.materializer.RecordsFrom(gooseberrypass.TopicOperator, 0).Since; len(since) == 1 {
		return now.Sub(since[0])
	}
	return -1
}

// An endpoint whose record expired during an outage was retained for longer by each process that
// pulled it, by the time of the transfer.
func TestRetentionOfAPulledEndpointEndsWithThatOfItsSource(t *testing.T) {
	const transfer = 700 * time.Millisecond
	settings := materializer.Settings{Exemption: 3 * time.Second, MaxListAge: time.Second, Retention: 3 * time.Second}
	newEntry := func(id gooseberrypass.ID) *process {
		return newProcessWithTopics(settings, newClient(), "", id, gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{Period: time.Hour, PullTimeout: time.Second})
	}
	from, to := newEntry("a"), newEntry("b")
	failed := gooseberrypass.TopicRead{Err: errors.New("no answer"), Started: now, Topic: gooseberrypass.TopicEndpoints}
	for _, p := range []*process{from, to} {
		p.handle(listChanged(gooseberrypass.KeyedBatch{Next: 4, Records: []gooseberrypass.KeyedRecord{endpointRecord("e", 3)}}, false))
		p.handle(failed)
	}
	from.handle(listChanged(gooseberrypass.KeyedBatch{Next: 8, Records: []gooseberrypass.KeyedRecord{{Key: "e", Offset: 7}}}, false))
	left, ok := from.materializer.Retained(now, "e")
	if !ok || left <= transfer {
		t.Fatalf("source retains the endpoint for %v, want more than %v", left, transfer)
	}
	effects := to.replicator.Handle(now, announcesList(from.serve(t), 8))
	if len(effects) != 1 {
		t.Fatalf("got %d effects, want a pull", len(effects))
	}
	end := now.Add(transfer)
	to.handleAt(end, effects[0].Run(t.Context()))
	if got, _ := to.materializer.Retained(end, "e"); got != left-transfer {
		t.Errorf("got retention %v, want %v", got, left-transfer)
	}
}
