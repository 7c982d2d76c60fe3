package commander_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// TestMainJob runs the whole system as separate processes: it publishes a version, rolls
// out the next one to every engine under live requests, ends agents by SIGTERM and
// SIGKILL and freezes one by SIGSTOP.
func TestMainJob(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	t.Parallel()
	d := newDeployment(t, []string{"--fenced"}, []string{"--fenced"}, []string{"--fenced"})
	v1, v2 := d.putVersion(t, "v1", 1), d.putVersion(t, "v2", 2)
	j := &mainJob{deployment: d, v1: v1, v2: v2}
	for _, step := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"publish", j.publishFirst},
		{"call", j.callService},
		{"roll out", j.rollOut},
		{"stop an agent", j.stopAgent},
		{"kill an agent", j.killAgent},
		{"freeze an agent", j.freezeAgent},
	} {
		if !t.Run(step.name, step.run) {
			return
		}
	}
}

// A mainJob is a deployment and the digests of the two versions that it serves.
type mainJob struct {
	*deployment
	v1, v2 gooseberrypass.Digest
}

func (j *mainJob) publishFirst(t *testing.T) {
	t.Helper()
	j.publish(t, "v1", "fenced = yes")
	j.awaitLoaded(t, j.v1)
	for _, entry := range j.entries {
		for _, name := range []string{"jingle-writer", "MDL-0042", "/fonoteca/scripts/jingle-writer"} {
			j.awaitAnswer(t, entry, name, j.v1)
		}
	}
}

func (j *mainJob) callService(t *testing.T) {
	t.Helper()
	for _, entry := range j.entries {
		key := newKey(t)
		for range 2 {
			answer, err := j.call(t.Context(), entry, "charge", key)
			if err != nil || answer.Outcome != "answered" {
				t.Errorf("got %+v and error %v from %s, want an answer", answer, err, entry.name)
			}
		}
		if got := j.countRuns(t, key); got != 1 {
			t.Errorf("got %d runs of a key sent twice to %s, want 1", got, entry.name)
		}
		if answer, err := j.call(t.Context(), entry, "lookup", ""); err != nil || answer.Outcome != "answered" {
			t.Errorf("got %+v and error %v, want an answer", answer, err)
		}
	}
}

// A trafficCount counts the answers of live requests.
type trafficCount struct {
	failures []string
	mu       sync.Mutex
	versions map[string]int
}

// startTraffic sends requests to both entries until the returned function is called. The
// count is complete when that function has returned.
func startTraffic(t *testing.T, d *deployment, versions ...gooseberrypass.Digest) (*trafficCount, func()) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	count := &trafficCount{versions: map[string]int{}}
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("caller %d, request %d", i, n)
				answer, err := d.generate(context.WithoutCancel(ctx), d.entries[n%len(d.entries)], "jingle-writer", prompt, 16)
				if err == nil {
					err = answer.checkText(prompt, 16, versions...)
				}
				count.add(answer.Weights, err)
				if err != nil {
					time.Sleep(pollPeriod)
				}
			}
		})
	}
	return count, func() {
		stop()
		wg.Wait()
	}
}

// answers returns the number of answers of a version.
func (c *trafficCount) answers(digest gooseberrypass.Digest) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[digest.String()]
}

func (c *trafficCount) add(weights string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failures = append(c.failures, err.Error())
		return
	}
	c.versions[weights]++
}

func (j *mainJob) rollOut(t *testing.T) {
	t.Helper()
	count, stop := startTraffic(t, j.deployment, j.v1, j.v2)
	await(t, "live requests to be answered", func() error {
		if count.answers(j.v1) == 0 {
			return errors.New("none was")
		}
		return nil
	})
	j.publish(t, "v2", "fenced = yes")
	j.awaitLoaded(t, j.v2)
	for _, entry := range j.entries {
		j.awaitAnswer(t, entry, "jingle-writer", j.v2)
	}
	stop()
	count.checkNoFailures(t)
	if count.answers(j.v2) == 0 {
		t.Errorf("got answers of %v, want some of both versions", count.versions)
	}
}

// stopAgent ends an agent by SIGTERM while a stream runs on its engine.
func (j *mainJob) stopAgent(t *testing.T) {
	t.Helper()
	const n = 800
	s := j.openStream(t, j.entries[0], "evening", n)
	i := j.runningEngine(t)
	j.agents[i].signal(t, syscall.SIGTERM)
	for _, entry := range j.entries {
		j.awaitAnswer(t, entry, "jingle-writer", j.v2)
	}
	if last := s.readToEnd(t); last != "end" {
		t.Errorf("got last event %q: %+v, want end", last, s.reply)
	}
	if err := s.reply.checkText("evening", n, j.v2); err != nil {
		t.Errorf("stream through a stopping agent: %v", err)
	}
	if status := j.agents[i].awaitEnd(t); status != 0 {
		t.Errorf("got exit status %d, want 0", status)
	}
	j.agents[i] = j.restart(t, j.agents[i])
	j.awaitReady(t, j.agents[i])
}

// killAgent ends an agent by SIGKILL while a stream runs on its engine. The stream must
// end complete or with a typed failure, and never silently truncated.
func (j *mainJob) killAgent(t *testing.T) {
	t.Helper()
	const n = 800
	s := j.openStream(t, j.entries[0], "night", n)
	i := j.runningEngine(t)
	j.agents[i].signal(t, syscall.SIGKILL)
	switch last := s.readToEnd(t); last {
	case "end":
		if err := s.reply.checkText("night", n, j.v2); err != nil {
			t.Error(err)
		}
	case "failed":
		if s.reply.Outcome != "unknown" && s.reply.Outcome != "not run" {
			t.Errorf("got %+v, want a typed failure", s.reply)
		}
	default:
		t.Errorf("got last event %q, want end or failed", last)
	}
	for _, entry := range j.entries {
		j.awaitAnswer(t, entry, "jingle-writer", j.v2)
	}
	j.agents[i].awaitEnd(t)
	j.agents[i] = j.restart(t, j.agents[i])
	j.awaitReady(t, j.agents[i])
}

// freezeAgent stops an agent by SIGSTOP, resumes it and stops the other agents, so that it
// has to serve alone.
func (j *mainJob) freezeAgent(t *testing.T) {
	t.Helper()
	j.agents[0].signal(t, syscall.SIGSTOP)
	for range 8 {
		for _, entry := range j.entries {
			j.awaitAnswer(t, entry, "jingle-writer", j.v2)
		}
	}
	j.agents[0].signal(t, syscall.SIGCONT)
	j.awaitReady(t, j.agents[0])
	for i := range j.engines[1:] {
		j.agents[i+1].signal(t, syscall.SIGTERM)
		if status := j.agents[i+1].awaitEnd(t); status != 0 {
			t.Errorf("got exit status %d, want 0", status)
		}
	}
	for _, entry := range j.entries {
		j.awaitAnswer(t, entry, "jingle-writer", j.v2)
	}
}

// awaitReady waits until a process reports that it is ready.
func (d *deployment) awaitReady(t *testing.T, c *child) {
	t.Helper()
	await(t, c.name+" to be ready", func() error {
		resp, err := d.client.Get(c.url + "/readyz")
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}
