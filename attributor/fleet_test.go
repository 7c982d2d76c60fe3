package attributor_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
)

// The parameters of the simulated fleet.
const (
	answerTime      = time.Second // time from the begin of an answer to its end
	firstParts      = 60          // parts with which prompts begin
	messageLoss     = 0.2         // share of the messages between entries that are lost
	messagePeriod   = 200 * time.Millisecond
	outcomeBound    = 3 * time.Second // time after the fifth crash after which a part counts as known
	outcomeCrash    = 5
	queueTimeMax    = 400 * time.Millisecond // longest time until an engine begins an answer
	queueTimeMin    = 50 * time.Millisecond
	quarantineTime  = time.Minute
	quickBeginTime  = 10 * time.Millisecond
	requestsASecond = 220
	restartTime     = 3 * time.Second
	service         = gooseberrypass.ID("engines")
	step            = 10 * time.Millisecond
)

func newAttributor(t *testing.T, clock gooseberrypass.Clock, seed uint64) *attributor.Attributor {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	a, err := attributor.New(clock, attributor.Settings{QuarantineTime: quarantineTime}, seed, prometheus.NewRegistry(), logger)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// digestOf returns the digest of a request with a number.
func digestOf(n int) gooseberrypass.Digest {
	var d gooseberrypass.Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// A scenario is what happens to a simulated fleet.
type scenario struct {
	deadly         []string      // parts that crash engines
	deadlyEvery    time.Duration // time from the first request with a part to that with the next
	deadlyFrom     time.Duration // when callers begin to send the parts
	deadlyShare    float64       // of the requests, for each part
	earlyHeads     bool          // engines send the head of an answer when they begin it
	earlyHeadShare float64       // like earlyHeads, for a share of the answers
	engines        int
	entries        int
	herdKill       bool          // all engines crash at once, after half of the time
	naive          bool          // nothing is refused
	newLife        time.Duration // after which another part takes its place, 0 for never
	newShare       float64       // of the requests, for a sound part that comes at deadlyFrom
	quickBegin     bool          // engines begin answers within quickBeginTime
	poison         bool          // one request that crashes engines is sent again and again
	resetShare     float64       // of the attempts whose connection breaks at an engine that goes on
	restartEvery   time.Duration // an entry starts anew after each of these times, 0 for never
	rollingCrash   time.Duration // an engine crashes after each of these times, 0 for never
	seed           uint64
	simulatedTime  time.Duration
}

// An attempt is a request at an engine.
type attempt struct {
	begins     time.Time
	begun      bool
	deadly     bool
	deadlyPart string // that crashes engines, if it is one
	ends       time.Time
	entry      int
	prompt     attributor.Prompt
	tried      int
}

// An engine answers attempts. It is down until upAt after a crash.
type engine struct {
	attempts []*attempt
	id       gooseberrypass.ID
	upAt     time.Time
}

// A fleet is a set of entries before engines.
type fleet struct {
	clock     *clockwork.FakeClock
	crashes   []time.Time            // of engines under a deadly request
	crashesOf map[string][]time.Time // crashes by part
	engines   []*engine
	entries   []*attributor.Attributor
	late      int            // deadly attempts later than outcomeBound after the crash of outcomeCrash, of entries that run for as long
	lateOf    map[string]int // late attempts by part, counted from its own crash outcomeCrash
	nextID    int
	refused   int // sound requests
	rng       *rand.Rand
	s         scenario
	sound     int         // sound requests
	started   []time.Time // when the entries started
	t         *testing.T
}

func newFleet(t *testing.T, s scenario) *fleet {
	t.Helper()
	f := &fleet{clock: clockwork.NewFakeClock(), crashesOf: map[string][]time.Time{}, lateOf: map[string]int{}, rng: rand.New(rand.NewPCG(s.seed, 1)), s: s, t: t}
	for i := range s.entries {
		f.entries = append(f.entries, newAttributor(t, f.clock, uint64(i)))
		f.started = append(f.started, time.Time{})
	}
	for i := range s.engines {
		f.engines = append(f.engines, &engine{id: gooseberrypass.ID(fmt.Sprintf("engine-%d", i))})
	}
	return f
}

// run plays the scenario.
func (f *fleet) run() {
	start := f.clock.Now()
	due := 0.0
	for at := time.Duration(0); at < f.s.simulatedTime; at += step {
		f.clock.Advance(step)
		f.disturb(at)
		for due += requestsASecond * step.Seconds(); due >= 1; due-- {
			f.arrive(f.clock.Since(start))
		}
		for _, e := range f.engines {
			f.work(e)
		}
		if at%messagePeriod == 0 {
			f.exchange()
		}
	}
}

// disturb brings about the faults of the scenario that are due.
func (f *fleet) disturb(at time.Duration) {
	if f.s.herdKill && at == f.s.simulatedTime/2 {
		for _, e := range f.engines {
			f.crash(e)
		}
	}
	if f.s.rollingCrash > 0 && at > 0 && at%f.s.rollingCrash == 0 {
		f.crash(f.engines[f.rng.IntN(len(f.engines))])
	}
	if f.s.restartEvery > 0 && at > 0 && at%f.s.restartEvery == 0 {
		i := f.rng.IntN(len(f.entries))
		f.entries[i], f.started[i] = newAttributor(f.t, f.clock, f.rng.Uint64()), f.clock.Now()
	}
}

// firstPart returns a part with which a prompt begins. Some are common, most are not.
func (f *fleet) firstPart() string {
	return fmt.Sprint("first-", int(firstParts*f.rng.Float64()*f.rng.Float64()))
}

// arrive sends a new request through a random entry.
func (f *fleet) arrive(at time.Duration) {
	f.nextID++
	number, parts, deadly, deadlyPart := f.nextID, []string{f.firstPart()}, false, ""
	if at >= f.s.deadlyFrom {
		if f.s.newShare > 0 && f.rng.Float64() < f.s.newShare {
			parts = append(parts, f.newPart(at))
		}
		for i, name := range f.s.deadly {
			if at >= f.s.deadlyFrom+time.Duration(i)*f.s.deadlyEvery && f.rng.Float64() < f.s.deadlyShare {
				parts, deadly, deadlyPart = []string{"first-0", name}, true, name
			}
		}
		if f.s.poison && f.rng.Float64() < 0.02 {
			number, parts, deadly = 0, []string{"first-0"}, true
		}
	}
	entry := f.rng.IntN(len(f.entries))
	a := &attempt{deadly: deadly, deadlyPart: deadlyPart, entry: entry, prompt: f.entries[entry].Register(service, digestOf(number), parts)}
	if !deadly {
		f.sound++
	}
	f.send(a)
}

// newPart returns the sound part that is new at a time.
func (f *fleet) newPart(at time.Duration) string {
	if f.s.newLife == 0 {
		return "new"
	}
	return fmt.Sprint("new-", int(at/f.s.newLife))
}

// send sends an attempt to a random engine, unless the entry refuses it.
func (f *fleet) send(a *attempt) {
	if _, left := f.entries[a.entry].Quarantine(a.prompt); left > 0 && !f.s.naive {
		if !a.deadly {
			f.refused++
		}
		return
	}
	now := f.clock.Now()
	up := slices.DeleteFunc(slices.Clone(f.engines), func(e *engine) bool { return now.Before(e.upAt) })
	if len(up) == 0 {
		return
	}
	if a.deadly && len(f.crashes) >= outcomeCrash && now.Sub(f.crashes[outcomeCrash-1]) > outcomeBound && now.Sub(f.started[a.entry]) > outcomeBound {
		f.late++
	}
	if own := f.crashesOf[a.deadlyPart]; a.deadly && len(own) >= outcomeCrash && now.Sub(own[outcomeCrash-1]) > outcomeBound && now.Sub(f.started[a.entry]) > outcomeBound {
		f.lateOf[a.deadlyPart]++
	}
	e := up[f.rng.IntN(len(up))]
	a.tried++
	a.begins = now.Add(f.queueTime())
	e.attempts = append(e.attempts, a)
}

// earlyHead reports whether an engine has sent the head of an answer that it began.
func (f *fleet) earlyHead() bool {
	return f.s.earlyHeads || f.s.earlyHeadShare > 0 && f.rng.Float64() < f.s.earlyHeadShare
}

// queueTime returns the time until an engine begins an answer.
func (f *fleet) queueTime() time.Duration {
	if f.s.quickBegin {
		return quickBeginTime
	}
	return queueTimeMin + time.Duration(f.rng.Int64N(int64(queueTimeMax-queueTimeMin)))
}

// work begins and ends the answers of an engine that are due.
func (f *fleet) work(e *engine) {
	now := f.clock.Now()
	for _, a := range slices.Clone(e.attempts) {
		switch {
		case !a.begun && !now.Before(a.begins):
			if a.deadly {
				f.crashes = append(f.crashes, now)
				f.crashesOf[a.deadlyPart] = append(f.crashesOf[a.deadlyPart], now)
				a.begun = true
				f.crash(e)
				return
			}
			if f.rng.Float64() < f.s.resetShare {
				e.remove(a)
				f.entries[a.entry].RecordInterruption(a.prompt, e.id, f.rng.IntN(2) == 0 && f.s.earlyHeads)
				continue
			}
			a.begun, a.ends = true, now.Add(answerTime)
			f.entries[a.entry].RecordAnswer(a.prompt)
		case a.begun && !now.Before(a.ends):
			e.remove(a)
		}
	}
}

func (e *engine) remove(a *attempt) {
	e.attempts = slices.DeleteFunc(e.attempts, func(held *attempt) bool { return held == a })
}

// crash crashes an engine. Attempts without an event are sent again once, unless they
// look like the cause.
func (f *fleet) crash(e *engine) {
	broken := e.attempts
	e.attempts = nil
	e.upAt = f.clock.Now().Add(restartTime)
	for _, a := range broken {
		if a.begun && !a.deadly {
			continue
		}
		entry := f.entries[a.entry]
		atBegin := a.begun && f.earlyHead()
		a.begun = false
		entry.RecordInterruption(a.prompt, e.id, atBegin)
		if a.tried < 2 && (f.s.naive || !atBegin || entry.Suspicions(a.prompt) == 0) {
			f.send(a)
		}
	}
}

// exchange sends the evidence of each entry to each other one. Some messages are lost.
func (f *fleet) exchange() {
	for i, from := range f.entries {
		evidence := from.CrashEvidence()
		for j, to := range f.entries {
			if i != j && f.rng.Float64() >= messageLoss {
				to.AddCrashEvidence(gooseberrypass.ID(fmt.Sprint("entry-", i)), evidence)
			}
		}
	}
}
