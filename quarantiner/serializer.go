package quarantiner

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// reportWait is how long copies of a request wait after one was interrupted, for
// the report of the crash to arrive.
const reportWait = 5 * time.Second

// maxSerialized bounds the requests whose copies wait. Copies of other requests
// do not wait.
const maxSerialized = 4096

// A slot belongs to the copy of a request that may run while the others wait.
type slot struct {
	done        chan struct{} // closed when the next copy may run
	interrupted bool          // its copy was interrupted and none has finished since
	unowned     bool          // made by markInterrupted, so that no copy will release it
}

// A serializer runs the copies of a suspected request one at a time.
type serializer struct {
	clock gooseberrypass.Clock
	mu    sync.Mutex // guards slots and their fields
	slots map[gooseberrypass.Digest]*slot
}

func newSerializer(clock gooseberrypass.Clock) *serializer {
	return &serializer{clock: clock, slots: map[gooseberrypass.Digest]*slot{}}
}

// acquire takes the slot of a request and returns the function that releases it,
// or the channel to wait on if another copy has the slot.
func (s *serializer) acquire(digest gooseberrypass.Digest) (func(), <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.slots[digest]; ok {
		return nil, current.done
	}
	own := &slot{done: make(chan struct{})}
	s.slots[digest] = own
	return func() { s.release(digest, own) }, nil
}

// release frees a slot, after reportWait if its copy was interrupted.
func (s *serializer) release(digest gooseberrypass.Digest, own *slot) {
	s.mu.Lock()
	interrupted := own.interrupted
	s.mu.Unlock()
	if interrupted {
		s.clock.AfterFunc(reportWait, func() { s.close(digest, own) })
		return
	}
	s.close(digest, own)
}

// close frees a slot.
func (s *serializer) close(digest gooseberrypass.Digest, own *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(digest, own)
}

// remove frees a slot unless that was done before. The caller holds mu.
func (s *serializer) remove(digest gooseberrypass.Digest, own *slot) {
	if s.slots[digest] != own {
		return
	}
	delete(s.slots, digest)
	close(own.done)
}

// markInterrupted records that a copy was interrupted. If the request was not
// suspected, and so has no slot, its other copies still wait until it is known
// whether it is a suspect.
func (s *serializer) markInterrupted(digest gooseberrypass.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.slots[digest]
	switch {
	case ok:
		current.interrupted = true
	case len(s.slots) < maxSerialized:
		own := &slot{done: make(chan struct{}), interrupted: true, unowned: true}
		s.slots[digest] = own
		s.clock.AfterFunc(reportWait, func() { s.close(digest, own) })
	}
}

// clearInterrupted records that the interrupted copy finished at another attempt.
func (s *serializer) clearInterrupted(digest gooseberrypass.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.slots[digest]
	if !ok {
		return
	}
	current.interrupted = false
	if current.unowned {
		s.remove(digest, current)
	}
}

// waitInterrupted returns the channel to wait on if a copy was interrupted within
// reportWait, nil otherwise.
func (s *serializer) waitInterrupted(digest gooseberrypass.Digest) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.slots[digest]; ok && current.interrupted {
		return current.done
	}
	return nil
}
