package fetcher

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// A waitingList holds the wanted versions that wait for chunk memory, and logs when a wait
// begins and ends.
type waitingList struct {
	log   logrus.FieldLogger
	since map[gooseberrypass.Digest]time.Time // begin of the wait, by version
	size  prometheus.Gauge
}

func newWaitingList(size prometheus.Gauge, log logrus.FieldLogger) *waitingList {
	return &waitingList{log: log, since: map[gooseberrypass.Digest]time.Time{}, size: size}
}

// update compares the list with the state of the wanted versions.
func (l *waitingList) update(now time.Time, p *Planner) {
	for _, v := range p.versions {
		since, listed := l.since[v.want.Digest]
		if v.waiting() == listed {
			continue
		}
		log := l.log.WithFields(logrus.Fields{"model": v.want.OriginName, "version": v.want.Version, "limit": p.local.Limit()})
		if listed {
			delete(l.since, v.want.Digest)
			log.WithField("waited_ms", now.Sub(since).Milliseconds()).Info("version no longer waits for chunk memory")
			continue
		}
		l.since[v.want.Digest] = now
		log.WithField("versions_before", p.activeVersions()).Info("version waits for chunk memory")
	}
	for digest := range l.since {
		if p.version(digest) == nil {
			delete(l.since, digest)
		}
	}
	l.size.Set(float64(len(l.since)))
}
