package monitor_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/monitor"
)

func request(name string) gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte(name)) }

// A harness runs a monitor against an endpoint and requests set by the test.
// Effects run at once, unless deferEffects is set.
type harness struct {
	*monitor.Monitor
	deferEffects bool
	deferred     []gooseberrypass.Effect
	disconnected []monitor.RunningRequest
	err          error
	events       []gooseberrypass.CacheEvent
	now          time.Time
	polls        int
	running      []monitor.RunningRequest
	state        gooseberrypass.EngineState
}

func (h *harness) Running() []monitor.RunningRequest { return slices.Clone(h.running) }

func (h *harness) TakeDisconnected() []monitor.RunningRequest {
	lost := h.disconnected
	h.disconnected = nil
	return lost
}

func newHarness(tb rapid.TB, boot string, cacheEvents bool) *harness {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &harness{now: time.Unix(1_800_000_000, 0)}
	h.state.BootID = boot
	probe := func(context.Context) (gooseberrypass.EngineState, error) {
		h.polls++
		return h.state, h.err
	}
	var options []monitor.Option
	if cacheEvents {
		options = append(options, monitor.WithCacheEvents(
			func(_ context.Context, after uint64) ([]gooseberrypass.CacheEvent, error) {
				return slices.DeleteFunc(slices.Clone(h.events), func(e gooseberrypass.CacheEvent) bool { return e.Number <= after }), nil
			}))
	}
	var err error
	h.Monitor, err = monitor.New("w-1", probe, h, rand.New(rand.NewPCG(1, 2)), prometheus.NewRegistry(), log, options...)
	if err != nil {
		tb.Fatal(err)
	}
	h.tick()
	return h
}

func (h *harness) handle(event gooseberrypass.Event) {
	for _, effect := range h.Handle(h.now, event) {
		if h.deferEffects {
			h.deferred = append(h.deferred, effect)
			continue
		}
		h.handle(effect.Run(context.Background()))
	}
}

func (h *harness) tick() {
	h.now = h.now.Add(250 * time.Millisecond)
	h.handle(gooseberrypass.Tick{})
}

func (h *harness) disconnect(names ...string) {
	for _, name := range names {
		h.disconnected = append(h.disconnected, monitor.RunningRequest{Request: request(name), StartedAt: h.now})
	}
}

// suspects returns, for each crash, which of the named requests it lists.
func (h *harness) suspects(names ...string) [][]string {
	got := make([][]string, 0, len(h.Snapshot().Crashes))
	for _, c := range h.Snapshot().Crashes {
		listed := []string{}
		for _, name := range names {
			if slices.Contains(c.Requests, request(name)) {
				listed = append(listed, name)
			}
		}
		got = append(got, listed)
	}
	return got
}

func TestCrashListsRequestsInFlight(t *testing.T) {
	tests := []struct {
		name   string
		do     func(h *harness)
		want   [][]string
		wantUp bool
	}{
		{"disconnected and unreachable", func(h *harness) {
			h.err = errors.New("connection refused")
			h.disconnect("poison", "beside")
			h.tick()
		}, [][]string{{"poison", "beside"}}, false},
		{"disconnected after the crash was recorded", func(h *harness) {
			h.err = errors.New("connection refused")
			h.disconnect("poison")
			h.tick()
			h.disconnect("beside")
			h.tick()
		}, [][]string{{"poison", "beside"}}, false},
		{"started after the crash", func(h *harness) {
			h.err = errors.New("connection refused")
			h.disconnect("poison")
			h.disconnected[0].DisconnectedAt = h.now.Add(10 * time.Millisecond)
			h.disconnect("beside")
			h.disconnected[1].StartedAt = h.now.Add(20 * time.Millisecond)
			h.disconnected[1].DisconnectedAt = h.now.Add(30 * time.Millisecond)
			h.tick()
		}, [][]string{{"poison"}}, false},
		{"restarted between two polls", func(h *harness) {
			h.disconnect("poison")
			h.state.BootID = "boot-2"
			h.tick()
		}, [][]string{{"poison"}}, true},
		{"unreachable, then restarted, is one crash", func(h *harness) {
			h.err = errors.New("connection refused")
			h.disconnect("poison")
			h.tick()
			h.err, h.state.BootID = nil, "boot-2"
			for range 20 {
				h.tick()
			}
		}, [][]string{{"poison"}}, true},
		{"two crashes", func(h *harness) {
			for _, boot := range []string{"boot-2", "boot-3"} {
				h.disconnect("poison")
				h.state.BootID = boot
				h.tick()
			}
		}, [][]string{{"poison"}, {"poison"}}, true},
		{"disconnect not yet reported", func(h *harness) {
			h.running = []monitor.RunningRequest{
				{Request: request("poison"), StartedAt: h.now.Add(-time.Second)},
				{Request: request("beside"), StartedAt: h.now.Add(time.Millisecond)},
				{Request: request("new"), StartedAt: h.now.Add(time.Second)},
			}
			h.state.BootID = "boot-2"
			h.tick()
		}, [][]string{{"poison", "beside"}}, true},
		{"disconnected without a crash", func(h *harness) {
			h.disconnect("slow")
			h.tick()
			h.tick()
			h.state.BootID = "boot-2" // restarted by its operator while idle
			h.tick()
		}, [][]string{}, true},
		{"unreachable for a short time, same boot", func(h *harness) {
			h.err = errors.New("connection refused")
			h.disconnect("slow")
			h.tick()
			h.err = nil
			for range 20 {
				h.tick()
			}
		}, [][]string{}, true},
		{"unreachable without a disconnect", func(h *harness) {
			h.err = errors.New("connection refused")
			for range 40 {
				h.tick()
			}
		}, [][]string{}, false},
		{"one failed poll", func(h *harness) {
			h.err = errors.New("connection refused")
			h.tick()
		}, [][]string{}, true},
		{"kept for ten minutes", func(h *harness) {
			h.disconnect("poison")
			h.state.BootID = "boot-2"
			h.tick()
			h.now = h.now.Add(11 * time.Minute)
			h.tick()
		}, [][]string{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, "boot-1", false)
			tt.do(h)
			got := h.suspects("poison", "beside", "slow", "new")
			if !slices.EqualFunc(got, tt.want, slices.Equal) || h.Snapshot().Up != tt.wantUp {
				t.Errorf("got crashes %v and up %t, want %v and %t", got, h.Snapshot().Up, tt.want, tt.wantUp)
			}
		})
	}
}

// A poll that was answered before a crash may be handled after it. It must not clear the
// requests that the crash disconnected.
func TestPollStartedBeforeDisconnect(t *testing.T) {
	h := newHarness(t, "boot-1", false)
	h.deferEffects = true
	h.tick()
	h.now = h.now.Add(time.Millisecond)
	h.disconnect("poison")
	polled := h.deferred[0].Run(context.Background())
	h.handle(polled)
	h.deferEffects = false
	h.state.BootID = "boot-2"
	h.tick()
	if got, want := h.suspects("poison"), [][]string{{"poison"}}; !slices.EqualFunc(got, want, slices.Equal) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPlainServiceCrash(t *testing.T) {
	h := newHarness(t, "", false)
	h.err = errors.New("connection refused")
	h.disconnect("poison")
	h.tick()
	h.err = nil
	for range 20 {
		h.tick()
	}
	if got, want := h.suspects("poison"), [][]string{{"poison"}}; !slices.EqualFunc(got, want, slices.Equal) || !h.Snapshot().Up {
		t.Errorf("got %v, up %t, want %v and up", got, h.Snapshot().Up, want)
	}
}

func TestPollsOfDownEndpointBackOff(t *testing.T) {
	h := newHarness(t, "boot-1", false)
	h.err = errors.New("connection refused")
	before := h.polls
	for range 4 * 60 {
		h.tick()
	}
	if got := h.polls - before; got < 15 || got > 35 {
		t.Errorf("got %d polls in a minute, want 15 to 35", got)
	}
	h.err = nil
	for range 17 {
		h.tick()
	}
	if !h.Snapshot().Up {
		t.Error("got down 4 s after the endpoint recovered, want up")
	}
}

// TestPrefixCacheMatchesEngine delivers cache events late, repeatedly and with
// gaps. Every prefix in the snapshot must be in the engine's cache as of the last
// event applied.
func TestPrefixCacheMatchesEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, "boot-1", true)
		cached := map[uint64]map[uint64]bool{0: {}} // prefixes in the engine's cache by event number
		var sent []gooseberrypass.CacheEvent
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			number := uint64(i + 1)
			e := gooseberrypass.CacheEvent{
				Evicted: rapid.Bool().Draw(t, "evicted"),
				Number:  number,
				Prefix:  uint64(rapid.IntRange(1, 6).Draw(t, "prefix")),
			}
			cached[number] = map[uint64]bool{e.Prefix: !e.Evicted}
			for p, ok := range cached[number-1] {
				if p != e.Prefix {
					cached[number][p] = ok
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "delivery") {
			case 0: // lost
			case 1: // repeated
				sent = append(sent, e, e)
			default:
				sent = append(sent, e)
			}
			if rapid.Bool().Draw(t, "read") {
				h.events = sent
				for range 6 {
					h.tick()
				}
				s := h.Snapshot()
				for _, p := range s.CachedPrefixes {
					if !cached[s.CacheEvent][p] {
						t.Fatalf("got prefix %d in the snapshot as of event %d, want one of %v", p, s.CacheEvent, cached[s.CacheEvent])
					}
				}
			}
		}
	})
}

func TestEngineRestartClearsPrefixCache(t *testing.T) {
	h := newHarness(t, "boot-1", true)
	h.events = []gooseberrypass.CacheEvent{{Number: 1, Prefix: 7}, {Number: 2, Prefix: 8}}
	for range 6 {
		h.tick()
	}
	if got, want := h.Snapshot().CachedPrefixes, []uint64{7, 8}; !slices.Equal(got, want) {
		t.Errorf("got %v cached, want %v", got, want)
	}
	h.state.BootID = "boot-2"
	h.events = []gooseberrypass.CacheEvent{{Number: 1, Prefix: 9}}
	for range 10 {
		h.tick()
	}
	if got, want := h.Snapshot().CachedPrefixes, []uint64{9}; !slices.Equal(got, want) {
		t.Errorf("got %v cached after a restart, want %v", got, want)
	}
}
