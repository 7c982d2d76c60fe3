package commander_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// crashes returns the total number of crashes of the engines.
func (d *deployment) crashes(t *testing.T) int {
	t.Helper()
	total := 0
	for _, engine := range d.engines {
		await(t, "an engine to be up", func() error {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, engine.url+"/crashes", nil)
			if err != nil {
				return err
			}
			resp, err := d.client.Do(r)
			if err != nil {
				return err
			}
			defer func() { _ = resp.Body.Close() }()
			var answer struct{ Crashes int }
			if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
				return err
			}
			total += answer.Crashes
			return nil
		})
	}
	return total
}

// maxCrashes bounds the engine crashes that one poison request may cause: two for each of
// the two entries, one that makes the request a suspect and one that gets it refused.
const maxCrashes = 4

// TestPoisonThroughTwoEntries repeats a request that crashes engines through both entries,
// with the log up and down. The number of crashes must not grow with the repeats, and other
// requests must be answered.
func TestPoisonThroughTwoEntries(t *testing.T) {
	for name, faults := range map[string]emulator.Faults{"log down": {Down: true}, "log up": {}} {
		t.Run(name, func(t *testing.T) {
			restart := []string{"--restart-time", "200ms"}
			d, v1 := startServing(t, "", slices.Repeat([][]string{restart}, 8)...)
			d.setFaults(t, d.log, faults)
			count, stop := startTraffic(t, d, v1)
			crashes := make([]int, 0, 2)
			for range cap(crashes) {
				for i := range 12 {
					answer, err := d.generate(t.Context(), d.entries[i%len(d.entries)], "jingle-writer", "please "+emulator.DefaultCrashMark, 8)
					if err != nil || answer.Outcome == "answered" {
						t.Errorf("got %+v and error %v, want a typed failure", answer, err)
					}
				}
				crashes = append(crashes, d.crashes(t))
			}
			t.Logf("crashes after 12 and 24 repeats: %v", crashes)
			if crashes[0] == 0 || crashes[1] > maxCrashes {
				t.Errorf("got %v crashes, want 1 to %d", crashes, maxCrashes)
			}
			count.awaitMore(t, v1, 20)
			stop()
			count.checkNoFailures(t)
		})
	}
}
