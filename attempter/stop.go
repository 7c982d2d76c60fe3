package attempter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

// A stopState is what traffic reads of a planned stop.
type stopState struct {
	state atomic.Pointer[stopWindow]
}

type stopWindow struct {
	begin time.Time // zero while the instance takes work
	limit time.Duration
}

func newStopState() *stopState {
	s := &stopState{}
	s.state.Store(&stopWindow{})
	return s
}

func (s *stopState) leaving() bool { return !s.state.Load().begin.IsZero() }

// window returns when the instance began to leave, zero if it does not, and how
// long work in progress may take.
func (s *stopState) window() (time.Time, time.Duration) {
	w := s.state.Load()
	return w.begin, w.limit
}

// A stopper is the controller of the planned stop. The instance leaves while a
// stop is requested, the platform lists it as leaving or the configuration
// drains it. A requested stop is never taken back.
type stopper struct {
	admitter *admitter.Admitter
	drain    bool
	drained  chan struct{}
	instance gooseberrypass.ListedInstance
	limit    time.Duration
	listed   bool
	log      logrus.FieldLogger
	once     sync.Once
	registry *registry
	revision uint64
	state    *stopState
	stopping bool
}

func newStopper(d Dependencies, queue *admitter.Admitter, reg *registry, state *stopState) *stopper {
	return &stopper{
		admitter: queue,
		drained:  make(chan struct{}),
		instance: d.Instance,
		log:      d.Log,
		registry: reg,
		state:    state,
	}
}

// Handle implements gooseberrypass.Controller.
func (s *stopper) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		instance, _ := e.Config.InstanceOf(s.instance)
		s.drain = instance.Drain()
		s.limit = e.Config.System().StopLimit()
	case gooseberrypass.ListingObserved:
		s.observe(e)
	case gooseberrypass.StopRequested:
		s.stopping = true
	case gooseberrypass.Tick:
	default:
		return nil
	}
	s.apply(now)
	if s.stopping && s.registry.size() == 0 {
		s.once.Do(func() { close(s.drained) })
	}
	return nil
}

// apply makes traffic see what was decided.
func (s *stopper) apply(now time.Time) {
	begin, limit := s.state.window()
	leave, left := s.drain || s.listed || s.stopping, !begin.IsZero()
	if leave == left && limit == s.limit {
		return
	}
	if leave != left {
		s.log.WithField("leaving", leave).Info("instance changed")
	}
	switch {
	case !leave:
		begin = time.Time{}
	case !left:
		begin = now
	}
	s.state.state.Store(&stopWindow{begin: begin, limit: s.limit})
	if leave {
		s.admitter.Close(gooseberrypass.ReasonLeaving)
	} else {
		s.admitter.Reopen()
	}
}

// observe takes in the platform's list. A list of an older revision, or one
// that does not know the instance, changes nothing.
func (s *stopper) observe(e gooseberrypass.ListingObserved) {
	if e.Err != nil || e.Listing.Revision < s.revision {
		return
	}
	for _, i := range e.Listing.Instances {
		if i.ID == s.instance.ID {
			s.revision = e.Listing.Revision
			s.listed = i.State == gooseberrypass.ListedLeaving
		}
	}
}

var _ gooseberrypass.Controller = (*stopper)(nil)
