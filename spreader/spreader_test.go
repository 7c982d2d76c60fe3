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
	coarsePeriod = 2 * time.Second // between ticks, for runs of hours of virtual time
	folderText   = "[system]\nqueue-limit = %d\n"
	inForceBound = 6 * time.Second // from the append of a change until it is in force everywhere
)

// A fault is a set of faults to inject into a simulation.
type fault struct {
	cutFromLog   bool // only region r0 reaches the log
	cutFromPeers bool // no process reaches another
	dead         int  // one in so many processes is dead but still listed as live, 0 for none
	large        bool // the change has 8 KiB
}

func (f fault) inject(sim *simulation) {
	for _, x := range sim.nodes {
		x.cutFromPeers = f.cutFromPeers
		x.cutFromLog = f.cutFromLog && x.listed.Region != "r0"
		x.dead = x.dead || f.dead > 0 && sim.rng.IntN(f.dead) == 0
	}
}

// A change must be in force in all live processes within inForceBound, with dead
// processes in the list and with the log reachable from one region only. A large
// change must not be sent more than 1.5 times for each process.
func TestInForceEverywhereWithinSeconds(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]fault{
		"no fault":               {},
		"a fifth dead":           {dead: 5},
		"log in one region only": {cutFromLog: true},
		"both":                   {cutFromLog: true, dead: 5},
		"large change":           {cutFromLog: true, dead: 5, large: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				sim := newSimulation(seed, 200, 0)
				first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
				sim.timeUntilInForce(first, 20*time.Second)
				if !sim.inForce(first) {
					t.Fatalf("seed %d: the first configuration is not in force", seed)
				}
				f.inject(sim)
				text := fmt.Sprintf(folderText, 2)
				if f.large {
					text += strings.Repeat("# a comment of some length, as operators write\n", 8<<10/47)
				}
				sim.bytes = 0
				got := sim.timeUntilInForce(sim.appendChange(first, text), time.Minute)
				if got > inForceBound {
					t.Errorf("seed %d: got %s until in force, want at most %s", seed, got, inForceBound)
				}
				if most := 3 * 200 * len(text) / 2; f.large && sim.bytes > most {
					t.Errorf("seed %d: got %d bytes, want at most %d, which is one copy and a half for each", seed, sim.bytes, most)
				}
			}
		})
	}
	// The test can tell the difference: without exchanges between peers, processes
	// that do not read the log do not get the change within a minute.
	sim := newSimulation(1, 200, 0)
	fault{cutFromPeers: true, cutFromLog: true}.inject(sim)
	if got := sim.timeUntilInForce(sim.appendChange(0, fmt.Sprintf(folderText, 1)), time.Minute); got <= inForceBound {
		t.Errorf("without exchanges: got %s until in force, want more than %s", got, inForceBound)
	}
}

// After a restart of all processes without any state, the last change must be in
// force again, and a process started while the log is down must get it from peers.
func TestRestartOfEverythingAtOnce(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 60, 0)
	first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
	second := sim.appendChange(first, fmt.Sprintf(folderText, 2))
	sim.run(10*time.Second, nil)
	for i := range sim.nodes {
		sim.startNode(i)
	}
	if got := sim.timeUntilInForce(second, time.Minute); got > inForceBound {
		t.Errorf("got %s until in force, want at most %s", got, inForceBound)
	}
	sim.logDown = true
	sim.startNode(7)
	if got := sim.timeUntilInForce(second, time.Minute); got > inForceBound {
		t.Errorf("log down: got %s until a new process has it, want at most %s", got, inForceBound)
	}
}

// Configurations are built off the control goroutine, so an older build may end
// after a newer one. It must not replace the newer configuration.
func TestBuildsThatEndOutOfOrder(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 1, 0)
	x := sim.nodes[0]
	var builds []gooseberrypass.Effect
	x.intercept = func(effect gooseberrypass.Effect) bool {
		if effect.EffectName() != "config-build" {
			return false
		}
		builds = append(builds, effect)
		return true
	}
	for i := range 2 {
		sim.appendChange(gooseberrypass.Offset(i), fmt.Sprintf(folderText, i+1))
		sim.run(time.Second, nil)
	}
	for i := len(builds) - 1; i >= 0; i-- {
		x.Handle(sim.now, builds[i].Run(t.Context()))
	}
	if got := x.Config().Offset(); len(builds) != 2 || got != 2 {
		t.Errorf("got %d in force after %d builds, want 2 after 2", got, len(builds))
	}
}

// An outage of the log must not take the configuration out of force, nor delay the
// first change after it.
func TestLogDownForAnHour(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 15, 0)
	first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
	sim.run(10*time.Second, nil)
	sim.logDown, sim.period = true, coarsePeriod
	sim.run(time.Hour, nil)
	if !sim.inForce(first) {
		t.Error("the configuration is no longer in force")
	}
	sim.logDown, sim.period = false, tickPeriod
	if got := sim.timeUntilInForce(sim.appendChange(first, fmt.Sprintf(folderText, 2)), time.Minute); got > inForceBound {
		t.Errorf("got %s until in force, want at most %s", got, inForceBound)
	}
}

// catchUp reads the log as a process without any state does.
func catchUp(t *testing.T, sim *simulation) (replayer.Progress, error) {
	t.Helper()
	return replayer.New(testKey(), &node{sim: sim}).CatchUp(t.Context(), replayer.State{}, 0)
}

// The log drops the records of the configuration after its retention. Snapshots
// appended by entries must keep it readable, with few records in the log. Without
// entries it is lost.
func TestSnapshotsOutliveRetention(t *testing.T) {
	t.Parallel()
	const retention = 10 * time.Minute
	sim := newSimulation(1, 9, retention)
	sim.period = coarsePeriod
	first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
	sim.run(4*time.Minute, nil)
	second := sim.appendChange(first, "[system]\n")
	most := 0
	for minute := range 60 {
		sim.run(time.Minute, nil)
		if progress, err := catchUp(t, sim); err != nil || progress.State.LastAccepted() != second {
			t.Fatalf("minute %d: got %d, %v, want %d", minute, progress.State.LastAccepted(), err, second)
		}
		most = max(most, len(sim.records)+1-int(sim.first))
	}
	if most > 6 {
		t.Errorf("got %d records in the log, want at most 6", most)
	}
	withoutEntries := newSimulation(1, 9, retention)
	withoutEntries.period = coarsePeriod
	withoutEntries.appendChange(0, fmt.Sprintf(folderText, 1))
	for _, x := range withoutEntries.nodes[:6] {
		x.dead = true
	}
	withoutEntries.run(30*time.Minute, nil)
	if _, err := catchUp(t, withoutEntries); !errors.Is(err, replayer.ErrGap) {
		t.Errorf("without snapshots: got %v, want %v", err, replayer.ErrGap)
	}
}

// The log is down for longer than its retention and loses all records. Entries
// must restore it by snapshots, and the highest offset that any process holds must
// stay in force, also if some entries hold a lower one.
func TestOutageLongerThanRetention(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 15, 10*time.Minute)
	first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
	sim.run(10*time.Second, nil)
	for _, x := range sim.nodes[:2] {
		x.cutFromPeers, x.cutFromLog = true, true // these entries miss the second change
	}
	second := sim.appendChange(first, fmt.Sprintf(folderText, 2))
	sim.run(10*time.Second, nil)
	sim.logDown, sim.period = true, coarsePeriod
	sim.run(time.Hour, nil)
	for i := 2; i < 6; i++ {
		sim.startNode(i) // these entries have the change from peers only
		sim.run(10*time.Second, nil)
	}
	// Unauthenticated records are appended and trimmed, which leaves a gap after the
	// last offset that the processes have folded.
	for range 5 {
		sim.append([]byte("stranger"))
	}
	sim.run(time.Hour, nil)
	for _, x := range sim.nodes[:2] {
		x.cutFromPeers, x.cutFromLog = false, false
	}
	sim.logDown, sim.period = false, tickPeriod
	sim.run(time.Minute, nil)
	for _, r := range sim.records[7:] {
		decoded, err := replayer.Decode(testKey(), r.Body)
		if err != nil || decoded.Snapshot.FoldedThrough < 7 || decoded.Snapshot.LastAccepted != second || r.Offset > 12 {
			t.Errorf("offset %d: got %+v, %v, want a snapshot to start from, and few of them", r.Offset, decoded.Snapshot, err)
		}
	}
	if progress, err := catchUp(t, sim); err != nil || progress.State.LastAccepted() != second || !sim.inForce(second) {
		t.Errorf("got %d, %v, want %d", progress.State.LastAccepted(), err, second)
	}
	if got := sim.timeUntilInForce(sim.appendChange(second, fmt.Sprintf(folderText, 3)), time.Minute); got > inForceBound {
		t.Errorf("got %s until in force, want at most %s", got, inForceBound)
	}
}

// A peer may send records or snapshots that are older, forged or do not follow on
// the local state. None of them may lower or change the configuration in force.
func TestPeerCannotTurnBack(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 1, 0)
	x := sim.nodes[0]
	old, err := replayer.EncodeSnapshot(testKey(), replayer.Snapshot{Files: map[string]string{"a.ini": "old"}, LastAccepted: 1, FoldedThrough: 9})
	if err != nil {
		t.Fatal(err)
	}
	first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
	sim.appendChange(first, fmt.Sprintf(folderText, 2))
	sim.run(time.Second, nil)
	record := func(i int) *wire.LogRecord {
		return &wire.LogRecord{Offset: uint64(i), Body: sim.records[i-1].Body}
	}
	for name, request := range map[string]*wire.ExchangeRequest{
		"old snapshot":     {Offset: 1, Snapshot: old},
		"forged snapshot":  {Offset: 9, Snapshot: []byte(`{"payload":{"snapshot":{"last_accepted":9}}}`)},
		"change, not snap": {Offset: 9, Snapshot: sim.records[0].Body},
		"old records":      {Offset: 2, Records: []*wire.LogRecord{record(1), record(2)}},
		"forged record":    {Offset: 9, Records: []*wire.LogRecord{{Offset: 9, Body: []byte(`{"payload":{"base":2}}`)}}},
		"record in a gap":  {Offset: 9, Records: []*wire.LogRecord{{Offset: 9, Body: sim.records[0].Body}}},
		"other files":      {Offset: 2, StateDigest: []byte("other")},
	} {
		response, err := x.Exchange(t.Context(), request)
		sim.run(time.Second, nil)
		if err != nil || response.GetOffset() != 2 || x.Config().Offset() != 2 || x.Config().System().QueueLimit() != 2 {
			t.Errorf("%s: got %v, %v, in force %d", name, response, err, x.Config().Offset())
		}
	}
	response, err := x.Exchange(t.Context(), &wire.ExchangeRequest{Offset: 1})
	if err != nil || len(response.GetRecords()) != 1 || response.GetRecords()[0].GetOffset() != 2 {
		t.Errorf("got %v, %v, want the record that follows 1", response, err)
	}
}

// benchmarkSpread measures a change of size bytes that spreads to n nodes, a fifth
// of them dead and only one region with access to the log.
func benchmarkSpread(b *testing.B, n, size int) {
	b.Helper()
	padding := strings.Repeat("# a comment of some length, as operators write\n", size/47)
	var slowest, change time.Duration
	var idleBytes, idleMessages, changeBytes, crossRegionBytes, readerCount float64
	for seed := range uint64(b.N) {
		sim := newSimulation(seed, n, 0)
		first := sim.appendChange(0, fmt.Sprintf(folderText, 1))
		sim.run(20*time.Second, nil)
		fault{cutFromLog: true, dead: 5}.inject(sim)
		sim.run(10*time.Second, nil)
		sim.bytes, sim.messages = 0, 0
		sim.countReaders()
		const idle = 30 * time.Second
		sim.run(idle, nil)
		perNodeSecond := float64(n) * 0.8 * idle.Seconds()
		idleBytes += float64(sim.bytes) / perNodeSecond
		idleMessages += float64(sim.messages) / perNodeSecond
		readerCount += float64(sim.countReaders())
		sim.bytes, sim.crossRegionBytes = 0, 0
		change = sim.timeUntilInForce(sim.appendChange(first, fmt.Sprintf(folderText, 2)+padding), time.Minute)
		changeBytes += float64(sim.bytes) / (float64(n) * 0.8)
		crossRegionBytes += float64(sim.crossRegionBytes)
		slowest = max(slowest, change)
	}
	b.ReportMetric(slowest.Seconds(), "s-worst")
	b.ReportMetric(idleBytes/float64(b.N), "B/node/s")
	b.ReportMetric(idleMessages/float64(b.N), "msg/node/s")
	b.ReportMetric(changeBytes/float64(b.N), "B/node/change")
	// Compared with all live nodes reading the log.
	b.ReportMetric(readerCount/float64(b.N), "log-readers")
	b.ReportMetric(float64(n)*0.8/(readerCount/float64(b.N)), "x-naive")
	if size > 0 {
		// Compared with one copy of the change for each live node, and one for each
		// of the two regions without access to the log.
		b.ReportMetric(changeBytes/float64(b.N)/float64(size), "x-ideal")
		b.ReportMetric(crossRegionBytes/float64(b.N)/float64(2*size), "link-copies")
	}
}

func BenchmarkSpread200(b *testing.B)      { benchmarkSpread(b, 200, 0) }
func BenchmarkSpread890(b *testing.B)      { benchmarkSpread(b, 890, 0) }
func BenchmarkSpread3560(b *testing.B)     { benchmarkSpread(b, 3560, 0) }
func BenchmarkSpreadLarge200(b *testing.B) { benchmarkSpread(b, 200, 64<<10) }
func BenchmarkSpreadLarge890(b *testing.B) { benchmarkSpread(b, 890, 64<<10) }

var _ gooseberrypass.ConfigSource = (*spreader.Spreader)(nil)
