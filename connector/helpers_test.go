package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

// serve serves handler until the test ends and returns its base URL.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server, err := emulator.Serve("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return server.URL()
}

// newClient returns a client with its own connections.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// refusedURL returns a base URL on which nothing listens.
func refusedURL(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return server.URL
}

// A fixture is an engine with one version loaded.
type fixture struct {
	emulator *emulator.Engine
	engine   *connector.Engine
	manifest *gooseberrypass.Manifest
}

func newFixture(t *testing.T, settings emulator.EngineSettings) fixture {
	t.Helper()
	settings.TokenPeriod = time.Millisecond
	f := fixture{emulator: emulator.NewEngine(clockwork.NewRealClock(), newClient(t), settings)}
	t.Cleanup(func() { _ = f.emulator.Close() })
	f.engine = connector.NewEngine(newClient(t), serve(t, f.emulator))
	f.manifest = f.load(t, 1, 1)
	return f
}

// load loads the version generated from seed and returns its manifest.
func (f fixture) load(t *testing.T, seed uint64, fence gooseberrypass.Fence) *gooseberrypass.Manifest {
	t.Helper()
	order := newOrder(t, seed, fence)
	if err := f.engine.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	f.await(t, func(s gooseberrypass.EngineState) bool {
		return len(s.Loaded) == 1 && s.Loaded[0].Digest == order.Digest
	})
	manifest, err := gooseberrypass.ParseManifest(order.Manifest)
	if err != nil {
		t.Fatal(err)
	}
	return manifest
}

// newOrder returns the order to load the version generated from seed.
func newOrder(t *testing.T, seed uint64, fence gooseberrypass.Fence) gooseberrypass.Order {
	t.Helper()
	weights := emulator.MakeWeights(seed, 10_000)
	manifest, err := emulator.MakeManifest("jingle-writer", "v", gooseberrypass.Digest{}, weights, 4096)
	if err != nil {
		t.Fatal(err)
	}
	weightsURL := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(weights) }))
	return gooseberrypass.Order{
		Digest:     manifest.Digest(),
		Fence:      fence,
		Kind:       gooseberrypass.OrderLoad,
		Manifest:   manifest.Encoded(),
		Model:      "jingle-writer",
		WeightsURL: weightsURL,
	}
}

// await waits for up to a minute until the engine's state satisfies wanted.
func (f fixture) await(t *testing.T, wanted func(gooseberrypass.EngineState) bool) gooseberrypass.EngineState {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		state, err := f.engine.State(ctx)
		if err == nil && wanted(state) {
			return state
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("engine did not reach the wanted state within a minute: load error %v", f.emulator.LoadError())
	return gooseberrypass.EngineState{}
}

// order returns the order to generate n tokens with the loaded version.
func (f fixture) order(id string, n int) gooseberrypass.GenerateOrder {
	return gooseberrypass.GenerateOrder{
		AttemptID: id,
		Digest:    f.manifest.Digest(),
		MaxTokens: n,
		Model:     "jingle-writer",
		Prompt:    "a jingle for noon",
	}
}
