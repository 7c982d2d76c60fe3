package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxListings bounds the revisions that are kept.
const maxListings = 4096

// An InstanceList stands in for the platform's lagging list of instances.
type InstanceList struct {
	FaultSwitch
	handler http.Handler
	lag     time.Duration

	mu       sync.Mutex
	listings []datedListing // in order of revision, never empty
}

type datedListing struct {
	at      time.Time
	listing gooseberrypass.Listing
}

// NewInstanceList returns an empty list that shows each change after lag.
func NewInstanceList(clock gooseberrypass.Clock, lag time.Duration) *InstanceList {
	l := &InstanceList{
		FaultSwitch: FaultSwitch{clock: clock},
		lag:         lag,
		listings:    []datedListing{{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /instances/{id}", l.delete)
	mux.HandleFunc("GET /instances", l.get)
	mux.HandleFunc("PUT /instances/{id}", l.put)
	l.handler = l.wrap(mux)
	return l
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.handler.ServeHTTP(w, r)
}

// Put adds an instance, in place of one of the same id.
func (l *InstanceList) Put(instance gooseberrypass.ListedInstance) {
	l.change(instance.ID, func(rows []gooseberrypass.ListedInstance) []gooseberrypass.ListedInstance {
		return append(rows, instance)
	})
}

// Delete removes an instance.
func (l *InstanceList) Delete(id gooseberrypass.ID) {
	l.change(id, func(rows []gooseberrypass.ListedInstance) []gooseberrypass.ListedInstance { return rows })
}

// change makes a revision of the rows without id, passed through f.
func (l *InstanceList) change(
	id gooseberrypass.ID,
	f func([]gooseberrypass.ListedInstance) []gooseberrypass.ListedInstance,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.listings[len(l.listings)-1].listing
	rows := slices.DeleteFunc(slices.Clone(last.Instances), func(row gooseberrypass.ListedInstance) bool {
		return row.ID == id
	})
	l.listings = append(l.listings, datedListing{
		at:      l.clock.Now(),
		listing: gooseberrypass.Listing{Instances: f(rows), Revision: last.Revision + 1},
	})
	if len(l.listings) > maxListings {
		l.listings = slices.Clone(l.listings[1:])
	}
}

// shown returns the listing that callers see now.
func (l *InstanceList) shown() gooseberrypass.Listing {
	faults := l.Faults()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.clock.Now().Add(-l.lag - faults.ListLag)
	i := len(l.listings) - 1
	for i > 0 && l.listings[i].at.After(limit) {
		i--
	}
	if faults.OldList {
		i = max(0, i-1)
	}
	listing := l.listings[i].listing
	if faults.EmptyList || listing.Instances == nil {
		listing.Instances = []gooseberrypass.ListedInstance{}
	}
	return listing
}

func (l *InstanceList) delete(w http.ResponseWriter, r *http.Request) {
	l.Delete(gooseberrypass.ID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (l *InstanceList) get(w http.ResponseWriter, r *http.Request) {
	listing := l.shown()
	tag := fmt.Sprintf(`"%d-%d"`, listing.Revision, len(listing.Instances))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, listing)
}

func (l *InstanceList) put(w http.ResponseWriter, r *http.Request) {
	var instance gooseberrypass.ListedInstance
	if !readJSON(w, r, maxAdminSize, &instance) {
		return
	}
	instance.ID = gooseberrypass.ID(r.PathValue("id"))
	l.Put(instance)
	w.WriteHeader(http.StatusNoContent)
}

var _ http.Handler = (*InstanceList)(nil)
