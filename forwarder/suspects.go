package forwarder

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxSuspects bounds the requests remembered as suspects.
const maxSuspects = 4096

// A suspect is a request at which endpoints broke.
type suspect struct {
	breaks int
	last   time.Time
}

// suspects finds the requests that crash endpoints: the same caller sends the
// same request again and each time the connection breaks.
type suspects struct {
	settings Settings

	mu   sync.Mutex
	seen map[gooseberrypass.Digest]suspect
}

func newSuspects(settings Settings) *suspects {
	return &suspects{seen: map[gooseberrypass.Digest]suspect{}, settings: settings}
}

// crashed notes that an endpoint broke at a request.
func (s *suspects) crashed(now time.Time, digest gooseberrypass.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) >= maxSuspects {
		s.forget(now)
	}
	held := s.seen[digest]
	s.seen[digest] = suspect{breaks: held.breaks + 1, last: now}
}

func (s *suspects) forget(now time.Time) {
	for digest, held := range s.seen {
		if now.Sub(held.last) > s.settings.PoisonTime || held.breaks < s.settings.PoisonCrash {
			delete(s.seen, digest)
		}
	}
}

// refuses reports whether a request is refused as a suspect.
func (s *suspects) refuses(now time.Time, digest gooseberrypass.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.seen[digest]
	return ok && held.breaks >= s.settings.PoisonCrash && now.Sub(held.last) <= s.settings.PoisonTime
}
