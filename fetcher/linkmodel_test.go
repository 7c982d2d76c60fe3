package fetcher_test

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/ranker"
)

const (
	chunkBytes      = 4 << 20
	crossRegionRate = 20e6 / 8.0 // bytes a second between two regions, in each direction
	latency         = time.Millisecond
	linkRate        = 1e9 / 8.0 / 4 // bytes a second of an instance's link
)

// A planner is a fetcher.Planner or a naivePlanner.
type planner interface {
	Finish(now time.Time, out fetcher.Outcome)
	Plan(now time.Time) ([]fetcher.Fetch, []uint64)
}

// A link sends one transfer after another.
type link struct {
	bytes  float64 // bytes sent so far
	freeAt time.Time
	rate   float64 // bytes a second, 0 for no limit
}

// send adds a transfer that is ready at now and returns when it starts and ends.
func (l *link) send(now time.Time, size int64) (time.Time, time.Time) {
	if l.bytes += float64(size); l.rate == 0 {
		return now, now
	}
	start := now
	if l.freeAt.After(now) {
		start = l.freeAt
	}
	l.freeAt = start.Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	return start, l.freeAt
}

// A node is a simulated instance. It implements fetcher.LocalChunks for its planner.
type node struct {
	dead, frozen bool
	demand       func(gooseberrypass.Digest) // called for a request for a missing chunk, may be nil
	down, up     link
	held         map[gooseberrypass.Digest][]byte
	listed       gooseberrypass.ListedInstance
	model        *linkModel
	open         map[uint64]bool // IDs of fetches in flight
	planner      planner
	waiting      map[gooseberrypass.Digest][]func() // requests to serve once a chunk is held
}

func (n *node) Chunk(d gooseberrypass.Digest) ([]byte, error) { return n.held[d], nil }
func (n *node) Has(d gooseberrypass.Digest) bool              { _, ok := n.held[d]; return ok }
func (n *node) Limit() int64                                  { return 1 << 40 }

// wants reports whether the node is about to fetch a chunk.
func (n *node) wants(d gooseberrypass.Digest) bool {
	p, ok := n.planner.(*fetcher.Planner)
	if !ok {
		return true
	}
	pins, _ := p.Pins()
	_, ok = pins[d]
	return ok
}

type event struct {
	at  time.Time
	run func()
	seq int // orders events of the same time
}

// events is a heap of events, earliest first.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A linkModel simulates instances, an origin and the links between them on a fake
// clock.
type linkModel struct {
	clock       *clockwork.FakeClock
	isolated    gooseberrypass.Region // region without connection to the others, "" for none
	events      events
	regionLinks map[[2]gooseberrypass.Region]*link
	manifest    *gooseberrypass.Manifest
	nodes       map[gooseberrypass.ID]*node
	order       []*node
	origin      link
	results     map[string]int
	seq         int
	start       time.Time
}

func newLinkModel(chunks, nodes int, regions ...gooseberrypass.Region) *linkModel {
	model := &linkModel{
		clock: clockwork.NewFakeClock(), regionLinks: map[[2]gooseberrypass.Region]*link{},
		nodes: map[gooseberrypass.ID]*node{}, origin: link{rate: linkRate}, results: map[string]int{},
	}
	model.start = model.clock.Now()
	list := make([]gooseberrypass.Chunk, chunks)
	for i := range list {
		list[i] = gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf(binary.BigEndian.AppendUint32(nil, uint32(i))), Size: chunkBytes}
	}
	model.manifest, _ = gooseberrypass.NewManifest("m", "1", gooseberrypass.Digest{}, list)
	for i := range nodes {
		n := &node{
			down: link{rate: linkRate}, held: map[gooseberrypass.Digest][]byte{}, model: model, open: map[uint64]bool{},
			up: link{rate: linkRate}, waiting: map[gooseberrypass.Digest][]func(){},
		}
		n.listed = gooseberrypass.ListedInstance{ID: gooseberrypass.ID("i" + strconv.Itoa(i)), Region: regions[i%len(regions)]}
		model.nodes[n.listed.ID], model.order = n, append(model.order, n)
	}
	return model
}

// usePlanners gives each node a fetcher.Planner. list returns the instances that
// node i knows.
func (m *linkModel) usePlanners(list func(i int) []gooseberrypass.ListedInstance) {
	rankings := map[int]*ranker.Ranking{}
	for i, n := range m.order {
		p := fetcher.NewPlanner(n.listed.ID, n, false, uint64(i), fetcher.Settings{})
		instances := list(i)
		if rankings[len(instances)] == nil || len(instances) != len(m.order) {
			rankings[len(instances)] = ranker.New(instances, m.order[0].listed.Region, 2)
		}
		p.SetRanking(rankings[len(instances)])
		p.SetOriginCopies(1.5) // the default
		p.SetWants([]fetcher.Want{{Digest: m.manifest.Digest(), OriginName: "m", Version: "1"}})
		n.planner, n.demand = p, p.Demand
	}
}

func (m *linkModel) allInstances(int) []gooseberrypass.ListedInstance {
	list := make([]gooseberrypass.ListedInstance, 0, len(m.order))
	for _, n := range m.order {
		list = append(list, n.listed)
	}
	return list
}

// mostInstances returns the instances without a random tenth, which differs from
// node to node.
func (m *linkModel) mostInstances(i int) []gooseberrypass.ListedInstance {
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	var list []gooseberrypass.ListedInstance
	for j, n := range m.order {
		if j == i || rng.Float64() > 0.1 {
			list = append(list, n.listed)
		}
	}
	return list
}

func (m *linkModel) after(d time.Duration, run func()) { m.at(m.clock.Now().Add(d), run) }

func (m *linkModel) at(at time.Time, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: at, run: run, seq: m.seq})
}

// run simulates until every live node holds the complete version or limit has
// passed. It returns the time taken, in units of the time that an instance's link
// needs for one copy of the version.
func (m *linkModel) run(limit time.Duration) float64 {
	for _, n := range m.order {
		m.tick(n)
	}
	for len(m.events) > 0 && !m.complete() {
		e := heap.Pop(&m.events).(event)
		if e.at.Sub(m.start) > limit {
			break
		}
		if d := e.at.Sub(m.clock.Now()); d > 0 {
			m.clock.Advance(d)
		}
		e.run()
	}
	return m.clock.Since(m.start).Seconds() * linkRate / float64(m.manifest.Size())
}

func (m *linkModel) complete() bool {
	for i := len(m.order) - 1; i >= 0; i-- {
		if n := m.order[i]; !n.dead && !n.frozen && len(n.held) <= m.manifest.Len() {
			return false
		}
	}
	return true
}

func (m *linkModel) tick(n *node) {
	if n.dead {
		return
	}
	m.plan(n)
	m.after(time.Second, func() { m.tick(n) })
}

func (m *linkModel) plan(n *node) {
	if n.dead || n.frozen {
		return
	}
	starts, _ := n.planner.Plan(m.clock.Now())
	for _, f := range starts {
		n.open[f.ID] = true
		m.after(f.Timeout, func() { m.finish(n, f, fetcher.ResultTimeout, m.clock.Now()) })
		m.after(latency, func() { m.request(n, f) })
	}
}

func (m *linkModel) request(n *node, f fetcher.Fetch) {
	if f.Kind == fetcher.SourceOrigin {
		if n.listed.Region == m.order[0].listed.Region || n.listed.Region != m.isolated {
			m.transfer(&m.origin, m.order[0].listed.Region, nil, n, f)
		}
		return
	}
	peer := m.nodes[f.Peer.ID]
	unreachable := n.listed.Region != peer.listed.Region && (m.isolated == n.listed.Region || m.isolated == peer.listed.Region)
	switch {
	case peer.dead:
		m.after(latency, func() { m.finish(n, f, fetcher.ResultUnreachable, m.clock.Now()) })
	case peer.frozen || unreachable: // no response
		m.after(f.Wait+2*time.Second, func() { m.finish(n, f, fetcher.ResultTimeout, m.clock.Now()) })
	case peer.Has(f.Item.Digest):
		m.serve(peer, n, f, m.clock.Now().Add(f.Wait))
	case !peer.wants(f.Item.Digest):
		m.after(latency, func() { m.finish(n, f, fetcher.ResultNotHeld, m.clock.Now()) })
	default:
		until := m.clock.Now().Add(f.Wait)
		peer.waiting[f.Item.Digest] = append(peer.waiting[f.Item.Digest], func() { m.serve(peer, n, f, until) })
		m.after(f.Wait, func() {
			if !peer.Has(f.Item.Digest) && !peer.frozen {
				m.finish(n, f, fetcher.ResultPending, m.clock.Now())
			}
		})
		if peer.demand != nil {
			peer.demand(f.Item.Digest)
			m.plan(peer)
		}
	}
}

// serve sends a chunk unless the peer's uplink stays busy beyond until.
func (m *linkModel) serve(peer, n *node, f fetcher.Fetch, until time.Time) {
	switch {
	case !n.open[f.ID]:
	case peer.up.freeAt.After(until):
		m.at(until, func() { m.finish(n, f, fetcher.ResultBusy, until) })
	default:
		m.transfer(&peer.up, peer.listed.Region, peer, n, f)
	}
}

// transfer sends a chunk over each link of its path. A link starts to send when the
// one before it has started.
func (m *linkModel) transfer(up *link, from gooseberrypass.Region, peer, n *node, f fetcher.Fetch) {
	size := f.Item.Size
	if f.Item.Manifest {
		size = int64(len(m.manifest.Encoded()))
	}
	sends, upEnd := up.send(m.clock.Now(), size)
	began := sends // responses of peers are timed from their header, those of the origin from the request
	if peer == nil {
		began = m.clock.Now()
	}
	m.at(sends, func() {
		regionLink := m.link(from, n.listed.Region)
		start, regionEnd := regionLink.send(m.clock.Now(), size)
		m.at(start, func() {
			_, end := n.down.send(m.clock.Now(), size)
			m.at(latest(upEnd, regionEnd, end).Add(latency), func() {
				unreachable := from != n.listed.Region && (m.isolated == from || m.isolated == n.listed.Region)
				if !unreachable && (peer == nil || !peer.dead && !peer.frozen) {
					m.finish(n, f, fetcher.ResultOK, began)
				}
			})
		})
	})
}

func latest(first time.Time, more ...time.Time) time.Time {
	for _, t := range more {
		if t.After(first) {
			first = t
		}
	}
	return first
}

func (m *linkModel) link(from, to gooseberrypass.Region) *link {
	key := [2]gooseberrypass.Region{from, to}
	if m.regionLinks[key] == nil {
		m.regionLinks[key] = &link{}
		if from != to {
			m.regionLinks[key].rate = crossRegionRate
		}
	}
	return m.regionLinks[key]
}

func (m *linkModel) finish(n *node, f fetcher.Fetch, result fetcher.Result, began time.Time) {
	if !n.open[f.ID] || n.dead {
		return
	}
	delete(n.open, f.ID)
	if result == fetcher.ResultOK {
		n.held[f.Item.Digest] = nil
		if f.Item.Manifest {
			n.held[f.Item.Digest] = m.manifest.Encoded()
		}
	}
	m.results[f.Kind.String()+" "+result.String()]++
	n.planner.Finish(m.clock.Now(), fetcher.Outcome{
		Bytes: f.Item.Size, ID: f.ID, Result: result, Took: m.clock.Now().Sub(began),
	})
	for _, serve := range n.waiting[f.Item.Digest] {
		if n.Has(f.Item.Digest) {
			serve()
		}
	}
	if n.Has(f.Item.Digest) {
		delete(n.waiting, f.Item.Digest)
	}
	m.plan(n)
}

// originCopies returns the number of copies of the version read from the origin.
func (m *linkModel) originCopies() float64 { return m.origin.bytes / float64(m.manifest.Size()) }

// linkCopies returns the number of copies of the version sent over the most used
// link of an instance.
func (m *linkModel) linkCopies() float64 {
	most := 0.0
	for _, n := range m.order {
		most = max(most, n.up.bytes, n.down.bytes)
	}
	return most / float64(m.manifest.Size())
}

// A naivePlanner fetches every chunk in order from one parent, or from the origin,
// and retries after a failure.
type naivePlanner struct {
	inFlight map[uint64]int
	kind     fetcher.SourceKind
	lastID   uint64
	model    *linkModel
	missing  []int
	parent   gooseberrypass.ListedInstance
	retryAt  time.Time
}

func (m *linkModel) useNaivePlanners(parent func(i int) *node) {
	for i, n := range m.order {
		p := &naivePlanner{inFlight: map[uint64]int{}, kind: fetcher.SourceOrigin, model: m}
		if from := parent(i); from != nil {
			p.kind, p.parent = fetcher.SourceSameRegion, from.listed
		}
		for c := range m.manifest.Len() {
			p.missing = append(p.missing, c)
		}
		n.planner = p
		n.held[m.manifest.Digest()] = nil
	}
}

func (p *naivePlanner) Finish(now time.Time, out fetcher.Outcome) {
	if out.Result != fetcher.ResultOK {
		p.retryAt = now.Add(time.Second)
		p.missing = append(p.missing, p.inFlight[out.ID])
	}
	delete(p.inFlight, out.ID)
}

func (p *naivePlanner) Plan(now time.Time) ([]fetcher.Fetch, []uint64) {
	var starts []fetcher.Fetch
	for len(p.missing) > 0 && len(p.inFlight) < 8 && !now.Before(p.retryAt) {
		c := p.missing[0]
		p.missing = p.missing[1:]
		p.lastID++
		p.inFlight[p.lastID] = c
		starts = append(starts, fetcher.Fetch{
			ID: p.lastID, Item: fetcher.Item{Digest: p.model.manifest.Chunk(c).Digest, Size: chunkBytes},
			Kind: p.kind, Timeout: time.Hour, Peer: p.parent, Wait: time.Minute,
		})
	}
	return starts, nil
}
