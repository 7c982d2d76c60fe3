package attempter_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

func refuse(tb testing.TB, a *agent, id string) wire.AttemptState {
	tb.Helper()
	resp, err := a.Server().Refuse(context.Background(), &wire.RefuseRequest{AttemptIds: []string{id}})
	if err != nil {
		tb.Fatal(err)
	}
	return resp.GetStates()[0]
}

func grantOf(id string) *wire.CallRequest {
	digest := digestOf("call " + id)
	return &wire.CallRequest{
		Account: "radio", AttemptId: id, Call: "grant", DeadlineMs: 5000, RequestDigest: digest[:], Service: string(service),
	}
}

// newServiceAgent returns an agent beside the plain service at url.
func newServiceAgent(tb testing.TB, url string, change func(d *attempter.Dependencies)) *agent {
	tb.Helper()
	return newAgent(tb, func(d *attempter.Dependencies) {
		d.Probe = func(context.Context) error { return nil }
		d.Service = connector.NewPlainService(&http.Client{}, url)
		if change != nil {
			change(d)
		}
	})
}

func call(tb testing.TB, a *agent, m *wire.CallRequest) *wire.CallResponse {
	tb.Helper()
	resp, err := a.Server().Call(context.Background(), m)
	if err != nil {
		tb.Fatal(err)
	}
	return resp
}

// TestNotRunNeverRan cuts the connection to a service at each point of the
// exchange. The outcome may be "not run" only if the service did not run the
// call, and a copy of the call must not run it again.
func TestNotRunNeverRan(t *testing.T) {
	cut := func(w http.ResponseWriter) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	}
	tests := []struct {
		name  string
		serve func(w http.ResponseWriter, run func())
		want  string
		runs  int64
	}{
		{"answered", func(w http.ResponseWriter, run func()) { run(); _, _ = io.WriteString(w, "granted") }, "answered", 1},
		{"cut before the run", func(w http.ResponseWriter, _ func()) { cut(w) }, "unknown", 0},
		{"cut after the run", func(w http.ResponseWriter, run func()) { run(); cut(w) }, "unknown", 1},
		{"cut within the answer", func(w http.ResponseWriter, run func()) {
			run()
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "gra")
			_ = http.NewResponseController(w).Flush()
			cut(w)
		}, "unknown", 1},
		{"failed after the run", func(w http.ResponseWriter, run func()) { run(); w.WriteHeader(http.StatusInternalServerError) }, "unknown", 1},
		{"refused for its rate", func(w http.ResponseWriter, _ func()) { w.WriteHeader(http.StatusTooManyRequests) }, "not run", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int64
			var warm atomic.Bool
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if warm.Load() {
					tt.serve(w, func() { runs.Add(1) })
				}
			}))
			defer s.Close()
			a := newServiceAgent(t, s.URL, nil)
			call(t, a, grantOf("c-0")) // leaves an idle connection, on which HTTP clients may resend a request by themselves
			warm.Store(true)
			m := grantOf("c-1")
			m.Key = "key"
			if got := call(t, a, m); got.GetOutcome() != tt.want || runs.Load() != tt.runs {
				t.Errorf("got %s (%s) after %d runs, want %s after %d", got.GetOutcome(), got.GetDetail(), runs.Load(), tt.want, tt.runs)
			}
			state := refuse(t, a, "c-1")
			if refused := state == wire.AttemptState_ATTEMPT_STATE_REFUSED; refused != (tt.want == "not run") {
				t.Errorf("got state %v after %s", state, tt.want)
			}
			if got := call(t, a, m); got.GetOutcome() == "answered" || runs.Load() != tt.runs {
				t.Errorf("got %s for a copy, %d runs, want %d", got.GetOutcome(), runs.Load(), tt.runs)
			}
		})
	}
}

func TestUnreachableServiceIsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	a := newServiceAgent(t, s.URL, nil)
	if got := call(t, a, grantOf("c-1")); got.GetOutcome() != "not run" {
		t.Errorf("got %s (%s), want not run", got.GetOutcome(), got.GetDetail())
	}
	a = newServiceAgent(t, s.URL, func(d *attempter.Dependencies) {
		d.Service = failingService{&net.OpError{Op: "dial", Err: errors.New("refused")}}
	})
	if got := call(t, a, grantOf("c-1")); got.GetOutcome() != "not run" {
		t.Errorf("got %s for an untyped dial error, want not run", got.GetOutcome())
	}
	a = newServiceAgent(t, s.URL, func(d *attempter.Dependencies) { d.Service = failingService{io.ErrUnexpectedEOF} })
	if got := call(t, a, grantOf("c-1")); got.GetOutcome() != "unknown" {
		t.Errorf("got %s for an untyped error, want unknown", got.GetOutcome())
	}
}

// TestCrashBeforeTheAnswerBegins has an endpoint fail before the first token or
// the response. Such a failure is reported as a crash if the connection broke,
// and not if the endpoint refused the attempt.
func TestCrashBeforeTheAnswerBegins(t *testing.T) {
	crashed := &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeUnknown, Reason: gooseberrypass.ReasonUpstream}
	refused := &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
	for err, want := range map[*gooseberrypass.RequestError]int{crashed: 1, refused: 0} {
		e := newFakeEngine(1, digestOf("v1"))
		e.generate = func(context.Context, gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
			return nil, err
		}
		a := newEngineAgent(t, e)
		a.ask(t, attemptOf("a-1"))
		e.state.BootID = "boot-2"
		a.tick()
		if got := len(a.Status().Crashes); got != want {
			t.Errorf("got %d crashes of the engine after %v, want %d", got, err, want)
		}
		down := false
		a = newServiceAgent(t, "", func(d *attempter.Dependencies) {
			d.Service = failingService{err}
			d.Probe = func(context.Context) error {
				if down {
					return io.EOF
				}
				return nil
			}
		})
		call(t, a, grantOf("c-1"))
		down = true
		a.tick()
		if got := len(a.Status().Crashes); got != want {
			t.Errorf("got %d crashes of the service after %v, want %d", got, err, want)
		}
	}
}

type failingService struct{ err error }

func (f failingService) Call(context.Context, gooseberrypass.ServiceCall) ([]byte, error) {
	return nil, f.err
}

// A blockingService counts its runs, each of which blocks until release is
// closed.
type blockingService struct {
	release chan struct{}
	runs    sync.Map
}

func (s *blockingService) Call(ctx context.Context, c gooseberrypass.ServiceCall) ([]byte, error) {
	n, _ := s.runs.LoadOrStore(c.AttemptID, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
	<-s.release
	return []byte("done"), ctx.Err()
}

func (s *blockingService) count(id string) int64 {
	n, ok := s.runs.Load(id)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

// TestRefuseRacesTheRun sends each attempt three times while it is being
// refused. An attempt that is reported as refused or not run must not run, and
// none may run twice.
func TestRefuseRacesTheRun(t *testing.T) {
	h := &blockingService{release: make(chan struct{})}
	close(h.release)
	a := newServiceAgent(t, "", func(d *attempter.Dependencies) { d.Service, d.ServiceCapacity = h, 2 })
	refused, ran := 0, 0
	for i := range concurrentAttempts {
		id := fmt.Sprintf("c-%d", i)
		var state wire.AttemptState
		outcomes := make([]string, 3)
		var wg sync.WaitGroup
		for j := range outcomes {
			wg.Go(func() { outcomes[j] = call(t, a, grantOf(id)).GetOutcome() })
		}
		wg.Go(func() {
			for range i % 60 {
				runtime.Gosched()
			}
			state = refuse(t, a, id)
		})
		wg.Wait()
		runs := h.count(id)
		saidNotRun := state == wire.AttemptState_ATTEMPT_STATE_REFUSED
		for _, o := range outcomes {
			saidNotRun = saidNotRun || o == "not run"
		}
		if runs > 1 || (runs > 0 && saidNotRun) {
			t.Errorf("%s: got %d runs, outcomes %v, state %v", id, runs, outcomes, state)
		}
		if runs == 0 {
			refused++
		} else {
			ran++
		}
	}
	t.Logf("%d refused, %d ran", refused, ran)
}

func TestRefusedInTheQueue(t *testing.T) {
	h := &blockingService{release: make(chan struct{})}
	a := newServiceAgent(t, "", func(d *attempter.Dependencies) { d.Service, d.ServiceCapacity = h, 1 })
	outcomes := make(chan string, 2)
	for _, id := range []string{"running", "queued"} {
		go func() { outcomes <- call(t, a, grantOf(id)).GetOutcome() }()
		for a.status(t).GetRunning()+a.status(t).GetQueued() < map[string]int64{"running": 1, "queued": 2}[id] {
			time.Sleep(time.Millisecond)
		}
	}
	if got, want := refuse(t, a, "queued"), wire.AttemptState_ATTEMPT_STATE_REFUSED; got != want {
		t.Errorf("got %v for the queued attempt, want %v", got, want)
	}
	if got, want := <-outcomes, "not run"; got != want {
		t.Errorf("got %s for the queued attempt, want %s", got, want)
	}
	if got, want := refuse(t, a, "running"), wire.AttemptState_ATTEMPT_STATE_STARTED; got != want {
		t.Errorf("got %v for the running attempt, want %v", got, want)
	}
	resp, err := a.Server().Cancel(context.Background(), &wire.CancelRequest{AttemptId: "running"})
	if err != nil || !resp.GetFound() {
		t.Errorf("got %v, %v on cancelling the running attempt, want it found", resp, err)
	}
	close(h.release)
	if got, want := <-outcomes, "answered"; got != want || h.count("queued") != 0 {
		t.Errorf("got %s and %d runs of the refused attempt, want %s and 0", got, h.count("queued"), want)
	}
}

func (a *agent) status(tb testing.TB) *wire.StatusResponse {
	tb.Helper()
	s, err := a.Server().Status(context.Background(), &wire.StatusRequest{})
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

// TestLateCopyOfARefusedAttempt refuses an attempt that has not arrived yet and
// delivers it later, up to MaxDeadline or after the process was suspended. It
// must not run.
func TestLateCopyOfARefusedAttempt(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Minute, attempter.MaxDeadline, 3 * time.Hour} {
		h := &blockingService{release: make(chan struct{})}
		close(h.release)
		a := newServiceAgent(t, "", func(d *attempter.Dependencies) { d.Service = h })
		if got, want := refuse(t, a, "c-1"), wire.AttemptState_ATTEMPT_STATE_REFUSED; got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
		if delay <= attempter.MaxDeadline {
			for range int(delay / time.Second) {
				a.tick()
			}
		} else { // suspended: no ticks in between
			a.clock.Advance(delay)
			a.handle(gooseberrypass.Tick{})
		}
		if got := call(t, a, grantOf("c-1")); got.GetOutcome() != "not run" || h.count("c-1") != 0 {
			t.Errorf("%v late: got %s after %d runs, want not run", delay, got.GetOutcome(), h.count("c-1"))
		}
	}
}

// A suspendingConfig is a configuration source that calls onRead on one of its
// reads, which can suspend the process there.
type suspendingConfig struct {
	fixedConfig
	at     int64 // number of the read, from 1
	onRead func()
	reads  atomic.Int64
}

func (c *suspendingConfig) Config() *gooseberrypass.Config {
	if c.reads.Add(1) == c.at {
		c.onRead()
	}
	return c.cfg
}

// TestSuspendedDuringAdmission suspends the agent for an hour while it admits a
// call. When it resumes, the client has long been told that the outcome is
// unknown, so the call must not run.
func TestSuspendedDuringAdmission(t *testing.T) {
	for at := range int64(2) {
		h := &blockingService{release: make(chan struct{})}
		close(h.release)
		f := &suspendingConfig{fixedConfig: fixedConfig{configOf(1, digestOf("v1"))}, at: at + 1}
		a := newServiceAgent(t, "", func(d *attempter.Dependencies) { d.Service, d.Configs = h, f })
		f.onRead = func() { a.clock.Advance(time.Hour) }
		if got := call(t, a, grantOf("c-1")); got.GetOutcome() != "not run" || h.count("c-1") != 0 {
			t.Errorf("suspended at read %d: got %s after %d runs, want not run", at+1, got.GetOutcome(), h.count("c-1"))
		}
	}
}

// TestNoAttemptBetweenACutAndTheNextReading has the engine cut a connection.
// Until the engine's state has been read again, attempts must be refused as not
// run, because the engine may have restarted empty.
func TestNoAttemptBetweenACutAndTheNextReading(t *testing.T) {
	e := newFakeEngine(3, digestOf("v1"))
	cut := true
	e.generate = func(_ context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
		tokens := tokensOf(o.AttemptID, o.Digest, 3)
		if cut {
			return replay(tokens[:1], io.ErrUnexpectedEOF), nil
		}
		return replay(tokens, io.EOF), nil
	}
	a := newEngineAgent(t, e)
	a.clock.Advance(time.Millisecond)
	if got := a.ask(t, attemptOf("1")); got.complete() {
		t.Fatal("got a complete answer from a cut stream")
	}
	cut = false
	got := a.ask(t, attemptOf("2"))
	if got.complete() || got.failed.GetOutcome() != gooseberrypass.OutcomeNotRun.String() {
		t.Errorf("got %v after the cut, want not run", got.failed)
	}
	a.tick()
	if got := a.ask(t, attemptOf("3")); !got.complete() {
		t.Errorf("got %v after the engine was read again, want a complete answer", got.failed)
	}
}
