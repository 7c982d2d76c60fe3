package commander_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// startServing starts a deployment that serves the version of seed 1.
func startServing(t *testing.T, keys string, engineArgs ...[]string) (*deployment, gooseberrypass.Digest) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	t.Parallel()
	d := newDeployment(t, engineArgs...)
	v1 := d.putVersion(t, "v1", 1)
	d.publish(t, "v1", keys)
	d.awaitLoaded(t, v1)
	for _, entry := range d.entries {
		d.awaitAnswer(t, entry, "jingle-writer", v1)
		await(t, entry.name+" to answer calls", func() error {
			answer, err := d.call(t.Context(), entry, "charge", newKey(t))
			if err == nil && answer.Outcome != "answered" {
				err = errors.Errorf("%+v", answer)
			}
			return err
		})
	}
	return d, v1
}

// awaitMore waits until n more live requests were answered with a version.
func (c *trafficCount) awaitMore(t *testing.T, digest gooseberrypass.Digest, n int) {
	t.Helper()
	before := c.answers(digest)
	await(t, fmt.Sprintf("%d more answers", n), func() error {
		if got := c.answers(digest) - before; got < n {
			return errors.Errorf("got %d", got)
		}
		return nil
	})
}

// checkNoFailures fails the test if live requests failed.
func (c *trafficCount) checkNoFailures(t *testing.T) {
	t.Helper()
	c.logSummary(t)
	if len(c.failures) > 0 {
		t.Errorf("got %d failed requests", len(c.failures))
	}
}

// logSummary logs the number of answers by version and of failures by kind, with the
// first failure of each kind.
func (c *trafficCount) logSummary(t *testing.T) {
	t.Helper()
	kinds := map[string]int{}
	for _, failure := range c.failures {
		kind, _, _ := strings.Cut(failure, ":")
		if kinds[kind]++; kinds[kind] == 1 {
			t.Log("failure:", failure)
		}
	}
	t.Logf("answers by version: %v, failures: %v", c.versions, kinds)
}

// TestLogDownDuringLiveRequests checks that live requests are answered during an outage
// of the log, and that calls that must not be repeated are answered with "not run" and
// have not run.
func TestLogDownDuringLiveRequests(t *testing.T) {
	d, v1 := startServing(t, "", nil, nil)
	count, stop := startTraffic(t, d, v1)
	d.setFaults(t, d.log, emulator.Faults{Down: true})
	keys := make([]string, 0, 2*len(d.entries))
	for range cap(keys) {
		keys = append(keys, newKey(t))
	}
	for i, key := range keys {
		entry := d.entries[i%len(d.entries)]
		answer, err := d.call(t.Context(), entry, "charge", key)
		if err != nil || answer.Outcome != "not run" || answer.Reason != string(gooseberrypass.ReasonLogDown) {
			t.Errorf("got %+v and error %v from %s, want not run (log-down)", answer, err, entry.name)
		}
		if answer, err := d.call(t.Context(), entry, "lookup", ""); err != nil || answer.Outcome != "answered" {
			t.Errorf("got %+v and error %v for an idempotent call, want an answer", answer, err)
		}
	}
	count.awaitMore(t, v1, 20)
	d.setFaults(t, d.log, emulator.Faults{})
	for _, entry := range d.entries {
		key := newKey(t)
		await(t, entry.name+" to use the log again", func() error {
			answer, err := d.call(t.Context(), entry, "charge", key)
			if err == nil && answer.Outcome != "answered" {
				err = errors.Errorf("%+v", answer)
			}
			return err
		})
		if got := d.countRuns(t, key); got != 1 {
			t.Errorf("got %d runs after the outage, want 1", got)
		}
	}
	stop()
	count.checkNoFailures(t)
	for _, key := range keys {
		if got := d.countRuns(t, key); got != 0 {
			t.Errorf("got %d runs of a key that was told not run, want 0", got)
		}
	}
}

// TestOneGrantThroughTwoEntries guards against calls that run twice: it sends each key
// to both entries at once, under faults of the log and the service. The service must
// record at most one run of each key. As a check of the test, a key sent to the service
// directly, without claims, runs twice.
func TestOneGrantThroughTwoEntries(t *testing.T) {
	d, _ := startServing(t, "", nil)
	for _, test := range []struct {
		name         string
		log, service emulator.Faults
		answered     bool // whether one caller reads the answer
		keys         int
	}{
		{name: "no fault", answered: true, keys: 40},
		{name: "append answers lost", log: emulator.Faults{AnswersLost: 2}, keys: 4},
		{name: "appends lost", log: emulator.Faults{RequestsLost: 2}, keys: 4},
		{name: "service answers lost", service: emulator.Faults{AnswersLost: -1}, keys: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range test.keys {
				d.setFaults(t, d.log, test.log)
				d.setFaults(t, d.service, test.service)
				key := newKey(t)
				answers := d.sendToBoth(t, key)
				runs := d.countRuns(t, key)
				if runs > 1 || (test.answered && answers["answered"] == 0) {
					t.Errorf("got %d runs and answers %v, want 1 run at most", runs, answers)
				}
				if answers["answered"] > 0 && runs != 1 {
					t.Errorf("got %d runs of an answered call, want 1", runs)
				}
				if answers["not run"] == 2 && runs != 0 {
					t.Errorf("got %d runs of a call that was told not run twice", runs)
				}
			}
		})
	}
	d.setFaults(t, d.service, emulator.Faults{})
	direct, key := connector.NewPlainService(d.client, d.service.url), newKey(t)
	for range 2 {
		if _, err := direct.Call(t.Context(), gooseberrypass.ServiceCall{Call: "charge", Key: key}); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.countRuns(t, key); got != 2 {
		t.Errorf("got %d runs without claims, want 2", got)
	}
}

// sendToBoth sends a call to both entries concurrently and counts the outcomes.
func (d *deployment) sendToBoth(t *testing.T, key string) map[string]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := map[string]int{}
	for _, entry := range d.entries {
		wg.Go(func() {
			answer, err := d.call(t.Context(), entry, "charge", key)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("%s: %v", entry.name, err)
			}
			outcomes[answer.Outcome]++
		})
	}
	wg.Wait()
	return outcomes
}

// TestFrozenAgentWokenDuringRollout guards against two agents that give orders to one
// engine. It stops an agent by SIGSTOP before a rollout, starts a second one in its place
// and resumes the first. The second must wait for the address and give no orders while the
// first has it, even if the engine refuses no orders, and no answer may mix versions.
func TestFrozenAgentWokenDuringRollout(t *testing.T) {
	for name, fenced := range map[string]bool{"fenced": true, "unfenced": false} {
		t.Run(name, func(t *testing.T) {
			args, keys := []string{"--in-place"}, ""
			if fenced {
				args, keys = append(args, "--fenced"), "fenced = yes"
			}
			d, v1 := startServing(t, keys, args, args, args)
			v2 := d.putVersion(t, "v2", 2)
			count, stop := startTraffic(t, d, v1, v2)
			first := d.agents[0]
			first.signal(t, syscall.SIGSTOP)
			d.publish(t, "v2", keys)
			second := d.restart(t, first)
			d.awaitEngine(t, 1, v2)
			d.awaitEngine(t, 2, v2)
			if state, err := d.engineState(t, 0); err != nil || len(state.Loaded) != 1 || state.Loaded[0].Digest != v1 {
				t.Errorf("got %+v and error %v beside a frozen agent, want the old version", state, err)
			}
			first.signal(t, syscall.SIGCONT)
			d.awaitLoaded(t, v2)
			count.awaitMore(t, v2, 20)
			first.signal(t, syscall.SIGKILL)
			first.awaitEnd(t)
			d.awaitReady(t, second)
			for _, agent := range d.agents[1:len(d.engines)] {
				agent.signal(t, syscall.SIGTERM)
				if status := agent.awaitEnd(t); status != 0 {
					t.Errorf("got exit status %d, want 0", status)
				}
			}
			for _, entry := range d.entries {
				d.awaitAnswer(t, entry, "jingle-writer", v2)
			}
			stop()
			count.checkFailuresTyped(t)
		})
	}
}

// checkFailuresTyped fails the test if a live request ended in anything but a complete
// answer or a typed failure.
func (c *trafficCount) checkFailuresTyped(t *testing.T) {
	t.Helper()
	c.logSummary(t)
	for _, failure := range c.failures {
		if !strings.HasPrefix(failure, "unknown (") && !strings.HasPrefix(failure, "not run (") {
			t.Errorf("got %s", failure)
		}
	}
}

// maxOriginCopies bounds the copies of a version that are read from the origin under any
// fault.
const maxOriginCopies = 4

// TestOriginBytesChangedUnderName changes a version's bytes at the origin after its
// manifest was pinned. The old version must continue to serve, and the origin must not be
// read beyond its budget. The rollout must finish once the bytes are restored and the
// operator allows more reads.
func TestOriginBytesChangedUnderName(t *testing.T) {
	d, v1 := startServing(t, "", nil, nil, nil)
	v2 := d.putVersion(t, "v2", 2)
	url := d.origin.url + "/models/jingle-writer/versions/v2/weights"
	d.put(t, url, emulator.MakeWeights(3, weightsSize))
	count, stop := startTraffic(t, d, v1, v2)
	d.publish(t, "v2", "")
	await(t, "the origin to be read", func() error {
		if got := d.servedBytes(t, "v2"); got < chunkSize {
			return errors.Errorf("%d bytes", got)
		}
		return nil
	})
	count.awaitMore(t, v1, 50)
	for i := range d.engines {
		if state, err := d.engineState(t, i); err != nil || len(state.Loaded) != 1 || state.Loaded[0].Digest != v1 {
			t.Errorf("got %+v and error %v, want the old version loaded", state.Loaded, err)
		}
	}
	if got := count.answers(v2); got != 0 {
		t.Errorf("got %d answers of a version that no engine can have loaded", got)
	}
	if got := d.servedBytes(t, "v2"); got > maxOriginCopies*weightsSize {
		t.Errorf("got %d bytes read of wrong weights, want %d at most", got, maxOriginCopies*weightsSize)
	}
	d.put(t, url, emulator.MakeWeights(2, weightsSize))
	d.write(t, "folder/10-system.ini", "[system]\norigin-budget = 4\n")
	d.publish(t, "v2", "")
	d.awaitLoaded(t, v2)
	stop()
	count.checkNoFailures(t)
}

// servedBytes returns the number of bytes that the origin served of a version.
func (d *deployment) servedBytes(t *testing.T, version string) int64 {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, d.origin.url+"/served", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var rows []struct {
		Bytes   int64
		Version string
	}
	if err := json.NewDecoder(resp.Body).Decode(&rows); err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if row.Version == version {
			return row.Bytes
		}
	}
	return 0
}
