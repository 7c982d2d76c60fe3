package attributor

import (
	"math"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// ownWeight is the number of requests from which on an entry's own share of a part counts
// for more than that of all entries.
const ownWeight = 20

// A report has the recent counts that another entry told.
type report struct {
	at       time.Time
	parts    map[part]int // requests with the parts that are under suspicion there
	requests map[gooseberrypass.ID]int
}

// addReport stores the counts that another entry tells.
func (a *Attributor) addReport(now time.Time, from gooseberrypass.ID, e Evidence) {
	for id, held := range a.reports {
		if now.Sub(held.at) > 2*frequencyWindow {
			delete(a.reports, id)
		}
	}
	if len(e.Requests) == 0 {
		return
	}
	r := report{at: now, parts: make(map[part]int, len(e.Counts)), requests: make(map[gooseberrypass.ID]int, len(e.Requests))}
	for _, c := range e.Counts {
		r.parts[part(c.Part)] = max(c.Requests, 0)
	}
	for _, t := range e.Requests {
		r.requests[t.Service] = max(t.Requests, 0)
	}
	a.reports[from] = r
}

// counts returns how many requests to a service an entry had, and how many of them had a
// part. "" stands for this entry. It reports whether the entry told of the part.
func (a *Attributor) counts(entry, service gooseberrypass.ID, key part) (int, int, bool) {
	if entry == "" {
		return a.parts.requests(service), a.parts.requestsWith(key), true
	}
	r := a.reports[entry]
	with, ok := r.parts[key]
	return r.requests[service], with, ok
}

// sharers returns a function that gives the share of an entry's requests to a service that
// have a part. Callers differ between entries and few requests tell little, so the share
// is between that of the entry and an upper bound of that of all.
func (a *Attributor) sharers(service gooseberrypass.ID, key part) func(entry gooseberrypass.ID) float64 {
	requests, with, _ := a.counts("", service, key)
	for entry := range a.reports {
		if n, k, ok := a.counts(entry, service, key); ok {
			requests, with = requests+n, with+k
		}
	}
	bound := float64(with + 1)
	all := min((bound+2*math.Sqrt(bound))/float64(requests+1), 1)
	return func(entry gooseberrypass.ID) float64 {
		n, k, ok := a.counts(entry, service, key)
		if !ok {
			return all
		}
		return min((float64(k)+ownWeight*all)/float64(n+ownWeight), 1)
	}
}
