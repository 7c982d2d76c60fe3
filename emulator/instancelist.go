package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxRevisions bounds the number of retained revisions.
const maxRevisions = 4096

// An InstanceList emulates the platform's instance list, which lags behind
// changes.
type InstanceList struct {
	FaultInjector
	handler http.Handler
	lag     time.Duration

	mu        sync.Mutex
	revisions []timedListing // listings by ascending revision, never empty
}

// A timedListing is a revision of the list and the time it was made.
type timedListing struct {
	at      time.Time
	listing gooseberrypass.Listing
}

// NewInstanceList returns an empty list that makes each change visible after lag.
func NewInstanceList(clock gooseberrypass.Clock, lag time.Duration) *InstanceList {
	l := &InstanceList{
		FaultInjector: FaultInjector{clock: clock},
		lag:           lag,
		revisions:     []timedListing{{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("DELETE /instances/{id}", l.delete)
	mux.HandleFunc("GET /instances", l.get)
	mux.HandleFunc("PUT /instances/{id}", l.put)
	l.handler = l.withFaults(mux)
	return l
}

// ServeHTTP implements http.Handler.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.handler.ServeHTTP(w, r)
}

// Put adds an instance or replaces the one with the same ID.
func (l *InstanceList) Put(instance gooseberrypass.ListedInstance) {
	l.change(instance.ID, func(instances []gooseberrypass.ListedInstance) []gooseberrypass.ListedInstance {
		return append(instances, instance)
	})
}

// Delete removes an instance.
func (l *InstanceList) Delete(id gooseberrypass.ID) {
	l.change(id, func(instances []gooseberrypass.ListedInstance) []gooseberrypass.ListedInstance { return instances })
}

// change adds a revision: f applied to the last one without instance id.
func (l *InstanceList) change(
	id gooseberrypass.ID,
	f func([]gooseberrypass.ListedInstance) []gooseberrypass.ListedInstance,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.revisions[len(l.revisions)-1].listing
	instances := slices.DeleteFunc(slices.Clone(last.Instances), func(instance gooseberrypass.ListedInstance) bool {
		return instance.ID == id
	})
	l.revisions = append(l.revisions, timedListing{
		at:      l.clock.Now(),
		listing: gooseberrypass.Listing{Instances: f(instances), Revision: last.Revision + 1},
	})
	if len(l.revisions) > maxRevisions {
		l.revisions = slices.Clone(l.revisions[1:])
	}
}

// visible returns the listing that callers get now, with the lag and the faults
// applied.
func (l *InstanceList) visible() gooseberrypass.Listing {
	faults := l.Faults()
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.clock.Now().Add(-l.lag - faults.ListLag)
	i := len(l.revisions) - 1
	for i > 0 && l.revisions[i].at.After(limit) {
		i--
	}
	if faults.OldList {
		i = max(0, i-1)
	}
	listing := l.revisions[i].listing
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
	listing := l.visible()
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
