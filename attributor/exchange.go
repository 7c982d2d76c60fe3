package attributor

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of what entries tell one another.
const (
	shareTime  = 3 * time.Second // time for which an interruption is repeated to other entries, because messages may be lost
	maxShared  = 32              // interruptions and quarantines, each
	maxCounts  = 64              // parts whose requests are counted
	maxAnswers = 128             // parts with an answer
	// maxSharedParts is the number of parts of one interruption, the least common ones.
	maxSharedParts = 16
	// maxToldParts bounds the parts of all quarantines in a message.
	maxToldParts = 512
)

// Evidence is what an entry tells others of crashes. Ages are relative to the moment
// of sending. Parts and requests are identified by hashes.
type Evidence struct {
	Answers       []Answer
	Counts        []Count // of parts under suspicion, shortly after a crash
	Interruptions []Interruption
	Quarantines   []Quarantine
	Requests      []Total       // by service, with Counts
	Waited        time.Duration // since the evidence was received; not sent
}

// Later returns the evidence as of a later time.
func (e Evidence) Later(by time.Duration) Evidence {
	e.Waited += by
	return e
}

// A Count is the number of recent requests with a part.
type Count struct {
	Part     uint64
	Requests int
}

// A Total is the number of recent requests to a service.
type Total struct {
	Requests int
	Service  gooseberrypass.ID
}

// An Answer is the last answer on a part that crashes put under suspicion.
type Answer struct {
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

// A Quarantine is a part, alone or with others, whose requests are refused.
type Quarantine struct {
	Age   time.Duration // time since it began
	Count int           // quarantines of the part so far
	Part  uint64
	With  []uint64 // parts that cannot be told apart from it; requests with all of them are refused
}

// CrashEvidence returns what this entry tells others.
func (a *Attributor) CrashEvidence() Evidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.own = a.shared(now)
	a.judge(now)
	e := Evidence{Answers: a.answers(now)}
	for _, i := range a.own {
		e.Interruptions = append(e.Interruptions, Interruption{
			Age: now.Sub(i.at), Begun: i.begun, Endpoint: i.endpoint, Parts: a.rarest(i.parts), Request: i.request, Service: i.service,
		})
	}
	a.addCounts(now, &e)
	e.Quarantines = a.toldQuarantines(now)
	return e
}

// toldQuarantines returns the quarantines that others are told of, the newest first. One that is
// not told whole would refuse other requests.
func (a *Attributor) toldQuarantines(now time.Time) []Quarantine {
	var told []Quarantine
	parts := 0
	for _, q := range slices.Backward(a.quarantines.all) {
		if len(told) >= maxShared || !now.Before(q.until) || parts+len(q.parts) > maxToldParts {
			continue
		}
		parts += len(q.parts)
		t := Quarantine{Age: now.Sub(q.since), Count: q.count, Part: uint64(q.parts[0])}
		for _, key := range q.parts[1:] {
			t.With = append(t.With, uint64(key))
		}
		told = append(told, t)
	}
	return told
}

// rarest returns the least common of the parts of a prompt.
func (a *Attributor) rarest(parts []part) []uint64 {
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(p, q part) int { return a.parts.requestsWith(p) - a.parts.requestsWith(q) })
	keys := make([]uint64, 0, min(len(sorted), maxSharedParts))
	for _, key := range sorted[:cap(keys)] {
		keys = append(keys, uint64(key))
	}
	return keys
}

// addCounts adds the counts by which other entries tell common parts from rare ones: first
// of the parts that they hear of in the same message. They are told for shareTime after a
// crash.
func (a *Attributor) addCounts(now time.Time, e *Evidence) {
	if !slices.ContainsFunc(a.crashes, func(c *crash) bool { return now.Sub(c.at) <= shareTime }) {
		return
	}
	for service := range a.parts.services {
		e.Requests = append(e.Requests, Total{Requests: a.parts.requests(service), Service: service})
	}
	added := map[part]bool{}
	add := func(key part) {
		if len(e.Counts) < maxCounts && !added[key] {
			added[key] = true
			e.Counts = append(e.Counts, Count{Part: uint64(key), Requests: a.parts.requestsWith(key)})
		}
	}
	for _, i := range e.Interruptions {
		for _, key := range i.Parts {
			add(part(key))
		}
	}
	for _, c := range slices.Backward(a.crashes) {
		for _, s := range c.begun {
			for _, key := range s.parts {
				add(key)
			}
		}
	}
	for key := range a.suspected {
		add(key)
	}
}

// shared returns the own interruptions that are still repeated to others.
func (a *Attributor) shared(now time.Time) []interruption {
	return slices.DeleteFunc(a.own, func(i interruption) bool { return now.Sub(i.at) > shareTime })
}

// answers returns the recent answers on parts that crashes put under
// suspicion. Other entries may not have answered a request with such a part.
func (a *Attributor) answers(now time.Time) []Answer {
	var answers []Answer
	a.dropCrashes(now)
	if a.suspected == nil {
		a.suspected = partsOf(a.crashes)
	}
	for key, until := range a.released {
		if !now.Before(until) {
			delete(a.released, key)
		} else if len(answers) < maxAnswers {
			answers = append(answers, Answer{Age: now.Sub(a.parts.lastAnswer(key)), Part: uint64(key)})
		}
	}
	for key := range a.suspected {
		if _, ok := a.released[key]; ok {
			continue
		}
		at := a.parts.lastAnswer(key)
		if len(answers) < maxAnswers && now.Sub(at) <= shareTime {
			answers = append(answers, Answer{Age: now.Sub(at), Part: uint64(key)})
		}
	}
	return answers
}

// AddCrashEvidence takes in what another entry tells.
func (a *Attributor) AddCrashEvidence(from gooseberrypass.ID, e Evidence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	receivedAt := now.Add(-e.Waited)
	a.addReport(now, from, e)
	for _, t := range e.Answers {
		a.recordAnswer(part(t.Part), receivedAt.Add(-t.Age))
	}
	for _, q := range e.Quarantines {
		a.adoptQuarantine(q, receivedAt.Add(-q.Age))
	}
	for _, i := range e.Interruptions {
		a.addInterruption(a.received(receivedAt, from, i))
	}
	a.judge(now)
}

// received returns an interruption that another entry tells of.
func (a *Attributor) received(now time.Time, from gooseberrypass.ID, i Interruption) interruption {
	parts := make([]part, 0, min(len(i.Parts), maxSharedParts))
	for _, key := range i.Parts[:cap(parts)] {
		parts = append(parts, part(key))
		a.parts.record(part(key)) // so that answers can clear it
	}
	return interruption{at: now.Add(-min(i.Age, shareTime)), begun: i.Begun, endpoint: i.Endpoint, entry: from, parts: parts, request: i.Request, service: i.Service}
}

// adoptQuarantine takes over a quarantine that this entry does not know, without the parts on
// which an endpoint has begun an answer since.
func (a *Attributor) adoptQuarantine(told Quarantine, since time.Time) {
	var parts []part
	for _, key := range append([]uint64{told.Part}, told.With...) {
		if !a.parts.lastAnswer(part(key)).After(since) {
			parts = append(parts, part(key))
			continue
		}
		a.tellRelease(part(key))
	}
	if len(parts) == 0 {
		return
	}
	if held, ok := a.quarantines.of(parts); ok && told.Count <= held.count {
		return
	}
	a.setQuarantine(parts, since, told.Count)
	a.logger.WithFields(logrus.Fields{fieldPart: a.parts.name(parts[0]), fieldRivals: a.names(parts[1:])}).Warn("another entry quarantined a part of prompts, refusing requests that have it and its rivals")
}

// tellRelease tells other entries of the last answer on a part, which ends
// its quarantine.
func (a *Attributor) tellRelease(key part) {
	if len(a.released) < maxQuarantines {
		a.released[key] = a.clock.Now().Add(shareTime)
	}
}
