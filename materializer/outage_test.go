package materializer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

const listTopic = gooseberrypass.TopicEndpoints

func at(d time.Duration) time.Time { return startTime.Add(d) }

// failRead lets a read of the list fail that began at a time.
func failRead(m *materializer.Materializer, started, ended time.Duration) {
	m.Handle(at(ended), gooseberrypass.TopicRead{Err: errors.New("no answer"), Started: at(started), Topic: listTopic})
}

// newListing returns a materializer that has read endpoint a at the start.
func newListing() *materializer.Materializer {
	m := newMaterializer()
	m.Handle(startTime, changed(listTopic, record("a", "up", 1)))
	m.Handle(startTime, gooseberrypass.TopicRead{Topic: listTopic})
	return m
}

// An entry was cut off for five seconds; its next read is due a second after the end of
// the cut. Meanwhile an endpoint leaves, and the other entries tell that they read the
// list all the time. The read that ends the outage brings the removal, and the endpoint
// must not be kept as one whose record expired.
func TestEndpointThatLeavesWhileOnlyThisProcessIsCutOffIsRemovedAtOnce(t *testing.T) {
	m := newListing()
	failRead(m, 400*time.Millisecond, 2400*time.Millisecond)
	failRead(m, 5200*time.Millisecond, 5600*time.Millisecond)
	m.ObserveRead(at(5700*time.Millisecond), 20*time.Second, false) // leaves the reads to another entry
	m.ObserveRead(at(5800*time.Millisecond), 300*time.Millisecond, false)
	m.Handle(at(6600*time.Millisecond), changed(listTopic, record("a", "", 2)))
	if got := endpointIDs(m); got != "" {
		t.Errorf("endpoints: got %q, want none", got)
	}
}

// Nobody could read the list, so that the records of running endpoints expired. They are
// kept until they can have registered again, also if another entry reads before this one.
func TestEndpointThatLapsesWhileNobodyCanReadIsKept(t *testing.T) {
	m := newListing()
	failRead(m, 400*time.Millisecond, 2400*time.Millisecond)
	for d := 500 * time.Millisecond; d < 5*time.Second; d += 300 * time.Millisecond {
		m.ObserveRead(at(d), d, false) // last read at the start
	}
	failRead(m, 4900*time.Millisecond, 5*time.Second)
	m.ObserveRead(at(5500*time.Millisecond), 100*time.Millisecond, false)
	m.Handle(at(6*time.Second), changed(listTopic, record("a", "", 2)))
	m.Handle(at(6*time.Second), gooseberrypass.TopicRead{Topic: listTopic})
	if got, want := endpointIDs(m), "a"; got != want {
		t.Fatalf("endpoints: got %q, want %q", got, want)
	}
	if !m.Snapshot().Endpoints[0].Lapsed {
		t.Error("the endpoint is not marked as lapsed")
	}
	m.Handle(at(7*time.Second), changed(listTopic, record("a", "up", 3)))
	if got := m.Snapshot().Endpoints; len(got) != 1 || got[0].Lapsed {
		t.Errorf("endpoints after the new registration: got %v, want one that has not lapsed", got)
	}
}

// If nobody tells whether the list could be read, an endpoint is not kept for longer than
// the process is exempt from the bounds: by then the endpoint may have left long ago.
func TestEndpointInDoubtIsKeptOnlyWhileTheProcessIsExempt(t *testing.T) {
	m := newListing()
	failRead(m, 400*time.Millisecond, 2400*time.Millisecond)
	m.Handle(at(exemption-time.Second), changed(listTopic, record("a", "", 2)))
	m.Handle(at(exemption-time.Second), gooseberrypass.TopicRead{Topic: listTopic})
	if got, want := endpointIDs(m), "a"; got != want {
		t.Fatalf("endpoints: got %q, want %q", got, want)
	}
	// The last failed read began at 400 ms, so that the process is exempt until then.
	m.Handle(at(exemption+400*time.Millisecond), gooseberrypass.Tick{})
	if got := endpointIDs(m); got != "" {
		t.Errorf("endpoints at the end of the exemption: got %q, want none", got)
	}
}

// A process that takes the list from another one hears that the list can be read. What
// the other one keeps after an outage of its own has left.
func TestEndpointThatAnotherProcessKeepsIsRemovedIfTheListWasReadable(t *testing.T) {
	m := newListing()
	m.ObserveRead(at(9900*time.Millisecond), 100*time.Millisecond, false)
	e := changed(listTopic, record("a", "", 2))
	e.Ages, e.Retained = []time.Duration{0}, map[string]time.Duration{"a": retention}
	m.Handle(at(10*time.Second), e)
	if got := endpointIDs(m); got != "" {
		t.Errorf("endpoints: got %q, want none", got)
	}
}

// The retention of another process goes on, it does not begin anew.
func TestRetentionOfAnotherProcessGoesOn(t *testing.T) {
	m := newMaterializer()
	m.Handle(startTime, changed(listTopic, record("a", "up", 1)))
	e := changed(listTopic, record("a", "", 2))
	e.Ages, e.Retained = []time.Duration{0}, map[string]time.Duration{"a": retention / 4}
	m.Handle(startTime, e)
	if got, ok := m.Retained(startTime, "a"); !ok || got != retention/4 {
		t.Errorf("retention: got %s, want %s", got, retention/4)
	}
	m.Handle(at(retention/4), gooseberrypass.Tick{})
	if got := endpointIDs(m); got != "" {
		t.Errorf("endpoints: got %q, want none", got)
	}
}

// A process that has started after a deletion cannot tell it from an expired record.
func TestKeyThatAnotherProcessLacksIsKeptInAnOutage(t *testing.T) {
	m := newListing()
	failRead(m, 400*time.Millisecond, 2400*time.Millisecond)
	e := changed(listTopic)
	e.Ages, e.Batch.Complete, e.Batch.Next = []time.Duration{}, true, 3
	m.Handle(at(2500*time.Millisecond), e)
	if got, want := endpointIDs(m), "a"; got != want {
		t.Errorf("endpoints: got %q, want %q", got, want)
	}
}
