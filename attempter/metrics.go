package attempter

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	attempts   *prometheus.CounterVec
	firstToken prometheus.Histogram
	moves      *prometheus.CounterVec
	strays     prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, reg *registry) (*metrics, error) {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_attempts_total",
			Help: "Attempts ended, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "gooseberrypass_first_token_seconds",
			Help:    "Time from admission to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 9),
		}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_stream_moves_total",
			Help: "Streams offered to another endpoint at a planned stop, by result of the export.",
		}, []string{"result"}),
		strays: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_stray_tokens_total",
			Help: "Tokens passed over for belonging to another stream or coming twice.",
		}),
	}
	known := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrypass_attempts_known",
		Help: "Attempts in progress or remembered.",
	}, func() float64 { return float64(reg.known()) })
	for _, c := range []prometheus.Collector{m.attempts, m.firstToken, known, m.moves, m.strays} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
