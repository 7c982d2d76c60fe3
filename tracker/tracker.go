// Package tracker maintains the view of the members of the system. It combines
// the platform's list of instances, which lags, with the status that the agents
// report.
package tracker

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// maxTickGap is the longest normal time between two ticks. After a longer one the
// tracker concludes that this process was paused, not its peers.
const maxTickGap = time.Second

// staleListLimit is how long lists with a lower revision than the last usable one
// are ignored.
const staleListLimit = time.Minute

// selectionPeriod is how often the agents to follow are reselected.
const selectionPeriod = time.Second

// A Dialer returns a client for the agent at an address.
type Dialer func(address string) wire.Agent

// A peer is an instance known to the tracker.
type peer struct {
	answerDue time.Time // when the poll in flight times out
	failures  int       // consecutive failed polls
	followed  bool      // its status is polled
	lastSeen  time.Time // last answer, or when it was first listed or followed
	listed    gooseberrypass.ListedInstance
	missing   bool // not in the last usable list
	polling   bool // a status poll is in flight
	silent    bool
	status    *gooseberrypass.AgentStatus
}

// A Tracker is the controller that maintains the view of the members. Members may
// be called on any goroutine, Handle only on that of the control loop.
type Tracker struct {
	agents      map[gooseberrypass.ID]wire.Agent
	clock       gooseberrypass.Clock
	dial        Dialer
	followed    map[gooseberrypass.ID]*peer
	lastTick    time.Time
	list        gooseberrypass.InstanceList
	listed      []gooseberrypass.ListedInstance // the last usable list
	listPolling bool                            // a list poll is in flight
	logger      logrus.FieldLogger
	members     atomic.Pointer[[]gooseberrypass.Member]
	metrics     *metrics
	nextList    time.Time
	pacing      pacing
	peers       map[gooseberrypass.ID]*peer
	revision    uint64    // of the last usable list
	selectedAt  time.Time // when the agents to follow were last selected
	selector    Selector
	unusable    bool      // the last list poll failed or gave an unusable list
	usableAt    time.Time // of the last usable list

	withoutLoad bool // the load of agents is not needed
}

// An Option configures a Tracker.
type Option func(*Tracker)

// WithoutLoad makes a tracker follow the state of agents but not their load, which
// needs far fewer polls.
func WithoutLoad() Option {
	return func(t *Tracker) { t.withoutLoad = true }
}

// New returns a tracker of the instances in list. It polls the status of the
// agents that selector selects, with clients from dial.
func New(
	clock gooseberrypass.Clock,
	list gooseberrypass.InstanceList,
	dial Dialer,
	selector Selector,
	registerer prometheus.Registerer,
	logger logrus.FieldLogger,
	options ...Option,
) (*Tracker, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	t := &Tracker{
		agents:   map[gooseberrypass.ID]wire.Agent{},
		clock:    clock,
		dial:     dial,
		followed: map[gooseberrypass.ID]*peer{},
		list:     list,
		logger:   logger,
		metrics:  m,
		peers:    map[gooseberrypass.ID]*peer{},
		selector: selector,
	}
	for _, option := range options {
		option(t)
	}
	t.pacing = newPacing(0, t.withoutLoad)
	t.members.Store(&[]gooseberrypass.Member{})
	return t, nil
}

// Members returns the members sorted by ID.
func (t *Tracker) Members() []gooseberrypass.Member { return *t.members.Load() }

// Handle implements gooseberrypass.Controller.
func (t *Tracker) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	var changed bool
	switch e := event.(type) {
	case gooseberrypass.Tick:
		changed = t.handleTick(now)
	case gooseberrypass.ListingObserved:
		changed = t.handleListing(now, e)
	case StatusObserved:
		changed = t.handleStatus(now, e)
	default:
		return nil
	}
	effects := t.polls(now)
	if changed {
		effects = append(effects, membersChanged{members: t.Members()})
	}
	return effects
}

// handleTick detects silent agents and reselects the agents to follow. After a
// pause of this process all deadlines of polls have passed without the peers
// being at fault, so they are extended by the length of the pause.
func (t *Tracker) handleTick(now time.Time) bool {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > maxTickGap
	t.lastTick = now
	changed := false
	for id, p := range t.followed {
		if paused {
			p.answerDue = p.answerDue.Add(gap)
			p.lastSeen = p.lastSeen.Add(gap)
		}
		silent := now.Sub(p.lastSeen) > t.pacing.silenceTimeout() && (p.failures > 0 || now.After(p.answerDue))
		if silent != p.silent {
			p.silent = silent
			changed = true
			t.logger.WithField("instance", id).WithField("silent", silent).Info("instance became silent or answered again")
		}
		if p.missing && silent {
			t.remove(id)
			changed = true
		}
	}
	if now.Sub(t.selectedAt) >= selectionPeriod {
		changed = t.updateFollowed(now) || changed
	}
	if changed {
		t.publish()
	}
	return changed
}

// handleListing updates the peers from an answer of the list. It reports whether
// the members have changed.
func (t *Tracker) handleListing(now time.Time, e gooseberrypass.ListingObserved) bool {
	t.listPolling = false
	t.nextList = now.Add(listPause(e.Listing))
	if !t.usable(now, e) {
		return false
	}
	t.revision = e.Listing.Revision
	listed := make(map[gooseberrypass.ID]bool, len(e.Listing.Instances))
	changed := false
	for _, l := range e.Listing.Instances {
		listed[l.ID] = true
		changed = t.upsert(now, l) || changed
	}
	for id, p := range t.peers {
		if listed[id] {
			continue
		}
		changed = t.handleUnlisted(id, p) || changed
	}
	t.listed = e.Listing.Instances
	if changed {
		t.updateFollowed(now)
		t.publish()
	}
	return changed
}

// usable reports whether to apply an answer of the list. A failed or empty one, or
// one with a lower revision than the last, is ignored, so that the known members
// keep serving. After staleListLimit without a usable list a lower revision is
// accepted: the platform has restarted its numbering.
func (t *Tracker) usable(now time.Time, e gooseberrypass.ListingObserved) bool {
	cause := ""
	switch {
	case e.Err != nil:
		cause = "failed"
	case len(e.Listing.Instances) == 0:
		cause = "empty"
	case e.Listing.Revision < t.revision && now.Sub(t.usableAt) < staleListLimit:
		cause = "old"
	default:
		t.usableAt = now
	}
	if cause != "" {
		t.metrics.listings.WithLabelValues(cause).Inc()
		if !t.unusable {
			t.logger.WithError(e.Err).WithField("cause", cause).Warn("instance list poll failed or returned an unusable list; keeping the known members")
		}
		t.unusable = true
		return false
	}
	t.metrics.listings.WithLabelValues("good").Inc()
	if t.unusable {
		t.logger.Info("instance list is usable again")
	}
	t.unusable = false
	return true
}

// upsert adds a listed instance or updates the known one. It reports whether
// anything has changed. If the address has changed, the client, the status and
// the poll in flight belong to the old address and are dropped.
func (t *Tracker) upsert(now time.Time, l gooseberrypass.ListedInstance) bool {
	p, ok := t.peers[l.ID]
	if !ok {
		t.peers[l.ID] = &peer{lastSeen: now, listed: l}
		return true
	}
	if p.listed == l && !p.missing {
		return false
	}
	if p.listed.Address != l.Address {
		delete(t.agents, l.ID)
		p.polling = false
		p.status = nil
		p.lastSeen = now
	}
	p.listed = l
	p.missing = false
	return true
}

// handleUnlisted handles a peer that is not in the last usable list. A followed
// one that still answers is kept until it becomes silent or leaves; any other is
// removed. It reports whether the members have changed.
func (t *Tracker) handleUnlisted(id gooseberrypass.ID, p *peer) bool {
	if p.followed && !p.silent && p.status != nil && !p.status.Leaving {
		changed := !p.missing
		p.missing = true
		return changed
	}
	t.remove(id)
	return true
}

func (t *Tracker) remove(id gooseberrypass.ID) {
	delete(t.peers, id)
	delete(t.followed, id)
	delete(t.agents, id)
}

// updateFollowed selects the agents to follow. It reports whether they have
// changed.
func (t *Tracker) updateFollowed(now time.Time) bool {
	t.selectedAt = now
	selected := map[gooseberrypass.ID]bool{}
	for _, id := range t.selector(slices.Clone(t.listed)) {
		selected[id] = true
	}
	changed := false
	for id, p := range t.peers {
		followed := selected[id] || p.missing
		changed = changed || followed != p.followed
		if followed && !p.followed {
			p.lastSeen = now
			p.silent = false
		}
		p.followed = followed
		if followed {
			t.followed[id] = p
			continue
		}
		p.status = nil
		delete(t.followed, id)
		delete(t.agents, id)
	}
	t.pacing = newPacing(len(t.followed), t.withoutLoad)
	t.metrics.followed.Set(float64(len(t.followed)))
	return changed
}

// handleStatus records the end of a status poll. It reports whether the member was
// silent or anything but its load has changed. Answers from a former address are
// ignored.
func (t *Tracker) handleStatus(now time.Time, e StatusObserved) bool {
	p, ok := t.peers[e.ID]
	if !ok {
		return false
	}
	if e.Address != p.listed.Address {
		return false
	}
	p.polling = false
	if e.Err != nil {
		p.failures++
		t.metrics.polls.WithLabelValues("failed").Inc()
		return false
	}
	t.metrics.polls.WithLabelValues("answered").Inc()
	if !p.followed {
		return false
	}
	changed := p.silent || !equalExceptLoad(p.status, e.Status)
	p.failures = 0
	p.lastSeen = now
	p.silent = false
	p.status = e.Status
	if p.missing && e.Status.Leaving {
		t.remove(e.ID)
	}
	t.publish()
	return changed
}

// polls returns the polls to start now. At most one poll of the list and one of
// each followed peer is in flight.
func (t *Tracker) polls(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !t.listPolling && !now.Before(t.nextList) {
		t.listPolling = true
		effects = append(effects, listPoll{clock: t.clock, list: t.list, timeout: listPollTimeout})
	}
	for id, p := range t.followed {
		if p.polling {
			continue
		}
		p.polling = true
		poll := t.poll(id, p)
		p.answerDue = now.Add(poll.pause + poll.timeout)
		effects = append(effects, poll)
	}
	return effects
}

// poll returns the next status poll of a peer. After a failure the agent is asked
// to answer without waiting for a change.
func (t *Tracker) poll(id gooseberrypass.ID, p *peer) statusPoll {
	agent, ok := t.agents[id]
	if !ok {
		agent = t.dial(p.listed.Address)
		t.agents[id] = agent
	}
	poll := statusPoll{
		address:  p.listed.Address,
		agent:    agent,
		clock:    t.clock,
		id:       id,
		loadWait: t.pacing.loadWait,
		timeout:  t.pacing.wait + pollAnswerTimeout,
		wait:     t.pacing.wait,
	}
	if p.failures > 0 {
		poll.pause = retryPause
		poll.timeout = minWait
		poll.wait = 0
		return poll
	}
	if p.status != nil {
		poll.pause = t.pacing.pollPause()
		poll.version = p.status.Version
	}
	return poll
}

// publish makes the current members visible to Members.
func (t *Tracker) publish() {
	members := make([]gooseberrypass.Member, 0, len(t.peers))
	silent := 0
	for _, p := range t.peers {
		members = append(members, gooseberrypass.Member{Listed: p.listed, Silent: p.silent, Status: p.status})
		if p.silent {
			silent++
		}
	}
	slices.SortFunc(members, func(a, b gooseberrypass.Member) int {
		if a.Listed.ID < b.Listed.ID {
			return -1
		}
		return 1
	})
	t.members.Store(&members)
	t.metrics.members.Set(float64(len(members)))
	t.metrics.silent.Set(float64(silent))
}

// equalExceptLoad reports whether two statuses are equal except for the load, the
// cached prefixes, the cache event and the version number.
func equalExceptLoad(a, b *gooseberrypass.AgentStatus) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.ConfigOffset == b.ConfigOffset &&
		a.EndpointUp == b.EndpointUp &&
		a.Leaving == b.Leaving &&
		slices.EqualFunc(a.Crashes, b.Crashes, func(x, y gooseberrypass.Crash) bool { return x.ID == y.ID }) &&
		slices.Equal(a.Loaded, b.Loaded) &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.Targets, b.Targets)
}

var (
	_ gooseberrypass.Controller = (*Tracker)(nil)
	_ gooseberrypass.Membership = (*Tracker)(nil)
)
