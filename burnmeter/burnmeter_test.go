package burnmeter_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/burnmeter"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

func newConfig() fixedConfig {
	objective := func(id gooseberrypass.ID, values map[string]any) gooseberrypass.Section {
		values["share"] = 0.9
		return gooseberrypass.NewSection(gooseberrypass.KindObjective, id, nil, values)
	}
	return fixedConfig{gooseberrypass.NewConfig(1, nil, []gooseberrypass.Section{
		objective("all", map[string]any{}),
		objective("fast", map[string]any{"in-time": 2 * time.Second, "first-token": time.Second}),
		objective("fitting", map[string]any{"target": gooseberrypass.ID("advice"), "min-priority": 5, "client-account": gooseberrypass.ID("huye")}),
	})}
}

type discardAnswer struct{}

func (discardAnswer) Start(gooseberrypass.Digest) error { return nil }
func (discardAnswer) Write([]byte) error                { return nil }
func (discardAnswer) End() error                        { return nil }

// handle passes one request through the meter. Its answer starts after untilStart,
// takes untilEnd from there, and returns err.
func handle(m *burnmeter.Meter, clock *clockwork.FakeClock, account, target gooseberrypass.ID, untilStart, untilEnd time.Duration, err error) {
	handler := m.Wrap(gooseberrypass.HandlerFunc(func(_ context.Context, _ *gooseberrypass.Request, a gooseberrypass.Answer) error {
		clock.Advance(untilStart)
		_ = a.Start(gooseberrypass.Digest{})
		clock.Advance(untilEnd)
		return err
	}))
	req := gooseberrypass.NewRequest(gooseberrypass.RequestFields{Priority: 5}).WithAccountID(account).WithTarget(target, true)
	_ = handler.Handle(context.Background(), req, discardAnswer{})
}

func TestRequestCounts(t *testing.T) {
	failure := func(reason gooseberrypass.Reason) error { return &gooseberrypass.RequestError{Reason: reason} }
	clock, registry := clockwork.NewFakeClock(), prometheus.NewRegistry()
	m, err := burnmeter.New(clock, newConfig(), "entry-1", registry)
	if err != nil {
		t.Fatal(err)
	}
	handle(m, clock, "huye", "advice", 0, 0, nil)
	handle(m, clock, "huye", "advice", 0, 3*time.Second, nil)
	handle(m, clock, "huye", "stock", 2*time.Second, 0, nil)
	handle(m, clock, "rubavu", "advice", 0, 0, failure(gooseberrypass.ReasonOverloaded))
	handle(m, clock, "rubavu", "advice", 0, 0, failure(gooseberrypass.ReasonLimited))
	want := map[string][2]uint64{"all": {4, 1}, "fast": {4, 3}, "fitting": {2, 0}}
	check := func(window int, want map[string][2]uint64) {
		t.Helper()
		got, _ := m.Burn(context.Background(), &wire.BurnRequest{})
		for _, o := range got.GetObjectives() {
			w := o.GetWindows()[window]
			if counts := [2]uint64{w.GetTotal(), w.GetBad()}; counts != want[o.GetObjective()] {
				t.Errorf("%s over %d s: got %v, want %v", o.GetObjective(), w.GetWindowSeconds(), counts, want[o.GetObjective()])
			}
		}
	}
	check(0, want)
	if got, want := testutil.CollectAndCount(m), 12; got != want {
		t.Errorf("got %d burn rates, want %d", got, want)
	}
	clock.Advance(30 * time.Minute)
	check(0, map[string][2]uint64{})
	check(1, want)
	clock.Advance(4 * 24 * time.Hour)
	check(3, map[string][2]uint64{})
}

func burnResponse(entry string, total, bad uint64) *wire.BurnResponse {
	return &wire.BurnResponse{Entry: entry, Objectives: []*wire.BurnObjective{{
		Objective: "scripts", Share: 0.9,
		Windows: []*wire.BurnWindow{{WindowSeconds: 300, Total: total, Bad: bad}, {WindowSeconds: 3 * 24 * 3600, Total: total, Bad: bad}},
	}}}
}

func TestReport(t *testing.T) {
	r := burnmeter.NewReport([]*wire.BurnResponse{burnResponse("e-2", 50, 20), burnResponse("e-1", 50, 0)},
		[]burnmeter.MissingEntry{{Address: "10.0.0.3:7101", Error: "connection refused"}})
	var table, encoded, plot bytes.Buffer
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	want := `OBJECTIVE  SHARE  WINDOW  REQUESTS  BAD  BURN RATE
scripts    0.9    5m      100       20   2.00
scripts    0.9    3d      100       20   2.00
2 entries counted, 1 missing
missing: 10.0.0.3:7101: connection refused
`
	if got := table.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	if err := r.WriteJSON(&encoded); err != nil || !strings.Contains(encoded.String(), `"address": "10.0.0.3:7101"`) {
		t.Errorf("got %s, %v, want the missing entry named", encoded.String(), err)
	}
	if err := r.WritePlot(&plot, "svg"); err != nil || !strings.Contains(plot.String(), "10.0.0.3:7101") {
		t.Errorf("got a picture of %d bytes, %v, want the missing entry named", plot.Len(), err)
	}
	if _, err := burnmeter.PlotFormat("burn.doc"); err == nil {
		t.Error("got no error for an unknown format")
	}
	if err := burnmeter.NewReport(nil, nil).WritePlot(&plot, "png"); err != nil {
		t.Errorf("empty report: %v", err)
	}
}
