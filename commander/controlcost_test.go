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

// The times of a benchmark of processes that serve no requests.
const (
	measureWindow = 15 * time.Second // during which resources are measured
	settleTime    = 8 * time.Second  // after a rollout, so that its last polls have ended
)

// A usage is the resource usage of a process since its start.
type usage struct {
	bytes    map[string]float64 // sent and received on connections that leave the instance, by class
	cpu      float64            // seconds of processor time
	resident float64            // bytes
}

// readUsage reads the metrics of a process.
func (d *deployment) readUsage(tb testing.TB, c *child) usage {
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
	var got usage
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

// BenchmarkControlCost reports the processor time, memory and traffic of one entry
// and one agent without requests or rollouts, from their own metrics, in systems with
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
				var before [2]usage
				for i, c := range watched {
					before[i] = d.readUsage(b, c)
				}
				begin := time.Now()
				time.Sleep(measureWindow)
				window := time.Since(begin).Seconds()
				for i, role := range []string{"entry", "agent"} {
					after := d.readUsage(b, watched[i])
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
