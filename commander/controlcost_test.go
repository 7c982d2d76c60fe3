package commander_test

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/gooseberrypass/gooseberrypass/dialer"
)

// The times of a benchmark of processes that have no requests.
const (
	costWindow = 15 * time.Second // in which they are watched
	settleTime = 8 * time.Second  // after a rollout, until its last polls have ended
)

// A cost is what a process has spent so far.
type cost struct {
	bytes    map[string]float64 // on connections that leave the instance, both ways, by class
	cpu      float64            // seconds
	resident float64            // bytes
}

// costOf reads a process's own metrics.
func (d *deployment) costOf(tb testing.TB, c *child) cost {
	tb.Helper()
	r, err := http.NewRequestWithContext(tb.Context(), http.MethodGet, c.url+"/metrics", http.NoBody)
	if err != nil {
		tb.Fatal(err)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		tb.Fatal(err)
	}
	var got cost
	got.cpu = families["process_cpu_seconds_total"].GetMetric()[0].GetCounter().GetValue()
	got.resident = families["process_resident_memory_bytes"].GetMetric()[0].GetGauge().GetValue()
	got.bytes = map[string]float64{}
	for _, m := range families["gooseberrypass_connection_bytes_total"].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == "class" && label.GetValue() != string(dialer.ClassEndpoint) {
				got.bytes[label.GetValue()] += m.GetCounter().GetValue()
			}
		}
	}
	return got
}

// BenchmarkControlCost reports what one entry and one agent spend while no
// request comes and nothing is rolled out, by the processes' own metrics, beside
// several numbers of agents.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{2, 6, 14} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			d := newDeployment(b, make([][]string, n)...)
			digest := d.putVersion(b, "v1", 1)
			d.publish(b, "v1", "")
			d.awaitLoaded(b, digest)
			time.Sleep(settleTime)
			for b.Loop() {
				watched := []*child{d.entries[0], d.agents[0]}
				var before [2]cost
				for i, c := range watched {
					before[i] = d.costOf(b, c)
				}
				begin := time.Now()
				time.Sleep(costWindow)
				window := time.Since(begin).Seconds()
				for i, role := range []string{"entry", "agent"} {
					after := d.costOf(b, watched[i])
					b.ReportMetric(100*(after.cpu-before[i].cpu)/window, role+"-core-%")
					b.ReportMetric(after.resident/1e6, role+"-MB")
					total := 0.0
					for class, n := range after.bytes {
						spent := (n - before[i].bytes[class]) / window
						b.Logf("%s %s: %.0f B/s", role, class, spent)
						total += spent
					}
					b.ReportMetric(total, role+"-B/s")
				}
			}
		})
	}
}
