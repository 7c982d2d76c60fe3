package forwarder

import (
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// errEndpointLost is the cause of withdrawing an attempt from an endpoint that no entry
// hears from.
var errEndpointLost = errors.New("no entry hears from the endpoint")

// watchEndpoint calls withdraw once if the endpoint of an attempt that may be repeated is
// lost and the retry budget allows the repeat, which it then takes. Without it the
// attempt would wait for the timeout of the head or of the next event, which allows for
// endpoints that are only slow. The function that is returned ends the watch.
func (r *request) watchEndpoint(ticket *balancer.Ticket, withdraw func()) func() {
	f := r.forwarder
	if f.settings.LossPoll <= 0 || !r.route.Repeatable() || r.attempts >= r.route.MaxAttempts {
		return func() {}
	}
	var (
		mu      sync.Mutex
		stopped bool
		timer   clockwork.Timer
	)
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case stopped:
		case ticket.EndpointLost() && f.budget.allowRepeat(f.clock.Now(), r.service, f.chooser.Entries()):
			stopped = true
			r.repeatPaid.Store(true)
			withdraw()
		default:
			timer.Reset(f.settings.LossPoll)
		}
	}
	mu.Lock()
	timer = f.clock.AfterFunc(f.settings.LossPoll, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
