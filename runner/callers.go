package runner

import (
	"syscall"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// reservedFiles is the number of file descriptors that are not for callers' connections:
// connections to endpoints and to other processes, and files.
const reservedFiles = 200

// A callerGuard protects a process from callers that nobody controls: it bounds the memory
// for bodies and the number of connections.
type callerGuard struct {
	budget   *reserver.Budget
	logger   logrus.FieldLogger
	maxConns int
	refused  *prometheus.CounterVec
}

// newCallerGuard returns the guard of a process that may use so much memory, in bytes, and so
// many file descriptors, 0 for the limit of the process.
func newCallerGuard(clock gooseberrypass.Clock, memory int64, files int, registry prometheus.Registerer, logger logrus.FieldLogger) (*callerGuard, error) {
	g := &callerGuard{logger: logger, maxConns: reserver.MaxConnections(memory, availableFiles(files), reservedFiles)}
	g.budget = reserver.New(clock, reserver.SettingsFor(memory), g.logShortage)
	g.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrypass_callers_refused_total",
		Help: "Bodies and connections of callers that were refused or given up, by reason.",
	}, []string{"reason"})
	usage := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "gooseberrypass_body_memory_bytes",
		Help: "Memory reserved for bodies of requests and answers.",
	}, func() float64 { return float64(g.budget.Usage().Used) })
	for _, c := range []prometheus.Collector{g.refused, usage} {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics of callers")
		}
	}
	return g, nil
}

// availableFiles returns the smaller one of the setting, if it is not 0, and the limit of the
// process.
func availableFiles(setting int) int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return setting
	}
	files := int(min(limit.Cur, 1<<30))
	if setting > 0 {
		files = min(files, setting)
	}
	return files
}

// count counts a body or a connection that was refused or given up.
func (g *callerGuard) count(reason string) { g.refused.WithLabelValues(reason).Inc() }

// logShortage logs that memory for bodies is short, or no longer.
func (g *callerGuard) logShortage(short bool, u reserver.Usage) {
	log := g.logger.WithFields(logrus.Fields{"bodies": u.Bodies, "bytes": u.Used, "limit": u.Total, "given_up": u.GivenUp, "refused": u.Refused})
	if short {
		log.Warn("memory for bodies is short")
	} else {
		log.Info("memory for bodies is available again")
	}
}

// limits returns the limits of the connections. head returns the limits of heads in force.
func (g *callerGuard) limits(head func() listener.HeadLimits) listener.Limits {
	return listener.Limits{GiveUpLate: g.budget.GiveUpLate, Head: head, Logger: g.logger, MaxConns: g.maxConns, Memory: g.budget, OnFull: g.budget.GiveUpStalled, Refused: g.count}
}
