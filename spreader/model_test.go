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
	hop    = 3 * time.Millisecond   // one way between regions
	lost   = time.Second            // until a call of a dead process fails
	period = 200 * time.Millisecond // between ticks
)

func testKey() authenticator.Key { return authenticator.NewKey("secret") }

// A step is something that happens at a moment of the model.
type step struct {
	at  time.Time
	n   int
	run func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].n < s[j].n
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any     { x := (*s)[len(*s)-1]; *s = (*s)[:len(*s)-1]; return x }

// A node is one process of the model.
type node struct {
	*spreader.Spreader
	alone  bool // reaches no peer
	blind  bool // does not reach the log
	dead   bool
	held   func(gooseberrypass.Effect) bool // takes effects out, if set
	listed gooseberrypass.ListedInstance
	model  *model
	reads  int // of the log
}

// A model runs spreaders on a fake clock. All see the same list, which still
// has the dead as live.
type model struct {
	bytes     int
	crossed   int           // bytes between regions
	delay     time.Duration // that the running effect has cost
	down      bool          // the log
	first     gooseberrypass.Offset
	members   []gooseberrypass.Member
	messages  int
	nodes     map[string]*node // by address
	now       time.Time
	period    time.Duration // between ticks; a read in each stands for a long poll
	order     []*node
	records   []gooseberrypass.Record // all that were ever appended
	retention time.Duration
	rng       *rand.Rand
	scheduled int
	steps     steps
}

func newModel(seed uint64, n int, retention time.Duration) *model {
	m := &model{
		first: 1, nodes: map[string]*node{}, now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		period: period, retention: retention, rng: rand.New(rand.NewPCG(seed, seed)),
	}
	for i := range n {
		role := gooseberrypass.RoleAgent
		if i < 6 {
			role = gooseberrypass.RoleEntry
		}
		m.members = append(m.members, gooseberrypass.Member{Listed: gooseberrypass.ListedInstance{
			Address: strconv.Itoa(i), ID: gooseberrypass.ID(fmt.Sprint("n", i)),
			Region: gooseberrypass.Region(fmt.Sprint("r", i%3)), Role: role, State: gooseberrypass.ListedLive,
		}})
	}
	for i := range m.members {
		m.start(i)
	}
	return m
}

// Members implements gooseberrypass.Membership.
func (m *model) Members() []gooseberrypass.Member { return m.members }

// start starts the i-th node anew, with nothing.
func (m *model) start(i int) {
	listed := m.members[i].Listed
	x := &node{listed: listed, model: m}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var err error
	x.Spreader, err = spreader.New(
		spreader.Self{ID: listed.ID, Region: listed.Region, Role: listed.Role}, testKey(), x, m,
		func(address string) wire.Peer { return call{from: x, to: m.nodes[address]} },
		x.handle, prometheus.NewRegistry(),
		spreader.WithSeed(m.rng.Uint64()), spreader.WithLogger(logger), spreader.WithRetention(m.retention),
	)
	if err != nil {
		panic(err)
	}
	if i < len(m.order) {
		m.order[i].dead = true
		m.order[i] = x
	} else {
		m.order = append(m.order, x)
	}
	m.nodes[listed.Address] = x
	m.after(time.Duration(m.rng.Int64N(int64(m.period))), x.tick)
}

func (m *model) after(d time.Duration, run func()) {
	m.scheduled++
	heap.Push(&m.steps, step{at: m.now.Add(d), n: m.scheduled, run: run})
}

// run runs the model until a moment, or until done.
func (m *model) run(d time.Duration, done func() bool) {
	end := m.now.Add(d)
	for len(m.steps) > 0 && !m.steps[0].at.After(end) {
		s := heap.Pop(&m.steps).(step)
		m.now = s.at
		s.run()
		if done != nil && done() {
			return
		}
	}
	m.now = end
}

func (x *node) tick() {
	if !x.dead {
		x.handle(gooseberrypass.Tick{})
		x.model.after(x.model.period, x.tick)
	}
}

// handle gives a node an event and schedules the effects that follow.
func (x *node) handle(event gooseberrypass.Event) {
	if x.dead || event == nil {
		return
	}
	m := x.model
	for _, effect := range x.Handle(m.now, event) {
		if x.held != nil && x.held(effect) {
			continue
		}
		m.after(hop, func() {
			m.delay = 0
			answer := effect.Run(context.Background())
			m.after(m.delay, func() { x.handle(answer) })
		})
	}
}

// A call is a peer as another process reaches it.
type call struct{ from, to *node }

func (c call) Exchange(ctx context.Context, request *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	m := c.from.model
	c.count(request)
	if c.to.dead || c.to.alone || c.from.alone || c.from.dead {
		m.delay = lost
		return nil, errors.New("no answer")
	}
	response, err := c.to.Exchange(ctx, request)
	m.delay = hop
	c.count(response)
	return response, err
}

func (c call) count(message proto.Message) {
	m := c.from.model
	m.messages++
	m.bytes += proto.Size(message)
	if c.from.listed.Region != c.to.listed.Region {
		m.crossed += proto.Size(message)
	}
}

// Append implements gooseberrypass.Log.
func (x *node) Append(_ context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	if x.blind || x.model.down {
		return 0, gooseberrypass.ErrLogUnavailable
	}
	return x.model.append(body), nil
}

func (m *model) append(body []byte) gooseberrypass.Offset {
	offset := gooseberrypass.Offset(len(m.records) + 1)
	m.records = append(m.records, gooseberrypass.Record{Body: body, Offset: offset, Time: m.now})
	return offset
}

// Read implements gooseberrypass.Log.
func (x *node) Read(
	_ context.Context, _ gooseberrypass.Stream, from gooseberrypass.Offset, _ time.Duration,
) (gooseberrypass.Batch, error) {
	m := x.model
	x.reads++
	if x.blind || m.down {
		m.delay = lost
		return gooseberrypass.Batch{}, gooseberrypass.ErrLogUnavailable
	}
	for m.retention > 0 && int(m.first) <= len(m.records) && m.now.Sub(m.records[m.first-1].Time) > m.retention {
		m.first++
	}
	next := gooseberrypass.Offset(len(m.records) + 1)
	if from < m.first {
		return gooseberrypass.Batch{}, &gooseberrypass.TrimmedError{First: m.first, Next: next}
	}
	m.delay = m.period
	return gooseberrypass.Batch{First: m.first, Next: next, Records: m.records[min(from, next)-1:]}, nil
}

// readers returns how many live nodes have read the log since the last call.
func (m *model) readers() int {
	n := 0
	for _, x := range m.order {
		if !x.dead && x.reads > 0 {
			n++
		}
		x.reads = 0
	}
	return n
}

// change appends a change of the whole folder, as a publisher would.
func (m *model) change(base gooseberrypass.Offset, text string) gooseberrypass.Offset {
	body, err := replayer.EncodeChange(testKey(), replayer.Change{Base: base, Files: map[string]string{"a.ini": text}, ID: strconv.Itoa(len(m.records))})
	if err != nil {
		panic(err)
	}
	return m.append(body)
}

// inForce reports whether all live nodes have the configuration at an offset,
// not counting those that reach nobody.
func (m *model) inForce(offset gooseberrypass.Offset) bool {
	for _, x := range m.order {
		if !x.dead && !x.alone && (x.Config() == nil || x.Config().Offset() != offset) {
			return false
		}
	}
	return true
}

// until returns how long it takes until an offset is in force everywhere, or
// limit.
func (m *model) until(offset gooseberrypass.Offset, limit time.Duration) time.Duration {
	start := m.now
	behind := 0 // all before it have the offset
	m.run(limit, func() bool {
		for ; behind < len(m.order); behind++ {
			x := m.order[behind]
			if !x.dead && (x.Config() == nil || x.Config().Offset() < offset) {
				return false
			}
		}
		return true
	})
	return m.now.Sub(start)
}

var (
	_ gooseberrypass.Log        = (*node)(nil)
	_ gooseberrypass.Membership = (*model)(nil)
	_ wire.Peer                 = call{}
)
