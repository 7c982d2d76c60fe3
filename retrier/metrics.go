package retrier

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	attempts      prometheus.Counter
	backoffs      prometheus.Counter
	badFrames     prometheus.Counter
	failedCancels prometheus.Counter
	moves         prometheus.Counter
	retries       prometheus.Counter
	retriesDenied prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gooseberrypass_" + name, Help: help})
	}
	m := &metrics{
		attempts:      counter("sent_attempts_total", "Attempts sent to endpoints."),
		badFrames:     counter("bad_frames_total", "Answers discarded as crossed, cut or made by other weights."),
		retriesDenied: counter("retries_denied_total", "Retries not made for want of budget."),
		failedCancels: counter("cancels_lost_total", "Cancellations that an agent did not confirm."),
		moves:         counter("streams_moved_total", "Streams resumed at another endpoint."),
		retries:       counter("retries_total", "Attempts after the first of a request."),
		backoffs:      counter("rollout_waits_total", "Pauses of requests while no endpoint had a version loaded."),
	}
	for _, c := range []prometheus.Collector{m.attempts, m.badFrames, m.retriesDenied, m.failedCancels, m.moves, m.retries, m.backoffs} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
