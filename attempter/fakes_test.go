package attempter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	model   = gooseberrypass.ID("jingle-writer")
	service = gooseberrypass.ID("licensing")
)

func digestOf(text string) gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte(text)) }

// A fakeEngine generates tokens with a function and has its state set by the
// test.
type fakeEngine struct {
	generate func(ctx context.Context, order gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error)

	slowCancel chan struct{} // if set, Cancel blocks until it is closed

	mu        sync.Mutex
	cancelled []string
	kv        []byte
	runs      map[string]int
	state     gooseberrypass.EngineState
	stateErr  error
}

func newFakeEngine(capacity int, loaded ...gooseberrypass.Digest) *fakeEngine {
	e := &fakeEngine{runs: map[string]int{}}
	e.state = gooseberrypass.EngineState{BootID: "boot-1", Load: gooseberrypass.EngineLoad{Capacity: capacity}}
	for _, d := range loaded {
		e.state.Loaded = append(e.state.Loaded, gooseberrypass.LoadedVersion{Digest: d, Model: model})
	}
	return e
}

func (e *fakeEngine) set(change func(e *fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) ([]gooseberrypass.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	if e.slowCancel != nil {
		<-e.slowCancel
	}
	e.set(func(e *fakeEngine) { e.cancelled = append(e.cancelled, id) })
	return nil
}

func (e *fakeEngine) ExportKV(context.Context, string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.kv == nil {
		return nil, io.EOF
	}
	return e.kv, nil
}

func (e *fakeEngine) Generate(ctx context.Context, o gooseberrypass.GenerateOrder) (gooseberrypass.TokenStream, error) {
	e.set(func(e *fakeEngine) { e.runs[o.AttemptID]++ })
	return e.generate(ctx, o)
}

func (e *fakeEngine) Order(context.Context, gooseberrypass.Order) error { return nil }

func (e *fakeEngine) State(context.Context) (gooseberrypass.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Loaded = slices.Clone(s.Loaded)
	return s, e.stateErr
}

// A stream is a token stream whose Next is a function.
type stream func() (gooseberrypass.Token, error)

func (s stream) Next() (gooseberrypass.Token, error) { return s() }
func (s stream) Close() error                        { return nil }

// replay returns a stream of tokens that ends with err.
func replay(tokens []gooseberrypass.Token, err error) stream {
	return func() (gooseberrypass.Token, error) {
		if len(tokens) == 0 {
			return gooseberrypass.Token{}, err
		}
		t := tokens[0]
		tokens = tokens[1:]
		return t, nil
	}
}

// tokensOf returns the n tokens of an answer. Their texts contain the attempt
// id, so that an answer shows to which attempt it belongs.
func tokensOf(id string, digest gooseberrypass.Digest, n int) []gooseberrypass.Token {
	tokens := make([]gooseberrypass.Token, 0, n)
	for i := range n {
		tokens = append(tokens, gooseberrypass.Token{
			AttemptID: id, Digest: digest, Index: i, Last: i == n-1, Text: fmt.Sprintf("%s#%d;", id, i),
		})
	}
	return tokens
}

func textOf(tokens []gooseberrypass.Token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(t.Text)
	}
	return b.String()
}

type fixedConfig struct{ cfg *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.cfg }

type fakeTargets struct {
	mu   sync.Mutex
	list []gooseberrypass.TargetStatus
}

func (t *fakeTargets) Targets() []gooseberrypass.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.list)
}

func (t *fakeTargets) set(list ...gooseberrypass.TargetStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = list
}

// An agent is an Attempter on a fake clock behind a loopback listener. The test
// calls its controllers.
type agent struct {
	*attempter.Attempter
	clock    *clockwork.FakeClock
	registry *prometheus.Registry
	server   *httptest.Server
	targets  *fakeTargets
}

// An identityResolver resolves each name to the equal id.
type identityResolver struct{}

func (identityResolver) Resolve(_ gooseberrypass.Kind, name gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return gooseberrypass.ID(name), true
}

func section(kind gooseberrypass.Kind, id gooseberrypass.ID, values map[string]any) gooseberrypass.Section {
	return gooseberrypass.NewSection(kind, id, nil, values)
}

func configOf(offset gooseberrypass.Offset, version gooseberrypass.Digest, more ...gooseberrypass.Section) *gooseberrypass.Config {
	return gooseberrypass.NewConfig(offset, identityResolver{}, append([]gooseberrypass.Section{
		section(gooseberrypass.KindSystem, "system", map[string]any{"queue-limit": 4096, "stop-limit": 10 * time.Second}),
		section(gooseberrypass.KindModel, model, map[string]any{"manifest": version, "pool": "writers"}),
		section(gooseberrypass.KindService, service, map[string]any{
			"pool": "writers", "repeatable-calls": []string{"find"}, "unrepeatable-calls": []string{"grant"},
		}),
	}, more...))
}

func newAgent(tb testing.TB, change func(d *attempter.Dependencies)) *agent {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := configOf(1, digestOf("v1"))
	a := &agent{clock: clockwork.NewFakeClock(), registry: prometheus.NewRegistry(), targets: &fakeTargets{}}
	d := attempter.Dependencies{
		Clock:      a.clock,
		Configs:    fixedConfig{cfg},
		Instance:   gooseberrypass.ListedInstance{ID: "w-1", Pool: "writers"},
		Log:        log,
		Random:     rand.New(rand.NewPCG(1, 2)),
		Registerer: a.registry,
		Targets:    a.targets,
	}
	change(&d)
	var err error
	if a.Attempter, err = attempter.New(d); err != nil {
		tb.Fatal(err)
	}
	a.server = httptest.NewServer(a.Handler())
	tb.Cleanup(a.server.Close)
	a.handle(gooseberrypass.ConfigAccepted{Config: cfg})
	a.tick()
	return a
}

func newEngineAgent(tb testing.TB, e gooseberrypass.Engine) *agent {
	tb.Helper()
	return newAgent(tb, func(d *attempter.Dependencies) { d.Engine = e })
}

// handle passes an event to the controllers and runs their effects immediately.
func (a *agent) handle(event gooseberrypass.Event) {
	for _, c := range a.Controllers() {
		for _, effect := range c.Handle(a.clock.Now(), event) {
			if next := effect.Run(context.Background()); next != nil {
				a.handle(next)
			}
		}
	}
}

// tick advances the clock by one second, in which the endpoint is polled.
func (a *agent) tick() {
	a.clock.Advance(time.Second)
	a.handle(gooseberrypass.Tick{})
}

func attemptOf(id string) *wire.Attempt {
	digest := digestOf("request of " + id)
	return &wire.Attempt{
		Account:       "radio",
		AttemptId:     id,
		DeadlineMs:    60_000,
		MaxTokens:     64,
		Model:         string(model),
		Prompt:        []byte("write"),
		RequestDigest: digest[:],
	}
}

// send posts an attempt and returns the stream of frames.
func (a *agent) send(ctx context.Context, m *wire.Attempt) (*answer, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, a.server.URL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := a.server.Client().Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	return &answer{body: resp.Body, reader: newReader(resp.Body)}, nil
}

// An answer collects the frames of one attempt.
type answer struct {
	body   io.ReadCloser
	digest []byte
	end    *wire.End
	failed *wire.Failed
	pieces int
	moved  *wire.Moved
	reader protodelim.Reader
	text   strings.Builder
}

// next reads one frame. It returns false after the last one.
func (a *answer) next() bool {
	var f wire.Frame
	if err := protodelim.UnmarshalFrom(a.reader, &f); err != nil {
		_ = a.body.Close()
		return false
	}
	switch k := f.GetKind().(type) {
	case *wire.Frame_Started:
		a.digest = k.Started.GetWeightsDigest()
	case *wire.Frame_Piece:
		a.pieces++
		a.text.Write(k.Piece.GetText())
	case *wire.Frame_End:
		a.end = k.End
	case *wire.Frame_Failed:
		a.failed = k.Failed
	case *wire.Frame_Moved:
		a.moved = k.Moved
	}
	return true
}

// complete reports whether the answer has an end marker that matches its text.
func (a *answer) complete() bool {
	digest := digestOf(a.text.String())
	return a.end != nil && a.end.GetLength() == int64(a.text.Len()) && bytes.Equal(a.end.GetDigest(), digest[:])
}

// ask sends an attempt and reads all its frames.
func (a *agent) ask(tb testing.TB, m *wire.Attempt) *answer {
	tb.Helper()
	s, err := a.send(context.Background(), m)
	if err != nil {
		tb.Error(err)
		return &answer{}
	}
	for s.next() {
		continue
	}
	return s
}

func newReader(r io.Reader) protodelim.Reader { return &byteReader{Reader: r} }

type byteReader struct{ io.Reader }

func (r *byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}
