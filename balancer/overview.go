package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An EndpointOverview is what an entry knows about one endpoint, for operators.
type EndpointOverview struct {
	Address       string                       `json:"address"`
	ColdMillis    int64                        `json:"cold_ms"`              // time for which it counts as cold, if requests to it are limited meanwhile
	ColdShare     *float64                     `json:"cold_share,omitempty"` // this entry's share of what it gets while it is cold, in requests per second
	FailureDomain gooseberrypass.FailureDomain `json:"failure_domain"`
	ID            gooseberrypass.ID            `json:"id"`
	Leaving       bool                         `json:"leaving"`         // by the list or by its own word
	Limit         *float64                     `json:"limit,omitempty"` // requests per second from all entries, absent without a limit
	Models        map[string]int               `json:"models"`          // loaded version of each model
	OwnRequests   int                          `json:"own_requests"`    // in flight from this entry
	PauseMillis   int64                        `json:"pause_ms"`        // time for which it wants no requests from this entry
	Requests      int                          `json:"requests"`        // in flight from all entries
	SaysLeaving   bool                         `json:"says_leaving"`    // by its own word
	Service       gooseberrypass.ID            `json:"service"`
	Share         *float64                     `json:"share,omitempty"` // this entry's share of the limit, in requests per second
	Slots         int                          `json:"slots"`
	State         string                       `json:"state"`         // as in the detail of refusals
	UnreadTokens  int                          `json:"unread_tokens"` // of prompts, from all entries
}

// Overview returns what this entry knows about each listed endpoint, sorted by service and
// ID. It changes nothing.
func (b *Balancer) Overview() []EndpointOverview {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	overviews := make([]EndpointOverview, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		overviews = append(overviews, b.overviewOf(now, e))
	}
	slices.SortFunc(overviews, func(a, b EndpointOverview) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return overviews
}

func (b *Balancer) overviewOf(now time.Time, e *endpoint) EndpointOverview {
	o := EndpointOverview{
		Address: e.listed.Address, FailureDomain: e.listed.FailureDomain, ID: e.listed.ID, Leaving: e.listed.Leaving || b.hasDeparted(e), Models: maps.Clone(e.listed.Models),
		OwnRequests: e.own.Requests, Requests: e.own.Requests + e.others.requests, SaysLeaving: b.hasDeparted(e), Service: e.listed.Service, Slots: e.listed.Slots,
		State: b.overviewState(now, e).String(), UnreadTokens: e.own.UnreadTokens + e.others.unreadTokens,
	}
	if status, ok := b.statuses[e.listed.Address]; ok {
		o.Models = maps.Clone(status.Models) // the list lags behind
	}
	if o.Models == nil {
		o.Models = map[string]int{}
	}
	if e.advisory.Limited {
		share := 0.0
		if e.limit.bucket != nil {
			share = float64(e.limit.bucket.Limit())
		}
		rate := e.advisory.Rate
		o.Limit, o.Share = &rate, &share
	}
	if e.coldLimit.bucket != nil {
		share := float64(e.coldLimit.bucket.Limit())
		o.ColdMillis, o.ColdShare = max(e.coldUntil.Sub(now).Milliseconds(), 0), &share
	}
	if p := b.pauseOf(e); p != nil {
		o.PauseMillis = max(p.until.Sub(now).Milliseconds(), 0)
	}
	return o
}

// overviewState returns the state of an endpoint for a request that any endpoint of the
// service may answer.
func (b *Balancer) overviewState(now time.Time, e *endpoint) state {
	q := Query{Service: e.listed.Service}
	fill := b.settings.PlainFill
	if engine := b.engine(q.Service); engine != nil {
		q.Model, fill = engine.Model, b.settings.Fill
	}
	if s := b.eligibility(now, e, q); s != stateAvailable {
		return s
	}
	if s := b.pauseState(now, e); s != stateAvailable {
		return s
	}
	switch {
	case now.Before(e.fullUntil) || float64(e.own.Requests+e.others.requests) >= fill*float64(max(e.listed.Slots, 1)):
		return stateFull
	case e.limit.wait(now) > 0:
		return stateLimited
	case e.coldWait(now) > 0:
		return stateCold
	case b.silent(now, e):
		return stateSilent
	default:
		return stateAvailable
	}
}
