// Package relayer keeps processes in step when the platform's log turns some of
// them away: each tells the others how far it has read, and whoever is behind
// takes the records from one that is ahead.
package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// Pattern is where the Relayer's handler stands in a http.ServeMux.
const Pattern = "GET /topics/{topic}"

// maxAnswer bounds the records taken at once, in bytes.
const maxAnswer = 16 << 20

// Settings tune a Relayer.
type Settings struct {
	FarPeriod     time.Duration // between messages to entries of other regions
	ListPatience  time.Duration // with the own reads of the list, which changes all the time, before another process is asked
	Patience      time.Duration // with the own reads of other topics
	Period        time.Duration // between messages to entries of the own region when nothing changes
	ReaderAge     time.Duration // of an entry's last read of the list, after which another reads in its place
	ReaderSilence time.Duration // of an entry, after which another reads in its place
	Spread        int           // agents that a change is told to by another agent
	Timeout       time.Duration // of a pull
}

// A Sender sends messages.
type Sender interface {
	Send(m gossiper.Message, addresses []string)
}

// Loads is what an entry tells of its requests and hears from others. It is nil
// in agents.
type Loads interface {
	SetEndpointStatus(now time.Time, n balancer.EndpointStatus)
	SetEntryLoads(now time.Time, from gooseberrypass.ID, shares map[gooseberrypass.ID]balancer.Load)
	OwnLoads() map[gooseberrypass.ID]balancer.Load
}

// Recall is what an entry remembers of requests and tells others: which break
// endpoints, and which were refused for load. It is nil in agents.
type Recall interface {
	CrashCounts() map[uint64]int
	Refused() []uint64
	SetCrashCounts(from gooseberrypass.ID, breaks map[uint64]int)
	SetRefused(keys []uint64)
}

// Self is the process that a Relayer belongs to.
type Self struct {
	Address string
	ID      gooseberrypass.ID
	Region  gooseberrypass.Region
	Role    gooseberrypass.Role
}

// A Relayer is a controller.
type Relayer struct {
	behind     map[gooseberrypass.Topic]time.Time // since when another is ahead
	client     *http.Client
	heard      map[gooseberrypass.Topic]gooseberrypass.Offset // furthest that another has read
	listRead   time.Time                                      // last own read of the list of endpoints
	loads      Loads
	logger     logrus.FieldLogger
	manifests  []gooseberrypass.ModelTarget // offered to other agents, the newest last
	notice     *balancer.EndpointStatus
	notices    map[string]balancer.EndpointStatus // last of each endpoint, by address
	pulling    map[gooseberrypass.Topic]bool
	readers    map[gooseberrypass.ID]reader // entries of the own region that stand before this one
	recall     Recall
	rests      atomic.Bool // another process reads the log
	rng        *rand.Rand
	self       Self
	sender     Sender
	sent       time.Time // to entries of the own region
	sentFar    time.Time // to all entries
	settings   Settings
	surveyor   *surveyor.Surveyor
	told       gooseberrypass.Offset // of the operator's topic, told to entries
	toldAgents gooseberrypass.Offset // of the operator's topic, told to agents
}

// New returns a relayer. loads and recall are nil in an agent.
func New(self Self, s *surveyor.Surveyor, sender Sender, client *http.Client, loads Loads, recall Recall, settings Settings, seed uint64, logger logrus.FieldLogger) *Relayer {
	return &Relayer{
		behind: map[gooseberrypass.Topic]time.Time{}, client: client, heard: map[gooseberrypass.Topic]gooseberrypass.Offset{}, loads: loads, logger: logger,
		notices: map[string]balancer.EndpointStatus{}, pulling: map[gooseberrypass.Topic]bool{}, recall: recall, readers: map[gooseberrypass.ID]reader{}, rng: rand.New(rand.NewPCG(seed, seed)), self: self, sender: sender,
		settings: settings, surveyor: s,
	}
}

// SetNotice replaces what an agent says of its endpoint and tells it at once.
// It must be called on the control goroutine.
func (r *Relayer) SetNotice(now time.Time, n balancer.EndpointStatus) {
	r.notice = &n
	r.tell(now)
}

// maxManifests bounds the manifests that are offered: of the version that is
// loaded and the newest two.
const maxManifests = 3

// SetManifest offers a manifest to some other agents, which offer it on. It must
// be called on the control goroutine.
func (r *Relayer) SetManifest(now time.Time, t gooseberrypass.ModelTarget) {
	r.manifests = append(r.manifests, t)
	r.manifests = r.manifests[max(0, len(r.manifests)-maxManifests):]
	r.sender.Send(r.message(now, gooseberrypass.RoleAgent), r.someAgents())
}

// Handle implements gooseberrypass.Controller.
func (r *Relayer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.Tick:
		r.takeTurn(now)
		r.repeat(now)
	case gooseberrypass.TopicChanged:
		r.spread(now, e)
	case gooseberrypass.TopicRead:
		r.noteRead(now, e)
	case gossiper.Received:
		return r.receive(now, e.Message)
	case pulled:
		return r.take(e)
	}
	return nil
}

// message returns what this process has to say to one of a role.
func (r *Relayer) message(now time.Time, to gooseberrypass.Role) gossiper.Message {
	next := r.surveyor.NextOffset
	if to == gooseberrypass.RoleAgent {
		next = r.surveyor.NextAgentOffset
	}
	m := gossiper.Message{
		Address: r.self.Address, From: r.self.ID, Notice: r.notice, Region: r.self.Region, Role: r.self.Role,
		Next: map[gooseberrypass.Topic]gooseberrypass.Offset{
			gooseberrypass.TopicOperator:  next(gooseberrypass.TopicOperator),
			gooseberrypass.TopicProcesses: next(gooseberrypass.TopicProcesses),
		},
	}
	if to == gooseberrypass.RoleAgent {
		m.Manifests = r.manifests
	}
	if r.loads != nil && to == gooseberrypass.RoleEntry {
		m.Breaks, m.Refused = r.recall.CrashCounts(), r.recall.Refused()
		m.ListAge, m.Shares = r.listAge(now), r.loads.OwnLoads()
		m.Next[gooseberrypass.TopicEndpoints] = next(gooseberrypass.TopicEndpoints)
	}
	return m
}

// repeat sends a message to the entries of the own region when it is time, and
// less often to the others: links between regions are thin, and requests rarely
// go there.
func (r *Relayer) repeat(now time.Time) {
	switch {
	case now.Sub(r.sentFar) >= max(r.settings.FarPeriod, r.settings.Period):
		r.tell(now)
	case now.Sub(r.sent) >= r.settings.Period:
		r.sent = now
		r.sender.Send(r.message(now, gooseberrypass.RoleEntry), r.addresses(gooseberrypass.RoleEntry, r.self.Region))
	}
}

// tell sends a message to all entries.
func (r *Relayer) tell(now time.Time) {
	r.sent, r.sentFar = now, now
	r.sender.Send(r.message(now, gooseberrypass.RoleEntry), r.addresses(gooseberrypass.RoleEntry, ""))
}

// addresses returns those of the other processes of a role, in one region or,
// for "", in all.
func (r *Relayer) addresses(role gooseberrypass.Role, region gooseberrypass.Region) []string {
	var addresses []string
	for _, p := range r.surveyor.Snapshot().Processes {
		if p.Role == role && p.ID != r.self.ID && (region == "" || p.Region == region) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// spread tells others of new records of the operator.
func (r *Relayer) spread(now time.Time, e gooseberrypass.TopicChanged) {
	switch {
	case e.Topic == gooseberrypass.TopicProcesses && e.Started:
		r.told, r.toldAgents = 0, 0 // nobody was known to be told before
	case e.Topic != gooseberrypass.TopicOperator:
		return
	}
	if next := r.surveyor.NextOffset(gooseberrypass.TopicOperator); next > r.told || e.Started {
		r.told = next
		r.tell(now)
	}
	next := r.surveyor.NextAgentOffset(gooseberrypass.TopicOperator)
	if next <= r.toldAgents {
		return
	}
	r.toldAgents = next
	// Agents of other regions hear of it from entries there, or ask with their next message.
	agents := r.addresses(gooseberrypass.RoleAgent, r.self.Region)
	if r.self.Role == gooseberrypass.RoleAgent {
		agents = r.someAgents()
	}
	r.sender.Send(r.message(now, gooseberrypass.RoleAgent), agents)
}

// someAgents returns as many other agents as one tells of a change.
func (r *Relayer) someAgents() []string {
	agents := r.addresses(gooseberrypass.RoleAgent, "")
	r.rng.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	return agents[:min(len(agents), r.settings.Spread)]
}

// receive takes in a message and asks its sender for the records that are
// missing here.
func (r *Relayer) receive(now time.Time, m gossiper.Message) []gooseberrypass.Effect {
	if m.From == r.self.ID {
		return nil
	}
	if r.loads != nil {
		if m.Role == gooseberrypass.RoleEntry {
			r.noteReader(now, m)
			r.recall.SetCrashCounts(m.From, m.Breaks)
			r.recall.SetRefused(m.Refused)
			r.loads.SetEntryLoads(now, m.From, m.Shares)
		}
		if m.Notice != nil {
			r.noteNotice(now, m)
		}
		if m.Role == gooseberrypass.RoleAgent && r.ahead(m) {
			r.sender.Send(r.message(now, gooseberrypass.RoleAgent), []string{m.Address})
		}
	}
	var effects []gooseberrypass.Effect
	for topic, next := range m.Next {
		if r.wants(topic) && r.lacks(now, topic, next) {
			r.pulling[topic] = true
			effects = append(effects, pull{client: r.client, from: r.surveyor.NextOffset(topic), peer: m.Address, timeout: r.settings.Timeout, topic: topic})
		}
	}
	return effects
}

// lacks reports whether records are to be asked of a process that has read a
// topic up to next. Messages of those that are behind too say nothing.
func (r *Relayer) lacks(now time.Time, topic gooseberrypass.Topic, next gooseberrypass.Offset) bool {
	r.heard[topic] = max(r.heard[topic], next)
	own := r.surveyor.NextOffset(topic)
	if own >= r.heard[topic] {
		delete(r.behind, topic)
		return false
	}
	if _, ok := r.behind[topic]; !ok {
		r.behind[topic] = now
	}
	return next > own && !r.pulling[topic] && now.Sub(r.behind[topic]) >= r.patience(topic)
}

// noteNotice takes in what an agent says of its endpoint, and tells of changes.
func (r *Relayer) noteNotice(now time.Time, m gossiper.Message) {
	n, old := *m.Notice, r.notices[m.Notice.Address]
	r.loads.SetEndpointStatus(now, n)
	if n.Loading == old.Loading && n.EngineStartMillis == old.EngineStartMillis && maps.Equal(n.Models, old.Models) {
		return
	}
	r.notices[n.Address] = n
	r.logger.WithFields(logrus.Fields{
		"address": n.Address, "agent": m.From, "born": n.EngineStartMillis, "loading": n.Loading, "models": n.Models,
	}).Info("agent told of its endpoint")
}

// ahead reports whether this process has read further than the agent that sent
// a message.
func (r *Relayer) ahead(m gossiper.Message) bool {
	for _, topic := range []gooseberrypass.Topic{gooseberrypass.TopicOperator, gooseberrypass.TopicProcesses} {
		if m.Next[topic] < r.surveyor.NextAgentOffset(topic) {
			return true
		}
	}
	return false
}

// wants reports whether the process follows a topic.
func (r *Relayer) wants(topic gooseberrypass.Topic) bool {
	return r.loads != nil || topic != gooseberrypass.TopicEndpoints
}

// patience is none for a process that does not read the log itself.
func (r *Relayer) patience(topic gooseberrypass.Topic) time.Duration {
	switch {
	case r.loads == nil || r.rests.Load():
		return 0
	case topic == gooseberrypass.TopicEndpoints:
		return r.settings.ListPatience
	default:
		return r.settings.Patience
	}
}

// take hands over the records of a pull as if they had been read.
func (r *Relayer) take(e pulled) []gooseberrypass.Effect {
	r.pulling[e.topic] = false
	delete(r.behind, e.topic)
	if e.err != nil {
		r.logger.WithError(e.err).WithField("peer", e.peer).WithField("topic", e.topic).Info("records not taken from another process")
		return nil
	}
	r.logger.WithFields(logrus.Fields{"peer": e.peer, "topic": e.topic, "next": e.document.Next, "records": len(e.document.Records)}).Info("records taken from another process")
	return []gooseberrypass.Effect{handOver{event: e.document.event(e.topic)}}
}

// A handOver gives an event back to the control loop, for all controllers.
type handOver struct {
	event gooseberrypass.Event
}

// EffectName implements gooseberrypass.Effect.
func (handOver) EffectName() string { return "hand-over" }

// Run implements gooseberrypass.Effect.
func (h handOver) Run(context.Context) gooseberrypass.Event { return h.event }

var (
	_ gooseberrypass.Controller = (*Relayer)(nil)
	_ gooseberrypass.Effect     = handOver{}
)
