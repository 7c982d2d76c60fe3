package claimer

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	appendsFailed  prometheus.Counter
	badRecords     prometheus.Counter
	droppedEntries prometheus.Counter
	trims          prometheus.Counter
	verdicts       *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gooseberrypass_claims_" + name, Help: help})
	}
	m := &metrics{
		appendsFailed:  counter("appends_failed_total", "Appends of claims that the log did not confirm."),
		badRecords:     counter("bad_records_total", "Records of claims that could not be decoded."),
		droppedEntries: counter("lost_total", "Releases and outcomes dropped because too many waited for the log."),
		trims:          counter("trims_total", "Reads that found records gone."),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_claims_total",
			Help: "Claims by verdict: won, conflict, recorded or refused.",
		}, []string{"verdict"}),
	}
	for _, c := range []prometheus.Collector{m.appendsFailed, m.badRecords, m.droppedEntries, m.trims, m.verdicts} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// String returns the verdict's value of the metric label "verdict".
func (v verdict) String() string {
	switch v.kind {
	case verdictWon:
		return "won"
	case verdictConflict:
		return "conflict"
	case verdictRecorded:
		return "recorded"
	default:
		return "refused"
	}
}
