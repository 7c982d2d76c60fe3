package admitter

import (
	"maps"
	"math/bits"
	"time"
)

const (
	// estimateLife is how long an estimate counts without a new sample, so that
	// a wrong one cannot refuse work for ever.
	estimateLife = 30 * time.Second
	// lowWeight is the weight of a new sample far below the mean.
	lowWeight  = 0.5
	maxClasses = 256
	// outlierRatio is how far from the mean a sample is an outlier.
	outlierRatio = 3
	// sampleWeight is the weight of a new sample in the running mean.
	sampleWeight = 0.2
)

// An estimator keeps the mean service time of each class of jobs.
type estimator struct {
	all     sample
	classes map[class]*sample
}

// A class groups jobs that are expected to take about equally long: those of
// one name whose costs have the same power of two.
type class struct {
	name string
	size int
}

func classOf(job Job) class {
	return class{name: job.Class, size: bits.Len64(uint64(job.Cost))}
}

type sample struct {
	at   time.Time
	mean time.Duration
}

// add takes in a measured time. An outlier moves the mean little; one far below
// the mean, which an outlier may have raised, moves it more.
func (s *sample) add(now time.Time, d time.Duration) {
	old := s.estimate(now)
	s.at = now
	switch {
	case old == 0:
		s.mean = d
	case d < old/outlierRatio:
		s.mean = old + time.Duration(lowWeight*float64(d-old))
	default:
		s.mean = old + time.Duration(sampleWeight*float64(min(d, old*outlierRatio)-old))
	}
}

func (s *sample) estimate(now time.Time) time.Duration {
	if s.at.IsZero() || now.Sub(s.at) > estimateLife {
		return 0
	}
	return s.mean
}

func newEstimator() *estimator {
	return &estimator{classes: map[class]*sample{}}
}

// add takes in the measured service time of a job.
func (e *estimator) add(now time.Time, job Job, d time.Duration) {
	e.all.add(now, d)
	s, ok := e.classes[classOf(job)]
	if !ok {
		e.forget(now)
		if len(e.classes) >= maxClasses {
			return
		}
		s = &sample{}
		e.classes[classOf(job)] = s
	}
	s.add(now, d)
}

// forget drops outlived estimates if there are too many.
func (e *estimator) forget(now time.Time) {
	if len(e.classes) < maxClasses {
		return
	}
	maps.DeleteFunc(e.classes, func(_ class, s *sample) bool { return s.estimate(now) == 0 })
}

// mean returns the mean service time of all jobs, 0 if unknown.
func (e *estimator) mean(now time.Time) time.Duration { return e.all.estimate(now) }

// service returns the expected service time of a job, 0 if unknown.
func (e *estimator) service(now time.Time, job Job) time.Duration {
	if s, ok := e.classes[classOf(job)]; ok {
		return s.estimate(now)
	}
	return 0
}
