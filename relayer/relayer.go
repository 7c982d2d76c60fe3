// Package relayer keeps processes in step when the platform's log turns some of
// them away: each tells the others how far it has read, and whoever is behind
// takes the records from one that is ahead.
package relayer

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
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
	Patience time.Duration // with the own read of the log, before another process is asked
	Period   time.Duration // between messages when nothing changes
	Spread   int           // agents that a change is told to by another agent
	Timeout  time.Duration // of a pull
}

// A Sender sends messages.
type Sender interface {
	Send(m gossiper.Message, addresses []string)
}

// Loads is what an entry tells of its requests and hears from others. It is nil
// in agents.
type Loads interface {
	SetNotice(now time.Time, n balancer.Notice)
	SetOthers(now time.Time, from gooseberrypass.ID, shares map[gooseberrypass.ID]balancer.Share)
	Shares() map[gooseberrypass.ID]balancer.Share
}

// Self is the process that a Relayer belongs to.
type Self struct {
	Address string
	ID      gooseberrypass.ID
	Role    gooseberrypass.Role
}

// A Relayer is a controller.
type Relayer struct {
	behind   map[gooseberrypass.Topic]time.Time // since when another is ahead
	client   *http.Client
	loads    Loads
	logger   logrus.FieldLogger
	notice   *balancer.Notice
	notices  map[string]balancer.Notice // last of each endpoint, by address
	pulling  map[gooseberrypass.Topic]bool
	rng      *rand.Rand
	self     Self
	sender   Sender
	sent     time.Time
	settings Settings
	surveyor *surveyor.Surveyor
	told     gooseberrypass.Offset // of the operator's topic, told to others
}

// New returns a relayer. loads may be nil.
func New(self Self, s *surveyor.Surveyor, sender Sender, client *http.Client, loads Loads, settings Settings, seed uint64, logger logrus.FieldLogger) *Relayer {
	return &Relayer{
		behind: map[gooseberrypass.Topic]time.Time{}, client: client, loads: loads, logger: logger,
		notices: map[string]balancer.Notice{}, pulling: map[gooseberrypass.Topic]bool{}, rng: rand.New(rand.NewPCG(seed, seed)), self: self, sender: sender,
		settings: settings, surveyor: s,
	}
}

// SetNotice replaces what an agent says of its endpoint and tells it at once.
// It must be called on the control goroutine.
func (r *Relayer) SetNotice(now time.Time, n balancer.Notice) {
	r.notice = &n
	r.tell(now)
}

// Handle implements gooseberrypass.Controller.
func (r *Relayer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.Tick:
		if now.Sub(r.sent) >= r.settings.Period {
			r.tell(now)
		}
	case gooseberrypass.TopicChanged:
		r.spread(now, e)
	case gossiper.Received:
		return r.receive(now, e.Message)
	case pulled:
		return r.take(e)
	}
	return nil
}

// message returns what this process has to say.
func (r *Relayer) message() gossiper.Message {
	m := gossiper.Message{
		Address: r.self.Address, From: r.self.ID, Notice: r.notice, Role: r.self.Role,
		Next: map[gooseberrypass.Topic]gooseberrypass.Offset{
			gooseberrypass.TopicOperator: r.surveyor.Next(gooseberrypass.TopicOperator),
		},
	}
	m.Next[gooseberrypass.TopicProcesses] = r.surveyor.Next(gooseberrypass.TopicProcesses)
	if r.loads != nil {
		m.Shares = r.loads.Shares()
		m.Next[gooseberrypass.TopicEndpoints] = r.surveyor.Next(gooseberrypass.TopicEndpoints)
	}
	return m
}

// tell sends a message to all entries.
func (r *Relayer) tell(now time.Time) {
	r.sent = now
	r.sender.Send(r.message(), r.addresses(gooseberrypass.RoleEntry))
}

func (r *Relayer) addresses(role gooseberrypass.Role) []string {
	var addresses []string
	for _, p := range r.surveyor.Snapshot().Processes {
		if p.Role == role && p.ID != r.self.ID {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// spread tells others of new records of the operator.
func (r *Relayer) spread(now time.Time, e gooseberrypass.TopicChanged) {
	next := r.surveyor.Next(e.Topic)
	if e.Topic != gooseberrypass.TopicOperator || next <= r.told {
		return
	}
	r.told = next
	r.tell(now)
	agents := r.addresses(gooseberrypass.RoleAgent)
	r.rng.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	if r.self.Role == gooseberrypass.RoleAgent {
		agents = agents[:min(len(agents), r.settings.Spread)]
	}
	r.sender.Send(r.message(), agents)
}

// receive takes in a message and asks its sender for the records that are
// missing here.
func (r *Relayer) receive(now time.Time, m gossiper.Message) []gooseberrypass.Effect {
	if m.From == r.self.ID {
		return nil
	}
	if r.loads != nil {
		if m.Role == gooseberrypass.RoleEntry {
			r.loads.SetOthers(now, m.From, m.Shares)
		}
		if m.Notice != nil {
			r.noteNotice(now, m)
		}
		if m.Role == gooseberrypass.RoleAgent && r.ahead(m) {
			r.sender.Send(r.message(), []string{m.Address})
		}
	}
	var effects []gooseberrypass.Effect
	for topic, next := range m.Next {
		if !r.wants(topic) || next <= r.surveyor.Next(topic) {
			delete(r.behind, topic)
			continue
		}
		since, ok := r.behind[topic]
		if !ok {
			r.behind[topic] = now
			since = now
		}
		if patience := r.patience(topic); now.Sub(since) < patience || r.pulling[topic] {
			continue
		}
		r.pulling[topic] = true
		effects = append(effects, pull{client: r.client, from: r.surveyor.Next(topic), peer: m.Address, timeout: r.settings.Timeout, topic: topic})
	}
	return effects
}

// noteNotice takes in what an agent says of its endpoint, and tells of changes.
func (r *Relayer) noteNotice(now time.Time, m gossiper.Message) {
	n, old := *m.Notice, r.notices[m.Notice.Address]
	r.loads.SetNotice(now, n)
	if n.Loading == old.Loading && n.Born == old.Born && maps.Equal(n.Models, old.Models) {
		return
	}
	r.notices[n.Address] = n
	r.logger.WithFields(logrus.Fields{
		"address": n.Address, "agent": m.From, "born": n.Born, "loading": n.Loading, "models": n.Models,
	}).Info("agent told of its endpoint")
}

// ahead reports whether this process has read further than the agent that sent
// a message.
func (r *Relayer) ahead(m gossiper.Message) bool {
	for _, topic := range []gooseberrypass.Topic{gooseberrypass.TopicOperator, gooseberrypass.TopicProcesses} {
		if m.Next[topic] < r.surveyor.Next(topic) {
			return true
		}
	}
	return false
}

// wants reports whether the process follows a topic.
func (r *Relayer) wants(topic gooseberrypass.Topic) bool {
	return r.loads != nil || topic != gooseberrypass.TopicEndpoints
}

// patience is none for records that change seldom. The list of endpoints changes
// so often that every process is behind some other one.
func (r *Relayer) patience(topic gooseberrypass.Topic) time.Duration {
	if topic == gooseberrypass.TopicEndpoints {
		return r.settings.Patience
	}
	return 0
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
	ages := make([]time.Duration, 0, len(e.document.AgesMs))
	for _, ms := range e.document.AgesMs {
		ages = append(ages, time.Duration(ms)*time.Millisecond)
	}
	return []gooseberrypass.Effect{handOver{event: gooseberrypass.TopicChanged{
		Ages:  ages,
		Batch: gooseberrypass.KeyedBatch{Next: e.document.Next, Records: e.document.Records},
		Topic: e.topic,
	}}}
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
