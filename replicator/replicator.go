// Package replicator replicates the keyed topics between processes, for when the
// platform's log rejects some of them: each process announces the offsets that it
// has read up to, and one that is behind pulls the records from one that is ahead.
package replicator

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// Pattern is the http.ServeMux pattern of the handler that NewHandler returns.
const Pattern = "GET /topics/{topic}"

// maxPullSize bounds the decompressed response to one pull, in bytes.
const maxPullSize = 16 << 20

// maxPullItems bounds the records and versions in the response to one pull. Decoded, so
// many take about as much memory as maxPullSize.
const maxPullItems = 1 << 17

// fieldPeer is the log field of the process that records came from.
const fieldPeer = "peer"

// topics returns the topics that processes pull from each other.
func topics() []gooseberrypass.Topic {
	return []gooseberrypass.Topic{gooseberrypass.TopicEndpoints, gooseberrypass.TopicOperator, gooseberrypass.TopicProcesses}
}

// Settings tune a Replicator.
type Settings struct {
	Fanout        int           // number of agents to which an agent announces a change
	FarPeriod     time.Duration // interval of messages to entries of other regions
	FarPeriodMost time.Duration // longest such interval; the reports of a process must not expire meanwhile
	FarRate       float64       // messages a second to entries of other regions above which the interval grows, 0 for no limit
	ListPullDelay time.Duration // lag of own reads of the endpoint list, which changes all the time, after which records are pulled
	MaxListAge    time.Duration // age of a reader's last read of the endpoint list after which another entry takes over
	Period        time.Duration // interval of messages to entries of the own region while nothing changes
	PullDelay     time.Duration // lag of own reads of other topics after which records are pulled
	PullTimeout   time.Duration // limit of one pull
	ReaderTimeout time.Duration // time without a message from a reader after which another entry takes over
	VersionLife   time.Duration // age up to which messages to entries carry a version; at least the time for which older ones may be used
}

// A Sender sends messages, which may be lost.
type Sender interface {
	Send(m gossiper.Message, addresses []string)
}

// A LoadExchange exchanges an entry's load on the endpoints, and what it has heard from
// them, with other entries. It is nil in agents.
type LoadExchange interface {
	AddAdvisories(now time.Time, from gooseberrypass.ID, reports []balancer.AdvisoryReport)
	OwnAdvisories() []balancer.AdvisoryReport
	OwnDemand() map[gooseberrypass.ID]float64
	SetEndpointStatus(now time.Time, status balancer.EndpointStatus)
	SetEntryDemand(from gooseberrypass.ID, demand map[gooseberrypass.ID]float64)
	SetEntryLoads(now time.Time, from gooseberrypass.ID, loads map[gooseberrypass.ID]balancer.Load)
	OwnLoads() map[gooseberrypass.ID]balancer.Load
}

// A RequestHistory exchanges what entries remember of requests: how many endpoint
// failures each is suspected of, under which parts of prompts endpoints crashed, and
// which were refused for load. Requests are
// identified by the first eight bytes of their digests. It is nil in agents.
type RequestHistory interface {
	AddCrashEvidence(from gooseberrypass.ID, e attributor.Evidence)
	AddRequestCrashes(told []gooseberrypass.RequestCrashes)
	CrashEvidence() attributor.Evidence
	Refused() []uint64
	RequestCrashes() []gooseberrypass.RequestCrashes
	SetRefused(keys []uint64)
}

// Self is the process that a Replicator belongs to.
type Self struct {
	Address string // for other processes
	ID      gooseberrypass.ID
	Region  gooseberrypass.Region
	Role    gooseberrypass.Role
}

// A Replicator is the controller that announces the offsets of this process, pulls
// the records that it lacks and decides whether it reads the log itself.
type Replicator struct {
	announced         gooseberrypass.Offset              // next offset of the operator's topic last announced to entries
	announcedToAgents gooseberrypass.Offset              // next offset of the operator's topic last announced to agents
	askedFar          int                                // messages to agents that other entries serve, by an entry that has just started
	behindSince       map[gooseberrypass.Topic]time.Time // when this process fell behind another
	backlogs          BacklogExchange
	client            *http.Client
	farEntries        int                           // entries of other regions at the last message to all
	contacts          map[gooseberrypass.ID]contact // with agents; entries only
	departure         departure                     // of the own endpoint
	history           RequestHistory
	listReadAt        time.Time // last successful own read of the endpoint list
	loads             LoadExchange
	logger            logrus.FieldLogger
	manifests         []gooseberrypass.ModelTarget // offered to other agents, the newest last
	materializer      *materializer.Materializer
	pulling           map[gooseberrypass.Topic]bool
	readers           map[gooseberrypass.ID]reader                   // entries of the own region with a lower id
	remoteNext        map[gooseberrypass.Topic]gooseberrypass.Offset // highest next offset announced by another process
	repliedAt         map[gooseberrypass.ID]time.Time                // last reply to each entry that had just started
	rng               *rand.Rand
	self              Self
	sender            Sender
	sentAllAt         time.Time // last message to all entries
	sentAt            time.Time // last message to entries of the own region
	settings          Settings
	startedAt         time.Time // first read of the list of processes by an entry
	standstill        standstill
	standby           atomic.Bool                        // another process reads the log
	status            *balancer.EndpointStatus           // status of the own endpoint, nil in entries
	statuses          map[string]balancer.EndpointStatus // last status of each endpoint, by address
}

// New returns a replicator. loads, backlogs and history are nil in an agent.
func New(self Self, m *materializer.Materializer, sender Sender, client *http.Client, loads LoadExchange, backlogs BacklogExchange, history RequestHistory, settings Settings, seed uint64, logger logrus.FieldLogger) *Replicator {
	return &Replicator{
		backlogs: backlogs, behindSince: map[gooseberrypass.Topic]time.Time{}, client: client, contacts: map[gooseberrypass.ID]contact{}, remoteNext: map[gooseberrypass.Topic]gooseberrypass.Offset{}, loads: loads, logger: logger,
		statuses: map[string]balancer.EndpointStatus{}, pulling: map[gooseberrypass.Topic]bool{}, history: history, readers: map[gooseberrypass.ID]reader{}, rng: rand.New(rand.NewPCG(seed, seed)), self: self, sender: sender,
		materializer: m, repliedAt: map[gooseberrypass.ID]time.Time{}, settings: settings,
	}
}

// SetEndpointStatus replaces the status of an agent's endpoint and sends it at once.
// It must be called on the control goroutine.
func (r *Replicator) SetEndpointStatus(now time.Time, status balancer.EndpointStatus) {
	r.status = &status
	r.broadcast(now)
}

// maxManifests is the number of manifests on offer: that of the loaded version and
// those of the newest two.
const maxManifests = 3

// OfferManifest offers the manifest of t to a few other agents, which offer it to
// further ones. It must be called on the control goroutine.
func (r *Replicator) OfferManifest(now time.Time, t gooseberrypass.ModelTarget) {
	r.manifests = append(r.manifests, t)
	r.manifests = r.manifests[max(0, len(r.manifests)-maxManifests):]
	r.sender.Send(r.message(now, gooseberrypass.RoleAgent), r.randomAgents())
}

// Handle implements gooseberrypass.Controller.
func (r *Replicator) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	r.standstill.record(now)
	switch e := event.(type) {
	case gooseberrypass.Tick:
		r.electReader(now)
		r.sendPeriodic(now)
		if r.loads != nil {
			r.greetAgents(now)
		}
	case gooseberrypass.TopicChanged:
		r.resetContacts(e)
		r.recordStart(now, e)
		r.announce(now, e)
	case gooseberrypass.TopicRead:
		r.recordRead(now, e)
	case gossiper.Received:
		return r.receive(now, e)
	case pullDone:
		return r.finishPull(now, e)
	}
	return nil
}

// message returns the message to a process of role to.
func (r *Replicator) message(now time.Time, to gooseberrypass.Role) gossiper.Message {
	next := r.materializer.NextOffset
	if to == gooseberrypass.RoleAgent {
		next = r.materializer.NextAgentOffset
	}
	m := gossiper.Message{
		Address: r.self.Address, From: r.self.ID, EndpointStatus: r.status, Region: r.self.Region, Role: r.self.Role, Starting: r.isStarting(now),
		Next: map[gooseberrypass.Topic]gooseberrypass.Offset{
			gooseberrypass.TopicOperator:  next(gooseberrypass.TopicOperator),
			gooseberrypass.TopicProcesses: next(gooseberrypass.TopicProcesses),
		},
	}
	if to == gooseberrypass.RoleAgent {
		m.Manifests = r.manifests
	}
	if r.loads == nil && to == gooseberrypass.RoleEntry {
		m.Advisories = r.ownDeparture(now)
	}
	if r.loads != nil && to == gooseberrypass.RoleEntry {
		m.CrashEvidence, m.Refused, m.RequestCrashes = r.history.CrashEvidence(), r.history.Refused(), r.history.RequestCrashes()
		m.Advisories, m.Demand, m.Loads = r.loads.OwnAdvisories(), r.loads.OwnDemand(), r.loads.OwnLoads()
		m.ListAge = r.listAge(now)
		if r.backlogs != nil {
			m.Backlogs = r.backlogs.OwnBacklogs()
		}
		m.Outranked, m.Targets = r.outranked(), r.recentTargets(now)
		m.Next[gooseberrypass.TopicEndpoints] = next(gooseberrypass.TopicEndpoints)
	}
	return m
}

// recentTargets returns the versions that were seen being named within VersionLife.
func (r *Replicator) recentTargets(now time.Time) []gooseberrypass.AgedTarget {
	return slices.DeleteFunc(r.materializer.AgedTargets(now), func(a gooseberrypass.AgedTarget) bool {
		return !a.Observed || a.Age > r.settings.VersionLife
	})
}

// sendPeriodic sends the regular messages. Entries of other regions get them less
// often than those of the own region because links between regions have little
// bandwidth and requests rarely go there.
func (r *Replicator) sendPeriodic(now time.Time) {
	if now.Sub(r.sentAllAt) >= r.farPeriod() {
		r.broadcast(now)
		return
	}
	if now.Sub(r.sentAt) < r.settings.Period {
		return
	}
	near := r.addresses(gooseberrypass.RoleEntry, r.self.Region)
	if len(near) == 0 && r.self.Role == gooseberrypass.RoleAgent {
		r.broadcast(now) // another region's entries serve this one
		return
	}
	r.sentAt = now
	r.sender.Send(r.message(now, gooseberrypass.RoleEntry), near)
}

// farPeriod returns the interval of messages to all entries. Each entry sends to every
// other one, so that the messages of all grow with the square of their number unless
// the interval grows too.
func (r *Replicator) farPeriod() time.Duration {
	period := max(r.settings.FarPeriod, r.settings.Period)
	if r.settings.FarRate <= 0 {
		return period
	}
	stretched := time.Duration(float64(r.farEntries) / r.settings.FarRate * float64(time.Second))
	return max(period, min(stretched, r.settings.FarPeriodMost))
}

// broadcast sends a message to all entries.
func (r *Replicator) broadcast(now time.Time) {
	r.sentAt, r.sentAllAt = now, now
	all := r.addresses(gooseberrypass.RoleEntry, "")
	r.farEntries = len(all) - len(r.addresses(gooseberrypass.RoleEntry, r.self.Region))
	r.sender.Send(r.message(now, gooseberrypass.RoleEntry), all)
}

// addresses returns the addresses of the other processes of a role in a region; ""
// stands for all regions.
func (r *Replicator) addresses(role gooseberrypass.Role, region gooseberrypass.Region) []string {
	var addresses []string
	for _, p := range r.materializer.Snapshot().Processes {
		if p.Role == role && p.ID != r.self.ID && (region == "" || p.Region == region) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// announce tells other processes about new records of the operator.
func (r *Replicator) announce(now time.Time, e gooseberrypass.TopicChanged) {
	switch {
	case e.Topic == gooseberrypass.TopicProcesses && e.FirstRead:
		r.announced, r.announcedToAgents = 0, 0 // no other processes were known before
	case e.Topic != gooseberrypass.TopicOperator:
		return
	}
	if next := r.materializer.NextOffset(gooseberrypass.TopicOperator); next > r.announced || e.FirstRead {
		r.announced = next
		r.broadcast(now)
	}
	next := r.materializer.NextAgentOffset(gooseberrypass.TopicOperator)
	if next <= r.announcedToAgents {
		return
	}
	r.announcedToAgents = next
	// Agents of other regions learn of the change from entries there, or in response
	// to their next message.
	agents := r.addresses(gooseberrypass.RoleAgent, r.self.Region)
	if r.self.Role == gooseberrypass.RoleAgent {
		agents = r.randomAgents()
	}
	r.sender.Send(r.message(now, gooseberrypass.RoleAgent), agents)
}

// randomAgents returns random other agents, as many as a change is announced to.
func (r *Replicator) randomAgents() []string {
	agents := r.addresses(gooseberrypass.RoleAgent, "")
	r.rng.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	return agents[:min(len(agents), r.settings.Fanout)]
}

// receive handles a message and pulls the records that this process lacks from the
// sender.
func (r *Replicator) receive(now time.Time, e gossiper.Received) []gooseberrypass.Effect {
	m := e.Message
	if m.From == r.self.ID {
		return nil
	}
	r.contain(m.From, func() { r.replyToStart(now, m) })
	if r.loads != nil {
		r.contain(m.From, func() { r.receiveAtEntry(now, m) })
	}
	var effects []gooseberrypass.Effect
	if news := r.materializer.NewTargets(now, r.standstill.aged(now.Add(-e.Waited), m.Targets)); len(news) > 0 {
		r.logger.WithFields(logrus.Fields{fieldPeer: m.From, "versions": news}).Info("another process saw versions being named earlier")
		effects = append(effects, redispatch{event: gooseberrypass.TopicChanged{Ages: []time.Duration{}, Targets: news, Topic: gooseberrypass.TopicOperator}})
	}
	for topic, next := range m.Next {
		if r.follows(topic) && r.shouldPull(now, topic, next) {
			effects = append(effects, r.pull(now, topic, m.Address, r.materializer.NextOffset(topic)))
		}
	}
	for _, topic := range m.Outranked {
		if r.follows(topic) && !r.pulling[topic] && r.materializer.MissedRestore(topic) {
			effects = append(effects, r.pull(now, topic, m.Address, 0))
		}
	}
	return effects
}

// receiveAtEntry handles the parts of a message that only entries need.
func (r *Replicator) receiveAtEntry(now time.Time, m gossiper.Message) {
	if m.Role == gooseberrypass.RoleEntry {
		r.recordReader(now, m)
		r.history.AddCrashEvidence(m.From, m.CrashEvidence)
		r.materializer.ObserveRead(now, m.ListAge, m.Region == r.self.Region)
		r.history.AddRequestCrashes(m.RequestCrashes)
		r.history.SetRefused(m.Refused)
		r.loads.SetEntryLoads(now, m.From, m.Loads)
		r.loads.AddAdvisories(now, m.From, m.Advisories)
		r.loads.SetEntryDemand(m.From, m.Demand)
		if r.backlogs != nil {
			r.backlogs.SetEntryBacklogs(now, m.From, m.Backlogs)
		}
	}
	if m.EndpointStatus != nil {
		r.handleStatus(now, m)
	}
	if m.Role == gooseberrypass.RoleAgent {
		r.contacts[m.From] = contact{heardAt: now}
		r.loads.AddAdvisories(now, m.From, r.departuresOf(m))
	}
	if m.Role == gooseberrypass.RoleAgent && r.isAheadOf(m) {
		r.sender.Send(r.message(now, gooseberrypass.RoleAgent), []string{m.Address})
	}
}

// outranked returns the topics of which this process knows newer records than the log.
func (r *Replicator) outranked() []gooseberrypass.Topic {
	var outranked []gooseberrypass.Topic
	for _, topic := range topics() {
		if r.materializer.Outranks(topic) {
			outranked = append(outranked, topic)
		}
	}
	return outranked
}

// handleStatus passes the status of an endpoint to the balancer and logs changes.
func (r *Replicator) handleStatus(now time.Time, m gossiper.Message) {
	status, old := *m.EndpointStatus, r.statuses[m.EndpointStatus.Address]
	r.loads.SetEndpointStatus(now, status)
	if status.Loading == old.Loading && status.EngineStartMillis == old.EngineStartMillis && maps.Equal(status.Models, old.Models) {
		return
	}
	r.statuses[status.Address] = status
	r.logger.WithFields(logrus.Fields{
		"address": status.Address, "agent": m.From, "born": status.EngineStartMillis, "loading": status.Loading, "models": status.Models,
	}).Info("agent reported a change of its endpoint")
}

// isAheadOf reports whether this process has read further than the agent that sent
// m.
func (r *Replicator) isAheadOf(m gossiper.Message) bool {
	for _, topic := range []gooseberrypass.Topic{gooseberrypass.TopicOperator, gooseberrypass.TopicProcesses} {
		if m.Next[topic] < r.materializer.NextAgentOffset(topic) {
			return true
		}
	}
	return false
}

// A redispatch returns an event to the control loop, which passes it to all
// controllers.
type redispatch struct {
	event gooseberrypass.Event
}

// EffectName implements gooseberrypass.Effect.
func (redispatch) EffectName() string { return "hand-over" }

// Run implements gooseberrypass.Effect.
func (r redispatch) Run(context.Context) gooseberrypass.Event { return r.event }

var (
	_ gooseberrypass.Controller = (*Replicator)(nil)
	_ gooseberrypass.Effect     = redispatch{}
)
