package claimer_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/claimer"
)

// A steppedClaimer is a claimer whose events a test delivers one by one.
type steppedClaimer struct {
	*claimer.Claimer
	arrived []gooseberrypass.Event // results of effects, not delivered yet
	ctx     context.Context        // of the effects
	mu      sync.Mutex
	posted  []gooseberrypass.Event // events of requests, not delivered yet
	runs    int
}

func newSteppedClaimer(t *testing.T, log gooseberrypass.Log) *steppedClaimer {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &steppedClaimer{ctx: t.Context()}
	post := func(e gooseberrypass.Event) { s.add(&s.posted, e) }
	c, err := claimer.New(clockwork.NewRealClock(), newConfig(), log, 1, post, prometheus.NewRegistry(), logger)
	if err != nil {
		t.Fatal(err)
	}
	s.Claimer = c
	return s
}

func (s *steppedClaimer) add(events *[]gooseberrypass.Event, e gooseberrypass.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*events = append(*events, e)
}

// take removes the first event that match accepts, nil if there is none.
func (s *steppedClaimer) take(events *[]gooseberrypass.Event, match func(gooseberrypass.Event) bool) gooseberrypass.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(*events, match)
	if i < 0 {
		return nil
	}
	e := (*events)[i]
	*events = slices.Delete(*events, i, i+1)
	return e
}

func anyEvent(gooseberrypass.Event) bool { return true }

// run counts the calls made.
func (s *steppedClaimer) run(_ context.Context, _ *gooseberrypass.Request, answer gooseberrypass.Answer) error {
	s.runs++
	if err := answer.Start(gooseberrypass.Digest{}); err != nil {
		return err
	}
	return answer.End()
}

// handle delivers an event and starts the effects that follow from it.
func (s *steppedClaimer) handle(e gooseberrypass.Event) {
	for _, effect := range s.Handle(time.Now(), e) {
		go func() { s.add(&s.arrived, effect.Run(s.ctx)) }()
	}
	synctest.Wait()
}

// settle delivers events until none has arrived.
func (s *steppedClaimer) settle() {
	for {
		e := s.take(&s.posted, anyEvent)
		if e == nil {
			e = s.take(&s.arrived, anyEvent)
		}
		if e == nil {
			return
		}
		s.handle(e)
	}
}

// deliver delivers the first event that has arrived under a name, if there is one.
func (s *steppedClaimer) deliver(name string) {
	if e := s.take(&s.arrived, func(e gooseberrypass.Event) bool { return e.EventName() == name }); e != nil {
		s.handle(e)
	}
}

// An append whose answer is lost may have put its claim into the log. Whether the
// claim is read back before the failure is handled, or between the failure and the
// read that follows it, or after both, the caller gets the same outcome.
func TestFailedAppendInEveryOrder(t *testing.T) {
	const failed, confirmed, read = "claims-appended", "claims-confirmed", "claims-read"
	orders := [][]string{
		{failed, confirmed, read}, {failed, read, confirmed}, {read, failed, confirmed},
	}
	tests := []struct {
		name    string
		fate    appendResult
		outcome gooseberrypass.Outcome
		runs    int
	}{
		{"answer lost", responseLost, answered, 1},
		{"dropped", dropped, notRun, 0},
		{"lands after the answer", appliedLate, notRun, 0},
	}
	for _, tt := range tests {
		for _, order := range orders {
			t.Run(tt.name+"/"+strings.Join(order, ","), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					testFailedAppend(t, tt.fate, order, tt.outcome, tt.runs)
				})
			})
		}
	}
}

func testFailedAppend(t *testing.T, fate appendResult, order []string, want gooseberrypass.Outcome, runs int) {
	t.Helper()
	log := &fakeLog{first: 1}
	s := newSteppedClaimer(t, &view{fakeLog: log})
	s.handle(gooseberrypass.Tick{})
	s.settle() // the first read reaches the end of the log; the next one is a long poll
	log.gated = true
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{
		Account: "radio", Body: []byte("1"), Call: "grant", Deadline: time.Now().Add(time.Minute),
		Key: newKey(), Kind: gooseberrypass.RequestCall, Target: "licensing",
	}).WithAccountID("radio").WithTarget("licensing", false)
	result := make(chan error, 1)
	go func() {
		result <- s.Wrap(gooseberrypass.HandlerFunc(s.run)).Handle(s.ctx, req, &clientRequest{})
	}()
	synctest.Wait()
	s.handle(s.take(&s.posted, anyEvent))
	s.settle()
	log.resolveAppend(0, fate)
	synctest.Wait()
	log.gated = false
	for _, name := range order {
		s.deliver(name)
	}
	log.applyLate()
	s.settle()
	for range 20 { // for appends that wait for a tick after a backoff
		time.Sleep(time.Second)
		s.handle(gooseberrypass.Tick{})
		s.settle()
	}
	err := <-result
	got := answered
	var failure *gooseberrypass.RequestError
	if errors.As(err, &failure) {
		got = failure.Outcome
	}
	if got != want {
		t.Errorf("got outcome %v (%v), want %v", got, err, want)
	}
	if s.runs != runs {
		t.Errorf("got %d runs, want %d", s.runs, runs)
	}
}
