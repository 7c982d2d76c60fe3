package replicator_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// Bounds and periods of the simulated processes.
const (
	simDrain      = 2 * time.Second // a leaving endpoint may get work for so long
	simDial       = 400 * time.Millisecond
	simExemption  = 3 * time.Second // a process that was cut off is not judged for so long
	simHeartbeat  = 1200 * time.Millisecond
	simLease      = 3*simHeartbeat + time.Second // after which a record that is not renewed is seen to be gone
	simLapse      = 2 * simHeartbeat             // shortest outage in which a record can expire, after three heartbeats without one
	simListAge    = 1100 * time.Millisecond
	simReadPause  = 500 * time.Millisecond
	simRetryDelay = 250 * time.Millisecond
	simRetryMost  = time.Second
	simRetention  = 2500 * time.Millisecond
	simTick       = 100 * time.Millisecond
)

// The events whose orders are enumerated.
const (
	cutBegins      = "cut begins"
	leavingWritten = "leaving written"
	recordRemoved  = "record removed"
	recordLapses   = "record lapses"
	compaction     = "compaction"
	readsSucceed   = "reads succeed"
)

// A simTopic is a keyed topic of the simulated store.
type simTopic struct {
	first    gooseberrypass.Offset
	records  []gooseberrypass.KeyedRecord
	restores uint64
}

func (s *simTopic) put(key, value string) {
	r := gooseberrypass.KeyedRecord{Key: key, Offset: s.end()}
	if value != "" {
		r.Value = []byte(value)
	}
	s.records = append(s.records, r)
}

func (s *simTopic) end() gooseberrypass.Offset {
	return gooseberrypass.NewOffset(s.restores, uint64(len(s.records)))
}

// restore goes back to the first n records, whose offsets are given out anew.
func (s *simTopic) restore(n int) {
	s.restores++
	s.records = slices.Clone(s.records[:n])
	for i := range s.records {
		s.records[i].Offset = gooseberrypass.NewOffset(s.restores, uint64(i))
	}
	s.first = min(s.first, s.end())
}

// read returns what a read from an offset returns: every key if the process has not read
// before, the offset is trimmed or it was given out before a restore.
func (s *simTopic) read(started bool, from gooseberrypass.Offset) gooseberrypass.KeyedBatch {
	if started && from.Restores() == s.restores && from.Index() >= s.first.Index() {
		return gooseberrypass.KeyedBatch{Next: s.end(), Records: slices.Clone(s.records[from.Index():])}
	}
	batch := gooseberrypass.KeyedBatch{Complete: true, Next: s.end()}
	newest := map[string]gooseberrypass.KeyedRecord{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	for _, r := range newest {
		if r.Value != nil {
			batch.Records = append(batch.Records, r)
		}
	}
	return batch
}

// A simReader reads one topic as a follower does.
type simReader struct {
	delay    time.Duration // after the last failed read
	failsAt  time.Time     // end of the failing read, zero if none is in progress
	next     gooseberrypass.Offset
	nextAt   time.Time // of the next read
	standby  bool
	started  bool      // a read has succeeded
	startsAt time.Time // of the failing read
}

// A simProcess is an entry or an agent.
type simProcess struct {
	*process
	id      gooseberrypass.ID
	readers map[gooseberrypass.Topic]*simReader // empty in agents
}

// A simulation runs processes against a store in simulated time.
type simulation struct {
	cutFromOthers map[gooseberrypass.ID]bool
	cutFromStore  map[gooseberrypass.ID]bool
	decoder       materializer.Decoder
	now           time.Time
	processes     []*simProcess
	topics        map[gooseberrypass.Topic]*simTopic
}

func newSimulation() *simulation {
	return &simulation{
		decoder: decoder{}, cutFromOthers: map[gooseberrypass.ID]bool{}, cutFromStore: map[gooseberrypass.ID]bool{}, now: now,
		topics: map[gooseberrypass.Topic]*simTopic{gooseberrypass.TopicEndpoints: {}, gooseberrypass.TopicOperator: {}, gooseberrypass.TopicProcesses: {}},
	}
}

// A simTransport carries the pulls of one process to the others.
type simTransport struct {
	from gooseberrypass.ID
	sim  *simulation
}

func (s simTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	peer := s.sim.process(gooseberrypass.ID(req.URL.Host))
	if peer == nil || s.sim.cutFromOthers[s.from] || s.sim.cutFromOthers[peer.id] {
		return nil, errors.New("unreachable")
	}
	mux := http.NewServeMux()
	mux.Handle(replicator.Pattern, replicator.NewHandler(func(e gooseberrypass.Event) { peer.handleAt(s.sim.now, e) }))
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, req)
	return w.Result(), nil
}

// start adds a process, in place of one with the same ID.
func (s *simulation) start(id gooseberrypass.ID, role gooseberrypass.Role) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel) // formatting the lines would take most of the time
	m := materializer.New(s.decoder, materializer.Settings{Exemption: simExemption, Lease: simLease, MaxListAge: simListAge, Retention: simRetention}, log)
	p := &simProcess{id: id, process: &process{answerer: replicator.NewResponder(m), materializer: m, sender: &recordingSender{}}, readers: map[gooseberrypass.Topic]*simReader{}}
	var loads replicator.LoadExchange
	if role == gooseberrypass.RoleEntry {
		loads = noLoads{}
		for topic := range s.topics {
			p.readers[topic] = &simReader{}
		}
	}
	p.replicator = replicator.New(replicator.Self{Address: string(id), ID: id, Role: role}, m, p.sender, &http.Client{Transport: simTransport{from: id, sim: s}}, loads, nil, noHistory{}, replicator.Settings{
		Fanout: 4, ListPullDelay: 800 * time.Millisecond, MaxListAge: simListAge, Period: simTick, PullDelay: 150 * time.Millisecond, PullTimeout: time.Second, ReaderTimeout: 450 * time.Millisecond,
	}, 1, log)
	s.processes = slices.DeleteFunc(s.processes, func(old *simProcess) bool { return old.id == id })
	s.processes = append(s.processes, p)
}

func (s *simulation) process(id gooseberrypass.ID) *simProcess {
	for _, p := range s.processes {
		if p.id == id {
			return p
		}
	}
	return nil
}

// register writes a process to its topic.
func (s *simulation) register(t *testing.T, id gooseberrypass.ID, role gooseberrypass.Role) {
	t.Helper()
	body, err := json.Marshal(materializer.Process{Address: string(id), ID: id, Role: role})
	if err != nil {
		t.Fatal(err)
	}
	s.topics[gooseberrypass.TopicProcesses].put(string(id), string(body))
}

// tick lets all processes read, send and receive once.
func (s *simulation) tick() {
	s.now = s.now.Add(simTick)
	for _, p := range s.processes {
		for _, topic := range []gooseberrypass.Topic{gooseberrypass.TopicOperator, gooseberrypass.TopicProcesses, gooseberrypass.TopicEndpoints} {
			if r, ok := p.readers[topic]; ok {
				s.read(p, topic, r)
			}
		}
		p.handleAt(s.now, gooseberrypass.Tick{})
		sent, m := p.sender.to, p.sender.last
		p.sender.to = nil
		s.deliver(p, m, sent)
	}
}

// deliver passes a message on, and the responses that it causes.
func (s *simulation) deliver(from *simProcess, m gossiper.Message, to []string) {
	for _, peer := range s.processes {
		if peer == from || !slices.Contains(to, string(peer.id)) || s.cutFromOthers[from.id] || s.cutFromOthers[peer.id] {
			continue
		}
		peer.handleAt(s.now, gossiper.Received{Message: m})
		sent, response := peer.sender.to, peer.sender.last
		peer.sender.to = nil
		if slices.Contains(sent, string(from.id)) {
			from.handleAt(s.now, gossiper.Received{Message: response})
		}
	}
}

// read goes on with the reads of a topic.
func (s *simulation) read(p *simProcess, topic gooseberrypass.Topic, r *simReader) {
	if !r.failsAt.IsZero() {
		if s.now.Before(r.failsAt) {
			return
		}
		r.failsAt = time.Time{}
		r.delay = min(max(2*r.delay, simRetryDelay), simRetryMost)
		r.nextAt = s.now.Add(r.delay)
		p.handleAt(s.now, gooseberrypass.TopicRead{Err: errors.New("no answer"), Started: r.startsAt, Topic: topic})
		return
	}
	if !p.replicator.ReadsLog() && (r.started || r.delay > 0 && p.materializer.NextOffset(topic) > 0) {
		if !r.standby {
			r.standby, r.delay = true, 0
			p.handleAt(s.now, gooseberrypass.TopicRead{Topic: topic})
		}
		return
	}
	r.standby = false
	if s.now.Before(r.nextAt) {
		return
	}
	r.next = max(r.next, p.materializer.NextOffset(topic))
	if s.cutFromStore[p.id] {
		r.startsAt, r.failsAt = s.now, s.now.Add(simDial)
		return
	}
	batch := s.topics[topic].read(r.started, r.next)
	if len(batch.Records) > 0 || batch.Complete {
		p.handleAt(s.now, gooseberrypass.TopicChanged{Batch: batch, FirstRead: !r.started, Topic: topic})
	}
	r.next, r.started, r.delay, r.nextAt = batch.Next, true, 0, s.now.Add(simReadPause)
	p.handleAt(s.now, gooseberrypass.TopicRead{Topic: topic})
}

// work reports whether a process would send requests to an endpoint.
func (p *simProcess) work(id gooseberrypass.ID) bool {
	return slices.ContainsFunc(p.materializer.Snapshot().Endpoints, func(e gooseberrypass.Endpoint) bool { return e.ID == id && !e.Leaving })
}

// A kind of cut says what the entry "a", which reads for "b" as well, cannot reach.
type cutKind struct {
	name     string
	alone    bool // there is no "b", so that nobody tells what a deletion means
	all      bool // nobody reaches the store
	isolated bool // "a" reaches nobody
}

// play plays an order of events, one each step, and returns what broke.
func (k cutKind) play(t *testing.T, order []string, step time.Duration) string {
	t.Helper()
	s := newSimulation()
	list := s.topics[gooseberrypass.TopicEndpoints]
	list.put("leaves", "up")
	list.put("lives", "up")
	entries := []gooseberrypass.ID{"a", "b"}
	if k.alone {
		entries = entries[:1]
	}
	for _, id := range entries {
		s.register(t, id, gooseberrypass.RoleEntry)
		s.start(id, gooseberrypass.RoleEntry)
	}
	var leftAt, cutAt, backAt, returnsAt time.Time
	cut := func(on bool) {
		s.cutFromStore["a"], s.cutFromOthers["a"] = on, on && k.isolated
		s.cutFromStore["b"] = on && k.all
	}
	leaves := func(value string) {
		list.put("leaves", value)
		if leftAt.IsZero() {
			leftAt = s.now
		}
	}
	inOutage := func() bool { return !cutAt.IsZero() && backAt.IsZero() }
	lapsedInOutage := false
	due := s.now.Add(2 * time.Second)
	for i := 0; ; {
		if !s.now.Before(due) && i <= len(order) {
			due = due.Add(step)
			event := readsSucceed // an order in which the cut comes last ends with it
			if i < len(order) {
				event = order[i]
			}
			i++
			switch event {
			case cutBegins:
				cut(true)
				cutAt = s.now
			case leavingWritten:
				leaves("leaving")
			case recordRemoved:
				leaves("")
			case recordLapses:
				list.put("lives", "")
				lapsedInOutage = inOutage()
				returnsAt = s.now.Add(simHeartbeat)
			case compaction:
				list.first = list.end()
			case readsSucceed:
				if inOutage() {
					cut(false)
					backAt = s.now
					returnsAt = maxTime(returnsAt, s.now.Add(simHeartbeat))
				}
			}
		}
		if i > len(order) && s.now.After(due.Add(simExemption+simRetention+simDrain)) {
			break
		}
		away := k.all && inOutage()
		if !returnsAt.IsZero() && !away && !s.now.Before(returnsAt) && !s.listed("lives") {
			list.put("lives", "up")
		}
		s.tick()
		for _, id := range entries {
			p := s.process(id)
			exempt := (id == "a" || k.all) && !cutAt.IsZero() && (backAt.IsZero() || s.now.Before(backAt.Add(simExemption)))
			bound := leftAt
			if k.all && leftAt.After(backAt) && leftAt.Before(backAt.Add(simExemption)) {
				bound = backAt.Add(simExemption) // the store is not yet stable
			}
			if !exempt && !leftAt.IsZero() && s.now.After(bound.Add(simDrain)) && p.work("leaves") {
				return fmt.Sprintf("DRAIN at %s, %s after it left", id, s.now.Sub(leftAt))
			}
			canLapse := !backAt.IsZero() && backAt.Sub(cutAt) >= simLapse
			if k.all && !k.alone && lapsedInOutage && canLapse && !p.work("lives") {
				return fmt.Sprintf("GONE at %s, %s after the end of the outage", id, s.now.Sub(backAt))
			}
		}
	}
	for _, id := range entries {
		if p := s.process(id); p.work("leaves") || !p.work("lives") {
			return "in the end wrong at " + string(id)
		}
	}
	return ""
}

// listed reports whether the newest record of an endpoint exists.
func (s *simulation) listed(key string) bool {
	records := s.topics[gooseberrypass.TopicEndpoints].records
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Key == key {
			return records[i].Value != nil
		}
	}
	return false
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// possible reports whether an order can happen: while nobody reaches the store, no
// endpoint can write that it leaves, and an endpoint that has gone does not write at all.
func (k cutKind) possible(order []string) bool {
	removed, leaving := slices.Index(order, recordRemoved), slices.Index(order, leavingWritten)
	if removed < leaving {
		return false
	}
	begin, end := slices.Index(order, cutBegins), slices.Index(order, readsSucceed)
	if end < begin {
		end = len(order)
	}
	inside := func(i int) bool { return begin < i && i < end }
	return !k.all || !inside(removed) && !inside(leaving)
}

// Every order of the events around an outage, for an entry that reads the list and for one
// that takes it from this entry: a leaving endpoint gets no work later than its bound, a
// running one whose record expired while nobody could reach the store is not lost. Some
// endpoints leave without a word.
func TestEveryOrderOfEventsAroundAnOutage(t *testing.T) {
	silent := []string{cutBegins, recordRemoved, recordLapses, compaction, readsSucceed}
	plays := []struct {
		orders [][]string
		step   time.Duration // between two events
	}{
		{orders: permutations(append(slices.Clone(silent), leavingWritten)), step: 1100 * time.Millisecond},
		{orders: permutations(silent), step: 1100 * time.Millisecond},
		{orders: permutations(silent), step: 500 * time.Millisecond},
	}
	for _, k := range []cutKind{
		{name: "from the store"},
		{name: "from all", isolated: true},
		{name: "store away", all: true},
		{name: "alone from the store", alone: true},
		{name: "alone, store away", all: true, alone: true},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			played, broken := 0, 0
			for _, p := range plays {
				for _, order := range p.orders {
					if !k.possible(order) {
						continue
					}
					played++
					if got := k.play(t, order, p.step); got != "" {
						broken++
						t.Errorf("%s every %s: %s", strings.Join(order, ", "), p.step, got)
					}
				}
			}
			t.Logf("%d orders played, %d broken", played, broken)
		})
	}
}

// Every order of the events around an outage of an agent, which takes all records from an
// entry: it learns of the newest version and of a process that has deregistered, also if
// the entry has started anew meanwhile and read only the newest records.
func TestEveryOrderOfEventsAroundAnOutageOfAnAgent(t *testing.T) {
	const versionNamed = "version named"
	orders := permutations([]string{cutBegins, versionNamed, recordRemoved, entryRestarts, compaction, readsSucceed})
	broken := 0
	for _, order := range orders {
		s := newSimulation()
		for _, id := range []gooseberrypass.ID{"entry", "leaves"} {
			s.register(t, id, gooseberrypass.RoleEntry)
		}
		s.register(t, "agent", gooseberrypass.RoleAgent)
		s.start("entry", gooseberrypass.RoleEntry)
		s.start("agent", gooseberrypass.RoleAgent)
		operator := s.topics[gooseberrypass.TopicOperator]
		operator.put("config", "c")
		operator.put("version", "v")
		for _, event := range append([]string{""}, order...) {
			switch event {
			case cutBegins:
				s.cutFromOthers["agent"] = true
			case versionNamed:
				operator.put("version", "v")
			case recordRemoved:
				s.topics[gooseberrypass.TopicProcesses].put("leaves", "")
			case entryRestarts:
				s.start("entry", gooseberrypass.RoleEntry)
			case compaction:
				for _, topic := range s.topics {
					topic.first = topic.end()
				}
			case readsSucceed:
				s.cutFromOthers["agent"] = false
			}
			for range time.Second / simTick {
				s.tick()
			}
		}
		s.cutFromOthers["agent"] = false
		for range simDrain / simTick {
			s.tick()
		}
		m := s.process("agent").materializer
		newest, _ := m.Snapshot().Targets["m"].Newest()
		if got, want := newest.Version, int(operator.end())-1; got != want {
			t.Errorf("%v: newest version: got %d, want %d", order, got, want)
			broken++
		}
		for _, p := range m.Snapshot().Processes {
			if p.ID == "leaves" {
				t.Errorf("%v: the agent knows the process that has deregistered", order)
				broken++
			}
		}
	}
	t.Logf("%d orders played, %d broken", len(orders), broken)
}
