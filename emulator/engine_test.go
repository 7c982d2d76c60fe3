package emulator_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

const model gooseberrypass.ID = "jingle-writer"

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server, err := emulator.Serve("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server.URL()
}

// An engineTest is an engine and its client.
type engineTest struct {
	*emulator.Engine
	client *connector.Engine
}

func newEngineTest(t *testing.T, clock gooseberrypass.Clock, settings emulator.EngineSettings) engineTest {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	httpClient := &http.Client{Transport: transport}
	engine := emulator.NewEngine(clock, httpClient, settings)
	t.Cleanup(func() { _ = engine.Close() })
	return engineTest{Engine: engine, client: connector.NewEngine(httpClient, serve(t, engine))}
}

// await waits up to a minute until the engine's state satisfies wanted.
func (e engineTest) await(t *testing.T, wanted func(gooseberrypass.EngineState) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		if state, err := e.client.State(ctx); err == nil && wanted(state) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("engine did not reach the wanted state within a minute: load error %v", e.LoadError())
}

// order orders the engine to load a version with the given weights from a server
// that responds with body, and returns the version's digest.
func (e engineTest) order(t *testing.T, kind gooseberrypass.OrderKind, id gooseberrypass.ID, base gooseberrypass.Digest, weights, body []byte) gooseberrypass.Digest {
	t.Helper()
	manifest, err := emulator.MakeManifest(string(id), "v", base, weights, 1000)
	if err != nil {
		t.Fatal(err)
	}
	source := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	if err := e.client.Order(t.Context(), gooseberrypass.Order{
		Digest: manifest.Digest(), Kind: kind, Manifest: manifest.Encoded(), Model: id, WeightsURL: source,
	}); err != nil {
		t.Fatal(err)
	}
	return manifest.Digest()
}

func notLoading(s gooseberrypass.EngineState) bool { return !s.Loading }

func TestLoadVerifiesChunks(t *testing.T) {
	weights := emulator.MakeWeights(1, 2500)
	corrupt := bytes.Clone(weights)
	corrupt[1500]++
	swapped := append(append(bytes.Clone(weights[1000:2000]), weights[:1000]...), weights[2000:]...)
	for name, test := range map[string]struct {
		body       []byte
		unverified bool
		loaded     bool
		ordered    bool // reports the digest in the order
	}{
		"corrupt":             {body: corrupt},
		"corrupt, unverified": {body: corrupt, unverified: true, loaded: true},
		"chunks swapped":      {body: swapped},
		"too long":            {body: append(bytes.Clone(weights), 0)},
		"too short":           {body: weights[:2499]},
		"intact":              {body: weights, loaded: true, ordered: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngineTest(t, clockwork.NewRealClock(), emulator.EngineSettings{Unverified: test.unverified})
			digest := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, test.body)
			e.await(t, notLoading)
			state, err := e.client.State(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got := len(state.Loaded) == 1; got != test.loaded || (e.LoadError() == nil) != test.loaded {
				t.Errorf("got %+v, error %v, want loaded %v", state.Loaded, e.LoadError(), test.loaded)
			}
			if got := len(state.Loaded) == 1 && state.Loaded[0].Digest == digest; got != test.ordered {
				t.Errorf("got %+v, want the ordered digest: %v", state.Loaded, test.ordered)
			}
		})
	}
}

// TestLoadDuringStream loads a second version while a stream of the first one
// runs. The stream must keep its version, unless the engine loads in place; then
// the digests in the tokens must tell whether the text mixes both versions.
func TestLoadDuringStream(t *testing.T) {
	for name, inPlace := range map[string]bool{"side by side": false, "in place": true} {
		t.Run(name, func(t *testing.T) {
			e := newEngineTest(t, clockwork.NewRealClock(), emulator.EngineSettings{InPlace: inPlace, TokenPeriod: time.Millisecond})
			weights := emulator.MakeWeights(1, 100)
			first := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, weights)
			e.await(t, notLoading)
			s, err := e.client.Generate(t.Context(), gooseberrypass.GenerateOrder{
				AttemptID: "a", Digest: first, MaxTokens: 1 << 20, Model: model, Prompt: "p",
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			weights = emulator.MakeWeights(2, 100)
			second := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, weights)
			e.await(t, func(s gooseberrypass.EngineState) bool { return len(s.Loaded) == 1 && s.Loaded[0].Digest == second })
			if err := e.client.Cancel(t.Context(), "a"); err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			mixed, n := false, 0
			for ; ; n++ {
				token, err := s.Next()
				if errors.Is(err, io.ErrUnexpectedEOF) {
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				mixed = mixed || token.Digest != first
				text.WriteString(token.Text)
			}
			if got := text.String() != emulator.GeneratedText(first, "p", n); got != mixed || (mixed && !inPlace) {
				t.Errorf("got mixed text %v, mixed digests %v, in place %v", got, mixed, inPlace)
			}
		})
	}
}

func TestUnloadOfBaseUnloadsAdapter(t *testing.T) {
	e := newEngineTest(t, clockwork.NewRealClock(), emulator.EngineSettings{})
	weights := emulator.MakeWeights(1, 100)
	base := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, weights)
	e.await(t, notLoading)
	e.order(t, gooseberrypass.OrderAdapter, "accent", base, weights, weights)
	e.await(t, func(s gooseberrypass.EngineState) bool { return len(s.Loaded) == 2 })
	if err := e.client.Order(t.Context(), gooseberrypass.Order{Kind: gooseberrypass.OrderUnload, Model: model}); err != nil {
		t.Fatal(err)
	}
	e.await(t, func(s gooseberrypass.EngineState) bool { return len(s.Loaded) == 0 })
}

func TestRoleChanges(t *testing.T) {
	e := newEngineTest(t, clockwork.NewRealClock(), emulator.EngineSettings{})
	order := gooseberrypass.Order{Kind: gooseberrypass.OrderRole, Role: gooseberrypass.EngineRolePrefill}
	if err := e.client.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	e.await(t, func(s gooseberrypass.EngineState) bool { return s.Role == order.Role })
	order.Role = "conductor"
	if err := e.client.Order(t.Context(), order); err == nil {
		t.Error("got no error for an unknown role")
	}
}

// TestHighPriorityRunsFirst queues requests at an engine that runs one request at
// a time, then cancels the running one. Each request has its own prompt, so the
// order of the cache events is the order of execution.
func TestHighPriorityRunsFirst(t *testing.T) {
	e := newEngineTest(t, clockwork.NewRealClock(), emulator.EngineSettings{Capacity: 1, TokenPeriod: time.Millisecond})
	weights := emulator.MakeWeights(1, 100)
	digest := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, weights)
	e.await(t, notLoading)
	generate := func(id string, priority gooseberrypass.Priority, n int) gooseberrypass.TokenStream {
		s, err := e.client.Generate(t.Context(), gooseberrypass.GenerateOrder{
			AttemptID: id, Digest: digest, MaxTokens: n, Model: model, Priority: priority, Prompt: id,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	generate("first", 0, 1<<20)
	e.await(t, func(s gooseberrypass.EngineState) bool { return s.Load.Running == 1 })
	waiting := make([]gooseberrypass.TokenStream, 0, 3)
	for i, priority := range []gooseberrypass.Priority{2, 9, 2} {
		waiting = append(waiting, generate(string(rune('a'+i)), priority, 1))
	}
	if err := e.client.Cancel(t.Context(), "first"); err != nil {
		t.Fatal(err)
	}
	for _, s := range waiting {
		if token, err := s.Next(); err != nil || !token.Last {
			t.Fatalf("got %+v and error %v, want the last token", token, err)
		}
	}
	events, err := e.client.CacheEvents(t.Context(), 0)
	if err != nil || len(events) != 4 {
		t.Fatalf("got %+v and error %v, want 4 events", events, err)
	}
	for i, want := range []string{"first", "b", "a", "c"} {
		if events[i].Prefix != gooseberrypass.PrefixHash(want) {
			t.Errorf("request %d to run is not %q", i+1, want)
		}
	}
}

func TestReportedLoadLags(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := newEngineTest(t, clock, emulator.EngineSettings{LoadLag: time.Minute, TokenPeriod: time.Hour})
	weights := emulator.MakeWeights(1, 100)
	digest := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, weights)
	e.await(t, notLoading)
	s, err := e.client.Generate(t.Context(), gooseberrypass.GenerateOrder{AttemptID: "a", Digest: digest, MaxTokens: 1, Model: model})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for _, test := range []struct {
		advance time.Duration
		stuck   bool
		want    int
	}{
		{advance: 30 * time.Second, want: 0},
		{advance: 40 * time.Second, stuck: true, want: 0},
		{want: 1},
	} {
		clock.Advance(test.advance)
		e.SetFaults(emulator.Faults{StuckLoad: test.stuck})
		state, err := e.client.State(t.Context())
		if err != nil || state.Load.Queued != test.want {
			t.Errorf("after %s: got %+v, error %v, want %d queued", test.advance, state.Load, err, test.want)
		}
	}
}

func TestCacheEventsHaveGaps(t *testing.T) {
	e := newEngineTest(t, clockwork.NewRealClock(), emulator.EngineSettings{CacheEventLoss: 0.5, Seed: 1, TokenPeriod: time.Millisecond})
	weights := emulator.MakeWeights(1, 100)
	digest := e.order(t, gooseberrypass.OrderLoad, model, gooseberrypass.Digest{}, weights, weights)
	e.await(t, notLoading)
	for i := range 20 {
		id := string(rune('a' + i))
		s, err := e.client.Generate(t.Context(), gooseberrypass.GenerateOrder{AttemptID: id, Digest: digest, MaxTokens: 1, Model: model, Prompt: id})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
	}
	events, err := e.client.CacheEvents(t.Context(), 0)
	if err != nil || len(events) == 0 || len(events) == 20 {
		t.Errorf("got %d of 20 events and error %v, want some but not all", len(events), err)
	}
}
