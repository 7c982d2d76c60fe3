package attempter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

// A stopState is the state of a planned stop. The stopController writes it and
// the request path reads it.
type stopState struct {
	current atomic.Pointer[stopWindow]
}

// A stopWindow is the time frame of a planned stop.
type stopWindow struct {
	begin time.Time     // zero while the instance accepts new work
	limit time.Duration // for work in progress
}

func newStopState() *stopState {
	s := &stopState{}
	s.current.Store(&stopWindow{})
	return s
}

func (s *stopState) leaving() bool { return !s.current.Load().begin.IsZero() }

// window returns when the instance began to leave, zero if it is not leaving,
// and the time limit for work in progress.
func (s *stopState) window() (time.Time, time.Duration) {
	w := s.current.Load()
	return w.begin, w.limit
}

// A stopController is the controller of planned stops. The instance is leaving
// while a stop is requested, the platform lists it as leaving or the
// configuration drains it. A requested stop cannot be revoked.
type stopController struct {
	admitter        *admitter.Admitter
	drainConfigured bool          // the configuration drains the instance
	drained         chan struct{} // closed after a requested stop when no attempt is in progress
	instance        gooseberrypass.ListedInstance
	limit           time.Duration
	listedLeaving   bool // the platform lists the instance as leaving
	log             logrus.FieldLogger
	once            sync.Once
	registry        *registry
	revision        uint64 // revision of the last listing that included the instance
	state           *stopState
	stopRequested   bool
}

func newStopController(d Dependencies, queue *admitter.Admitter, reg *registry, state *stopState) *stopController {
	return &stopController{
		admitter: queue,
		drained:  make(chan struct{}),
		instance: d.Instance,
		log:      d.Log,
		registry: reg,
		state:    state,
	}
}

// Handle implements gooseberrypass.Controller.
func (s *stopController) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		instance, _ := e.Config.InstanceOf(s.instance)
		s.drainConfigured = instance.Drain()
		s.limit = e.Config.System().StopLimit()
	case gooseberrypass.ListingObserved:
		s.observeListing(e)
	case gooseberrypass.StopRequested:
		s.stopRequested = true
	case gooseberrypass.Tick:
	default:
		return nil
	}
	s.apply(now)
	if s.stopRequested && s.registry.inProgress() == 0 {
		s.once.Do(func() { close(s.drained) })
	}
	return nil
}

// apply publishes the decision to the request path and opens or closes the
// admission queue.
func (s *stopController) apply(now time.Time) {
	begin, limit := s.state.window()
	leaving, wasLeaving := s.drainConfigured || s.listedLeaving || s.stopRequested, !begin.IsZero()
	if leaving == wasLeaving && limit == s.limit {
		return
	}
	if leaving != wasLeaving {
		s.log.WithField("leaving", leaving).Info("instance leaving state changed")
	}
	switch {
	case !leaving:
		begin = time.Time{}
	case !wasLeaving:
		begin = now
	}
	s.state.current.Store(&stopWindow{begin: begin, limit: s.limit})
	if leaving {
		s.admitter.Close(gooseberrypass.ReasonLeaving)
	} else {
		s.admitter.Reopen()
	}
}

// observeListing reads the instance's state from the platform's list. A list of
// an older revision, or one without the instance, changes nothing.
func (s *stopController) observeListing(e gooseberrypass.ListingObserved) {
	if e.Err != nil || e.Listing.Revision < s.revision {
		return
	}
	for _, i := range e.Listing.Instances {
		if i.ID == s.instance.ID {
			s.revision = e.Listing.Revision
			s.listedLeaving = i.State == gooseberrypass.ListedLeaving
		}
	}
}

var _ gooseberrypass.Controller = (*stopController)(nil)
