package drainer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/drainer"
)

const (
	firstEvent = 50 * time.Millisecond // until a stream begins
	stopDelay  = 2500 * time.Millisecond
	timeout    = 6 * time.Second // of routes
	tick       = 10 * time.Millisecond
)

// The outcomes of requests, as callers see them.
const (
	answered = "answered"
	cut      = "cut"
	notRun   = "not run, again after 10ms"
	unknown  = "unknown"
)

type deployments struct{ d *gooseberrypass.Deployment }

func (d deployments) Deployment() *gooseberrypass.Deployment { return d.d }

// aborted is the panic value of an aborted answer.
type aborted struct{}

// A caller records the answer to its request.
type caller struct {
	body    bytes.Buffer
	outcome string
}

func (c *caller) Abort() {
	c.outcome = cut
	panic(aborted{})
}

func (*caller) LimitWrites(time.Duration) {}

func (c *caller) Refuse(err *gooseberrypass.RequestError) {
	c.outcome = err.Outcome.String()
	if err.RetryAfter > 0 {
		c.outcome += fmt.Sprintf(", again after %s", err.RetryAfter)
	}
}

func (c *caller) Start(int, http.Header) {}

func (c *caller) Write(piece []byte) error {
	c.body.Write(piece)
	c.outcome = answered
	return nil
}

// A fixture is a drainer in front of an endpoint, and a clock that begins the stop when it
// passes stopAt.
type fixture struct {
	clock   *clockwork.FakeClock
	drainer *drainer.Drainer
	handled []*gooseberrypass.ProxyRequest // by the endpoint
	stopAt  time.Time
	takes   time.Duration // time that the endpoint takes to answer
}

func newFixture(t *testing.T, grace time.Duration) *fixture {
	t.Helper()
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.stopAt = f.clock.Now().Add(time.Hour)
	route := func(name string, mode gooseberrypass.RouteMode, timeout time.Duration) gooseberrypass.Route {
		return gooseberrypass.Route{Host: "h", Mode: mode, Name: name, Prefix: "/" + name + "/", Timeout: timeout}
	}
	routes := []gooseberrypass.Route{
		route("once", gooseberrypass.RouteOnce, timeout), route("safe", gooseberrypass.RouteIdempotent, timeout),
		route("stream", gooseberrypass.RouteStream, timeout), route("rigid", gooseberrypass.RouteStream, timeout),
		route("endless", gooseberrypass.RouteOnce, 0),
	}
	routes[2].Resumable = true
	log := logrus.New()
	log.SetOutput(io.Discard)
	var err error
	f.drainer, err = drainer.New(f.clock, deployments{gooseberrypass.NewDeployment(1, routes, nil, nil, gooseberrypass.CallerLimits{})}, f,
		drainer.NewSchedule(grace, stopDelay), prometheus.NewRegistry(), log)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// advance advances the clock by a tick, and begins and ends the stop in time.
func (f *fixture) advance() {
	f.clock.Advance(tick)
	if f.clock.Now().Before(f.stopAt) {
		return
	}
	f.drainer.Begin()
	if !f.clock.Now().Before(f.stopAt.Add(f.drainer.Schedule().Final)) {
		<-f.drainer.Expired().Done()
	}
}

// HandleProxyRequest answers a request as an endpoint behind a forwarder does, which
// withdraws it at its time limit or when its context is done.
func (f *fixture) HandleProxyRequest(ctx context.Context, p *gooseberrypass.ProxyRequest, w gooseberrypass.Responder) {
	f.handled = append(f.handled, p)
	begin, begun := f.clock.Now(), false
	for f.clock.Since(begin) < f.takes {
		f.advance()
		if f.drainer.Expired().Err() != nil {
			<-ctx.Done()
		}
		late := !p.Deadline.IsZero() && f.clock.Now().After(p.Deadline)
		switch {
		case ctx.Err() != nil, late && begun:
			w.Abort()
		case late:
			w.Refuse(&gooseberrypass.RequestError{Reason: gooseberrypass.ReasonDeadline})
			return
		case !begun && (p.Path == "/stream/" || p.Path == "/rigid/") && f.clock.Since(begin) >= firstEvent:
			begun = true
			w.Start(http.StatusOK, nil)
		}
	}
	if !begun {
		w.Start(http.StatusOK, nil)
	}
	_ = w.Write([]byte("whole"))
}

// send sends a request that takes a time to be answered and returns what its caller sees.
func (f *fixture) send(name string, takes, limit time.Duration) string {
	p := &gooseberrypass.ProxyRequest{Host: "h", ID: name, Method: http.MethodPost, Path: "/" + name + "/"}
	if limit > 0 {
		p.Deadline = f.clock.Now().Add(limit)
	}
	c := &caller{}
	f.takes = takes
	func() {
		defer func() {
			if r := recover(); r != nil && r != (aborted{}) {
				panic(r)
			}
		}()
		f.drainer.HandleProxyRequest(context.Background(), p, c)
	}()
	return c.outcome
}

// Requests that came late in a grace period were passed on and cut at its end.
func TestRequestsOfAStopEndBeforeTheProcessDoes(t *testing.T) {
	for _, tt := range []struct {
		route string
		grace time.Duration // in seconds, as the other times
		usual float64       // duration of earlier requests, 0 for no earlier ones
		at    float64       // of the request, after SIGTERM
		takes float64
		limit float64 // time that the caller waits, 0 for no limit
		want  string
	}{
		// Its own time limit ends a request in time.
		{route: "once", grace: 8, at: 0, takes: 5, want: answered},
		{route: "once", grace: 8, at: 1.2, takes: 5, want: answered},
		{route: "rigid", grace: 8, at: 1.2, takes: 5, want: answered},
		{route: "once", grace: 8, at: 7, takes: 0.02, limit: 0.2, want: answered},
		{route: "endless", grace: 8, at: 5, takes: 1, limit: 2, want: answered},
		// Nothing is known of its duration.
		{route: "once", grace: 8, at: 2, takes: 0.1, want: notRun},
		{route: "safe", grace: 8, at: 2, takes: 0.1, want: notRun},
		{route: "stream", grace: 8, at: 2, takes: 0.1, want: notRun},
		{route: "rigid", grace: 8, at: 2, takes: 0.1, want: notRun},
		{route: "endless", grace: 8, at: 0, takes: 0.1, want: notRun},
		{route: "once", grace: 3, at: 0, takes: 0.1, want: notRun},
		// Earlier requests tell its duration.
		{route: "once", grace: 8, usual: 0.1, at: 2, takes: 0.1, want: answered},
		{route: "once", grace: 8, usual: 0.1, at: 7.1, takes: 0.1, want: answered},
		{route: "once", grace: 8, usual: 0.1, at: 7.25, takes: 0.1, want: notRun},
		{route: "safe", grace: 8, usual: 0.1, at: 7.25, takes: 0.1, want: notRun},
		{route: "stream", grace: 8, usual: 2, at: 5, takes: 2, want: answered},
		{route: "stream", grace: 8, usual: 2, at: 5.5, takes: 2, want: notRun},
		{route: "rigid", grace: 8, usual: 2, at: 5, takes: 2, want: answered},
		{route: "rigid", grace: 8, usual: 2, at: 5.5, takes: 2, want: notRun},
		{route: "endless", grace: 8, usual: 0.1, at: 5, takes: 0.1, want: answered},
		{route: "once", grace: 2, usual: 0.1, at: 1, takes: 0.1, want: answered},
		{route: "once", grace: 2, usual: 0.1, at: 1.7, takes: 0.1, want: notRun},
		// All that comes later is refused.
		{route: "once", grace: 8, usual: 0.1, at: 7.6, takes: 0.1, want: notRun},
		{route: "safe", grace: 8, at: 7.6, takes: 0.1, limit: 0.2, want: notRun},
		{route: "nowhere", grace: 8, at: 7.6, takes: 0.1, want: notRun},
		{route: "nowhere", grace: 8, at: 2, takes: 0.1, want: answered},
		// The endpoint is slower than expected.
		{route: "once", grace: 8, usual: 0.1, at: 5, takes: 10, want: unknown},
		{route: "safe", grace: 8, usual: 0.1, at: 5, takes: 10, want: unknown},
		{route: "stream", grace: 8, usual: 0.1, at: 5, takes: 10, want: cut},
		// Requests in progress at the begin of the stop.
		{route: "once", grace: 8, at: -5, takes: 12, want: answered},
		{route: "rigid", grace: 8, at: -5, takes: 12, want: answered},
		{route: "once", grace: 8, at: -0.5, takes: 20, want: unknown},
		{route: "safe", grace: 2, at: -0.5, takes: 20, want: unknown},
		{route: "stream", grace: 8, at: -0.5, takes: 20, want: cut},
	} {
		t.Run(fmt.Sprintf("%s in %ds, usually %gs, at %gs for %gs in %gs", tt.route, tt.grace, tt.usual, tt.at, tt.takes, tt.limit), func(t *testing.T) {
			f := newFixture(t, tt.grace*time.Second)
			for range 50 {
				if tt.usual > 0 {
					f.send(tt.route, seconds(tt.usual), 0)
				}
			}
			f.stopAt, f.handled = f.clock.Now().Add(10*time.Second), nil
			for f.clock.Now().Before(f.stopAt.Add(seconds(tt.at))) {
				f.advance()
			}
			if got := f.send(tt.route, seconds(tt.takes), seconds(tt.limit)); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if got, want := len(f.handled) > 0, tt.want != notRun; got != want {
				t.Errorf("passed on: got %t, want %t", got, want)
			}
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// An endpoint worked on a request of a stop beyond the end of the process.
func TestTimeLimitOfARequestInAStopEndsWithIt(t *testing.T) {
	f := newFixture(t, 8*time.Second)
	f.stopAt = f.clock.Now()
	f.drainer.Begin()
	for limit, want := range map[time.Duration]time.Time{
		0:               f.stopAt.Add(f.drainer.Schedule().Deadline),
		5 * time.Second: f.clock.Now().Add(5 * time.Second),
		time.Minute:     f.stopAt.Add(f.drainer.Schedule().Deadline),
	} {
		f.handled = nil
		f.send("once", 0, limit)
		if got := f.handled[0].Deadline; !got.Equal(want) {
			t.Errorf("time limit %s: got deadline %s after the stop began, want %s", limit, got.Sub(f.stopAt), want.Sub(f.stopAt))
		}
	}
}

// A repeated SIGTERM must not extend the grace period.
func TestRepeatedBeginChangesNothing(t *testing.T) {
	f := newFixture(t, 8*time.Second)
	f.drainer.Begin()
	f.clock.Advance(7 * time.Second)
	f.drainer.Begin()
	f.clock.Advance(time.Second)
	<-f.drainer.Expired().Done()
	if got := f.send("once", 0, 0); got != notRun {
		t.Errorf("got %q, want %q", got, notRun)
	}
}

// A stop delay longer than the grace period left no time for answers.
func TestScheduleFitsIntoEveryGracePeriod(t *testing.T) {
	for grace := time.Second; grace <= time.Hour; grace += grace / 7 {
		s := drainer.NewSchedule(grace, stopDelay)
		if s.Listen > s.Deadline || s.Deadline >= s.Final || s.Final >= s.Close || s.Close >= grace {
			t.Errorf("grace %s: got %+v, want its steps in this order", grace, s)
		}
		if want := grace * 5 / 6; s.Deadline < want {
			t.Errorf("grace %s: got deadline %s, want at least %s", grace, s.Deadline, want)
		}
	}
}
