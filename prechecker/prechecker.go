// Package prechecker finds faults in a configuration of the prepared machines before its
// operator sends it. It does not see how the configuration is written on the wire.
package prechecker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
)

// Check returns the findings in a draft, sorted by place, none if a whole section could not be
// decoded. regions maps failure domains to their regions. If it is nil, regions are compared with
// those of client accounts only.
func Check(d *gooseberrypass.Draft, regions map[gooseberrypass.FailureDomain]gooseberrypass.Region) []gooseberrypass.DraftFinding {
	c := &check{draft: d, regions: regions}
	if d.Faulty {
		return nil // what depends on the section that was left out would be reported too
	}
	c.routes()
	c.services()
	c.accounts()
	c.keys()
	for _, list := range [][]gooseberrypass.DraftEntry{entries(d.Routes, routeEntry), entries(d.Services, serviceEntry), entries(d.Accounts, accountEntry)} {
		c.names(list)
	}
	gooseberrypass.SortDraftFindings(c.findings)
	return c.findings
}

func entries[T any](list []T, entryOf func(T) gooseberrypass.DraftEntry) []gooseberrypass.DraftEntry {
	all := make([]gooseberrypass.DraftEntry, 0, len(list))
	for _, e := range list {
		all = append(all, entryOf(e))
	}
	return all
}

func accountEntry(a gooseberrypass.DraftAccount) gooseberrypass.DraftEntry { return a.DraftEntry }
func routeEntry(r gooseberrypass.DraftRoute) gooseberrypass.DraftEntry     { return r.DraftEntry }
func serviceEntry(s gooseberrypass.DraftService) gooseberrypass.DraftEntry { return s.DraftEntry }

// A check collects the findings in a draft.
type check struct {
	draft    *gooseberrypass.Draft
	findings []gooseberrypass.DraftFinding
	regions  map[gooseberrypass.FailureDomain]gooseberrypass.Region
}

func (c *check) add(kind gooseberrypass.DraftKind, place gooseberrypass.DraftPlace, format string, args ...any) {
	c.findings = append(c.findings, gooseberrypass.DraftFinding{Kind: kind, Message: fmt.Sprintf(format, args...), Place: place})
}

// routes checks each route alone, and for another one with the same host and prefix. Of
// several, the first one serves all requests.
func (c *check) routes() {
	type pattern struct{ host, prefix string }
	first := map[pattern]gooseberrypass.DraftRoute{}
	for _, r := range c.draft.Routes {
		c.pattern(r)
		c.targets(r)
		c.times(r)
		c.repeats(r)
		c.routeRegions(r)
		p := pattern{r.Route.Host, r.Route.Prefix}
		if hiding, ok := first[p]; ok {
			c.add(gooseberrypass.DraftUnused, r.At(gooseberrypass.FieldPrefix), "hidden by route %d %q, which has the same host and prefix", hiding.Place.Index, hiding.Place.Name)
		} else if !r.Faulty {
			first[p] = r
		}
	}
}

// pattern checks the host and the prefix of a route. Fields with a fault are missing too, and
// are not reported twice.
func (c *check) pattern(r gooseberrypass.DraftRoute) {
	if r.Faulty {
		return
	}
	if r.Route.Host == "" {
		c.add(gooseberrypass.DraftUnused, r.At(gooseberrypass.FieldHost), "no host, so that no request matches")
	}
	if !strings.HasPrefix(r.Route.Prefix, "/") || !strings.HasSuffix(r.Route.Prefix, "/") {
		c.add(gooseberrypass.DraftError, r.At(gooseberrypass.FieldPrefix), "the prefix %q does not begin and end with a slash", r.Route.Prefix)
	}
	if _, ok := r.Values[gooseberrypass.FieldMode]; !ok {
		c.add(gooseberrypass.DraftWarning, r.At(gooseberrypass.FieldMode), "missing; requests would run at most once")
	}
}

// targets checks the services to which a route leads.
func (c *check) targets(r gooseberrypass.DraftRoute) {
	if r.Direct && len(r.Split) > 0 {
		c.add(gooseberrypass.DraftError, r.At(gooseberrypass.FieldSplit), "the route names a service and a split, want one of them")
	}
	if len(r.Route.Targets) == 0 && !r.Faulty {
		c.add(gooseberrypass.DraftError, r.At(gooseberrypass.FieldService), "the route leads to no service")
	}
	for i, s := range r.Split {
		if s.Weight == 0 && !r.Faulty {
			c.add(gooseberrypass.DraftUnused, r.At(gooseberrypass.FieldSplit), "position %d, service %q: weight 0 gets no request", i, s.Service)
		}
	}
	for _, target := range r.Route.Targets {
		known := func(s gooseberrypass.DraftService) bool { return s.Spec.ID == target.Service }
		if !slices.ContainsFunc(c.draft.Services, known) && !slices.ContainsFunc(c.draft.Services, func(s gooseberrypass.DraftService) bool { return s.Faulty && s.Spec.ID == "" }) {
			field := gooseberrypass.FieldService
			if !r.Direct {
				field = gooseberrypass.FieldSplit
			}
			c.add(gooseberrypass.DraftError, r.At(field), "no service is called %q", target.Service)
		}
	}
}

// times checks that objectives are within the time limit of a route.
func (c *check) times(r gooseberrypass.DraftRoute) {
	route := r.Route
	if route.Timeout > 0 && route.Timeout < route.Objective {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldTimeout), "%s is below the objective of %s", route.Timeout, route.Objective)
	}
	if route.Timeout > 0 && route.Timeout < route.EventGap {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldTimeout), "%s is below the longest time between two events, %s", route.Timeout, route.EventGap)
	}
}

// repeats checks what a route says of repeated requests against its mode.
func (c *check) repeats(r gooseberrypass.DraftRoute) {
	route := r.Route
	if _, known := r.Values[gooseberrypass.FieldMode]; !known {
		return
	}
	if route.MaxAttempts > 1 && !route.Repeatable() {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldAttempts), "%d attempts on a route whose requests may not be repeated", route.MaxAttempts)
	}
	if route.Mode != gooseberrypass.RouteStream && route.Resumable {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldResumable), "only a stream can be resumed")
	}
	if route.Mode != gooseberrypass.RouteStream && route.EventGap > 0 {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldEventGap), "only a stream has events")
	}
}

// routeRegions checks that some failure domain and, unless the route is public, some client
// account shares a region with the route.
func (c *check) routeRegions(r gooseberrypass.DraftRoute) {
	if !c.shared(r.Route.Regions) {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldRegions), "no failure domain is in one of these regions")
	}
	if r.Route.Public || len(c.draft.Accounts) == 0 {
		return
	}
	if !slices.ContainsFunc(c.draft.Accounts, func(a gooseberrypass.DraftAccount) bool { return a.Faulty || meet(a.Spec.Regions, r.Route.Regions) }) {
		c.add(gooseberrypass.DraftConflict, r.At(gooseberrypass.FieldRegions), "no client account may be served in one of these regions")
	}
}

// shared reports whether a failure domain is in one of the regions.
func (c *check) shared(regions []gooseberrypass.Region) bool {
	if c.regions == nil || len(regions) == 0 {
		return true
	}
	for _, region := range c.regions {
		if slices.Contains(regions, region) {
			return true
		}
	}
	return false
}

// meet reports whether two lists of regions have one in common. An empty list has all.
func meet(a, b []gooseberrypass.Region) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(region gooseberrypass.Region) bool { return slices.Contains(b, region) })
}

// services checks that a route leads to each service but the weights origin. If a route has a
// fault it is not known where it leads.
func (c *check) services() {
	faulty := slices.ContainsFunc(c.draft.Routes, func(r gooseberrypass.DraftRoute) bool { return r.Faulty })
	for _, s := range c.draft.Services {
		leads := func(r gooseberrypass.DraftRoute) bool {
			return slices.ContainsFunc(r.Route.Targets, func(t gooseberrypass.RouteTarget) bool { return t.Service == s.Spec.ID })
		}
		if s.Spec.ID != "" && s.Spec.Origin == "" && !faulty && !slices.ContainsFunc(c.draft.Routes, leads) {
			c.add(gooseberrypass.DraftUnused, s.Place, "no route leads to the service")
		}
	}
}

// accounts checks that each client account can be used.
func (c *check) accounts() {
	if c.draft.Accounts != nil && len(c.draft.Accounts) == 0 {
		place := gooseberrypass.DraftPlace{Index: -1, Section: gooseberrypass.DraftAccounts}
		c.add(gooseberrypass.DraftWarning, place, "no client account; only public routes accept requests")
	}
	for _, a := range c.draft.Accounts {
		if len(a.Keys) == 0 && !a.Faulty {
			c.add(gooseberrypass.DraftUnused, a.At(gooseberrypass.FieldAccountKeys), "the client account has no keys")
		}
		if !c.shared(a.Spec.Regions) {
			c.add(gooseberrypass.DraftConflict, a.At(gooseberrypass.FieldRegions), "no failure domain is in one of these regions")
		}
	}
}

// keys checks that each key leads to one client account. Of several, the last one gets all
// requests. Keys are secrets: a finding names them by account and position.
func (c *check) keys() {
	type holder struct {
		account  gooseberrypass.DraftAccount
		position int
	}
	first := map[string]holder{}
	for _, a := range c.draft.Accounts {
		for i, key := range a.Keys {
			h, held := first[key]
			place := a.At(gooseberrypass.FieldAccountKeys)
			switch {
			case key == "":
				c.add(gooseberrypass.DraftUnused, place, "position %d: no request matches an empty key", i)
			case !held:
				first[key] = holder{account: a, position: i}
			case h.account.Place.Index == a.Place.Index:
				c.add(gooseberrypass.DraftWarning, place, "position %d: the same key as at position %d", i, h.position)
			default:
				c.add(gooseberrypass.DraftError, place, "position %d: client account %d %q holds the same key at position %d", i, h.account.Place.Index, h.account.Place.Name, h.position)
			}
		}
	}
}

// names checks that each entry of a section has a name of its own. Of several services with
// one name, the last one counts.
func (c *check) names(list []gooseberrypass.DraftEntry) {
	first := map[string]int{}
	for _, e := range list {
		i, taken := first[e.Place.Name]
		switch {
		case e.Place.Name == "" && !e.Faulty:
			c.add(gooseberrypass.DraftError, e.At(gooseberrypass.FieldName), "missing")
		case taken && e.Place.Name != "":
			c.add(gooseberrypass.DraftError, e.At(gooseberrypass.FieldName), "entry %d has the same name", i)
		case !taken:
			first[e.Place.Name] = e.Place.Index
		}
	}
}
