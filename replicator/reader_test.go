package replicator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

const (
	readerAge     = time.Second
	readerSilence = 400 * time.Millisecond
)

func newEntry(id gooseberrypass.ID) *process {
	return newProcessWith(id, gooseberrypass.RoleEntry, noLoads{}, replicator.Settings{
		Period: time.Hour, MaxListAge: readerAge, ReaderTimeout: readerSilence, PullTimeout: time.Second,
	})
}

func entryMessage(id gooseberrypass.ID, region gooseberrypass.Region, listAge time.Duration) gossiper.Received {
	return gossiper.Received{Message: gossiper.Message{Address: "a", From: id, ListAge: listAge, Region: region, Role: gooseberrypass.RoleEntry}}
}

func TestOneEntryOfARegionReadsTheLog(t *testing.T) {
	tests := map[string]struct {
		received []gossiper.Received
		delay    time.Duration
		want     bool
	}{
		"alone":                   {want: true},
		"higher id than a reader": {received: []gossiper.Received{entryMessage("a", "", 0)}},
		"higher id than a reader of another region": {received: []gossiper.Received{entryMessage("a", "far", 0)}, want: true},
		"lower id than a reader":                    {received: []gossiper.Received{entryMessage("c", "", 0)}, want: true},
		"higher id than one whose reads fail":       {received: []gossiper.Received{entryMessage("a", "", readerAge+1)}, want: true},
		"higher id than one that sends no messages": {received: []gossiper.Received{entryMessage("a", "", 0)}, delay: readerSilence + 1, want: true},
		"reads of one of two lower ids fail":        {received: []gossiper.Received{entryMessage("a", "", readerAge+1), entryMessage("aa", "", 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newEntry("b")
			for _, e := range test.received {
				p.handleAt(now, e)
			}
			p.handleAt(now.Add(test.delay), gooseberrypass.Tick{})
			if got := p.replicator.ReadsLog(); got != test.want {
				t.Errorf("reads the log: got %v, want %v", got, test.want)
			}
		})
	}
}

// An entry whose reads fail must report it, so that the next entry takes over.
func TestEntryTellsHowOldItsListIs(t *testing.T) {
	p := newEntry("a")
	p.handleAt(now, gooseberrypass.TopicChanged{Batch: gooseberrypass.KeyedBatch{Next: 1, Records: []gooseberrypass.KeyedRecord{
		{Key: "b", Value: []byte(`{"address":"b","id":"b","role":"entry"}`)},
	}}, Topic: gooseberrypass.TopicProcesses})
	p.handleAt(now, gooseberrypass.TopicRead{Topic: gooseberrypass.TopicEndpoints})
	p.handleAt(now.Add(300*time.Millisecond), gooseberrypass.TopicRead{Err: errors.New("no answer"), Topic: gooseberrypass.TopicEndpoints})
	p.handleAt(now.Add(500*time.Millisecond), configChanged())
	if got, want := p.sender.last.ListAge, 500*time.Millisecond; got != want {
		t.Errorf("list age in the message: got %v, want %v", got, want)
	}
}
