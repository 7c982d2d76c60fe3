package follower

import "sync"

// Restores is the number of times that the log came back from an older copy, as the
// followers of a process have seen it. All topics come back at once. It is safe for
// concurrent use.
type Restores struct {
	mu       sync.Mutex
	latest   uint64
	watchers map[*watcher]struct{}
}

// A watcher is called once with a higher number of restores.
type watcher struct {
	call func(restores uint64)
}

// NewRestores returns a Restores of a log that has not come back from a copy.
func NewRestores() *Restores { return &Restores{watchers: map[*watcher]struct{}{}} }

// observe records the number of restores that an answer of the log names.
func (r *Restores) observe(restores uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if restores <= r.latest {
		return
	}
	r.latest = restores
	for w := range r.watchers {
		w.call(restores)
	}
	clear(r.watchers)
}

// watch calls f, which must not block, once there have been more than known restores. The
// function that is returned ends that; it must be called.
func (r *Restores) watch(known uint64, f func(restores uint64)) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest > known {
		f(r.latest)
		return func() {}
	}
	w := &watcher{call: f}
	r.watchers[w] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, w)
	}
}
