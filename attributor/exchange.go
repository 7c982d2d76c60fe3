package attributor

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what entries tell one another.
const (
	shareTime = 3 * time.Second // time for which an interruption is repeated to other entries, because messages may be lost
	maxShared = 32              // interruptions, begins and quarantines, each
)

// Evidence is what an entry tells others of crashes. Ages are relative to the moment
// of sending. Parts and requests are identified by hashes.
type Evidence struct {
	Begins        []Begin
	Interruptions []Interruption
	Quarantines   []Quarantine
}

// A Begin is the last begin of an answer on a part that crashes put under suspicion.
type Begin struct {
	Age  time.Duration
	Part uint64
}

// An Interruption is an attempt that broke off without an event of an answer.
type Interruption struct {
	Age      time.Duration
	Begun    bool // the endpoint had sent the head of the answer
	Endpoint gooseberrypass.ID
	Parts    []uint64
	Request  uint64
	Service  gooseberrypass.ID
}

// A Quarantine is a part whose requests are refused.
type Quarantine struct {
	Age   time.Duration // time since it began
	Count int           // quarantines of the part so far
	Part  uint64
}

// CrashEvidence returns what this entry tells others.
func (a *Attributor) CrashEvidence() Evidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.own = a.shared(now)
	e := Evidence{Begins: a.begins(now)}
	for _, i := range a.own {
		parts := make([]uint64, 0, len(i.parts))
		for _, key := range i.parts {
			parts = append(parts, uint64(key))
		}
		e.Interruptions = append(e.Interruptions, Interruption{Age: now.Sub(i.at), Begun: i.begun, Endpoint: i.endpoint, Parts: parts, Request: i.request, Service: i.service})
	}
	for key, q := range a.quarantines {
		if len(e.Quarantines) < maxShared && now.Before(q.until) {
			e.Quarantines = append(e.Quarantines, Quarantine{Age: now.Sub(q.since), Count: q.count, Part: uint64(key)})
		}
	}
	return e
}

// shared returns the own interruptions that are still repeated to others.
func (a *Attributor) shared(now time.Time) []interruption {
	return slices.DeleteFunc(a.own, func(i interruption) bool { return now.Sub(i.at) > shareTime })
}

// begins returns the recent begins of answers on parts that crashes put under
// suspicion. Other entries may not have answered a request with such a part.
func (a *Attributor) begins(now time.Time) []Begin {
	var begins []Begin
	a.dropCrashes(now)
	if a.suspected == nil {
		a.suspected = partsOf(a.crashes)
	}
	for key, until := range a.released {
		if !now.Before(until) {
			delete(a.released, key)
		} else if len(begins) < maxShared {
			begins = append(begins, Begin{Age: now.Sub(a.parts.lastBegin(key)), Part: uint64(key)})
		}
	}
	for key := range a.suspected {
		if _, ok := a.released[key]; ok {
			continue
		}
		at := a.parts.lastBegin(key)
		if len(begins) < maxShared && now.Sub(at) <= shareTime {
			begins = append(begins, Begin{Age: now.Sub(at), Part: uint64(key)})
		}
	}
	return begins
}

// AddCrashEvidence takes in what another entry tells.
func (a *Attributor) AddCrashEvidence(e Evidence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for _, b := range e.Begins {
		a.recordBegin(part(b.Part), now.Add(-b.Age))
	}
	for _, q := range e.Quarantines {
		a.adoptQuarantine(part(q.Part), now.Add(-q.Age), q.Count)
	}
	var changed []*crash
	for _, i := range e.Interruptions {
		parts := make([]part, 0, len(i.Parts))
		for _, key := range i.Parts[:min(len(i.Parts), maxPromptParts)] {
			parts = append(parts, part(key))
			a.parts.record(part(key))
		}
		c := a.addInterruption(interruption{at: now.Add(-i.Age), begun: i.Begun, endpoint: i.Endpoint, parts: parts, request: i.Request, service: i.Service})
		if c != nil {
			changed = append(changed, c)
		}
	}
	if len(changed) > 0 {
		a.judge(now, changed)
	}
}

// adoptQuarantine takes over a quarantine that this entry does not know, unless an
// endpoint has begun an answer on the part since.
func (a *Attributor) adoptQuarantine(key part, since time.Time, count int) {
	if a.parts.lastBegin(key).After(since) {
		a.tellRelease(key)
		return
	}
	if count <= a.quarantines[key].count {
		return
	}
	a.setQuarantine(key, since, count)
	a.logger.WithField("part", a.parts.name(key)).Warn("another entry quarantined a part of prompts, refusing requests that have it")
}

// tellRelease tells other entries of the last begin of an answer on a part, which ends
// its quarantine.
func (a *Attributor) tellRelease(key part) {
	if len(a.released) < maxQuarantines {
		a.released[key] = a.clock.Now().Add(shareTime)
	}
}
