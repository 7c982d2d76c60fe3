package admitter

import (
	"maps"
	"math/bits"
	"time"
)

const (
	// estimateTTL is how long an estimate is used without a new sample. Without
	// this limit a wrong estimate could refuse jobs forever, since refused jobs
	// give no samples.
	estimateTTL = 30 * time.Second
	// lowSampleWeight is the weight in the moving average of a sample that is an
	// outlier below the average.
	lowSampleWeight = 0.5
	// maxClasses bounds the classes with an estimate, and so the memory.
	maxClasses = 256
	// outlierRatio is the factor above or below the average beyond which a
	// sample is an outlier.
	outlierRatio = 3
	// sampleWeight is the weight in the moving average of any other sample.
	sampleWeight = 0.2
)

// An estimator keeps a moving average of the service time of each class of jobs
// and of all jobs.
type estimator struct {
	all     movingAverage
	classes map[class]*movingAverage
}

// A class groups jobs with similar expected service times: jobs with the same
// Job.Class whose costs have the same bit length.
type class struct {
	name string
	size int // bit length of the cost
}

func classOf(job Job) class {
	return class{name: job.Class, size: bits.Len64(uint64(job.Cost))}
}

// A movingAverage is an exponentially weighted moving average of durations.
type movingAverage struct {
	at   time.Time // time of the last sample
	mean time.Duration
}

// add includes a sample. An outlier above the average is capped, to limit its
// effect. An outlier below the average gets a higher weight, because an earlier
// outlier may have raised the average.
func (m *movingAverage) add(now time.Time, d time.Duration) {
	old := m.estimate(now)
	m.at = now
	switch {
	case old == 0:
		m.mean = d
	case d < old/outlierRatio:
		m.mean = old + time.Duration(lowSampleWeight*float64(d-old))
	default:
		m.mean = old + time.Duration(sampleWeight*float64(min(d, old*outlierRatio)-old))
	}
}

// estimate returns the average, or 0 if there is no sample within estimateTTL.
func (m *movingAverage) estimate(now time.Time) time.Duration {
	if m.at.IsZero() || now.Sub(m.at) > estimateTTL {
		return 0
	}
	return m.mean
}

func newEstimator() *estimator {
	return &estimator{classes: map[class]*movingAverage{}}
}

// add includes the measured service time of a job. A new class is ignored while
// there are maxClasses unexpired ones.
func (e *estimator) add(now time.Time, job Job, d time.Duration) {
	e.all.add(now, d)
	m, ok := e.classes[classOf(job)]
	if !ok {
		e.dropExpired(now)
		if len(e.classes) >= maxClasses {
			return
		}
		m = &movingAverage{}
		e.classes[classOf(job)] = m
	}
	m.add(now, d)
}

// dropExpired removes the expired estimates if there are maxClasses or more.
func (e *estimator) dropExpired(now time.Time) {
	if len(e.classes) < maxClasses {
		return
	}
	maps.DeleteFunc(e.classes, func(_ class, m *movingAverage) bool { return m.estimate(now) == 0 })
}

// meanServiceTime returns the average service time of all jobs, or 0 if it is
// unknown.
func (e *estimator) meanServiceTime(now time.Time) time.Duration { return e.all.estimate(now) }

// serviceTime returns the expected service time of a job, or 0 if it is unknown.
func (e *estimator) serviceTime(now time.Time, job Job) time.Duration {
	if m, ok := e.classes[classOf(job)]; ok {
		return m.estimate(now)
	}
	return 0
}
