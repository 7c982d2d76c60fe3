// Package attributor attributes crashes of endpoints to parts of prompts and
// quarantines the parts that crash each endpoint which begins an answer on them.
package attributor

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Settings configure an Attributor.
type Settings struct {
	QuarantineTime time.Duration // shortest quarantine of a part; doubles with each further one
}

// An Attributor records which requests endpoints crashed under, here and at other
// entries, and quarantines the parts of prompts that explain the crashes: endpoints
// crashed under several requests with the part, more often than the part's share of
// the requests explains, and none has answered on it since the first of them.
// It is safe for concurrent use.
type Attributor struct {
	clock    gooseberrypass.Clock
	logger   logrus.FieldLogger
	metrics  *metrics
	settings Settings

	mu          sync.Mutex
	answered    bool     // an answer was begun since the last judgement
	crashes     []*crash // the newest last
	judgedAt    time.Time
	own         []interruption
	parts       *partTable
	pending     bool // crashes have changed since the last judgement
	quarantines *quarantineTable
	released    map[part]time.Time           // until when other entries are told of the answer that released a part
	reports     map[gooseberrypass.ID]report // counts of other entries
	rng         *rand.Rand
	suspected   map[part]gooseberrypass.ID // services of the parts that crashes put under suspicion, nil if not up to date
}

// New returns an Attributor without evidence. seed spreads the ends of quarantines.
func New(clock gooseberrypass.Clock, settings Settings, seed uint64, registerer prometheus.Registerer, logger logrus.FieldLogger) (*Attributor, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	return &Attributor{
		clock: clock, logger: logger, metrics: m, parts: newPartTable(), quarantines: newQuarantineTable(), released: map[part]time.Time{},
		reports: map[gooseberrypass.ID]report{}, rng: rand.New(rand.NewPCG(seed, seed)),
		settings: settings,
	}, nil
}

// A Prompt is a request as far as crashes are attributed to the parts of its prompt. The
// zero Prompt is a request without a prompt.
type Prompt struct {
	parts   []part
	request uint64 // first eight bytes of the digest
	service gooseberrypass.ID
}

// Register counts a request to a service. shared are the parts of its prompt that other
// requests may have.
func (a *Attributor) Register(service gooseberrypass.ID, digest gooseberrypass.Digest, shared []string) Prompt {
	shared = shared[:min(len(shared), maxPromptParts)]
	p := Prompt{parts: make([]part, 0, len(shared)), request: digest.Prefix(), service: service}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts.rotate(a.clock.Now(), a.crashes)
	for _, name := range shared {
		key := newPart(service, name)
		p.parts = append(p.parts, key)
		a.parts.count(key, name)
	}
	a.parts.countRequest(service)
	return p
}

// Quarantine returns the name of a quarantined part of a prompt and the time until it is
// released, 0 if the prompt is not refused. If parts are quarantined that cannot be told
// apart, only a prompt with all of them is.
func (a *Attributor) Quarantine(p Prompt) (string, time.Duration) {
	if len(p.parts) == 0 {
		return "", 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.judge(now)
	if q, ok := a.quarantines.concerning(p.parts, now); ok {
		return a.parts.name(q.parts[0]), q.until.Sub(now)
	}
	return "", 0
}

// CountRefusal counts a request that was refused for a quarantined part.
func (a *Attributor) CountRefusal() { a.metrics.refused.Inc() }

// Suspicions returns the number of crashes, each under another request that shares a part with
// the prompt, while no endpoint has begun an answer on that part since: the most of any part.
func (a *Attributor) Suspicions(p Prompt) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	most := 0
	for _, key := range p.parts {
		known := map[uint64]bool{p.request: true}
		n := 0
		for _, c := range a.crashes {
			if now.Sub(c.at) > evidenceTTL || !c.at.After(a.parts.lastAnswer(key)) || a.explained(c) {
				continue
			}
			if hit, _ := hitBy(key, c.suspects(), known); hit {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// RecordAnswer records that an endpoint sent content of an answer, which clears the
// parts of the prompt.
func (a *Attributor) RecordAnswer(p Prompt) {
	if p.service == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts.countAnswer(p.service)
	a.answered = true
	now := a.clock.Now()
	for _, key := range p.parts {
		a.recordAnswer(key, now)
	}
}

func (a *Attributor) recordAnswer(key part, at time.Time) {
	a.parts.answered(key, at)
	left, ok := a.quarantines.release(key, at)
	if !ok {
		return
	}
	a.tellRelease(key)
	a.metrics.quarantined.Set(float64(a.quarantines.size()))
	a.logger.WithFields(logrus.Fields{fieldPart: a.parts.name(key), "still_quarantined": a.names(left)}).Info("endpoint answered a quarantined part of prompts, releasing it")
}

// RecordInterruption records that the connection to an endpoint broke during an
// attempt that had no event of an answer. begun tells that the endpoint had sent the
// head of the answer.
func (a *Attributor) RecordInterruption(p Prompt, endpoint gooseberrypass.ID, begun bool) {
	if p.service == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	i := interruption{at: now, begun: begun, endpoint: endpoint, parts: p.parts, request: p.request, service: p.service}
	a.own = append(a.shared(now), i)
	if len(a.own) > maxShared {
		drop := max(slices.IndexFunc(a.own, func(held interruption) bool { return !held.begun }), 0)
		a.own = slices.Delete(a.own, drop, drop+1)
	}
	a.metrics.interruptions.Inc()
	a.addInterruption(i)
	a.judge(now)
}

// judgeInterval is the shortest time between two judgements, during which requests wait.
const judgeInterval = 50 * time.Millisecond

// Judgements for answers alone.
const (
	reviewInterval = 200 * time.Millisecond // shortest time since the last judgement
	reviewTime     = 10 * time.Second       // longest time since the last crash
)

// crashedWithin reports whether enough crashes for a quarantine are known, the last one of late.
func (a *Attributor) crashedWithin(now time.Time, d time.Duration) bool {
	n := len(a.crashes)
	return n >= minHitsUnanswered && now.Sub(a.crashes[n-1].at) <= d
}

// judge quarantines the parts that explain the crashes, the most likely one first.
// Only those that a changed crash puts under suspicion can have become convincing, and those
// on which there is no answer while others are answered.
func (a *Attributor) judge(now time.Time) {
	since := now.Sub(a.judgedAt)
	review := !a.pending && a.answered && since >= reviewInterval && a.crashedWithin(now, reviewTime)
	if !review && (!a.pending || since < judgeInterval) {
		return
	}
	a.dropCrashes(now)
	a.dropQuarantines(now)
	candidates := partsOf(a.takeChanged())
	if review {
		candidates = a.recentSuspects(now)
	}
	a.answered, a.judgedAt = false, now
	for {
		found, ok := a.mostLikelyCause(now, candidates)
		if !ok {
			return
		}
		q := a.quarantine(now, found)
		a.logger.WithFields(logrus.Fields{
			fieldPart: a.parts.name(found.part), fieldRivals: a.names(found.rivals), "crashes": found.hits, "of": found.trials, "chance": fmt.Sprintf("%.1e", found.chance),
			"unanswered": fmt.Sprintf("%.1e", found.unanswered),
			"quarantine": q.until.Sub(now).String(),
		}).Warn("endpoints crashed under a part of prompts, refusing requests that have it and its rivals")
	}
}
