// Package spreader brings the accepted configuration to every process: a few
// processes of each region read the log, and all of them push what is new to a
// few others and compare offsets with random ones.
package spreader

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/replayer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	exchangePeriod = 2 * time.Second
	homeFanout     = 4
	readBackoff    = time.Second
	readWait       = 5 * time.Second
	refreshPeriod  = time.Second
	regionPushers  = 8 // of a region, on average, push to each other region
	startPeriod    = 500 * time.Millisecond
)

// A Self tells what the process itself is.
type Self struct {
	ID     gooseberrypass.ID
	Region gooseberrypass.Region
	Role   gooseberrypass.Role
}

// A Dial returns the client of the process at an address.
type Dial func(address string) wire.Peer

// An Option changes a Spreader.
type Option func(*Spreader)

// WithLogger makes the spreader log changes of its state to logger.
func WithLogger(logger logrus.FieldLogger) Option {
	return func(s *Spreader) { s.logger = logger }
}

// WithRetention tells how long the log keeps records, in place of the
// configuration's claim-retention.
func WithRetention(retention time.Duration) Option {
	return func(s *Spreader) { s.retention = retention }
}

// WithSeed makes the choice of peers follow from a seed.
func WithSeed(seed uint64) Option {
	return func(s *Spreader) { s.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// A Spreader is the controller of the configuration in force. It is a
// ConfigSource for the traffic goroutines and a wire.Peer for other processes.
type Spreader struct {
	config      atomic.Pointer[gooseberrypass.Config]
	current     bool // the last read of the log came to its end
	dial        Dial
	digest      []byte                // of state, once it was asked for
	divergedAt  gooseberrypass.Offset // at which a divergence was logged last
	encoded     []byte                // snapshot of state for peers, once it was asked for
	gapSince    time.Time             // when the log was first found trimmed past the state
	history     history
	key         authenticator.Key
	log         gooseberrypass.Log
	logger      logrus.FieldLogger
	members     []gooseberrypass.Member // newer than the view, nil if none are
	membership  gooseberrypass.Membership
	metrics     *metrics
	next        struct{ exchange, read, refresh time.Time }
	post        func(gooseberrypass.Event)
	pulledUntil time.Time // until when another pull has to wait
	reading     bool
	replayer    *replayer.Replayer
	retention   time.Duration
	rng         *rand.Rand
	self        Self
	snapshots   snapshots
	state       replayer.State
	suspects    map[gooseberrypass.ID]time.Time
	view        *view
}

// New returns the spreader of a process. It is to be run by a control loop;
// post hands that loop an event, and is called for each exchange that a peer
// begins.
func New(
	self Self,
	key authenticator.Key,
	log gooseberrypass.Log,
	membership gooseberrypass.Membership,
	dial Dial,
	post func(gooseberrypass.Event),
	registerer prometheus.Registerer,
	options ...Option,
) (*Spreader, error) {
	s := &Spreader{
		dial:       dial,
		key:        key,
		log:        log,
		logger:     logrus.StandardLogger(),
		membership: membership,
		metrics:    newMetrics(),
		post:       post,
		replayer:   replayer.New(key, log),
		rng:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		self:       self,
		suspects:   map[gooseberrypass.ID]time.Time{},
	}
	for _, option := range options {
		option(s)
	}
	return s, s.metrics.register(registerer)
}

// Config implements gooseberrypass.ConfigSource.
func (s *Spreader) Config() *gooseberrypass.Config { return s.config.Load() }

// Handle implements gooseberrypass.Controller.
func (s *Spreader) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if s.view == nil {
		s.refresh(now, s.membership.Members())
	}
	switch e := event.(type) {
	case gooseberrypass.Tick:
		return s.tick(now)
	case gooseberrypass.MembersChanged:
		s.members = e.Members
	case snapshotAppended:
		s.snapshots.appended(now, e.err)
	case configBuilt:
		return s.publish(e.check)
	case exchanged:
		return s.settleExchange(now, e)
	case exchangeReceived:
		return s.answer(now, e)
	case logRead:
		return s.settleRead(now, e)
	}
	return nil
}

func (s *Spreader) tick(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if s.members != nil && !now.Before(s.next.refresh) {
		s.refresh(now, s.members)
	}
	if !s.reading && !now.Before(s.next.read) && s.readsLog(now) {
		effects = append(effects, s.read())
	}
	if !now.Before(s.next.exchange) {
		effects = append(effects, s.compare(now)...)
	}
	if s.current && s.snapshots.due(now, s.snapshotAge(now), s.state) {
		effects = append(effects, s.appendSnapshot())
	}
	for id, until := range s.suspects {
		if now.After(until) {
			delete(s.suspects, id)
		}
	}
	return effects
}

// refresh takes over a view of the members. Members change more often than
// their places matter here.
func (s *Spreader) refresh(now time.Time, members []gooseberrypass.Member) {
	s.members = nil
	s.next.refresh = now.Add(refreshPeriod)
	s.view = newView(s.self, members, s.suspects)
}

// readsLog reports whether the process reads the log now: as one of its
// region's tailers, or as an entry that keeps snapshots.
func (s *Spreader) readsLog(now time.Time) bool {
	return s.view.tails(now) || s.keepsSnapshots(now)
}

// compare exchanges offsets with a random peer, more often until there is a
// configuration.
func (s *Spreader) compare(now time.Time) []gooseberrypass.Effect {
	period := exchangePeriod
	if s.state.LastAccepted() == 0 {
		period = startPeriod
	}
	s.next.exchange = now.Add(period/2 + time.Duration(s.rng.Int64N(int64(period))))
	peer := s.view.watched(now, s.rng)
	if peer == nil || s.rng.IntN(2) == 0 {
		peer = s.view.any(now, s.rng)
	}
	if peer == nil {
		return nil
	}
	return []gooseberrypass.Effect{s.exchange(peer, s.request())}
}

// adopt takes over a state that is newer, and pushes it. Records are those that
// led to it, if they are known.
func (s *Spreader) adopt(now time.Time, state replayer.State, records []replayer.Accepted) []gooseberrypass.Effect {
	before := s.state.LastAccepted()
	switch {
	case state.LastAccepted() < before:
		return nil
	case state.LastAccepted() == before:
		s.state = s.state.Through(state.FoldedThrough())
		return nil
	}
	s.state, s.digest, s.encoded = state, nil, nil
	s.pulledUntil = time.Time{}
	for _, a := range records {
		s.history.add(a)
	}
	s.metrics.offset.Set(float64(state.LastAccepted()))
	return append(s.push(now, before), buildConfig{state: state})
}

// push sends the newest records to a few peers at once.
func (s *Spreader) push(now time.Time, since gooseberrypass.Offset) []gooseberrypass.Effect {
	request := s.announce(since)
	peers := s.view.pick(now, s.rng, s.self.Region, homeFanout)
	for _, region := range s.view.regions {
		if s.rng.IntN(len(s.view.byRegion[s.view.home])+1) < regionPushers {
			peers = append(peers, s.view.pick(now, s.rng, region, 1)...)
		}
	}
	effects := make([]gooseberrypass.Effect, 0, len(peers)+1)
	for _, peer := range peers {
		effects = append(effects, s.exchange(peer, request))
	}
	return effects
}

// publish puts a configuration in force, unless a newer one is.
func (s *Spreader) publish(check *checker.Result) []gooseberrypass.Effect {
	config := check.Config()
	if current := s.config.Load(); current != nil && current.Offset() >= config.Offset() {
		return nil
	}
	s.config.Store(config)
	s.metrics.ignored.Set(float64(check.Ignored()))
	s.logger.WithFields(logrus.Fields{"offset": config.Offset(), "ignored": check.Ignored()}).Info("configuration in force")
	return []gooseberrypass.Effect{announcement{config: config}}
}

var (
	_ gooseberrypass.ConfigSource = (*Spreader)(nil)
	_ gooseberrypass.Controller   = (*Spreader)(nil)
	_ wire.Peer                   = (*Spreader)(nil)
)
