package balancer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// newColdFixture returns a balancer with n plain endpoints of a service whose endpoints can
// be cold, which has got its first list.
func newColdFixture(t *testing.T, n int) *fixture {
	t.Helper()
	s := settings()
	s.PlainFill, s.ColdOvershoot, s.ColdSlack, s.ListLag = 1000, coldOvershoot, coldSlack, time.Second
	f := newFixtureWith(t, n, s)
	f.snapshot.Deployment = gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{ColdRate: coldRate, ColdTime: coldTime, ID: "s"}}, nil, gooseberrypass.CallerLimits{})
	for i := range f.snapshot.Endpoints {
		f.snapshot.Endpoints[i].ReportedAt = f.clock.Now().Add(-time.Minute)
	}
	f.publish()
	return f
}

// evacuate publishes that the failure domain of the first endpoint is evacuated, or since
// when it is no longer.
func (f *fixture) evacuate(released time.Time) {
	domain := f.snapshot.Endpoints[0].FailureDomain
	f.snapshot.Evacuated, f.snapshot.Released = map[gooseberrypass.FailureDomain]struct{}{domain: {}}, nil
	if !released.IsZero() {
		f.snapshot.Evacuated, f.snapshot.Released = nil, map[gooseberrypass.FailureDomain]time.Time{domain: released}
	}
	f.publish()
}

// renew passes a record of the first endpoint that became known some time ago.
func (f *fixture) renew(left, ago time.Duration) {
	e := f.snapshot.Endpoints[0]
	e.ColdLeft, e.ReportedAt = left, f.clock.Now().Add(-ago)
	f.snapshot.Endpoints[0] = e
	f.balancer.Handle(f.clock.Now(), materializer.EndpointsRenewed{Endpoints: []gooseberrypass.Endpoint{e}})
}

func (f *fixture) assertCold(t *testing.T, when string, want int) {
	t.Helper()
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.balancer.ColdEndpoints(); got != want {
		t.Errorf("%s: got %d cold endpoints, want %d", when, got, want)
	}
}

// Cold endpoints passed as warm too early, or were limited long after the last news.
func TestEndpointIsColdUntilItsRecordsSayOtherwise(t *testing.T) {
	second := time.Second
	restart := func(f *fixture, ago time.Duration) {
		f.snapshot.Endpoints[0].StartMillis, f.snapshot.Endpoints[0].ReportedAt = 77, f.clock.Now().Add(-ago)
		f.publish()
	}
	for name, tc := range map[string]struct {
		play func(f *fixture)
		cold time.Duration // until when it is cold, 0 if it is not
	}{
		"first list":                         {func(*fixture) {}, 0},
		"record says so":                     {func(f *fixture) { f.renew(2*second, 0) }, 2 * second},
		"record of a peer":                   {func(f *fixture) { f.renew(2*second, second) }, second},
		"old record of a peer":               {func(f *fixture) { f.renew(2*second, 5*second) }, 0},
		"record names more than the service": {func(f *fixture) { f.renew(time.Hour, 0) }, coldTime},
		"falling time":                       {func(f *fixture) { f.renew(2*second, second); f.renew(second/2, 0) }, second / 2},
		"older record after a newer one":     {func(f *fixture) { f.renew(0, 0); f.renew(2*second, second/2) }, 0},
		"new start":                          {func(f *fixture) { restart(f, 0) }, coldTime + 200*time.Millisecond},
		"new start that a peer knew":         {func(f *fixture) { restart(f, second) }, coldTime - 800*time.Millisecond},
		"new start, record of that time":     {func(f *fixture) { restart(f, second/2); f.renew(0, 0) }, coldTime - 300*time.Millisecond},
		"new start, later record":            {func(f *fixture) { restart(f, second); f.renew(0, 0) }, 0},
		"evacuation ends":                    {func(f *fixture) { f.evacuate(time.Time{}); f.evacuate(f.clock.Now()) }, coldTime + 200*time.Millisecond},
		"evacuation ended before":            {func(f *fixture) { f.evacuate(f.clock.Now().Add(-second)) }, coldTime - 800*time.Millisecond},
		"evacuation ended long before":       {func(f *fixture) { f.evacuate(f.clock.Now().Add(-time.Minute)) }, 0},
		"record from before the end":         {func(f *fixture) { f.evacuate(f.clock.Now().Add(-second / 2)); f.renew(0, 0) }, coldTime - 300*time.Millisecond},
		"record from after the end":          {func(f *fixture) { f.evacuate(f.clock.Now().Add(-second)); f.renew(0, 0) }, 0},
		"published again":                    {func(f *fixture) { f.evacuate(f.clock.Now().Add(-second)); f.renew(0, 0); f.publish() }, 0},
		"cold again after the end":           {func(f *fixture) { f.evacuate(f.clock.Now().Add(-second)); f.renew(0, 0); f.renew(3*second, 0) }, 3 * second},
		"evacuated again":                    {func(f *fixture) { f.evacuate(f.clock.Now().Add(-second)); f.renew(0, 0); f.evacuate(f.clock.Now()) }, coldTime + 200*time.Millisecond},
		"listed again":                       {func(f *fixture) { f.relist(time.Minute) }, 0},
		"listed after an hour":               {func(f *fixture) { f.relist(time.Hour) }, coldTime + 200*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newColdFixture(t, 1)
			tc.play(f)
			if tc.cold > 0 {
				f.clock.Advance(tc.cold - time.Millisecond)
				f.assertCold(t, "shortly before the end", 1)
				f.clock.Advance(time.Millisecond)
			}
			f.assertCold(t, "at the end", 0)
		})
	}
}

// relist drops all endpoints from the list and lists them again after a time.
func (f *fixture) relist(after time.Duration) {
	listed := f.snapshot.Endpoints
	f.snapshot.Endpoints = nil
	f.publish()
	f.clock.Advance(after)
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	f.snapshot.Endpoints = listed
	f.snapshot.Endpoints[0].ReportedAt = f.clock.Now()
	f.publish()
}

// A service without the two figures, or a deployment without the rule, is served as before.
func TestOnlyDeploymentsWithTheRuleLimitColdEndpoints(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"rule": func(*fixture) {},
		"service": func(f *fixture) {
			f.snapshot.Deployment = gooseberrypass.NewDeployment(1, nil, nil, nil, gooseberrypass.CallerLimits{})
		},
		"setting": func(f *fixture) { f.balancer = newFixtureWith(t, 1, settings()).balancer },
	} {
		f := newColdFixture(t, 1)
		change(f)
		f.publish()
		f.renew(2*time.Second, 0)
		want := 0
		if name == "rule" {
			want = 1
		}
		f.assertCold(t, name, want)
		if got := len(f.balancer.OwnDemand()); got != want {
			t.Errorf("%s: got demand for %d services in messages, want %d", name, got, want)
		}
	}
}

// Of the limit that an endpoint names and that of a cold endpoint, the lower one counts. A
// refusal names the time until the next request.
func TestLowerLimitOfAColdEndpointCounts(t *testing.T) {
	for name, rate := range map[string]float64{"cold": 1000, "named": 2} {
		f := newColdFixture(t, 1)
		ticket, err := f.balancer.Choose(balancer.Query{Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		ticket.AdvisoryReceived(limited(rate))
		sent := 0
		for range 200 {
			f.renew(2*time.Second, 0)
			f.clock.Advance(10 * time.Millisecond)
			if _, err := f.balancer.Choose(balancer.Query{Service: "s"}); err == nil {
				sent++
			}
		}
		if want := 2 * int(min(rate, coldRate)); sent < want-4 || sent > want+2 {
			t.Errorf("%s: got %d requests in two seconds, want about %d", name, sent, want)
		}
	}
}

// No request is sent to an evacuated failure domain, and operators see why.
func TestEvacuatedEndpointsAreNotChosen(t *testing.T) {
	f := newColdFixture(t, 4)
	f.evacuate(time.Time{})
	for range 40 {
		ticket, err := f.balancer.Choose(balancer.Query{Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		if got := ticket.Endpoint().FailureDomain; got == f.snapshot.Endpoints[0].FailureDomain {
			t.Fatalf("got an endpoint in %s, which is evacuated", got)
		}
	}
	if got, want := f.balancer.Overview()[0].State, "evacuated"; got != want {
		t.Errorf("state: got %q, want %q", got, want)
	}
	if got, want := f.balancer.EvacuatedEndpoints(), 2; got != want {
		t.Errorf("got %d evacuated endpoints, want %d", got, want)
	}
	f.evacuate(f.clock.Now())
	f.clock.Advance(500 * time.Millisecond)
	o := f.balancer.Overview()[0]
	if o.State != "with room" || o.ColdMillis != 2700 || o.ColdShare == nil || *o.ColdShare != coldRate {
		t.Errorf("after the end: got %+v, want an endpoint with room that is cold for 2.7 s", o)
	}
}

// After this process was suspended, all endpoints look silent to it. While domains are
// evacuated, those that are left were fewer than half, so that all requests were refused.
func TestSilenceOfTheEndpointsBesideAnEvacuationRefusesNobody(t *testing.T) {
	f := newStallFixture(t, 3)
	f.evacuate(time.Time{})
	f.choose(t)
	f.clock.Advance(time.Minute)
	f.choose(t)
}

// The last log line about a service said that endpoints of it are cold for as long as the
// process ran, if all of them were dropped from the list meanwhile.
func TestEndOfColdnessIsLoggedForAServiceWithoutEndpoints(t *testing.T) {
	f := newColdFixture(t, 1)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	s := settings()
	s.ColdOvershoot, s.ColdSlack, s.ListLag = coldOvershoot, coldSlack, time.Second
	f.balancer = balancer.New(f.clock, balancer.Self{ID: "self", Region: "r0"}, func(d gooseberrypass.FailureDomain) gooseberrypass.Region { return gooseberrypass.Region(d) }, s, 1, log)
	f.publish()
	f.renew(2*time.Second, 0)
	f.assertCold(t, "listed", 1)
	f.snapshot.Endpoints = nil
	f.publish()
	for range 5 {
		f.clock.Advance(time.Second)
		f.assertCold(t, "no longer listed", 0)
	}
	if got := strings.Count(out.String(), "no endpoint of the service is cold any longer"); got != 1 {
		t.Errorf("got %d log lines about the end, want 1: %s", got, out.String())
	}
}
