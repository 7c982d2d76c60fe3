package attributor_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// warmUp registers requests without the parts that a test is about, so that those are
// rare.
func warmUp(a *attributor.Attributor) {
	for i := range 500 {
		a.Register(service, digestOf(-i-1), []string{fmt.Sprint("common-", i%20)})
	}
}

// crashUnder lets n endpoints crash under new requests with parts.
func crashUnder(a *attributor.Attributor, clock *clockwork.FakeClock, n, firstRequest int, parts ...string) {
	for i := range n {
		p := a.Register(service, digestOf(firstRequest+i), parts)
		clock.Advance(100 * time.Millisecond)
		a.RecordInterruption(p, gooseberrypass.ID(fmt.Sprint("engine-", firstRequest+i)), true)
	}
}

func isQuarantined(a *attributor.Attributor, service gooseberrypass.ID, parts ...string) bool {
	_, left := a.Quarantine(a.Register(service, digestOf(0), parts))
	return left > 0
}

func newWarm(t *testing.T) (*attributor.Attributor, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	a := newAttributor(t, clock, 1)
	warmUp(a)
	return a, clock
}

// Only requests of the same service with the part are refused: sound ones share all
// other parts.
func TestQuarantineConcernsOnePartAtOneService(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 2, 1, "common-1", "deadly")
	if isQuarantined(a, service, "common-1", "deadly") {
		t.Error("quarantined after two crashes")
	}
	crashUnder(a, clock, 2, 3, "common-2", "deadly")
	for _, tc := range []struct {
		service gooseberrypass.ID
		parts   []string
		want    bool
	}{
		{service, []string{"common-1", "deadly"}, true},
		{service, []string{"deadly"}, true},
		{service, []string{"common-1"}, false},
		{service, []string{"common-2", "other"}, false},
		{service, nil, false},
		{"other engines", []string{"common-1", "deadly"}, false},
	} {
		if got := isQuarantined(a, tc.service, tc.parts...); got != tc.want {
			t.Errorf("%s %v: got quarantined %t, want %t", tc.service, tc.parts, got, tc.want)
		}
	}
}

// An endpoint that begins an answer on a part shows that the part is sound, at whatever
// entry.
func TestBeginClearsPart(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		t.Run(fmt.Sprintf("at another entry %t", elsewhere), func(t *testing.T) {
			a, clock := newWarm(t)
			other := newAttributor(t, clock, 2)
			crashUnder(a, clock, 2, 1, "rare")
			other.AddCrashEvidence("a", a.CrashEvidence())
			clock.Advance(time.Millisecond)
			if elsewhere {
				other.RecordAnswer(other.Register(service, digestOf(9), []string{"rare"}))
				a.AddCrashEvidence("other", other.CrashEvidence())
			} else {
				a.RecordAnswer(a.Register(service, digestOf(9), []string{"rare"}))
			}
			if a.Suspicions(a.Register(service, digestOf(10), []string{"rare"})) > 0 {
				t.Error("the part is still under suspicion")
			}
			crashUnder(a, clock, 2, 3, "rare")
			if isQuarantined(a, service, "rare") {
				t.Error("quarantined for crashes before the begin")
			}
			crashUnder(a, clock, 2, 5, "rare")
			if !isQuarantined(a, service, "rare") {
				t.Error("not quarantined after four more crashes")
			}
		})
	}
}

// An answer on a quarantined part, sent before, ends the quarantine here and elsewhere.
func TestBeginReleasesQuarantinedPart(t *testing.T) {
	a, clock := newWarm(t)
	other := newAttributor(t, clock, 2)
	inFlight := a.Register(service, digestOf(99), []string{"rare"})
	crashUnder(a, clock, 4, 1, "rare")
	other.AddCrashEvidence("a", a.CrashEvidence())
	if !isQuarantined(a, service, "rare") || !isQuarantined(other, service, "rare") {
		t.Fatal("not quarantined")
	}
	clock.Advance(time.Second)
	a.RecordAnswer(inFlight)
	other.AddCrashEvidence("a", a.CrashEvidence())
	if isQuarantined(a, service, "rare") || isQuarantined(other, service, "rare") {
		t.Error("still quarantined after an answer")
	}
}

// One crash after the end of a quarantine is enough for the next one, which is longer.
func TestPartThatCrashesAgainIsQuarantinedForLonger(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 4, 1, "deadly")
	last := time.Duration(0)
	for i := range 4 {
		name, left := a.Quarantine(a.Register(service, digestOf(0), []string{"deadly"}))
		if name != "deadly" {
			t.Fatalf("quarantine %d: not quarantined", i+1)
		}
		least := quarantineTime << i
		if left < least-time.Second || left > 2*least {
			t.Errorf("quarantine %d: got %s, want %s to %s", i+1, left, least, 2*least)
		}
		if left <= last/2 {
			t.Errorf("quarantine %d: got %s after %s", i+1, left, last)
		}
		last = left
		clock.Advance(left)
		if isQuarantined(a, service, "deadly") {
			t.Fatalf("quarantine %d has no end", i+1)
		}
		crashUnder(a, clock, 1, 100+i, "deadly")
	}
}

// An entry that starts anew learns of quarantines from the others. Their ends differ, so
// that entries do not all try the part at once.
func TestEntryThatStartsLearnsQuarantines(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 4, 1, "deadly")
	evidence := a.CrashEvidence()
	ends := map[time.Duration]bool{}
	for seed := range uint64(20) {
		started := newAttributor(t, clock, seed)
		started.AddCrashEvidence("other", attributor.Evidence{Quarantines: evidence.Quarantines})
		_, left := started.Quarantine(started.Register(service, digestOf(0), []string{"deadly"}))
		if left == 0 {
			t.Fatalf("seed %d: not quarantined", seed)
		}
		ends[left.Round(time.Second)] = true
	}
	if got, want := len(ends), 10; got < want {
		t.Errorf("got %d different ends of 20 quarantines, want at least %d", got, want)
	}
}

// A crash is one however many entries and connections tell of it, and only the requests
// whose answer had begun are suspects of it.
func TestQueuedRequestsAreNoSuspects(t *testing.T) {
	a, clock := newWarm(t)
	for i := range 5 {
		queued := a.Register(service, digestOf(100+i), []string{"queued"})
		cause := a.Register(service, digestOf(200+i), []string{"deadly"})
		clock.Advance(100 * time.Millisecond)
		endpoint := gooseberrypass.ID(fmt.Sprint("engine-", i))
		a.RecordInterruption(queued, endpoint, false)
		a.RecordInterruption(cause, endpoint, true)
		a.RecordInterruption(cause, endpoint, true)
	}
	if !isQuarantined(a, service, "deadly") {
		t.Error("the part under which endpoints crashed is not quarantined")
	}
	if isQuarantined(a, service, "queued") {
		t.Error("the part of the queued requests is quarantined")
	}
}

// Evidence of any size and content from another process is taken in within bounds.
func TestEvidenceIsBounded(t *testing.T) {
	a, clock := newWarm(t)
	for i := range 2000 {
		e := attributor.Evidence{Answers: []attributor.Answer{{Part: uint64(i)}}, Quarantines: []attributor.Quarantine{{Count: 1 << 30, Part: uint64(i) << 20}}}
		for j := range 8 {
			e.Interruptions = append(e.Interruptions, attributor.Interruption{
				Endpoint: gooseberrypass.ID(strconv.Itoa(i)), Parts: make([]uint64, 100), Request: uint64(j), Service: gooseberrypass.ID(fmt.Sprint("s-", j)),
			})
		}
		a.AddCrashEvidence("other", e)
		clock.Advance(time.Millisecond)
	}
	evidence := a.CrashEvidence()
	for name, got := range map[string]int{"begins": len(evidence.Answers), "interruptions": len(evidence.Interruptions), "quarantines": len(evidence.Quarantines)} {
		if want := 32; got > want {
			t.Errorf("%s: got %d, want at most %d", name, got, want)
		}
	}
	if _, left := a.Quarantine(a.Register(service, digestOf(1), []string{"common-1"})); left > 0 {
		t.Errorf("common part: got a quarantine of %s, want none", left)
	}
}

// Requests whose prompts have no parts that others share make the other ones rare.
func TestRequestsWithoutPartsCount(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newAttributor(t, clock, 1)
	for i := range 500 {
		a.Register(service, digestOf(-i-1), nil)
	}
	crashUnder(a, clock, 4, 1, "deadly")
	if !isQuarantined(a, service, "deadly") {
		t.Error("the only part under which endpoints crashed is not quarantined")
	}
}

// Endpoints crash when they begin requests whose prompts share nothing: the requests that
// wait behind them are not to blame.
func TestCrashUnderRequestWithoutPartsBlamesNoPart(t *testing.T) {
	a, clock := newWarm(t)
	for i := range 8 {
		endpoint := gooseberrypass.ID(fmt.Sprint("engine-", i))
		queued := a.Register(service, digestOf(100+i), []string{"queued"})
		cause := a.Register(service, digestOf(200+i), nil)
		clock.Advance(100 * time.Millisecond)
		a.RecordInterruption(queued, endpoint, false)
		a.RecordInterruption(cause, endpoint, true)
	}
	if isQuarantined(a, service, "queued") {
		t.Error("the part of the queued requests is quarantined")
	}
}

// Messages between entries are small again soon after a crash, although its evidence is
// kept for minutes.
func TestEvidenceIsToldForAShortTime(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 2, 1, "rare")
	e := a.CrashEvidence()
	if len(e.Counts) == 0 || len(e.Interruptions) == 0 || len(e.Requests) == 0 {
		t.Errorf("after a crash: got %+v, want interruptions and counts", e)
	}
	clock.Advance(4 * time.Second)
	e = a.CrashEvidence()
	if len(e.Answers)+len(e.Counts)+len(e.Interruptions)+len(e.Requests) > 0 {
		t.Errorf("4 s later: got %+v, want nothing", e)
	}
}
