package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// A part in about half of the prompts crashed the few engines again and again: ten crashes
// were needed to tell it from a coincidence.
func TestLoadPartOfManyPromptsIsFoundAfterFewCrashes(t *testing.T) {
	const allowed = 3 // requests with a part at engines, once it counts as known
	for _, engines := range []int{2, 3, 14} {
		for _, share := range []float64{0.01, 0.05, 0.2, 0.5, 0.7, 0.9} {
			for _, parts := range [][]string{{"deadly"}, {"deadly-1", "deadly-2"}} {
				for _, heads := range []float64{0.5, 1} {
					t.Run(fmt.Sprintf("engines %d, share %g, parts %d, early heads %g", engines, share, len(parts), heads), func(t *testing.T) {
						s := scenario{
							deadly: parts, deadlyEvery: 12 * time.Second, deadlyFrom: 4 * time.Second, deadlyShare: share / float64(len(parts)), earlyHeadShare: heads,
							engines: engines, entries: 2, quickBegin: true, simulatedTime: 26 * time.Second,
						}
						for s.seed = range 2 {
							f := newFleet(t, s)
							f.run()
							for _, part := range parts {
								if got := f.lateOf[part]; got > allowed {
									t.Errorf("seed %d: got %d late requests with %s at engines, want at most %d; %d crashes", s.seed, got, part, allowed, len(f.crashesOf[part]))
								}
							}
							if got, want := f.refused, f.sound/100; got > want {
								t.Errorf("seed %d: got %d sound requests refused, want at most %d of %d", s.seed, got, want, f.sound)
							}
						}
					})
				}
			}
		}
	}
}

// Entries that had just started knew of no answers on the part that all prompts with the
// deadly one share, and could not tell the two apart.
func TestLoadSharedPartIsNotBlamedAtEntriesThatStart(t *testing.T) {
	for _, share := range []float64{0.3, 0.7} {
		for _, heads := range []float64{0.5, 1} {
			t.Run(fmt.Sprintf("share %g, early heads %g", share, heads), func(t *testing.T) {
				s := scenario{
					deadly: []string{"deadly"}, deadlyFrom: 4 * time.Second, deadlyShare: share, earlyHeadShare: heads, engines: 14, entries: 2,
					quickBegin: true, restartEvery: 1900 * time.Millisecond, simulatedTime: 20 * time.Second,
				}
				for n := range uint64(15) {
					s.seed = 100 + n
					f := newFleet(t, s)
					f.run()
					if got, want := f.refused, f.sound/100; got > want {
						t.Errorf("seed %d: got %d sound requests refused, want at most %d of %d", s.seed, got, want, f.sound)
					}
				}
			})
		}
	}
}

// Engines crash one after another for other reasons while sound parts are new, at first or
// one after another, so that no answer on them is known: none of them is blamed.
func TestLoadNewPartsAreNotBlamed(t *testing.T) {
	for _, engines := range []int{2, 3, 14} {
		for _, life := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			for _, rolling := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
				for _, restart := range []time.Duration{0, 1900 * time.Millisecond} {
					t.Run(fmt.Sprintf("engines %d, life %s, a crash every %s, restarts every %s", engines, life, rolling, restart), func(t *testing.T) {
						s := scenario{
							deadlyFrom: 4 * time.Second, earlyHeadShare: 0.5, engines: engines, entries: 2, newLife: life,
							resetShare: 0.02, restartEvery: restart, rollingCrash: rolling, simulatedTime: 9 * time.Second,
						}
						for _, s.newShare = range []float64{0.05, 0.2, 0.5, 0.9} {
							for _, s.quickBegin = range []bool{false, true} {
								f := newFleet(t, s)
								f.run()
								if f.refused > 0 {
									t.Errorf("share %g, quick begin %t: got %d of %d sound requests refused, want 0", s.newShare, s.quickBegin, f.refused, f.sound)
								}
							}
						}
					})
				}
			}
		}
	}
}

// A part became common after the first crashes under it, which then looked like a
// coincidence.
func TestLaterRequestsDoNotExcuseCrashes(t *testing.T) {
	a, clock := newWarm(t)
	crashUnder(a, clock, 2, 1, "deadly")
	for i := range 500 {
		a.Register(service, digestOf(2000+i), []string{"deadly"})
	}
	crashUnder(a, clock, 2, 3, "deadly")
	if !isQuarantined(a, service, "deadly") {
		t.Error("got no quarantine after four crashes, want one")
	}
}

// Crashes alone did not tell the part from a coincidence, and the answers to others that came
// after the last one were weighed only at the next crash.
func TestAnswersToOthersAreWeighedBeforeTheNextCrash(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := newAttributor(t, clock, 1)
	n := 0
	send := func(part string) attributor.Prompt {
		n++
		return a.Register(service, digestOf(n), []string{"shared", part})
	}
	answerOthers := func(count int) {
		for i := range count {
			p := send(fmt.Sprint("sound-", i%8))
			clock.Advance(30 * time.Millisecond)
			a.RecordAnswer(p)
		}
	}
	answerOthers(40)
	for range 35 {
		send("deadly")
	}
	for i := range 4 {
		p, beside := send("deadly"), send(fmt.Sprint("sound-", i))
		clock.Advance(300 * time.Millisecond)
		endpoint := gooseberrypass.ID(fmt.Sprint("engine-", i))
		a.RecordInterruption(beside, endpoint, false)
		a.RecordInterruption(p, endpoint, false)
	}
	clock.Advance(300 * time.Millisecond)
	if isQuarantined(a, service, "deadly") {
		t.Fatal("got a quarantine by the crashes alone, want a case that they do not decide")
	}
	for range 12 {
		send("deadly") // finds no endpoint with room
		answerOthers(1)
	}
	clock.Advance(300 * time.Millisecond)
	if !isQuarantined(a, service, "deadly") {
		t.Error("got no quarantine after twelve answers to others, want one")
	}
	if isQuarantined(a, service, "shared") || isQuarantined(a, service, "sound-1") {
		t.Error("a sound part is quarantined")
	}
}
