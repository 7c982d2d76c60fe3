package commander_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/commander"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/runner"
)

// servePage serves the status page of an entry that knows endpoints in several states.
func servePage(t *testing.T) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := clockwork.NewFakeClock()
	self := balancer.Self{ID: "i-entry", Region: "north"}
	b := balancer.New(clock, self, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "north" },
		balancer.Settings{AdvisoryTTL: time.Minute, PlainFill: 2, ReportTTL: time.Minute, StatusTTL: time.Minute}, 1, log)
	m := materializer.New(platform.Decoder{}, materializer.Settings{}, log)
	endpoint := func(id gooseberrypass.ID, models map[string]int) gooseberrypass.Endpoint {
		return gooseberrypass.Endpoint{Address: "10.0.0.1:" + string(id), FailureDomain: "n1", ID: id, Models: models, Service: "s", Slots: 4, StartMillis: 5}
	}
	b.Handle(clock.Now(), materializer.Changed{Snapshot: &materializer.Snapshot{Endpoints: []gooseberrypass.Endpoint{
		endpoint("e1", map[string]int{"m": 3}), endpoint("e2", nil), endpoint("e3", nil),
	}}})
	b.AddAdvisories(clock.Now(), "other", []balancer.AdvisoryReport{
		{Advisory: gooseberrypass.Advisory{Limited: true, Rate: 8}, Endpoint: "e1", StartMillis: 5},
		{Advisory: gooseberrypass.Advisory{Leaving: true}, Endpoint: "e2", StartMillis: 5},
	})
	ticket, err := b.Choose(balancer.Query{Service: "s", Tried: []gooseberrypass.ID{"e1", "e2"}})
	if err != nil {
		t.Fatal(err)
	}
	ticket.AdvisoryReceived(gooseberrypass.Advisory{Pause: 2500 * time.Millisecond})
	return serveHandler(t, runner.NewStatusHandler(self, m, b, log))
}

func serveHandler(t *testing.T, handler http.Handler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("GET "+runner.StatusPath, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Operators of prepared machines had no way to see why an endpoint gets nothing.
func TestStatusOfPreparedMachines(t *testing.T) {
	page := servePage(t)
	text := func(body string) string {
		return serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	}
	failing := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "later", http.StatusServiceUnavailable) }))
	none := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(none.Close)
	for _, test := range []struct {
		name   string
		args   []string
		status int
		want   []string // in the output or among the errors, with single spaces
	}{
		{"table", []string{"--machine", page}, commander.ExitOK, []string{
			"i-entry " + page + " north 0 3",
			"e1 s n1 10.0.0.1:e1 at its rate limit 0/4 0 0 m@3 limit 8/s (here 8/s)",
			"e2 s n1 10.0.0.1:e2 leaving 0/4 0 0 - leaving",
			"e3 s n1 10.0.0.1:e3 pausing 1/4 1 0 - pause 2.5s left",
		}},
		{"JSON", []string{"--machine", page, "--output", "json"}, commander.ExitOK, []string{`"pause_ms": 2500`, `"limit": 8`, `"says_leaving": true`, `"unreachable": []`}},
		{"one of two", []string{"--machine", page, "--machine", "127.0.0.1:1"}, commander.ExitFailed, []string{"e1 s n1", "? 127.0.0.1:1 no answer", "1 of 2 entries did not answer"}},
		{"nobody", []string{"--machine", "127.0.0.1:1", "--output", "json"}, commander.ExitFailed, []string{`"entries": []`, `"address": "127.0.0.1:1"`, "1 of 1 entries did not answer"}},
		{"no address", []string{"--machine", "a b"}, commander.ExitFailed, []string{"? a b no answer", "invalid URL escape"}},
		{"an agent", []string{"--machine", none.Listener.Addr().String()}, commander.ExitFailed, []string{"no status page there"}},
		{"no JSON", []string{"--machine", text("metrics")}, commander.ExitFailed, []string{"decode status page"}},
		{"another document", []string{"--machine", text("{}")}, commander.ExitFailed, []string{"no status page: it names no instance"}},
		{"cut off", []string{"--machine", text(`{"instance":"i","endpoints":[`)}, commander.ExitFailed, []string{"decode status page"}},
		{"an error", []string{"--machine", failing}, commander.ExitFailed, []string{"status page answered 503"}},
		{"both kinds", []string{"--machine", page, "--entry", "127.0.0.1:1"}, commander.ExitBadUsage, []string{"use one of them"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if got := commander.Main(append([]string{"status"}, test.args...), strings.NewReader(""), &out, &errs); got != test.status {
				t.Errorf("got status %d, want %d", got, test.status)
			}
			got := strings.Join(strings.Fields(out.String()+errs.String()), " ")
			for _, want := range test.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %q, want it to contain %q", got, want)
				}
			}
			if len(test.args) == 4 && test.args[3] == "json" && !json.Valid(out.Bytes()) {
				t.Errorf("got %q, want JSON", out.String())
			}
		})
	}
}
