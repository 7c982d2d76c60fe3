package quarantiner_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/quarantiner"
)

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

// The parameters of the simulation.
const (
	reportLag      = 500 * time.Millisecond // time from a crash until entries see it
	restartTime    = 5 * time.Second        // downtime of an endpoint after a crash
	requestTime    = 200 * time.Millisecond // time that a request takes
	quarantineTime = time.Hour
	endpoints      = 12
)

// An endpoint runs requests. A poison request crashes it, which interrupts all
// requests on it.
type endpoint struct {
	crashes  []gooseberrypass.Crash
	up       bool
	inFlight map[gooseberrypass.Digest]chan bool // receives whether the request finished
}

// A fleet is a set of endpoints with the entries in front of them.
type fleet struct {
	controlMu sync.Mutex
	crashes   int
	endpoints []*endpoint
	entries   []*quarantiner.Quarantiner
	mu        sync.Mutex
	rng       *rand.Rand
}

func newFleet(entries int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 1))}
	for range endpoints {
		f.endpoints = append(f.endpoints, &endpoint{up: true, inFlight: map[gooseberrypass.Digest]chan bool{}})
	}
	system := gooseberrypass.NewSection(gooseberrypass.KindSystem, "system", nil, map[string]any{"quarantine": quarantineTime})
	cfg := fixedConfig{gooseberrypass.NewConfig(1, nil, []gooseberrypass.Section{system})}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for range entries {
		var q *quarantiner.Quarantiner
		post := func(e gooseberrypass.Event) { f.control(q, e) }
		q, err := quarantiner.New(clockwork.NewRealClock(), cfg, post, prometheus.NewRegistry(), logger)
		if err != nil {
			panic(err)
		}
		f.entries = append(f.entries, q)
	}
	return f
}

// control passes an event to the controller of an entry, one at a time.
func (f *fleet) control(q *quarantiner.Quarantiner, e gooseberrypass.Event) {
	f.controlMu.Lock()
	defer f.controlMu.Unlock()
	q.Handle(time.Now(), e)
}

// report shows the crashes to all entries after reportLag.
func (f *fleet) report() {
	time.Sleep(reportLag)
	f.mu.Lock()
	members := make([]gooseberrypass.Member, 0, len(f.endpoints))
	for i, e := range f.endpoints {
		members = append(members, gooseberrypass.Member{
			Listed: gooseberrypass.ListedInstance{ID: gooseberrypass.ID(fmt.Sprintf("w-%02d", i))},
			Status: &gooseberrypass.AgentStatus{Crashes: e.crashes, EndpointUp: e.up},
		})
	}
	f.mu.Unlock()
	for _, q := range f.entries {
		f.control(q, gooseberrypass.MembersChanged{Members: members})
	}
}

// choose returns a random endpoint that is up, and has no requests if alone is
// set.
func (f *fleet) choose(alone bool) int {
	for {
		f.mu.Lock()
		for _, i := range f.rng.Perm(len(f.endpoints)) {
			if e := f.endpoints[i]; e.up && (!alone || len(e.inFlight) == 0) {
				f.mu.Unlock()
				return i
			}
		}
		f.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// crash takes an endpoint down and interrupts its requests. The caller holds mu.
func (f *fleet) crash(i int) {
	f.crashes++
	e := f.endpoints[i]
	crash := gooseberrypass.Crash{At: time.Now(), ID: fmt.Sprint("crash-", f.crashes)}
	for digest, done := range e.inFlight {
		crash.Requests = append(crash.Requests, digest)
		done <- false
	}
	clear(e.inFlight)
	e.up = false
	e.crashes = append(e.crashes, crash)
	go f.report()
	time.AfterFunc(restartTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.up = true
	})
}

// run makes one attempt and returns its endpoint and whether it finished.
func (f *fleet) run(digest gooseberrypass.Digest, poison, alone bool) (int, bool) {
	i := f.choose(alone)
	done := make(chan bool, 1)
	f.mu.Lock()
	f.endpoints[i].inFlight[digest] = done
	f.mu.Unlock()
	time.Sleep(requestTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if poison && f.endpoints[i].inFlight[digest] == done {
		f.crash(i)
	}
	select {
	case finished := <-done:
		return i, finished
	default:
		delete(f.endpoints[i].inFlight, digest)
		return i, true
	}
}

// handle returns the last handler of an entry. It retries an interrupted request
// once, alone if guarded.
func (f *fleet) handle(q *quarantiner.Quarantiner, poison, guarded bool) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(_ context.Context, req *gooseberrypass.Request, _ gooseberrypass.Answer) error {
		alone := guarded && q.MustRunAlone(req.Digest())
		for range 2 {
			at, finished := f.run(req.Digest(), poison, alone)
			if finished {
				q.RequestFinished(req.Digest())
				return nil
			}
			q.ReportInterruption(req.Digest(), gooseberrypass.ID(fmt.Sprintf("w-%02d", at)))
			if alone {
				break
			}
			alone = guarded
		}
		return errors.New("attempt interrupted twice")
	})
}

func newRequest(body string) *gooseberrypass.Request {
	return gooseberrypass.NewRequest(gooseberrypass.RequestFields{Body: []byte(body)})
}

// An outcome has the counts of one simulation.
type outcome struct{ innocentFailed, innocentSent, crashes, poisonRefused int }

// repeatPoison sends a poison request repeatedly through different entries, along
// with innocent requests, some of which are equal. guarded puts the quarantiner
// in front.
func repeatPoison(t *testing.T, repeats int, guarded bool) outcome {
	t.Helper()
	var got outcome
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		var wg sync.WaitGroup
		var mu sync.Mutex
		send := func(i int, body string, poison bool) {
			wg.Go(func() {
				q := f.entries[i%len(f.entries)]
				handler := f.handle(q, poison, guarded)
				if guarded {
					handler = q.Wrap(handler)
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				err := handler.Handle(ctx, newRequest(body), nil)
				var failure *gooseberrypass.RequestError
				mu.Lock()
				defer mu.Unlock()
				switch {
				case poison && errors.As(err, &failure) && failure.Reason == gooseberrypass.ReasonPoison:
					got.poisonRefused++
				case !poison && err != nil:
					got.innocentFailed++
				}
			})
		}
		for i := range repeats {
			send(i, "poison", true)
			for j := range 6 {
				got.innocentSent++
				send(i+j, fmt.Sprint("innocent ", (i*6+j)%50), false)
			}
			time.Sleep(300 * time.Millisecond)
			for _, q := range f.entries {
				f.control(q, gooseberrypass.Tick{})
			}
		}
		wg.Wait()
		time.Sleep(restartTime)
		got.crashes = f.crashes
	})
	return got
}

// A poison request that callers repeat crashes an endpoint each time unless it is
// quarantined. The number of crashes must not grow with the repeats, and innocent
// requests in flight at a crash must be answered by another endpoint. No log is
// involved.
func TestPoisonIsBounded(t *testing.T) {
	const bound = 10
	for _, repeats := range []int{20, 200} {
		got, unguarded := repeatPoison(t, repeats, true), repeatPoison(t, repeats, false)
		t.Logf("%d repeats: %+v, without quarantine %+v", repeats, got, unguarded)
		if got.crashes > bound || got.poisonRefused < repeats-2*bound || got.innocentFailed > 0 {
			t.Errorf("%d repeats: got %+v, want at most %d crashes and no innocent request failed", repeats, got, bound)
		}
		if unguarded.crashes < repeats/2 {
			t.Errorf("%d repeats: without quarantine got %d crashes: the simulation has too few crashes to compare with", repeats, unguarded.crashes)
		}
	}
}

// If an endpoint and its agent die together, no report of the crash arrives. The
// request must be suspected because its attempt was interrupted, and cleared once
// it finishes.
func TestSuspectedWithoutReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		q, digest := f.entries[0], newRequest("x").Digest()
		q.ReportInterruption(digest, "w-gone")
		q.Handle(time.Now(), gooseberrypass.MembersChanged{})
		if !q.MustRunAlone(digest) {
			t.Error("got no suspect, want one")
		}
		q.RequestFinished(digest)
		if q.MustRunAlone(digest) {
			t.Error("got a suspect after it finished")
		}
		q.ReportInterruption(digest, "w-00")
		f.report() // the endpoint is up: the connection broke, not the endpoint
		if q.MustRunAlone(digest) {
			t.Error("got a suspect though its endpoint is up")
		}
	})
}
