// Package spreader distributes the accepted configuration to every process by
// gossip. A few processes of each region read the log. Every process pushes new
// records to a few peers, and periodically compares offsets with a random peer
// (anti-entropy) to repair what a push did not reach.
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
	exchangePeriod        = 2 * time.Second        // mean time between anti-entropy exchanges
	localFanout           = 4                      // peers of the local region that a push goes to
	readBackoff           = time.Second            // mean wait after a failed read of the log
	readWait              = 5 * time.Second        // longest wait of a long poll of the log
	refreshPeriod         = time.Second            // shortest time between updates of the view
	regionPushers         = 8                      // expected processes of a region that push to each other region
	startupExchangePeriod = 500 * time.Millisecond // replaces exchangePeriod until a configuration is known
)

// A Self identifies the local process.
type Self struct {
	ID     gooseberrypass.ID
	Region gooseberrypass.Region
	Role   gooseberrypass.Role
}

// A Dial returns a client for the process at an address, as host:port.
type Dial func(address string) wire.Peer

// An Option configures a Spreader.
type Option func(*Spreader)

// WithLogger sets the logger, logrus.StandardLogger by default.
func WithLogger(logger logrus.FieldLogger) Option {
	return func(s *Spreader) { s.logger = logger }
}

// WithRetention sets how long the log keeps records. Without it, or with 0, the
// configuration's claim-retention applies, and 24 h if that is not known.
func WithRetention(retention time.Duration) Option {
	return func(s *Spreader) { s.retention = retention }
}

// WithSeed makes the choice of peers and the jitter of timers reproducible.
func WithSeed(seed uint64) Option {
	return func(s *Spreader) { s.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// A Spreader is the controller of the configuration in force. It is a
// ConfigSource for the traffic goroutines and serves wire.Peer to other
// processes.
type Spreader struct {
	caughtUp        bool // the last read of the log reached its end
	config          atomic.Pointer[gooseberrypass.Config]
	dial            Dial
	digest          []byte                // cached digest of state, nil if not computed
	divergedAt      gooseberrypass.Offset // offset of the last divergence that was logged
	encodedSnapshot []byte                // cached snapshot of state for peers, nil if not encoded
	gapSince        time.Time             // when the log was first found trimmed past the state, zero if it is not
	history         history
	key             authenticator.Key
	log             gooseberrypass.Log
	logger          logrus.FieldLogger
	membership      gooseberrypass.Membership
	metrics         *metrics
	newMembers      []gooseberrypass.Member                     // waiting for the next refresh of the view, nil if unchanged
	next            struct{ exchange, read, refresh time.Time } // earliest times of the next one of each
	post            func(gooseberrypass.Event)
	pullDeadline    time.Time // no other pull starts before this time
	reading         bool      // a read of the log is in flight
	replayer        *replayer.Replayer
	retention       time.Duration
	rng             *rand.Rand
	self            Self
	snapshots       snapshotSchedule
	state           replayer.State
	suspects        map[gooseberrypass.ID]time.Time // peers that failed an exchange, with the end of the suspicion
	view            *view
}

// New returns the spreader of a process, to be run by a control loop. post passes
// an event to that loop and is called for each exchange that a peer starts. The
// error is that of registering the metrics.
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
		s.newMembers = e.Members
	case snapshotAppended:
		s.snapshots.appended(now, e.err)
	case configBuilt:
		return s.activate(e.check)
	case exchanged:
		return s.handleResponse(now, e)
	case exchangeReceived:
		return s.handleExchange(now, e)
	case logRead:
		return s.handleRead(now, e)
	}
	return nil
}

func (s *Spreader) tick(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if s.newMembers != nil && !now.Before(s.next.refresh) {
		s.refresh(now, s.newMembers)
	}
	if !s.reading && !now.Before(s.next.read) && s.readsLog(now) {
		effects = append(effects, s.startRead())
	}
	if !now.Before(s.next.exchange) {
		effects = append(effects, s.antiEntropy(now)...)
	}
	if s.caughtUp && s.snapshots.due(now, s.maxSnapshotAge(now), s.state) {
		effects = append(effects, s.appendSnapshot())
	}
	for id, until := range s.suspects {
		if now.After(until) {
			delete(s.suspects, id)
		}
	}
	return effects
}

// refresh rebuilds the view from members. It is limited to once per refreshPeriod,
// as members change far more often than the rankings do.
func (s *Spreader) refresh(now time.Time, members []gooseberrypass.Member) {
	s.newMembers = nil
	s.next.refresh = now.Add(refreshPeriod)
	s.view = newView(s.self, members, s.suspects)
}

// readsLog reports whether the process reads the log now, as one of its region's
// readers or as an entry that writes snapshots.
func (s *Spreader) readsLog(now time.Time) bool {
	return s.view.isReader(now) || s.writesSnapshots(now)
}

// antiEntropy exchanges offsets with a random peer. Readers and standby readers
// choose one of each other half of the time. Exchanges are more frequent until a
// configuration is known.
func (s *Spreader) antiEntropy(now time.Time) []gooseberrypass.Effect {
	period := exchangePeriod
	if s.state.LastAccepted() == 0 {
		period = startupExchangePeriod
	}
	s.next.exchange = now.Add(period/2 + time.Duration(s.rng.Int64N(int64(period))))
	peer := s.view.pickReader(now, s.rng)
	if peer == nil || s.rng.IntN(2) == 0 {
		peer = s.view.pickAny(now, s.rng)
	}
	if peer == nil {
		return nil
	}
	return []gooseberrypass.Effect{s.newExchange(peer, s.offsetRequest())}
}

// adopt replaces the state by a newer one, pushes it to peers and builds its
// configuration. records are those that led to it, if known.
func (s *Spreader) adopt(now time.Time, state replayer.State, records []replayer.AcceptedRecord) []gooseberrypass.Effect {
	before := s.state.LastAccepted()
	switch {
	case state.LastAccepted() < before:
		return nil
	case state.LastAccepted() == before:
		s.state = s.state.WithFoldedThrough(state.FoldedThrough())
		return nil
	}
	s.state, s.digest, s.encodedSnapshot = state, nil, nil
	s.pullDeadline = time.Time{}
	for _, a := range records {
		s.history.add(a)
	}
	s.metrics.offset.Set(float64(state.LastAccepted()))
	return append(s.push(now, before), buildEffect{state: state})
}

// push announces the state to localFanout peers of the local region, and at random
// to one peer of each other region, so that about regionPushers processes of the
// region do so.
func (s *Spreader) push(now time.Time, since gooseberrypass.Offset) []gooseberrypass.Effect {
	request := s.pushRequest(since)
	peers := s.view.pick(now, s.rng, s.self.Region, localFanout)
	for _, region := range s.view.otherRegions {
		if s.rng.IntN(len(s.view.byRegion[s.view.localRegion])+1) < regionPushers {
			peers = append(peers, s.view.pick(now, s.rng, region, 1)...)
		}
	}
	effects := make([]gooseberrypass.Effect, 0, len(peers)+1)
	for _, peer := range peers {
		effects = append(effects, s.newExchange(peer, request))
	}
	return effects
}

// activate puts a configuration in force, unless one at the same or a higher
// offset already is: builds may end out of order.
func (s *Spreader) activate(check *checker.Result) []gooseberrypass.Effect {
	config := check.Config()
	if current := s.config.Load(); current != nil && current.Offset() >= config.Offset() {
		return nil
	}
	s.config.Store(config)
	s.metrics.ignored.Set(float64(check.Ignored()))
	s.logger.WithFields(logrus.Fields{"offset": config.Offset(), "ignored": check.Ignored()}).Info("configuration in force")
	return []gooseberrypass.Effect{announceEffect{config: config}}
}

var (
	_ gooseberrypass.ConfigSource = (*Spreader)(nil)
	_ gooseberrypass.Controller   = (*Spreader)(nil)
	_ wire.Peer                   = (*Spreader)(nil)
)
