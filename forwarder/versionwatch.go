package forwarder

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// errVersionExpired is the cause of withdrawing a request that an endpoint has not
// begun when the version that it has loaded goes out of use.
var errVersionExpired = errors.New("not begun before the endpoint's version went out of use")

// watchVersion calls withdraw once if the endpoint's version goes out of use before the
// function that is returned is called, which says that the endpoint has begun the request
// or that the attempt has ended. A newer version may be named while the request waits.
func (r *request) watchVersion(ticket *balancer.Ticket, withdraw func()) func() {
	clock := r.forwarder.clock
	expiry := newWatchdog(clock, func(error) { withdraw() })
	stop := ticket.WatchMustBegin(func(latest time.Time) { expiry.reset(latest.Sub(clock.Now()), errVersionExpired) })
	return sync.OnceFunc(func() {
		stop()
		expiry.stop()
	})
}
