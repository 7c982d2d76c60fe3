package attributor_test

import (
	"fmt"
	"testing"
	"time"
)

// Callers send requests that share nothing but a part of their prompts, and each engine
// that begins an answer on it crashes: engines went down one after another, because
// each request was new.
func TestLoadPartOfPromptsThatCrashesEngines(t *testing.T) {
	const allowed = 3 // requests with the part at engines, once it counts as known
	scenarios := map[string]scenario{
		"rare":                       {deadlyShare: 0.008, earlyHeads: true, entries: 4, engines: 14},
		"usual":                      {deadlyShare: 0.02, earlyHeads: true, entries: 4, engines: 14},
		"frequent":                   {deadlyShare: 0.06, earlyHeads: true, entries: 4, engines: 14},
		"a fifth":                    {deadlyShare: 0.2, earlyHeads: true, entries: 4, engines: 14},
		"one entry":                  {deadlyShare: 0.02, earlyHeads: true, entries: 1, engines: 14},
		"many entries":               {deadlyShare: 0.02, earlyHeads: true, entries: 12, engines: 52},
		"heads with the first event": {deadlyShare: 0.02, entries: 4, engines: 14},
		"two at once":                {deadly: []string{"deadly-1", "deadly-2"}, deadlyShare: 0.02, earlyHeads: true, entries: 4, engines: 14},
		"entries that start anew":    {deadlyShare: 0.02, earlyHeads: true, entries: 4, engines: 14, restartEvery: 1900 * time.Millisecond},
		"beside other crashes":       {deadlyShare: 0.02, earlyHeads: true, entries: 4, engines: 14, rollingCrash: 700 * time.Millisecond},
		"beside connection resets":   {deadlyShare: 0.02, earlyHeads: true, entries: 4, engines: 14, resetShare: 0.02},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			s.deadlyFrom, s.simulatedTime = 4*time.Second, 26*time.Second
			if s.deadly == nil {
				s.deadly = []string{"deadly"}
			}
			for s.seed = range 5 {
				f := newFleet(t, s)
				f.run()
				if got, want := f.late, allowed*len(s.deadly); got > want {
					t.Errorf("seed %d: got %d late requests with the part at engines, want at most %d; %d crashes", s.seed, got, want, len(f.crashes))
				}
				if got, want := f.refused, f.sound/100; got > want {
					t.Errorf("seed %d: got %d sound requests refused, want at most %d of %d", s.seed, got, want, f.sound)
				}
			}
			s.naive = true
			f := newFleet(t, s)
			f.run()
			if f.late <= allowed {
				t.Errorf("got %d late requests with nothing refused, want more than %d", f.late, allowed)
			}
		})
	}
}

// Engines crash and connections break for other reasons: no part of prompts is taken
// for the cause, however many requests have it.
func TestLoadNoPartIsQuarantinedForOtherCrashes(t *testing.T) {
	scenarios := map[string]scenario{
		"all engines at once":       {herdKill: true},
		"one after another":         {rollingCrash: 300 * time.Millisecond},
		"connections reset":         {resetShare: 0.1},
		"all together":              {herdKill: true, rollingCrash: 500 * time.Millisecond, resetShare: 0.05},
		"one request over and over": {poison: true, deadlyFrom: 2 * time.Second},
	}
	for name, s := range scenarios {
		for _, s.earlyHeads = range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, early heads %t", name, s.earlyHeads), func(t *testing.T) {
				s.engines, s.entries, s.simulatedTime = 14, 4, 16*time.Second
				for s.seed = range 12 {
					f := newFleet(t, s)
					f.run()
					if f.refused > 0 {
						t.Errorf("seed %d: got %d of %d sound requests refused, want 0", s.seed, f.refused, f.sound)
					}
				}
			})
		}
	}
}
