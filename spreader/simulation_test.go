package spreader_test

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/replayer"
	"github.com/gooseberrypass/gooseberrypass/spreader"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	networkDelay = 3 * time.Millisecond   // one way, between any two processes
	callTimeout  = time.Second            // until a call to an unreachable process or log fails
	tickPeriod   = 200 * time.Millisecond // between ticks of a process
)

func testKey() authenticator.Key { return authenticator.NewKey("secret") }

// A timer is a function to run at a time of the simulation. seq orders timers of
// the same time by when they were scheduled.
type timer struct {
	at  time.Time
	run func()
	seq int
}

// A timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// A node is a simulated process. It is also the log as that process reaches it.
type node struct {
	*spreader.Spreader
	cutFromLog   bool
	cutFromPeers bool
	dead         bool
	intercept    func(gooseberrypass.Effect) bool // if set, effects for which it returns true are not run
	listed       gooseberrypass.ListedInstance
	reads        int // reads of the log since the last call of countReaders
	sim          *simulation
}

// A simulation runs spreaders on a virtual clock. All see the same member list,
// which still shows dead processes as live.
type simulation struct {
	byAddress        map[string]*node
	bytes            int           // size of all messages
	crossRegionBytes int           // size of the messages between regions
	delay            time.Duration // virtual time that the running effect takes
	first            gooseberrypass.Offset
	logDown          bool
	members          []gooseberrypass.Member
	messages         int
	nodes            []*node // by index of the member
	now              time.Time
	period           time.Duration           // between ticks, and the duration of a long poll of the log
	records          []gooseberrypass.Record // all that were ever appended
	retention        time.Duration           // of the log, 0 for no limit
	rng              *rand.Rand
	scheduled        int // timers scheduled so far
	timers           timerQueue
}

// newSimulation returns a simulation of n processes in three regions, the first
// six of them entries.
func newSimulation(seed uint64, n int, retention time.Duration) *simulation {
	sim := &simulation{
		first: 1, byAddress: map[string]*node{}, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		period: tickPeriod, retention: retention, rng: rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range n {
		role := gooseberrypass.RoleAgent
		if i < 6 {
			role = gooseberrypass.RoleEntry
		}
		sim.members = append(sim.members, gooseberrypass.Member{Listed: gooseberrypass.ListedInstance{
			Address: strconv.Itoa(i), ID: gooseberrypass.ID(fmt.Sprint("n", i)),
			Region: gooseberrypass.Region(fmt.Sprint("r", i%3)), Role: role, State: gooseberrypass.ListedLive,
		}})
	}
	for i := range sim.members {
		sim.startNode(i)
	}
	return sim
}

// Members implements gooseberrypass.Membership.
func (sim *simulation) Members() []gooseberrypass.Member { return sim.members }

// startNode starts the i-th process without any state, in place of the one that
// ran before.
func (sim *simulation) startNode(i int) {
	listed := sim.members[i].Listed
	x := &node{listed: listed, sim: sim}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var err error
	x.Spreader, err = spreader.New(
		spreader.Self{ID: listed.ID, Region: listed.Region, Role: listed.Role}, testKey(), x, sim,
		func(address string) wire.Peer { return peerClient{from: x, to: sim.byAddress[address]} },
		x.handle, prometheus.NewRegistry(),
		spreader.WithSeed(sim.rng.Uint64()), spreader.WithLogger(logger), spreader.WithRetention(sim.retention),
	)
	if err != nil {
		panic(err)
	}
	if i < len(sim.nodes) {
		sim.nodes[i].dead = true
		sim.nodes[i] = x
	} else {
		sim.nodes = append(sim.nodes, x)
	}
	sim.byAddress[listed.Address] = x
	sim.schedule(time.Duration(sim.rng.Int64N(int64(sim.period))), x.tick)
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.scheduled++
	heap.Push(&sim.timers, timer{at: sim.now.Add(d), seq: sim.scheduled, run: run})
}

// run runs the simulation for d, or until done returns true. done may be nil.
func (sim *simulation) run(d time.Duration, done func() bool) {
	end := sim.now.Add(d)
	for len(sim.timers) > 0 && !sim.timers[0].at.After(end) {
		s := heap.Pop(&sim.timers).(timer)
		sim.now = s.at
		s.run()
		if done != nil && done() {
			return
		}
	}
	sim.now = end
}

func (n *node) tick() {
	if !n.dead {
		n.handle(gooseberrypass.Tick{})
		n.sim.schedule(n.sim.period, n.tick)
	}
}

// handle passes an event to the node and schedules the effects that it returns.
func (n *node) handle(event gooseberrypass.Event) {
	if n.dead || event == nil {
		return
	}
	sim := n.sim
	for _, effect := range n.Handle(sim.now, event) {
		if n.intercept != nil && n.intercept(effect) {
			continue
		}
		sim.schedule(networkDelay, func() {
			sim.delay = 0
			answer := effect.Run(context.Background())
			sim.schedule(sim.delay, func() { n.handle(answer) })
		})
	}
}

// A peerClient is the peer to as the process from reaches it.
type peerClient struct{ from, to *node }

func (c peerClient) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	sim := c.from.sim
	c.count(request)
	if c.to.dead || c.to.cutFromPeers || c.from.cutFromPeers || c.from.dead {
		sim.delay = callTimeout
		return nil, errors.New("no answer")
	}
	response, err := c.to.Exchange(ctx, request)
	sim.delay = networkDelay
	c.count(response)
	return response, err
}

// count adds a message to the totals.
func (c peerClient) count(message proto.Message) {
	sim := c.from.sim
	sim.messages++
	sim.bytes += proto.Size(message)
	if c.from.listed.Region != c.to.listed.Region {
		sim.crossRegionBytes += proto.Size(message)
	}
}

// Append implements gooseberrypass.Log.
func (n *node) Append(_ context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	if n.cutFromLog || n.sim.logDown {
		return 0, gooseberrypass.ErrLogUnavailable
	}
	return n.sim.append(body), nil
}

func (sim *simulation) append(body []byte) gooseberrypass.Offset {
	offset := gooseberrypass.Offset(len(sim.records) + 1)
	sim.records = append(sim.records, gooseberrypass.Record{Body: body, Offset: offset, Time: sim.now})
	return offset
}

// Read implements gooseberrypass.Log.
func (n *node) Read(
	_ context.Context, _ gooseberrypass.Stream, from gooseberrypass.Offset, _ time.Duration,
) (gooseberrypass.Batch, error) {
	sim := n.sim
	n.reads++
	if n.cutFromLog || sim.logDown {
		sim.delay = callTimeout
		return gooseberrypass.Batch{}, gooseberrypass.ErrLogUnavailable
	}
	for sim.retention > 0 && int(sim.first) <= len(sim.records) && sim.now.Sub(sim.records[sim.first-1].Time) > sim.retention {
		sim.first++
	}
	next := gooseberrypass.Offset(len(sim.records) + 1)
	if from < sim.first {
		return gooseberrypass.Batch{}, &gooseberrypass.TrimmedError{First: sim.first, Next: next}
	}
	sim.delay = sim.period
	return gooseberrypass.Batch{First: sim.first, Next: next, Records: sim.records[min(from, next)-1:]}, nil
}

// countReaders returns how many live nodes have read the log since the last call.
func (sim *simulation) countReaders() int {
	n := 0
	for _, x := range sim.nodes {
		if !x.dead && x.reads > 0 {
			n++
		}
		x.reads = 0
	}
	return n
}

// appendChange appends a change that replaces the only file, as a publisher would.
func (sim *simulation) appendChange(base gooseberrypass.Offset, text string) gooseberrypass.Offset {
	body, err := replayer.EncodeChange(testKey(), replayer.Change{Base: base, Files: map[string]string{"a.ini": text}, ID: strconv.Itoa(len(sim.records))})
	if err != nil {
		panic(err)
	}
	return sim.append(body)
}

// inForce reports whether the configuration at an offset is in force in all live
// nodes that are not cut off from their peers.
func (sim *simulation) inForce(offset gooseberrypass.Offset) bool {
	for _, x := range sim.nodes {
		if !x.dead && !x.cutFromPeers && (x.Config() == nil || x.Config().Offset() != offset) {
			return false
		}
	}
	return true
}

// timeUntilInForce runs the simulation until the offset is in force in all live
// nodes and returns how long that took, or limit if it took longer.
func (sim *simulation) timeUntilInForce(offset gooseberrypass.Offset, limit time.Duration) time.Duration {
	start := sim.now
	behind := 0 // all nodes before this index have the offset
	sim.run(limit, func() bool {
		for ; behind < len(sim.nodes); behind++ {
			x := sim.nodes[behind]
			if !x.dead && (x.Config() == nil || x.Config().Offset() < offset) {
				return false
			}
		}
		return true
	})
	return sim.now.Sub(start)
}

var (
	_ gooseberrypass.Log        = (*node)(nil)
	_ gooseberrypass.Membership = (*simulation)(nil)
	_ wire.Peer                 = peerClient{}
)
