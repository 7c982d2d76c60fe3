package answerer_test

import (
	"context"
	"io"
	"net"
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
	"github.com/gooseberrypass/gooseberrypass/answerer"
	"github.com/gooseberrypass/gooseberrypass/api"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A nameTable maps "kind/name" to the identity.
type nameTable map[string]gooseberrypass.ID

func (n nameTable) Resolve(kind gooseberrypass.Kind, name gooseberrypass.Name) (gooseberrypass.ID, bool) {
	id, ok := n[string(kind)+"/"+string(name)]
	return id, ok
}

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

func weights() gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte("weights")) }

func newConfig() fixedConfig {
	section := gooseberrypass.NewSection
	return fixedConfig{gooseberrypass.NewConfig(1, nameTable{
		"client-account/radio": "radio", "client-account/ACC-0007": "radio", "client-account//fonoteca/radio": "radio",
		"model/jingle": "jingle", "model/MDL-0042": "jingle", "service/licensing": "licensing",
	}, []gooseberrypass.Section{
		section(gooseberrypass.KindSystem, "system", nil, map[string]any{
			"claim-retention": 24 * time.Hour, "retry-budget": 0.2, "quarantine": time.Minute,
		}),
		section(gooseberrypass.KindClientAccount, "radio", nil, map[string]any{
			"key-digest": gooseberrypass.DigestOf([]byte("secret")), "max-priority": 6,
		}),
		section(gooseberrypass.KindModel, "jingle", nil, map[string]any{
			"manifest": weights(), "pool": "writers", "deadline": 20 * time.Second, "max-tokens": 100,
		}),
		section(gooseberrypass.KindService, "licensing", nil, map[string]any{
			"pool": "plain", "deadline": 20 * time.Second, "repeatable-calls": []string{"lookup"}, "unrepeatable-calls": []string{"grant"},
		}),
		section(gooseberrypass.KindObjective, "scripts", nil, map[string]any{"share": 0.99, "target": gooseberrypass.ID("jingle")}),
	})}
}

// A memoryLog is an in-memory gooseberrypass.Log.
type memoryLog struct {
	mu      sync.Mutex
	streams map[gooseberrypass.Stream][]gooseberrypass.Record
}

func (l *memoryLog) Append(_ context.Context, stream gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := gooseberrypass.Offset(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], gooseberrypass.Record{Offset: offset, Time: time.Now(), Body: body})
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, stream gooseberrypass.Stream, from gooseberrypass.Offset, wait time.Duration) (gooseberrypass.Batch, error) {
	deadline := time.Now().Add(wait)
	for ctx.Err() == nil {
		l.mu.Lock()
		records := l.streams[stream]
		next := gooseberrypass.Offset(len(records) + 1)
		if from < next {
			records = slices.Clone(records[from-1:])
			l.mu.Unlock()
			return gooseberrypass.Batch{First: 1, Next: next, Records: records}, nil
		}
		l.mu.Unlock()
		if !time.Now().Before(deadline) {
			return gooseberrypass.Batch{First: 1, Next: next}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return gooseberrypass.Batch{}, ctx.Err()
}

// A fakeAgent is an agent whose answers are given by functions. Without a call
// function it answers every call with "granted" and the request body.
type fakeAgent struct {
	wire.Agent
	call       func(*wire.CallRequest) *wire.CallResponse
	callsByKey map[string]int // number of calls per idempotency key
	generate   func(attempt *wire.Attempt, send func(*wire.Frame))
	mu         sync.Mutex
}

func (a *fakeAgent) Call(_ context.Context, r *wire.CallRequest) (*wire.CallResponse, error) {
	a.mu.Lock()
	a.callsByKey[r.GetKey()]++
	a.mu.Unlock()
	if a.call != nil {
		return a.call(r), nil
	}
	body := []byte("granted " + string(r.GetBody()))
	digest := gooseberrypass.DigestOf(body)
	return &wire.CallResponse{AttemptId: r.GetAttemptId(), RequestDigest: r.GetRequestDigest(), Outcome: "answered", Body: body, BodyDigest: digest[:]}, nil
}

func (a *fakeAgent) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelResponse, error) {
	return &wire.CancelResponse{}, nil
}

func (a *fakeAgent) Refuse(_ context.Context, r *wire.RefuseRequest) (*wire.RefuseResponse, error) {
	return &wire.RefuseResponse{States: make([]wire.AttemptState, len(r.GetAttemptIds()))}, nil
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := &wire.Attempt{}
	if err := proto.Unmarshal(body, attempt); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.generate(attempt, func(f *wire.Frame) {
		f.AttemptId, f.RequestDigest = attempt.GetAttemptId(), attempt.GetRequestDigest()
		_, _ = protodelim.MarshalTo(w, f)
		_ = http.NewResponseController(w).Flush()
	})
}

// generateScript returns a generate function that sends text with one word per
// piece. It calls beforeWord, if set, before each piece except the first.
func generateScript(text string, beforeWord func(i int)) func(*wire.Attempt, func(*wire.Frame)) {
	return func(attempt *wire.Attempt, send func(*wire.Frame)) {
		send(&wire.Frame{Kind: &wire.Frame_Started{Started: &wire.Started{WeightsDigest: attempt.GetWeightsDigest()}}})
		words := strings.SplitAfter(text, " ")
		for i, word := range words {
			if i > 0 && beforeWord != nil {
				beforeWord(i)
			}
			send(&wire.Frame{Kind: &wire.Frame_Piece{Piece: &wire.Piece{Index: int64(i), Text: []byte(word)}}})
		}
		digest := gooseberrypass.DigestOf([]byte(text))
		send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Pieces: int64(len(words)), Length: int64(len(text)), Digest: digest[:]}}})
	}
}

type members []gooseberrypass.Member

func (m members) Members() []gooseberrypass.Member { return m }

func listed(id gooseberrypass.ID, pool gooseberrypass.Pool, address string) gooseberrypass.ListedInstance {
	return gooseberrypass.ListedInstance{
		Address: address, FailureDomain: "a", ID: id, Pool: pool, Region: "centro",
		Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
	}
}

// startAgent serves an agent on a loopback address and returns it as a member.
// An agent with a generate function has the model loaded; any other one offers
// the service.
func startAgent(t *testing.T, id gooseberrypass.ID, agent *fakeAgent) gooseberrypass.Member {
	t.Helper()
	agent.callsByKey = map[string]int{}
	twirp := wire.NewAgentServer(agent)
	mux := http.NewServeMux()
	mux.Handle(twirp.PathPrefix(), twirp)
	mux.Handle("POST /attempts", agent)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	status := &gooseberrypass.AgentStatus{EndpointUp: true, Load: gooseberrypass.EngineLoad{Capacity: 8}}
	pool := gooseberrypass.Pool("writers")
	if agent.generate == nil {
		pool = "plain"
		status.Services = []gooseberrypass.ID{"licensing"}
	} else {
		status.Loaded = []gooseberrypass.LoadedVersion{{Model: "jingle", Digest: weights()}}
	}
	return gooseberrypass.Member{Listed: listed(id, pool, server.Listener.Addr().(*net.TCPAddr).String()), Status: status}
}

// startEntry serves an entry on a loopback address and returns a client and the
// entry's URL. The entry routes to the members m.
func startEntry(t *testing.T, log gooseberrypass.Log, m members) (*api.Client, string) {
	t.Helper()
	return startStoppingEntry(t, context.Background(), log, m)
}

// startStoppingEntry is startEntry for an entry that cancels its requests once stop is
// done. with changes its dependencies.
func startStoppingEntry(t *testing.T, stop context.Context, log gooseberrypass.Log, m members, with ...func(*answerer.Dependencies)) (*api.Client, string) { //nolint:contextcheck,revive // not the context of this call
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	registry := prometheus.NewRegistry()
	clock := clockwork.NewRealClock()
	var loop *looper.Loop
	transport := &http.Transport{}
	d := answerer.Dependencies{
		Client: &http.Client{Transport: transport}, Clock: clock, Config: newConfig(), Log: log, Logger: logger, Membership: m,
		Post: func(e gooseberrypass.Event) { loop.Post(e) }, Registerer: registry, Seed: 1, Self: listed("entry-1", "", ""),
	}
	for _, change := range with {
		change(&d)
	}
	entry, err := answerer.NewEntry(d)
	if err != nil {
		t.Fatal(err)
	}
	if loop, err = looper.New(clock, registry, 10*time.Millisecond, entry.Controllers()...); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = loop.Run(ctx) })
	server := httptest.NewServer(listener.CancelRequests(stop, entry.Handler()))
	t.Cleanup(func() {
		server.Close()
		cancel()
		wg.Wait()
		transport.CloseIdleConnections()
	})
	client, err := api.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return client, server.URL
}
