package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// Handle implements gooseberrypass.Controller.
func (s *Scheduler) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if _, ok := event.(gooseberrypass.Tick); !ok {
		return nil
	}
	for _, id := range s.update(now) {
		s.Serve(id, false) // the hold-back may have changed
	}
	return nil
}

// update updates the hold-back of each service and returns those with waiting requests.
func (s *Scheduler) update(now time.Time) []gooseberrypass.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.expire(now)
	var waiting []gooseberrypass.ID
	for id, state := range s.services {
		state.stale = true // reports expire
		s.updateHoldBack(now, state)
		state.queue.expire(now)
		s.metrics.observeState(state)
		if state.idle(now) {
			delete(s.services, id)
			s.metrics.forget(id)
			continue
		}
		if state.queue.size > 0 {
			waiting = append(waiting, id)
		}
	}
	return waiting
}

// idleTime is the time after the last request for a service from which on its state is
// dropped. It is far longer than the time in which the rates of a service are forgotten.
const idleTime = time.Minute

// idle reports whether the state of a service may be dropped: the service may have left the
// configuration.
func (s *service) idle(now time.Time) bool {
	return s.queue.size == 0 && !s.holdBack.active() && now.Sub(s.used) >= idleTime
}

// updateHoldBack updates the hold-back of a service and logs its begin and its end. Reports that
// have expired must be dropped before.
func (s *Scheduler) updateHoldBack(now time.Time, state *service) {
	backlogs := s.reports.of(state.id)
	own := state.backlog(now)
	active := state.holdBack.active()
	lacking, entries := ranksLacking(state.ranks, own, backlogs)
	state.holdBack.update(now, state.ranks, func(rank int) bool { return lacking[rank] })
	if state.holdBack.active() == active {
		return
	}
	s.logger.WithFields(logrus.Fields{
		labelService: state.id, "active": !active, "lacking": lacking, "entries": entries,
		"waiting": own.Waiting, "refused": own.Refused, "age": s.reports.oldest(now).String(),
	}).Info("hold-back of less urgent requests changed")
}

// ranksLacking returns which ranks lack capacity at any entry, and at how many entries any does.
func ranksLacking(ranks int, own Backlog, others map[gooseberrypass.ID]Backlog) ([]bool, int) {
	lacking, entries := make([]bool, ranks), 0
	add := func(b Backlog) {
		found := false
		for rank := range lacking {
			if b.lacks(rank) {
				lacking[rank], found = true, true
			}
		}
		if found {
			entries++
		}
	}
	add(own)
	for _, b := range others {
		add(b)
	}
	return lacking, entries
}

// backlog returns the backlog of this entry for a service.
func (s *service) backlog(now time.Time) Backlog {
	return Backlog{Refused: s.refusals.counts(now, s.ranks), Waiting: s.queue.waiting(s.ranks)}
}

// OwnBacklogs returns the backlog of this entry for each service that has one.
func (s *Scheduler) OwnBacklogs() map[gooseberrypass.ID]Backlog {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var backlogs map[gooseberrypass.ID]Backlog
	for id, state := range s.services {
		b := state.backlog(now)
		if b.isEmpty() {
			continue
		}
		if backlogs == nil {
			backlogs = map[gooseberrypass.ID]Backlog{}
		}
		backlogs[id] = b
	}
	return backlogs
}

// SetEntryBacklogs replaces the backlogs that another entry reports, by service.
func (s *Scheduler) SetEntryBacklogs(now time.Time, from gooseberrypass.ID, backlogs map[gooseberrypass.ID]Backlog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports.set(now, from, backlogs)
	for _, state := range s.services {
		state.stale = true
	}
}

// rivals returns the keys of the other entries where requests for a service wait.
func (s *Scheduler) rivals(now time.Time, state *service) []uint64 {
	if !state.stale {
		return state.rivals
	}
	state.rivals, state.stale = nil, false
	for entry, r := range s.reports.byEntry {
		if now.Sub(r.at) < s.reports.ttl && r.backlogs[state.id].waits() {
			state.rivals = append(state.rivals, balancer.RivalKey(entry))
		}
	}
	return state.rivals
}

// RetryAfter returns after which time the caller of a request that was refused is told to
// retry.
func (s *Scheduler) RetryAfter(r *Request, timeLeft time.Duration) time.Duration {
	first := s.chooser.FirstEvent(r.Query)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(r.Query.Service, r.Ranks)
	return state.retries.retryAfter(s.clock.Now(), state.queue.size, timeLeft, first, s.rng.Float64())
}

// Stop refuses the waiting requests. From then on requests do not wait.
func (s *Scheduler) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	now := s.clock.Now()
	for _, state := range s.services {
		for w := state.queue.last(now); w != nil; w = state.queue.last(now) {
			state.queue.remove(w)
			w.granted <- grant{err: overloaded("the entry is about to stop")}
		}
	}
}

var _ gooseberrypass.Controller = (*Scheduler)(nil)
