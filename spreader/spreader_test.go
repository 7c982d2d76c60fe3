package spreader_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/replayer"
	"github.com/gooseberrypass/gooseberrypass/spreader"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	bound  = 6 * time.Second
	coarse = 2 * time.Second // between ticks of runs that take hours
	folder = "[system]\nqueue-limit = %d\n"
)

// A fault is what goes wrong in a run of the model.
type fault struct {
	alone bool // no peer reaches another
	blind bool // only the first region reaches the log
	dead  int  // one in so many nodes is dead, and listed as live
	large bool // the change is one of 8 KiB
}

func (f fault) strike(m *model) {
	for _, x := range m.order {
		x.alone = f.alone
		x.blind = f.blind && x.listed.Region != "r0"
		x.dead = x.dead || f.dead > 0 && m.rng.IntN(f.dead) == 0
	}
}

func TestInForceEverywhereWithinSeconds(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]fault{
		"all well":               {},
		"a fifth dead":           {dead: 5},
		"log seen by one region": {blind: true},
		"both":                   {blind: true, dead: 5},
		"large change":           {blind: true, dead: 5, large: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				m := newModel(seed, 200, 0)
				first := m.change(0, fmt.Sprintf(folder, 1))
				m.until(first, 20*time.Second)
				if !m.inForce(first) {
					t.Fatalf("seed %d: the first configuration is not in force", seed)
				}
				f.strike(m)
				text := fmt.Sprintf(folder, 2)
				if f.large {
					text += strings.Repeat("# a comment of some length, as operators write\n", 8<<10/47)
				}
				m.bytes = 0
				got := m.until(m.change(first, text), time.Minute)
				if got > bound {
					t.Errorf("seed %d: got %s until in force, want at most %s", seed, got, bound)
				}
				if most := 3 * 200 * len(text) / 2; f.large && m.bytes > most {
					t.Errorf("seed %d: got %d bytes, want at most %d, which is one copy and a half for each", seed, m.bytes, most)
				}
			}
		})
	}
	// The naive version polls the log and exchanges nothing.
	m := newModel(1, 200, 0)
	fault{alone: true, blind: true}.strike(m)
	if got := m.until(m.change(0, fmt.Sprintf(folder, 1)), time.Minute); got <= bound {
		t.Errorf("polling: got %s until in force, want more than %s", got, bound)
	}
}

func TestRestartOfEverythingAtOnce(t *testing.T) {
	t.Parallel()
	m := newModel(1, 60, 0)
	first := m.change(0, fmt.Sprintf(folder, 1))
	second := m.change(first, fmt.Sprintf(folder, 2))
	m.run(10*time.Second, nil)
	for i := range m.order {
		m.start(i)
	}
	if got := m.until(second, time.Minute); got > bound {
		t.Errorf("got %s until in force, want at most %s", got, bound)
	}
	m.down = true
	m.start(7)
	if got := m.until(second, time.Minute); got > bound {
		t.Errorf("log down: got %s until a new process has it, want at most %s", got, bound)
	}
}

// Configurations are built beside the control goroutine and may end in any
// order; the newest stays in force.
func TestBuildsThatEndOutOfOrder(t *testing.T) {
	t.Parallel()
	m := newModel(1, 1, 0)
	x := m.order[0]
	var builds []gooseberrypass.Effect
	x.held = func(effect gooseberrypass.Effect) bool {
		if effect.EffectName() != "config-build" {
			return false
		}
		builds = append(builds, effect)
		return true
	}
	for i := range 2 {
		m.change(gooseberrypass.Offset(i), fmt.Sprintf(folder, i+1))
		m.run(time.Second, nil)
	}
	for i := len(builds) - 1; i >= 0; i-- {
		x.Handle(m.now, builds[i].Run(t.Context()))
	}
	if got := x.Config().Offset(); len(builds) != 2 || got != 2 {
		t.Errorf("got %d in force after %d builds, want 2 after 2", got, len(builds))
	}
}

func TestLogDownForAnHour(t *testing.T) {
	t.Parallel()
	m := newModel(1, 15, 0)
	first := m.change(0, fmt.Sprintf(folder, 1))
	m.run(10*time.Second, nil)
	m.down, m.period = true, coarse
	m.run(time.Hour, nil)
	if !m.inForce(first) {
		t.Error("the configuration is no longer in force")
	}
	m.down, m.period = false, period
	if got := m.until(m.change(first, fmt.Sprintf(folder, 2)), time.Minute); got > bound {
		t.Errorf("got %s until in force, want at most %s", got, bound)
	}
}

// catchUp reads the log as a process does that starts with nothing.
func catchUp(t *testing.T, m *model) (replayer.Progress, error) {
	t.Helper()
	return replayer.New(testKey(), &node{model: m}).CatchUp(t.Context(), replayer.State{}, 0)
}

// Entries keep the configuration in a log that forgets; without entries, it is
// lost.
func TestSnapshotsOutliveRetention(t *testing.T) {
	t.Parallel()
	const retention = 10 * time.Minute
	m := newModel(1, 9, retention)
	m.period = coarse
	first := m.change(0, fmt.Sprintf(folder, 1))
	m.run(4*time.Minute, nil)
	second := m.change(first, "[system]\n")
	most := 0
	for minute := range 60 {
		m.run(time.Minute, nil)
		if progress, err := catchUp(t, m); err != nil || progress.State.LastAccepted() != second {
			t.Fatalf("minute %d: got %d, %v, want %d", minute, progress.State.LastAccepted(), err, second)
		}
		most = max(most, len(m.records)+1-int(m.first))
	}
	if most > 6 {
		t.Errorf("got %d records in the log, want at most 6", most)
	}
	naive := newModel(1, 9, retention)
	naive.period = coarse
	naive.change(0, fmt.Sprintf(folder, 1))
	for _, x := range naive.order[:6] {
		x.dead = true
	}
	naive.run(30*time.Minute, nil)
	if _, err := catchUp(t, naive); !errors.Is(err, replayer.ErrGap) {
		t.Errorf("without snapshots: got %v, want %v", err, replayer.ErrGap)
	}
}

// The log is down for longer than it keeps records: an entry appends what it
// holds, and the highest offset held anywhere is what stays in force.
func TestOutageLongerThanRetention(t *testing.T) {
	t.Parallel()
	m := newModel(1, 15, 10*time.Minute)
	first := m.change(0, fmt.Sprintf(folder, 1))
	m.run(10*time.Second, nil)
	for _, x := range m.order[:2] {
		x.alone, x.blind = true, true // these entries miss the second change
	}
	second := m.change(first, fmt.Sprintf(folder, 2))
	m.run(10*time.Second, nil)
	m.down, m.period = true, coarse
	m.run(time.Hour, nil)
	for i := 2; i < 6; i++ {
		m.start(i) // these have it from peers alone
		m.run(10*time.Second, nil)
	}
	// Strangers' records push the log past what was folded, and are trimmed.
	for range 5 {
		m.append([]byte("stranger"))
	}
	m.run(time.Hour, nil)
	for _, x := range m.order[:2] {
		x.alone, x.blind = false, false
	}
	m.down, m.period = false, period
	m.run(time.Minute, nil)
	for _, r := range m.records[7:] {
		decoded, err := replayer.Decode(testKey(), r.Body)
		if err != nil || decoded.Snapshot.FoldedThrough < 7 || decoded.Snapshot.LastAccepted != second || r.Offset > 12 {
			t.Errorf("offset %d: got %+v, %v, want a snapshot to start from, and few of them", r.Offset, decoded.Snapshot, err)
		}
	}
	if progress, err := catchUp(t, m); err != nil || progress.State.LastAccepted() != second || !m.inForce(second) {
		t.Errorf("got %d, %v, want %d", progress.State.LastAccepted(), err, second)
	}
	if got := m.until(m.change(second, fmt.Sprintf(folder, 3)), time.Minute); got > bound {
		t.Errorf("got %s until in force, want at most %s", got, bound)
	}
}

// Whatever a peer offers that is older, forged or not to be reached by its
// records, the offset held never sinks.
func TestPeerCannotTurnBack(t *testing.T) {
	t.Parallel()
	m := newModel(1, 1, 0)
	x := m.order[0]
	old, err := replayer.EncodeSnapshot(testKey(), replayer.Snapshot{Files: map[string]string{"a.ini": "old"}, LastAccepted: 1, FoldedThrough: 9})
	if err != nil {
		t.Fatal(err)
	}
	first := m.change(0, fmt.Sprintf(folder, 1))
	m.change(first, fmt.Sprintf(folder, 2))
	m.run(time.Second, nil)
	record := func(i int) *wire.LogRecord {
		return &wire.LogRecord{Offset: uint64(i), Body: m.records[i-1].Body}
	}
	for name, request := range map[string]*wire.ExchangeRequest{
		"old snapshot":     {Offset: 1, Snapshot: old},
		"forged snapshot":  {Offset: 9, Snapshot: []byte(`{"payload":{"snapshot":{"last_accepted":9}}}`)},
		"change, not snap": {Offset: 9, Snapshot: m.records[0].Body},
		"old records":      {Offset: 2, Records: []*wire.LogRecord{record(1), record(2)}},
		"forged record":    {Offset: 9, Records: []*wire.LogRecord{{Offset: 9, Body: []byte(`{"payload":{"base":2}}`)}}},
		"record in a gap":  {Offset: 9, Records: []*wire.LogRecord{{Offset: 9, Body: m.records[0].Body}}},
		"other files":      {Offset: 2, StateDigest: []byte("other")},
	} {
		response, err := x.Exchange(t.Context(), request)
		m.run(time.Second, nil)
		if err != nil || response.GetOffset() != 2 || x.Config().Offset() != 2 || x.Config().System().QueueLimit() != 2 {
			t.Errorf("%s: got %v, %v, in force %d", name, response, err, x.Config().Offset())
		}
	}
	response, err := x.Exchange(t.Context(), &wire.ExchangeRequest{Offset: 1})
	if err != nil || len(response.GetRecords()) != 1 || response.GetRecords()[0].GetOffset() != 2 {
		t.Errorf("got %v, %v, want the record that follows 1", response, err)
	}
}

// benchmarkSpread spreads a change of so many bytes to n nodes, a fifth of them
// dead and the log in sight of one region.
func benchmarkSpread(b *testing.B, n, size int) {
	b.Helper()
	padding := strings.Repeat("# a comment of some length, as operators write\n", size/47)
	var slowest, change time.Duration
	var idleBytes, idleMessages, changeBytes, crossed, readers float64
	for seed := range uint64(b.N) {
		m := newModel(seed, n, 0)
		first := m.change(0, fmt.Sprintf(folder, 1))
		m.run(20*time.Second, nil)
		fault{blind: true, dead: 5}.strike(m)
		m.run(10*time.Second, nil)
		m.bytes, m.messages = 0, 0
		m.readers()
		const idle = 30 * time.Second
		m.run(idle, nil)
		perNodeSecond := float64(n) * 0.8 * idle.Seconds()
		idleBytes += float64(m.bytes) / perNodeSecond
		idleMessages += float64(m.messages) / perNodeSecond
		readers += float64(m.readers())
		m.bytes, m.crossed = 0, 0
		change = m.until(m.change(first, fmt.Sprintf(folder, 2)+padding), time.Minute)
		changeBytes += float64(m.bytes) / (float64(n) * 0.8)
		crossed += float64(m.crossed)
		slowest = max(slowest, change)
	}
	b.ReportMetric(slowest.Seconds(), "s-worst")
	b.ReportMetric(idleBytes/float64(b.N), "B/node/s")
	b.ReportMetric(idleMessages/float64(b.N), "msg/node/s")
	b.ReportMetric(changeBytes/float64(b.N), "B/node/change")
	// The naive version has all live nodes read the log.
	b.ReportMetric(readers/float64(b.N), "log-readers")
	b.ReportMetric(float64(n)*0.8/(readers/float64(b.N)), "x-naive")
	if size > 0 {
		// The ideal is one copy of the change for each node, and one for each of
		// the two regions that do not see the log.
		b.ReportMetric(changeBytes/float64(b.N)/float64(size), "x-ideal")
		b.ReportMetric(crossed/float64(b.N)/float64(2*size), "link-copies")
	}
}

func BenchmarkSpread200(b *testing.B)      { benchmarkSpread(b, 200, 0) }
func BenchmarkSpread890(b *testing.B)      { benchmarkSpread(b, 890, 0) }
func BenchmarkSpread3560(b *testing.B)     { benchmarkSpread(b, 3560, 0) }
func BenchmarkSpreadLarge200(b *testing.B) { benchmarkSpread(b, 200, 64<<10) }
func BenchmarkSpreadLarge890(b *testing.B) { benchmarkSpread(b, 890, 64<<10) }

var _ gooseberrypass.ConfigSource = (*spreader.Spreader)(nil)
