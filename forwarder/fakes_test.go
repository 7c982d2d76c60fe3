package forwarder_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// errReset is the error of a broken connection.
var errReset = errors.New("connection reset")

// A reaction is how an endpoint reacts to one dispatch.
type reaction struct {
	advisory gooseberrypass.Advisory
	pace     float64
	body     string
	cut      bool          // the connection breaks after the body
	delay    time.Duration // time until the answer
	onWay    time.Duration // time until the request, or its last byte, arrives
	header   http.Header   // of the answer
	hang     bool          // no answer until the attempt is withdrawn
	reader   io.Reader     // replaces body, if not nil
	notRun   bool          // the endpoint refuses to run the request
	refused  bool          // the connection fails before any byte is sent
	reset    bool          // the connection breaks after the request was sent
	status   int
	unframed bool // the answer has neither a length nor chunks
	version  int  // of the model weights
}

// A scriptedTransport answers each dispatch with the next reaction, and repeats the
// last one.
type scriptedTransport struct {
	reactions []reaction
	clock     *clockwork.FakeClock
	onSend    func(gooseberrypass.Dispatch) // may be nil

	mu   sync.Mutex // held while sent changes: two attempts may go on side by side
	sent []gooseberrypass.Dispatch
	ran  []run
}

// A run is a request that an endpoint has begun.
type run struct {
	at       time.Time
	endpoint gooseberrypass.ID
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errReset }

// travel lets a request travel to its endpoint, and reports whether it was released. Once sent
// it runs: its withdrawal comes behind it on the same link.
func (t *scriptedTransport) travel(ctx context.Context, d gooseberrypass.Dispatch, onWay time.Duration) bool {
	if d.Release != nil {
		if !d.Release(0) {
			return false
		}
		t.clock.Advance(onWay)
		if ctx.Err() != nil || !d.Release(onWay) {
			return false
		}
	}
	t.clock.Advance(onWay)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ran = append(t.ran, run{at: t.clock.Now(), endpoint: d.Endpoint.ID})
	return true
}

func (t *scriptedTransport) Send(ctx context.Context, d gooseberrypass.Dispatch) (*gooseberrypass.Reply, error) {
	t.mu.Lock()
	t.sent = append(t.sent, d)
	n := len(t.sent)
	t.mu.Unlock()
	if t.onSend != nil {
		t.onSend(d)
	}
	a := t.reactions[min(n-1, len(t.reactions)-1)]
	if !t.travel(ctx, d, a.onWay) {
		return nil, &gooseberrypass.DispatchError{Err: errReset}
	}
	t.clock.Advance(a.delay)
	switch {
	case a.refused:
		return nil, &gooseberrypass.DispatchError{Err: errReset}
	case a.hang:
		<-ctx.Done()
		return nil, &gooseberrypass.DispatchError{Err: ctx.Err(), Sent: true}
	case a.reset:
		return nil, &gooseberrypass.DispatchError{Err: errReset, Sent: true}
	}
	var body io.Reader = strings.NewReader(a.body)
	if a.reader != nil {
		body = a.reader
	}
	if r, ok := a.reader.(*stalledReader); ok {
		r.ctx = ctx
	}
	if a.cut {
		body = io.MultiReader(body, brokenReader{})
	}
	if a.status == 0 {
		a.status = http.StatusOK
	}
	if a.header == nil {
		a.header = http.Header{}
	}
	return &gooseberrypass.Reply{
		Advisory: a.advisory, Body: io.NopCloser(body), Header: a.header, ModelVersion: a.version, NotRun: a.notRun, Pace: a.pace, Signed: !a.notRun, Status: a.status,
		Unframed: a.unframed,
	}, nil
}

// A caller records the answer to its request.
type caller struct {
	aborted bool
	body    bytes.Buffer
	failure *gooseberrypass.RequestError
	header  http.Header
	limit   time.Duration // of writes
	status  int
}

// aborted is the panic value of an aborted answer.
type aborted struct{}

func (c *caller) Abort() {
	c.aborted = true
	panic(aborted{})
}

func (c *caller) LimitWrites(d time.Duration) { c.limit = d }

func (c *caller) Refuse(err *gooseberrypass.RequestError) { c.failure = err }

func (c *caller) Start(status int, header http.Header) { c.header, c.status = header, status }

func (c *caller) Write(piece []byte) error {
	c.body.Write(piece)
	return nil
}

// A fixture is a forwarder with three endpoints of one service.
type fixture struct {
	balancer  *balancer.Balancer
	clock     *clockwork.FakeClock
	forwarder *forwarder.Forwarder
	build     func(forwarder.Chooser) (*forwarder.Forwarder, error)
	deployed  *gooseberrypass.Deployment // when build is called
	log       bytes.Buffer
	logger    *logrus.Logger
	scheduler forwarder.Scheduler      // nil for none
	sender    gooseberrypass.Transport // used instead of transport, if not nil
	settings  forwarder.Settings
	snapshot  *materializer.Snapshot
	tracker   forwarder.RequestTracker
	transport *scriptedTransport
}

type deployments struct{ d *gooseberrypass.Deployment }

func (d deployments) Deployment() *gooseberrypass.Deployment { return d.d }

func newFixture(t *testing.T, reactions ...reaction) *fixture {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &fixture{clock: clock, transport: &scriptedTransport{reactions: reactions, clock: clock}}
	target := []gooseberrypass.RouteTarget{{Service: "s", Weight: 1}}
	route := func(prefix string, mode gooseberrypass.RouteMode, resumable bool) gooseberrypass.Route {
		return gooseberrypass.Route{
			EventGap: 300 * time.Millisecond, Host: "h", Mode: mode, MaxAttempts: 2, Name: prefix, Objective: 100 * time.Millisecond,
			Prefix: prefix, Resumable: resumable, Targets: target, Timeout: 6 * time.Second,
		}
	}
	d := gooseberrypass.NewDeployment(1, []gooseberrypass.Route{
		route("/once/", gooseberrypass.RouteOnce, false),
		route("/safe/", gooseberrypass.RouteIdempotent, false),
		route("/stream/", gooseberrypass.RouteStream, true),
		route("/rigid/", gooseberrypass.RouteStream, false),
		{Host: "h", MaxAttempts: 2, Mode: gooseberrypass.RouteIdempotent, Name: "home", Prefix: "/home/", Regions: []gooseberrypass.Region{"r1", "r2"}, Targets: target},
		{
			EventGap: 300 * time.Millisecond, Host: "h", Mode: gooseberrypass.RouteStream, MaxAttempts: 2, Name: "model", Objective: time.Second,
			Prefix: "/model/", Resumable: true, Targets: []gooseberrypass.RouteTarget{{Service: "engines", Weight: 1}}, Timeout: 6 * time.Second,
		},
	}, []gooseberrypass.ServiceSpec{{ID: "s", MaxConns: 6}, {ID: "engines", Engine: &gooseberrypass.EngineSpec{Model: "m"}}}, map[string]gooseberrypass.AccountSpec{"key": {ID: "account", Regions: []gooseberrypass.Region{"r", "r2"}}}, gooseberrypass.CallerLimits{})
	log := logrus.New()
	log.SetOutput(&f.log)
	b := balancer.New(f.clock, balancer.Self{ID: "self", Region: "r"}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "r" }, balancer.Settings{
		Ejection: time.Second, Fill: 1, MaxEjection: time.Second, PlainFill: 4, ReportTTL: 3 * time.Second, ResumeFill: 1.5, SlowTolerance: 2, StallFactor: 3, StallTimeout: 400 * time.Millisecond, VersionCutoff: 300 * time.Millisecond,
		VersionMargin: 800 * time.Millisecond, VersionTimeout: 8 * time.Second,
	}, 1, log)
	snapshot := &materializer.Snapshot{}
	for _, id := range []gooseberrypass.ID{"a", "b", "c"} {
		snapshot.Endpoints = append(snapshot.Endpoints, gooseberrypass.Endpoint{Address: string(id), ID: id, Service: "s", Slots: 4})
	}
	for _, id := range []gooseberrypass.ID{"engine-1", "engine-2"} {
		snapshot.Endpoints = append(snapshot.Endpoints, gooseberrypass.Endpoint{
			Address: string(id), ID: id, Models: map[string]int{"m": 1}, Service: "engines", Slots: 4,
		})
	}
	f.balancer, f.deployed, f.logger, f.snapshot = b, d, log, snapshot
	b.Handle(f.clock.Now(), materializer.Changed{Snapshot: snapshot})
	f.settings = forwarder.Settings{
		DeadlineGrace: 100 * time.Millisecond, HeadTimeoutFactor: 3, EventTimeoutFactor: 4, MaxBufferedAnswer: 1 << 16, MoveShare: 0.5, MoveWaitFactor: 0.8, ResumePoll: 50 * time.Millisecond, QuarantineCrashes: 3, QuarantineTime: time.Minute,
		RetryAfter: time.Second, RetryRatio: 0.2, RetryEntryFactor: 1, RetrySlack: 20, RetryWindow: 10 * time.Second,
	}
	attributions, err := attributor.New(f.clock, attributor.Settings{QuarantineTime: f.settings.QuarantineTime}, 1, prometheus.NewRegistry(), log)
	if err != nil {
		t.Fatal(err)
	}
	f.tracker = forwarder.RequestTracker{Attributor: attributions, RefusalTracker: forwarder.NewRefusalTracker(f.clock, 5*time.Second), CrashTracker: forwarder.NewCrashTracker(f.clock, f.settings, rand.Uint64())}
	f.build = func(chooser forwarder.Chooser) (*forwarder.Forwarder, error) {
		var sender gooseberrypass.Transport = f.transport
		if f.sender != nil {
			sender = f.sender
		}
		return forwarder.New(f.clock, deployments{f.deployed}, chooser, f.scheduler, sender, f.tracker, f.settings, prometheus.NewRegistry(), log)
	}
	f.forwarder, err = f.build(b)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A fullChooser refuses every request because of load.
type fullChooser struct{ queries []balancer.Query }

func (c *fullChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	c.queries = append(c.queries, q)
	return nil, &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
}

func (*fullChooser) Entries() int { return 1 }

// useFullChooser makes every endpoint full.
func (f *fixture) useFullChooser(t *testing.T) *fullChooser {
	t.Helper()
	c := &fullChooser{}
	var err error
	if f.forwarder, err = f.build(c); err != nil {
		t.Fatal(err)
	}
	return c
}

// useLossPoll makes requests check whether their endpoints are lost.
func (f *fixture) useLossPoll(t *testing.T) {
	t.Helper()
	f.settings.LossPoll = 100 * time.Millisecond
	var err error
	if f.forwarder, err = f.build(f.balancer); err != nil {
		t.Fatal(err)
	}
}

// send sends a request and returns its caller.
func (f *fixture) send(path, key string) *caller {
	c := &caller{}
	f.handle(&gooseberrypass.ProxyRequest{
		AccountKey: key, Body: []byte(path), Deadline: f.clock.Now().Add(5 * time.Second), Host: "h", ID: "id", Method: "POST", Path: path,
		LastEvent: -1, URI: path,
	}, c)
	return c
}

// handle handles a request and recovers from an aborted answer.
func (f *fixture) handle(p *gooseberrypass.ProxyRequest, c *caller) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(aborted); !ok {
				panic(r)
			}
		}
	}()
	f.forwarder.HandleProxyRequest(context.Background(), p, c)
}

// A onceChooser chooses an endpoint once and is full afterwards.
type onceChooser struct {
	forwarder.Chooser
	chosen bool
}

func (c *onceChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	if c.chosen {
		return nil, &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
	}
	c.chosen = true
	return c.Chooser.Choose(q)
}
