// Package tracker follows the members of the system: the platform's lagging
// list of instances, and what the processes beside the endpoints say of
// themselves.
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

// maxStall is how long the control goroutine may go without a tick before the
// tracker concludes that this process was paused, not its peers.
const maxStall = time.Second

// oldLimit is how long lists older than the last one are passed over.
const oldLimit = time.Minute

// choicePeriod is how often it is chosen anew whom to follow.
const choicePeriod = time.Second

// A Dialer returns the client of the agent at an address.
type Dialer func(address string) wire.Agent

// A peer is one instance that the tracker knows.
type peer struct {
	due      time.Time // when the poll in flight should have been answered
	failures int
	followed bool
	heard    time.Time
	listed   gooseberrypass.ListedInstance
	missing  bool // no longer listed
	polling  bool
	silent   bool
	status   *gooseberrypass.AgentStatus
}

// A Tracker is the controller that owns the view of the members. Members may
// be called on any goroutine.
type Tracker struct {
	agents    map[gooseberrypass.ID]wire.Agent
	chosenAt  time.Time // when it was chosen whom to follow
	clock     gooseberrypass.Clock
	dial      Dialer
	followed  map[gooseberrypass.ID]*peer
	lastTick  time.Time
	list      gooseberrypass.InstanceList
	listed    []gooseberrypass.ListedInstance // the last useful list
	listing   bool                            // a poll of the list is in flight
	logger    logrus.FieldLogger
	members   atomic.Pointer[[]gooseberrypass.Member]
	metrics   *metrics
	nextList  time.Time
	pacing    pacing
	peers     map[gooseberrypass.ID]*peer
	revision  uint64
	selector  Selector
	unhealthy bool // the last poll of the list failed or was useless
	usefulAt  time.Time

	withoutLoad bool // load of the agents is not needed
}

// An Option changes a new Tracker.
type Option func(*Tracker)

// WithoutLoad makes a tracker follow what agents serve but not their load, which
// costs much less.
func WithoutLoad() Option {
	return func(t *Tracker) { t.withoutLoad = true }
}

// New returns a tracker of the instances in list. It follows the status of the
// agents that selector picks, through dial.
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

// Members returns the members in order of id.
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

// handleTick finds the silent and chooses anew whom to follow. After a pause of this process every deadline
// has passed, which says nothing of the peers: their time starts anew.
func (t *Tracker) handleTick(now time.Time) bool {
	stall := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && stall > maxStall
	t.lastTick = now
	changed := false
	for id, p := range t.followed {
		if paused {
			p.due = p.due.Add(stall)
			p.heard = p.heard.Add(stall)
		}
		silent := now.Sub(p.heard) > t.pacing.silence() && (p.failures > 0 || now.After(p.due))
		if silent != p.silent {
			p.silent = silent
			changed = true
			t.logger.WithField("instance", id).WithField("silent", silent).Info("silence of an instance changed")
		}
		if p.missing && silent {
			t.forget(id)
			changed = true
		}
	}
	if now.Sub(t.chosenAt) >= choicePeriod {
		changed = t.follow(now) || changed
	}
	if changed {
		t.publish()
	}
	return changed
}

func (t *Tracker) handleListing(now time.Time, e gooseberrypass.ListingObserved) bool {
	t.listing = false
	t.nextList = now.Add(listPause(e.Listing))
	if !t.useful(now, e) {
		return false
	}
	t.revision = e.Listing.Revision
	listed := make(map[gooseberrypass.ID]bool, len(e.Listing.Instances))
	changed := false
	for _, l := range e.Listing.Instances {
		listed[l.ID] = true
		changed = t.admit(now, l) || changed
	}
	for id, p := range t.peers {
		if listed[id] {
			continue
		}
		changed = t.miss(id, p) || changed
	}
	t.listed = e.Listing.Instances
	if changed {
		t.follow(now)
		t.publish()
	}
	return changed
}

// useful reports whether a listing tells anything: an empty one, or one from
// before the last, leaves in place what serves. Where nothing but old ones has
// come for long, the platform has begun to count anew.
func (t *Tracker) useful(now time.Time, e gooseberrypass.ListingObserved) bool {
	cause := ""
	switch {
	case e.Err != nil:
		cause = "failed"
	case len(e.Listing.Instances) == 0:
		cause = "empty"
	case e.Listing.Revision < t.revision && now.Sub(t.usefulAt) < oldLimit:
		cause = "old"
	default:
		t.usefulAt = now
	}
	if cause != "" {
		t.metrics.listings.WithLabelValues(cause).Inc()
		if !t.unhealthy {
			t.logger.WithError(e.Err).WithField("cause", cause).Warn("instance list is of no use, keeping the members known")
		}
		t.unhealthy = true
		return false
	}
	t.metrics.listings.WithLabelValues("good").Inc()
	if t.unhealthy {
		t.logger.Info("instance list is of use again")
	}
	t.unhealthy = false
	return true
}

func (t *Tracker) admit(now time.Time, l gooseberrypass.ListedInstance) bool {
	p, ok := t.peers[l.ID]
	if !ok {
		t.peers[l.ID] = &peer{heard: now, listed: l}
		return true
	}
	if p.listed == l && !p.missing {
		return false
	}
	if p.listed.Address != l.Address {
		delete(t.agents, l.ID)
		p.polling = false
		p.status = nil
		p.heard = now
	}
	p.listed = l
	p.missing = false
	return true
}

// miss handles an instance that a newer list no longer has. One that still
// answers stays until it falls silent or leaves.
func (t *Tracker) miss(id gooseberrypass.ID, p *peer) bool {
	if p.followed && !p.silent && p.status != nil && !p.status.Leaving {
		changed := !p.missing
		p.missing = true
		return changed
	}
	t.forget(id)
	return true
}

func (t *Tracker) forget(id gooseberrypass.ID) {
	delete(t.peers, id)
	delete(t.followed, id)
	delete(t.agents, id)
}

// follow chooses whose status to follow. It reports whether that has changed.
func (t *Tracker) follow(now time.Time) bool {
	t.chosenAt = now
	selected := map[gooseberrypass.ID]bool{}
	for _, id := range t.selector(slices.Clone(t.listed)) {
		selected[id] = true
	}
	changed := false
	for id, p := range t.peers {
		followed := selected[id] || p.missing
		changed = changed || followed != p.followed
		if followed && !p.followed {
			p.heard = now
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
	changed := p.silent || !sameButLoad(p.status, e.Status)
	p.failures = 0
	p.heard = now
	p.silent = false
	p.status = e.Status
	if p.missing && e.Status.Leaving {
		t.forget(e.ID)
	}
	t.publish()
	return changed
}

// polls returns the polls that are due. A peer has one poll in flight at most.
func (t *Tracker) polls(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !t.listing && !now.Before(t.nextList) {
		t.listing = true
		effects = append(effects, listPoll{clock: t.clock, list: t.list, limit: listPollLimit})
	}
	for id, p := range t.followed {
		if p.polling {
			continue
		}
		p.polling = true
		poll := t.poll(id, p)
		p.due = now.Add(poll.pause + poll.limit)
		effects = append(effects, poll)
	}
	return effects
}

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
		limit:    t.pacing.wait + pollAnswerLimit,
		loadWait: t.pacing.load,
		wait:     t.pacing.wait,
	}
	if p.failures > 0 {
		poll.pause = retryPause
		poll.limit = minWait
		poll.wait = 0
		return poll
	}
	if p.status != nil {
		poll.pause = t.pacing.pause()
		poll.version = p.status.Version
	}
	return poll
}

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

// sameButLoad reports whether two statuses differ in nothing but the load, the
// cache and the version number.
func sameButLoad(a, b *gooseberrypass.AgentStatus) bool {
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
