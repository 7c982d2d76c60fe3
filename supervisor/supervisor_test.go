package supervisor_test

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
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

func request(name string) gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte(name)) }

// A bench is a supervisor whose endpoint and requests the test sets. Effects run
// at once, but for readings that the test holds back.
type bench struct {
	*supervisor.Supervisor
	cut    []supervisor.Flight
	err    error
	events []gooseberrypass.CacheEvent
	flying []supervisor.Flight
	held   []gooseberrypass.Effect
	hold   bool
	now    time.Time
	polls  int
	state  gooseberrypass.EngineState
}

func (b *bench) Flying() []supervisor.Flight { return slices.Clone(b.flying) }

func (b *bench) TakeCut() []supervisor.Flight {
	cut := b.cut
	b.cut = nil
	return cut
}

func newBench(tb rapid.TB, boot string, cacheEvents bool) *bench {
	tb.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &bench{now: time.Unix(1_800_000_000, 0)}
	b.state.BootID = boot
	probe := func(context.Context) (gooseberrypass.EngineState, error) {
		b.polls++
		return b.state, b.err
	}
	var options []supervisor.Option
	if cacheEvents {
		options = append(options, supervisor.WithCacheEvents(
			func(_ context.Context, after uint64) ([]gooseberrypass.CacheEvent, error) {
				return slices.DeleteFunc(slices.Clone(b.events), func(e gooseberrypass.CacheEvent) bool { return e.Number <= after }), nil
			}))
	}
	var err error
	b.Supervisor, err = supervisor.New("w-1", probe, b, rand.New(rand.NewPCG(1, 2)), prometheus.NewRegistry(), log, options...)
	if err != nil {
		tb.Fatal(err)
	}
	b.tick()
	return b
}

func (b *bench) handle(event gooseberrypass.Event) {
	for _, effect := range b.Handle(b.now, event) {
		if b.hold {
			b.held = append(b.held, effect)
			continue
		}
		b.handle(effect.Run(context.Background()))
	}
}

func (b *bench) tick() {
	b.now = b.now.Add(250 * time.Millisecond)
	b.handle(gooseberrypass.Tick{})
}

func (b *bench) cutOff(names ...string) {
	for _, name := range names {
		b.cut = append(b.cut, supervisor.Flight{Request: request(name), Started: b.now})
	}
}

// suspects returns the names of the requests of each crash.
func (b *bench) suspects(names ...string) [][]string {
	got := make([][]string, 0, len(b.Snapshot().Crashes))
	for _, c := range b.Snapshot().Crashes {
		of := []string{}
		for _, name := range names {
			if slices.Contains(c.Requests, request(name)) {
				of = append(of, name)
			}
		}
		got = append(got, of)
	}
	return got
}

func TestCrashNamesTheRequestsInFlight(t *testing.T) {
	tests := []struct {
		name   string
		do     func(b *bench)
		want   [][]string
		wantUp bool
	}{
		{"cut and unreachable", func(b *bench) {
			b.err = errors.New("connection refused")
			b.cutOff("poison", "beside")
			b.tick()
		}, [][]string{{"poison", "beside"}}, false},
		{"cut later than noticed", func(b *bench) {
			b.err = errors.New("connection refused")
			b.cutOff("poison")
			b.tick()
			b.cutOff("beside")
			b.tick()
		}, [][]string{{"poison", "beside"}}, false},
		{"met the dead endpoint", func(b *bench) {
			b.err = errors.New("connection refused")
			b.cutOff("poison")
			b.cut[0].Cut = b.now.Add(10 * time.Millisecond)
			b.cutOff("beside")
			b.cut[1].Started = b.now.Add(20 * time.Millisecond)
			b.cut[1].Cut = b.now.Add(30 * time.Millisecond)
			b.tick()
		}, [][]string{{"poison"}}, false},
		{"restarted between two readings", func(b *bench) {
			b.cutOff("poison")
			b.state.BootID = "boot-2"
			b.tick()
		}, [][]string{{"poison"}}, true},
		{"unreachable, then restarted, is one crash", func(b *bench) {
			b.err = errors.New("connection refused")
			b.cutOff("poison")
			b.tick()
			b.err, b.state.BootID = nil, "boot-2"
			for range 20 {
				b.tick()
			}
		}, [][]string{{"poison"}}, true},
		{"two crashes", func(b *bench) {
			for _, boot := range []string{"boot-2", "boot-3"} {
				b.cutOff("poison")
				b.state.BootID = boot
				b.tick()
			}
		}, [][]string{{"poison"}, {"poison"}}, true},
		{"not yet noticed as cut", func(b *bench) {
			b.flying = []supervisor.Flight{
				{Request: request("poison"), Started: b.now.Add(-time.Second)},
				{Request: request("beside"), Started: b.now.Add(time.Millisecond)},
				{Request: request("new"), Started: b.now.Add(time.Second)},
			}
			b.state.BootID = "boot-2"
			b.tick()
		}, [][]string{{"poison", "beside"}}, true},
		{"cut, but the engine goes on", func(b *bench) {
			b.cutOff("slow")
			b.tick()
			b.tick()
			b.state.BootID = "boot-2" // restarted by its operator, idle
			b.tick()
		}, [][]string{}, true},
		{"unreachable for a moment, same boot", func(b *bench) {
			b.err = errors.New("connection refused")
			b.cutOff("slow")
			b.tick()
			b.err = nil
			for range 20 {
				b.tick()
			}
		}, [][]string{}, true},
		{"unreachable without a cut", func(b *bench) {
			b.err = errors.New("connection refused")
			for range 40 {
				b.tick()
			}
		}, [][]string{}, false},
		{"one reading failed", func(b *bench) {
			b.err = errors.New("connection refused")
			b.tick()
		}, [][]string{}, true},
		{"kept for ten minutes", func(b *bench) {
			b.cutOff("poison")
			b.state.BootID = "boot-2"
			b.tick()
			b.now = b.now.Add(11 * time.Minute)
			b.tick()
		}, [][]string{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t, "boot-1", false)
			tt.do(b)
			got := b.suspects("poison", "beside", "slow", "new")
			if !slices.EqualFunc(got, tt.want, slices.Equal) || b.Snapshot().Up != tt.wantUp {
				t.Errorf("got crashes %v and up %t, want %v and %t", got, b.Snapshot().Up, tt.want, tt.wantUp)
			}
		})
	}
}

// TestReadingBegunBeforeACut shows that an answer from before the crash does
// not clear the requests that were cut by it.
func TestReadingBegunBeforeACut(t *testing.T) {
	b := newBench(t, "boot-1", false)
	b.hold = true
	b.tick()
	b.now = b.now.Add(time.Millisecond)
	b.cutOff("poison")
	before := b.held[0].Run(context.Background())
	b.handle(before)
	b.hold = false
	b.state.BootID = "boot-2"
	b.tick()
	if got, want := b.suspects("poison"), [][]string{{"poison"}}; !slices.EqualFunc(got, want, slices.Equal) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestPlainServiceCrash(t *testing.T) {
	b := newBench(t, "", false)
	b.err = errors.New("connection refused")
	b.cutOff("poison")
	b.tick()
	b.err = nil
	for range 20 {
		b.tick()
	}
	if got, want := b.suspects("poison"), [][]string{{"poison"}}; !slices.EqualFunc(got, want, slices.Equal) || !b.Snapshot().Up {
		t.Errorf("got %v, up %t, want %v and up", got, b.Snapshot().Up, want)
	}
}

func TestReadingsOfADownEndpointThinOut(t *testing.T) {
	b := newBench(t, "boot-1", false)
	b.err = errors.New("connection refused")
	before := b.polls
	for range 4 * 60 {
		b.tick()
	}
	if got := b.polls - before; got < 15 || got > 35 {
		t.Errorf("got %d readings in a minute, want 15 to 35", got)
	}
	b.err = nil
	for range 17 {
		b.tick()
	}
	if !b.Snapshot().Up {
		t.Error("got down 4 s after the endpoint is back, want up")
	}
}

// TestCacheIsNeverBelievedWrongly delivers events late, repeated and with gaps.
// What is believed must be held by the engine as of the last event taken in.
func TestCacheIsNeverBelievedWrongly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, "boot-1", true)
		held := map[uint64]map[uint64]bool{0: {}} // by number of event
		var sent []gooseberrypass.CacheEvent
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			number := uint64(i + 1)
			e := gooseberrypass.CacheEvent{
				Evicted: rapid.Bool().Draw(t, "evicted"),
				Number:  number,
				Prefix:  uint64(rapid.IntRange(1, 6).Draw(t, "prefix")),
			}
			held[number] = map[uint64]bool{e.Prefix: !e.Evicted}
			for p, ok := range held[number-1] {
				if p != e.Prefix {
					held[number][p] = ok
				}
			}
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0: // lost
			case 1: // repeated
				sent = append(sent, e, e)
			default:
				sent = append(sent, e)
			}
			if rapid.Bool().Draw(t, "read") {
				b.events = sent
				for range 6 {
					b.tick()
				}
				s := b.Snapshot()
				for _, p := range s.CachedPrefixes {
					if !held[s.CacheEvent][p] {
						t.Fatalf("got prefix %d believed cached as of event %d, want %v", p, s.CacheEvent, held[s.CacheEvent])
					}
				}
			}
		}
	})
}

func TestCacheOfARestartedEngineIsForgotten(t *testing.T) {
	b := newBench(t, "boot-1", true)
	b.events = []gooseberrypass.CacheEvent{{Number: 1, Prefix: 7}, {Number: 2, Prefix: 8}}
	for range 6 {
		b.tick()
	}
	if got, want := b.Snapshot().CachedPrefixes, []uint64{7, 8}; !slices.Equal(got, want) {
		t.Errorf("got %v cached, want %v", got, want)
	}
	b.state.BootID = "boot-2"
	b.events = []gooseberrypass.CacheEvent{{Number: 1, Prefix: 9}}
	for range 10 {
		b.tick()
	}
	if got, want := b.Snapshot().CachedPrefixes, []uint64{9}; !slices.Equal(got, want) {
		t.Errorf("got %v cached after a restart, want %v", got, want)
	}
}
