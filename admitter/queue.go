package admitter

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// priorities is the number of priorities.
const priorities = int(gooseberrypass.MaxPriority-gooseberrypass.MinPriority) + 1

// A Queue decides which jobs run, in which order, and which are refused. It
// reads no clock: its decisions depend only on the calls made and the times
// passed to them. It is not safe for concurrent use.
type Queue struct {
	capacity     int
	closed       gooseberrypass.Reason // reason of Close; empty while open
	estimator    *estimator
	levels       [priorities]level
	limit        int
	queued       map[string]queuedJob  // queued jobs, by ID
	running      map[string]runningJob // running jobs, by ID
	runningAlone bool                  // a job with Alone is running
}

// A queuedJob is what is needed to find a queued job in its level.
type queuedJob struct {
	account  gooseberrypass.ID
	priority gooseberrypass.Priority
}

type runningJob struct {
	job     Job
	started time.Time
}

// NewQueue returns a queue that holds at most limit jobs for an endpoint that
// runs capacity jobs at once.
func NewQueue(limit, capacity int) *Queue {
	return &Queue{
		capacity:  capacity,
		estimator: newEstimator(),
		limit:     limit,
		queued:    map[string]queuedJob{},
		running:   map[string]runningJob{},
	}
}

// Capacity returns how many jobs may run at once.
func (q *Queue) Capacity() int { return q.capacity }

// Queued returns the number of queued jobs.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of running jobs.
func (q *Queue) Running() int { return len(q.running) }

// Offer adds a job. The decisions may include other jobs: a full queue may
// refuse a queued job in favor of the new one.
func (q *Queue) Offer(now time.Time, job Job) []Decision {
	job = clamp(job)
	if q.closed != "" {
		return []Decision{refusal(job.ID, q.closed, 0)}
	}
	if q.has(job.ID) {
		return []Decision{refusal(job.ID, gooseberrypass.ReasonBadRequest, 0)}
	}
	wait := q.expectedWait(now, job)
	if q.missesDeadline(now.Add(wait), job) {
		return []Decision{refusal(job.ID, gooseberrypass.ReasonDeadline, wait)}
	}
	var decisions []Decision
	if len(q.queued) >= q.limit && !q.startsNow(job) {
		victim, ok := q.victim(job)
		if !ok {
			return []Decision{refusal(job.ID, gooseberrypass.ReasonOverloaded, wait)}
		}
		q.remove(victim)
		decisions = append(decisions, refusal(victim, gooseberrypass.ReasonOverloaded, wait))
	}
	q.queued[job.ID] = queuedJob{account: job.Account, priority: job.Priority}
	q.level(job.Priority).push(job)
	return append(decisions, q.dispatch(now)...)
}

// Cancel removes a job from the queue. It returns false if the job is not
// queued. A running job continues.
func (q *Queue) Cancel(now time.Time, id string) ([]Decision, bool) {
	if !q.remove(id) {
		return nil, false
	}
	return q.dispatch(now), true
}

// Close refuses, with reason, all queued jobs and all jobs offered until Reopen
// is called. Running jobs continue.
func (q *Queue) Close(reason gooseberrypass.Reason) []Decision {
	q.closed = reason
	return q.RefuseQueued(reason)
}

// Expire refuses the queued jobs that can no longer finish before their
// deadline.
func (q *Queue) Expire(now time.Time) []Decision {
	var late []string
	for p := range q.levels {
		for _, f := range q.levels[p].flows {
			for _, job := range f.jobs {
				if q.missesDeadline(now, job) {
					late = append(late, job.ID)
				}
			}
		}
	}
	slices.Sort(late)
	decisions := make([]Decision, 0, len(late))
	for _, id := range late {
		q.remove(id)
		decisions = append(decisions, refusal(id, gooseberrypass.ReasonDeadline, 0))
	}
	return append(decisions, q.dispatch(now)...)
}

// Finish records that a running job has ended after doing cost work, in the unit
// of Job.Cost. completed reports whether the job ran to completion. The time of
// a job that did not is used for estimates only if it exceeds the expected time:
// the complete job would have taken even longer.
func (q *Queue) Finish(now time.Time, id string, cost int64, completed bool) []Decision {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.runningAlone = false
	q.level(r.job.Priority).adjust(r.job.Account, cost-r.job.Cost)
	if took := now.Sub(r.started); completed || took > q.estimator.serviceTime(now, r.job) {
		q.estimator.add(now, r.job, took)
	}
	if len(q.running) == 0 && len(q.queued) == 0 {
		q.levels = [priorities]level{}
	}
	return q.dispatch(now)
}

// RefuseQueued refuses all queued jobs with reason. New jobs are still accepted.
func (q *Queue) RefuseQueued(reason gooseberrypass.Reason) []Decision {
	ids := make([]string, 0, len(q.queued))
	for id := range q.queued {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	decisions := make([]Decision, 0, len(ids))
	for _, id := range ids {
		q.remove(id)
		decisions = append(decisions, refusal(id, reason, 0))
	}
	return decisions
}

// Reopen accepts jobs again after Close.
func (q *Queue) Reopen() { q.closed = "" }

// SetCapacity sets how many jobs may run at once. Running jobs continue.
func (q *Queue) SetCapacity(now time.Time, capacity int) []Decision {
	q.capacity = max(capacity, 0)
	return q.dispatch(now)
}

// SetLimit sets how many jobs may be queued. Jobs already queued stay queued.
func (q *Queue) SetLimit(limit int) { q.limit = max(limit, 0) }

// clamp raises the cost to at least 1 and limits the priority to its range.
func clamp(job Job) Job {
	job.Cost = max(job.Cost, 1)
	job.Priority = min(max(job.Priority, gooseberrypass.MinPriority), gooseberrypass.MaxPriority)
	return job
}

// dispatch starts queued jobs while capacity is free. It refuses those whose
// turn comes too late to finish in time.
func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for {
		job, ok := q.next()
		if !ok {
			return decisions
		}
		if q.missesDeadline(now, job) {
			q.remove(job.ID)
			decisions = append(decisions, refusal(job.ID, gooseberrypass.ReasonDeadline, 0))
			continue
		}
		if !q.canStart(job) {
			return decisions
		}
		q.remove(job.ID)
		q.level(job.Priority).charge(job.Account, job.Cost)
		q.running[job.ID] = runningJob{job: job, started: now}
		q.runningAlone = job.Alone
		decisions = append(decisions, Decision{ID: job.ID, Verdict: VerdictStart})
	}
}

// canStart reports whether job may start beside the running jobs.
func (q *Queue) canStart(job Job) bool {
	if q.runningAlone || len(q.running) >= q.capacity {
		return false
	}
	return !job.Alone || len(q.running) == 0
}

// has reports whether a job is queued or running.
func (q *Queue) has(id string) bool {
	_, queued := q.queued[id]
	_, running := q.running[id]
	return queued || running
}

// missesDeadline reports whether job would finish after its deadline if it
// started at start. An idle endpoint runs any job whose deadline has not passed,
// so that a wrong estimate is corrected by new samples.
func (q *Queue) missesDeadline(start time.Time, job Job) bool {
	if len(q.running) == 0 {
		return start.After(job.Deadline)
	}
	return start.Add(q.estimator.serviceTime(start, job)).After(job.Deadline)
}

func (q *Queue) level(p gooseberrypass.Priority) *level {
	return &q.levels[p-gooseberrypass.MinPriority]
}

// next returns the job to start next, and false if the queue is empty.
func (q *Queue) next() (Job, bool) {
	for p := priorities - 1; p >= 0; p-- {
		if job, ok := q.levels[p].next(); ok {
			return job, true
		}
	}
	return Job{}, false
}

// remove takes a job out of the queue and reports whether it was queued.
func (q *Queue) remove(id string) bool {
	job, ok := q.queued[id]
	if !ok {
		return false
	}
	delete(q.queued, id)
	q.level(job.priority).remove(job.account, id)
	return true
}

// startsNow reports whether job would start at once, without being queued.
func (q *Queue) startsNow(job Job) bool {
	return len(q.queued) == 0 && q.canStart(job)
}

// victim returns the ID of the queued job to refuse in favor of job when the
// queue is full: the newest job of the longest flow of the lowest priority. A
// job of the same priority is refused only if the new job's account has a
// shorter flow.
func (q *Queue) victim(job Job) (string, bool) {
	for p := gooseberrypass.MinPriority; p <= job.Priority; p++ {
		l := q.level(p)
		f, ok := l.longestFlow()
		if !ok {
			continue
		}
		if p == job.Priority && l.queued(job.Account)+1 >= len(f.jobs) {
			return "", false
		}
		return f.jobs[len(f.jobs)-1].ID, true
	}
	return "", false
}

// expectedWait returns how long job is expected to wait in the queue. It is 0 if
// the capacity is 0 or no service time is known.
func (q *Queue) expectedWait(now time.Time, job Job) time.Duration {
	if q.capacity <= 0 {
		return 0
	}
	ahead := len(q.running)
	for p := job.Priority + 1; p <= gooseberrypass.MaxPriority; p++ {
		ahead += q.level(p).size
	}
	ahead += q.level(job.Priority).jobsAhead(job.Account)
	rounds := float64(ahead-q.capacity+1) / float64(q.capacity)
	return time.Duration(max(rounds, 0) * float64(q.estimator.meanServiceTime(now)))
}
