package attempter_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// An emulatedAgent runs its control loop on the real clock beside an emulated
// engine.
type emulatedAgent struct {
	agent
	engine *connector.Engine
	loop   *looper.Loop
}

func newEmulatedAgent(t *testing.T, stopLimit time.Duration, settings emulator.EngineSettings) *emulatedAgent {
	t.Helper()
	clock, client := clockwork.NewRealClock(), &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	engine := emulator.NewEngine(clock, client, settings)
	t.Cleanup(func() { _ = engine.Close() })
	s := httptest.NewServer(engine)
	t.Cleanup(s.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := configOf(1, digestOf("v1"), section(gooseberrypass.KindSystem, "system",
		map[string]any{"queue-limit": 4096, "stop-limit": stopLimit}))
	e := &emulatedAgent{engine: connector.NewEngine(client, s.URL)}
	var err error
	e.Attempter, err = attempter.New(attempter.Dependencies{
		Clock:      clock,
		Configs:    fixedConfig{cfg},
		Engine:     e.engine,
		Instance:   gooseberrypass.ListedInstance{ID: "w-1", Pool: "writers"},
		Log:        log,
		Random:     rand.New(rand.NewPCG(1, 2)),
		Registerer: prometheus.NewRegistry(),
		Targets:    &fakeTargets{},
	})
	if err != nil {
		t.Fatal(err)
	}
	if e.loop, err = looper.New(clock, prometheus.NewRegistry(), 20*time.Millisecond, e.Controllers()...); err != nil {
		t.Fatal(err)
	}
	e.server = httptest.NewServer(e.Handler())
	t.Cleanup(e.server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = e.loop.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	e.loop.Post(gooseberrypass.ConfigAccepted{Config: cfg})
	return e
}

// load orders the engine to load weights and returns the digest of their
// manifest.
func (e *emulatedAgent) load(t *testing.T, weights string) gooseberrypass.Digest {
	t.Helper()
	manifest, err := gooseberrypass.NewManifest(string(model), "v", gooseberrypass.Digest{},
		[]gooseberrypass.Chunk{{Digest: digestOf(weights), Size: int64(len(weights))}})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, weights) }))
	t.Cleanup(s.Close)
	if err := e.engine.Order(context.Background(), gooseberrypass.Order{
		Digest: manifest.Digest(), Kind: gooseberrypass.OrderLoad, Manifest: manifest.Encoded(), Model: model, WeightsURL: s.URL,
	}); err != nil {
		t.Fatal(err)
	}
	return manifest.Digest()
}

// await waits until the status matches wanted.
func (e *emulatedAgent) await(wanted func(s *gooseberrypass.AgentStatus) bool) {
	for !wanted(e.Status()) {
		time.Sleep(time.Millisecond)
	}
}

func loaded(digest gooseberrypass.Digest) func(s *gooseberrypass.AgentStatus) bool {
	return func(s *gooseberrypass.AgentStatus) bool { return s.Serves(model, digest) }
}

func attemptFor(id, prompt string, digest gooseberrypass.Digest, maxTokens int64) *wire.Attempt {
	m := attemptOf(id)
	m.MaxTokens, m.Prompt, m.WeightsDigest = maxTokens, []byte(prompt), digest[:]
	return m
}

func emulatedText(digest gooseberrypass.Digest, prompt string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(emulator.TokenText(digest, prompt, i))
	}
	return b.String()
}

// TestPoisonBesideInnocents crashes the engine with one request while others
// run. All of them must fail with unknown and be reported as requests of the
// crash, because the agent cannot tell which one caused it.
func TestPoisonBesideInnocents(t *testing.T) {
	e := newEmulatedAgent(t, time.Second, emulator.EngineSettings{})
	digest := e.load(t, "weights")
	e.await(loaded(digest))
	attempts := make([]*wire.Attempt, 0, 3)
	for i := range cap(attempts) {
		attempts = append(attempts, attemptFor(fmt.Sprintf("a-%d", i), "write", digest, 100_000))
	}
	running := func() bool {
		s, err := e.engine.State(context.Background())
		return err == nil && s.Load.Running >= len(attempts)
	}
	var poison sync.Once
	var wg sync.WaitGroup
	for _, got := range e.askAll(t, attempts, func() {
		if running() {
			poison.Do(func() {
				wg.Go(func() { e.ask(t, attemptFor("poison", emulator.DefaultCrashMark, digest, 10)) })
			})
		}
	}) {
		if got.failed.GetOutcome() != "unknown" || got.failed.GetReason() != "cut" {
			t.Errorf("got %v, want unknown for cut", got.failed)
		}
	}
	wg.Wait()
	e.await(func(s *gooseberrypass.AgentStatus) bool {
		return len(s.Crashes) == 1 && len(s.Crashes[0].Requests) == len(attempts)+1 && len(s.Loaded) == 0
	})
}

// TestEngineReplacesWeightsUnderLiveAttempts uses an engine that changes its
// weights under running streams. No answer may contain tokens of both versions.
func TestEngineReplacesWeightsUnderLiveAttempts(t *testing.T) {
	e := newEmulatedAgent(t, time.Second, emulator.EngineSettings{Capacity: 64, InPlace: true, TokenPeriod: time.Millisecond})
	first := e.load(t, "first weights")
	e.await(loaded(first))
	attempts := make([]*wire.Attempt, 0, concurrentAttempts)
	for i := range concurrentAttempts {
		attempts = append(attempts, attemptFor(fmt.Sprintf("a-%d", i), "write", first, 40))
	}
	var swap sync.Once
	complete := 0
	for _, got := range e.askAll(t, attempts, func() {
		if e.InFlight(model) > 0 {
			swap.Do(func() { e.load(t, "second weights") })
		}
	}) {
		want := emulatedText(first, "write", 0, 40)
		if !strings.HasPrefix(want, got.text.String()) || (got.end == nil) == (got.failed == nil) {
			t.Errorf("got %q, end %v, failed %v, want a part of %q", got.text.String(), got.end, got.failed, want)
		}
		if got.complete() {
			complete++
		}
	}
	if complete == concurrentAttempts {
		t.Error("got only complete answers, want some interrupted by the new weights")
	}
}

func TestStreamMovesBetweenEngines(t *testing.T) {
	const tokens = 200
	from := newEmulatedAgent(t, 400*time.Millisecond, emulator.EngineSettings{})
	to := newEmulatedAgent(t, time.Second, emulator.EngineSettings{TokenPeriod: time.Millisecond})
	digest := from.load(t, "weights")
	to.load(t, "weights")
	from.await(loaded(digest))
	to.await(loaded(digest))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old, err := from.send(ctx, attemptFor("a-1", "write", digest, tokens))
	if err != nil {
		t.Fatal(err)
	}
	from.loop.Post(gooseberrypass.StopRequested{})
	for old.moved == nil && old.next() {
		continue
	}
	if old.moved == nil {
		t.Fatalf("got failed %v, end %v, want the stream offered", old.failed, old.end)
	}
	m := attemptFor("a-2", "write", digest, tokens)
	m.From, m.KvCache = old.moved.GetNext(), old.moved.GetKvCache()
	rest := to.ask(t, m)
	cancel()
	if got, want := old.text.String()+rest.text.String(), emulatedText(digest, "write", 0, tokens); got != want || !rest.complete() {
		t.Errorf("got %q, failed %v, want %q", got, rest.failed, want)
	}
	<-from.Drained()
}
