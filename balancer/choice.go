package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// best returns the available endpoint with the lowest cost among those compared, nil
// if none is available, and the number of endpoints seen in each state. Silent
// endpoints are available only with allowSilent, and those whose records have lapsed
// only if no other one is available.
func (b *Balancer) best(now time.Time, q Query, allowSilent bool) (*endpoint, stateCounts) {
	c := comparison{allowSilent: allowSilent, counts: stateCounts{required: b.requiredVersion(now, q.Model)}, now: now, query: q}
	if p := b.services[q.Service]; p != nil {
		b.compare(&c, p.local, b.sharers(false))
		c.serving = c.counts.byState[stateAvailable]+c.counts.byState[stateFull] > 0
		b.compare(&c, p.remote, b.sharers(true))
		if c.best == nil {
			b.compare(&c, p.lapsed, b.sharers(true))
		}
	}
	return c.best, c.counts
}

// A comparison is the search for the best endpoint for one request.
type comparison struct {
	allowSilent bool
	best        *endpoint
	cost        float64 // of best
	counts      stateCounts
	now         time.Time
	query       Query
	serving     bool // endpoints of the own region serve the request when they have room
}

// compare compares a sample of the available endpoints of a group, which is preferred
// by a number of entries alike.
func (b *Balancer) compare(c *comparison, group []*endpoint, entries int) {
	left := b.sampleSize(len(group), entries)
	for i := 0; i < len(group) && left > 0; i++ {
		e := pick(b.rng, group, i)
		cost, state := b.evaluate(c, e)
		if state == stateAvailable && !c.allowSilent && b.silent(c.now, e) {
			state = stateSilent
		}
		c.counts.byState[state]++
		switch state {
		case stateCold:
			c.counts.addWait(e.coldWait(c.now))
		case stateEjected:
			c.counts.addWait(e.ejectedUntil.Sub(c.now))
		case stateLimited:
			c.counts.addWait(e.limit.wait(c.now))
		case statePaused:
			c.counts.addWait(b.pauseLeft(c.now, e))
		}
		if state != stateAvailable {
			continue
		}
		left--
		if c.best == nil || cost < c.cost {
			c.best, c.cost = e, cost
		}
	}
}

// sharers returns the number of entries that prefer the endpoints of this region, or
// those of other regions, alike.
func (b *Balancer) sharers(remote bool) int {
	if remote {
		return len(b.entriesSeen) + 1
	}
	return b.localEntries
}

// minSample is the smallest number of available endpoints that are compared. The
// better of two random ones is hardly ever among the fullest.
const minSample = 2

// sampleSize returns how many available endpoints of a group are compared for a
// request. Entries know of the load of others only from messages, so those that
// compared all endpoints would all choose the one that looked least loaded at the
// last message. With as many as there are for each entry, one of them sees it.
func (b *Balancer) sampleSize(endpoints, entries int) int {
	if b.settings.SampleFactor == 0 {
		return endpoints
	}
	return max(minSample, int(math.Ceil(b.settings.SampleFactor*float64(endpoints)/float64(max(entries, 1)))))
}

// silent reports whether an endpoint has sent nothing for longer than its stall timeout.
func (b *Balancer) silent(now time.Time, e *endpoint) bool {
	return b.settings.StallTimeout > 0 && e.silent(now, b.stallTimeout(e))
}

// stallTimeout returns the silence after which an endpoint with requests gets no more.
func (b *Balancer) stallTimeout(e *endpoint) time.Duration {
	return max(b.settings.StallTimeout, time.Duration(b.settings.StallFactor*float64(b.headTimes[e.listed.Service])))
}

// evaluate returns the cost of an endpoint for a request and whether it is available.
func (b *Balancer) evaluate(c *comparison, e *endpoint) (float64, state) {
	now, q := c.now, c.query
	if state := b.eligibility(now, e, q); state != stateAvailable {
		return 0, state
	}
	cost, hasRoom := b.cost(now, e, q, c.serving)
	pause := b.pauseState(now, e)
	switch {
	case slices.Contains(q.Tried, e.listed.ID):
		return 0, stateTried
	case pause != stateAvailable:
		return 0, pause
	case !hasRoom || now.Before(e.fullUntil):
		return 0, stateFull
	case e.limit.wait(now) > 0:
		return 0, stateLimited
	case e.coldWait(now) > 0:
		return 0, stateCold
	default:
		return cost, stateAvailable
	}
}

// requiredVersion returns the oldest version that requests may run on now, 0 for any.
func (b *Balancer) requiredVersion(now time.Time, model string) int {
	return b.snapshot.Targets[model].Required(now, b.settings.VersionTimeout-b.settings.VersionMargin)
}

// versionEnd returns when the last request may begin on a version of a model, zero if
// no newer version is wanted. The bound of the newest version may start before that of
// one in between, whose record was read late.
func (b *Balancer) versionEnd(model string, version int) time.Time {
	var earliest time.Time
	for _, t := range b.snapshot.Targets[model] {
		if t.Version > version && (earliest.IsZero() || t.Since.Before(earliest)) {
			earliest = t.Since
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	return earliest.Add(b.settings.VersionTimeout)
}

// mustBegin returns when a request that has not begun on a version of a model is withdrawn,
// zero if no newer version is wanted.
func (b *Balancer) mustBegin(model string, version int) time.Time {
	end := b.versionEnd(model, version)
	if end.IsZero() {
		return end
	}
	return end.Add(-b.settings.VersionCutoff)
}

// eligibility returns the state that excludes an endpoint whatever its load is,
// stateAvailable if none does.
func (b *Balancer) eligibility(now time.Time, e *endpoint, q Query) state {
	switch {
	case !q.Regions.Contains(e.region):
		return stateExcluded
	case b.isEvacuated(e):
		return stateEvacuated
	case e.listed.Leaving || b.hasDeparted(e):
		return stateLeaving
	case now.Before(e.ejectedUntil) || e.probation && e.own.Requests > 0:
		return stateEjected
	case q.Model == "":
		return stateAvailable
	case b.loading(now, e.listed.Address) || b.outlivesDrain(now, e, q):
		return stateLoading
	}
	version := b.loadedVersion(e, q.Model)
	if q.Version > 0 && version != q.Version || version == 0 || version < b.requiredVersion(now, q.Model) {
		return stateVersion
	}
	return stateAvailable
}

// loading reports whether an endpoint's agent has just reported that it is loading a
// version. An agent that dies meanwhile does not report the end.
func (b *Balancer) loading(now time.Time, address string) bool {
	return b.statuses[address].Loading && now.Sub(b.statusesSeen[address]) < b.settings.ReportTTL
}

// outlivesDrain reports whether an answer is expected to end after its endpoint
// starts to drain. It would delay the load: an engine loads a version only after
// its streams have ended.
func (b *Balancer) outlivesDrain(now time.Time, e *endpoint, q Query) bool {
	drainsAt, ok := b.drainsAt[e.listed.Address]
	if !ok {
		return false
	}
	if q.Staying {
		return true
	}
	engine := b.engine(q.Service)
	if engine == nil || engine.TokensPerEvent == 0 {
		return false
	}
	tokens := q.AnswerTokens
	if tokens == 0 {
		tokens = engine.MeanTokens
	}
	events := time.Duration(tokens / engine.TokensPerEvent)
	return now.Add(b.predictFirstEvent(q.PromptTokens, q.Service, 1) + events*engine.EventInterval).After(drainsAt)
}

// loadedVersion returns the version of a model that an endpoint has loaded, 0 for
// none. The agent's report takes precedence over the list, which lags behind.
func (b *Balancer) loadedVersion(e *endpoint, model string) int {
	if n, ok := b.statuses[e.listed.Address]; ok {
		return n.Models[model]
	}
	return e.listed.Models[model]
}

// cost returns the cost of an endpoint for a request, in requests or, for plain
// services, in requests per slot, and whether it has room. The load of a slow
// endpoint counts for more. Its pace changes too often to say how many requests fit. serving
// is set if endpoints of the own region serve the request when they have room.
func (b *Balancer) cost(now time.Time, e *endpoint, q Query, serving bool) (float64, bool) {
	slots := float64(max(e.listed.Slots, 1))
	slowness, pace := b.slowness(e), b.paceOf(now, e)
	load := e.total(b.sharers(e.remote))
	// Up to half a request of random load keeps entries that see the same loads
	// from choosing the same endpoint.
	total := (float64(load.Requests) + b.rng.Float64()/2) * slowness
	if q.Model == "" {
		cost := total * b.paceFactor(pace) / slots
		if e.remote {
			cost += b.settings.PlainPenalty
		}
		return cost, total < fillLimit(slots*b.settings.PlainFill, q.Headroom)
	}
	fill := b.settings.Fill
	switch {
	case q.Resumed:
		fill = b.settings.ResumeFill
	case q.RefusedBefore:
		fill = b.settings.RetryFill
	}
	if q.Scheduled && e.remote && serving && b.settings.RemoteFill > 0 {
		fill *= b.settings.RemoteFill // its load is known late, and entries of its region take the last places
	}
	cost := total * b.paceFactor(pace)
	if e.remote {
		cost += b.settings.EnginePenalty
	}
	first, inTime := b.firstEvent(q, load, slowness*pace)
	if engine := b.engine(q.Service); engine != nil && engine.EventInterval > 0 {
		cost += float64(first) / float64(engine.EventInterval)
	}
	limit := fillLimit(slots*fill, q.Headroom)
	return cost, total < limit && inTime && b.mayTake(e, q, int(math.Ceil(limit))-load.Requests)
}

// engine returns the engine model of a service, nil if it is unknown or plain.
func (b *Balancer) engine(service gooseberrypass.ID) *gooseberrypass.EngineSpec {
	if b.snapshot.Deployment == nil {
		return nil
	}
	spec, _ := b.snapshot.Deployment.Service(service)
	return spec.Engine
}

// slowness returns the ratio of an endpoint's time to the head of an answer to its
// service's. Ratios below SlowTolerance count as 1.
func (b *Balancer) slowness(e *endpoint) float64 {
	service := b.headTimes[e.listed.Service]
	if service == 0 || e.headTime == 0 {
		return 1
	}
	ratio := float64(e.headTime) / float64(service)
	if ratio < b.settings.SlowTolerance {
		return 1
	}
	return ratio
}
