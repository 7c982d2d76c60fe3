package admitter

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const priorities = int(gooseberrypass.MaxPriority-gooseberrypass.MinPriority) + 1

// A Queue decides which jobs run, in which order, and which are refused. It is
// pure in (state, event, time) and not safe for concurrent use.
type Queue struct {
	capacity  int
	closed    gooseberrypass.Reason // "" while open
	estimator *estimator
	levels    [priorities]level
	limit     int
	places    map[string]place // of the queued jobs
	running   map[string]run
	solo      bool // the running job runs alone
}

type place struct {
	account  gooseberrypass.ID
	priority gooseberrypass.Priority
}

type run struct {
	job     Job
	started time.Time
}

// NewQueue returns a queue of at most limit jobs before an endpoint that runs
// capacity jobs at once.
func NewQueue(limit, capacity int) *Queue {
	return &Queue{
		capacity:  capacity,
		estimator: newEstimator(),
		limit:     limit,
		places:    map[string]place{},
		running:   map[string]run{},
	}
}

// Capacity returns how many jobs may run at once.
func (q *Queue) Capacity() int { return q.capacity }

// Queued returns the number of queued jobs.
func (q *Queue) Queued() int { return len(q.places) }

// Running returns the number of running jobs.
func (q *Queue) Running() int { return len(q.running) }

// Offer adds a job. The decisions may concern other jobs too.
func (q *Queue) Offer(now time.Time, job Job) []Decision {
	job = clamp(job)
	if q.closed != "" {
		return []Decision{refusal(job.ID, q.closed, 0)}
	}
	if q.known(job.ID) {
		return []Decision{refusal(job.ID, gooseberrypass.ReasonBadRequest, 0)}
	}
	wait := q.wait(now, job)
	if q.late(now.Add(wait), job) {
		return []Decision{refusal(job.ID, gooseberrypass.ReasonDeadline, wait)}
	}
	var decisions []Decision
	if len(q.places) >= q.limit && !q.startsNow(job) {
		victim, ok := q.victim(job)
		if !ok {
			return []Decision{refusal(job.ID, gooseberrypass.ReasonOverloaded, wait)}
		}
		q.remove(victim)
		decisions = append(decisions, refusal(victim, gooseberrypass.ReasonOverloaded, wait))
	}
	q.places[job.ID] = place{account: job.Account, priority: job.Priority}
	q.level(job.Priority).push(job)
	return append(decisions, q.dispatch(now)...)
}

// Cancel takes a job out of the queue. It reports false if the job is not
// queued; a running job goes on.
func (q *Queue) Cancel(now time.Time, id string) ([]Decision, bool) {
	if !q.remove(id) {
		return nil, false
	}
	return q.dispatch(now), true
}

// Close refuses all queued jobs and all that come until Reopen, for reason.
// Running jobs go on.
func (q *Queue) Close(reason gooseberrypass.Reason) []Decision {
	q.closed = reason
	return q.RefuseQueued(reason)
}

// Expire refuses the queued jobs that can no longer end in time.
func (q *Queue) Expire(now time.Time) []Decision {
	var late []string
	for p := range q.levels {
		for _, f := range q.levels[p].flows {
			for _, job := range f.jobs {
				if q.late(now, job) {
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

// Finish tells that a running job ended, having cost the given work. whole
// tells whether it ran to its end; else its time counts for estimates only if it
// was longer than expected, as it would have been longer still.
func (q *Queue) Finish(now time.Time, id string, cost int64, whole bool) []Decision {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.solo = false
	q.level(r.job.Priority).correct(r.job.Account, cost-r.job.Cost)
	if took := now.Sub(r.started); whole || took > q.estimator.service(now, r.job) {
		q.estimator.add(now, r.job, took)
	}
	if len(q.running) == 0 && len(q.places) == 0 {
		q.levels = [priorities]level{}
	}
	return q.dispatch(now)
}

// RefuseQueued refuses all queued jobs for reason.
func (q *Queue) RefuseQueued(reason gooseberrypass.Reason) []Decision {
	ids := make([]string, 0, len(q.places))
	for id := range q.places {
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

// Reopen ends a Close.
func (q *Queue) Reopen() { q.closed = "" }

// SetCapacity sets how many jobs may run at once. Running jobs go on.
func (q *Queue) SetCapacity(now time.Time, capacity int) []Decision {
	q.capacity = max(capacity, 0)
	return q.dispatch(now)
}

// SetLimit sets how many jobs may be queued. Jobs already queued stay.
func (q *Queue) SetLimit(limit int) { q.limit = max(limit, 0) }

func clamp(job Job) Job {
	job.Cost = max(job.Cost, 1)
	job.Priority = min(max(job.Priority, gooseberrypass.MinPriority), gooseberrypass.MaxPriority)
	return job
}

func (q *Queue) dispatch(now time.Time) []Decision {
	var decisions []Decision
	for {
		job, ok := q.next()
		if !ok {
			return decisions
		}
		if q.late(now, job) {
			q.remove(job.ID)
			decisions = append(decisions, refusal(job.ID, gooseberrypass.ReasonDeadline, 0))
			continue
		}
		if !q.fits(job) {
			return decisions
		}
		q.remove(job.ID)
		q.level(job.Priority).charge(job.Account, job.Cost)
		q.running[job.ID] = run{job: job, started: now}
		q.solo = job.Alone
		decisions = append(decisions, Decision{ID: job.ID, Verdict: VerdictStart})
	}
}

func (q *Queue) fits(job Job) bool {
	if q.solo || len(q.running) >= q.capacity {
		return false
	}
	return !job.Alone || len(q.running) == 0
}

func (q *Queue) known(id string) bool {
	_, queued := q.places[id]
	_, running := q.running[id]
	return queued || running
}

// late reports whether job would end too late if it started at start. An idle
// endpoint tries any job whose deadline has not passed, so that estimates are
// corrected.
func (q *Queue) late(start time.Time, job Job) bool {
	if len(q.running) == 0 {
		return start.After(job.Deadline)
	}
	return start.Add(q.estimator.service(start, job)).After(job.Deadline)
}

func (q *Queue) level(p gooseberrypass.Priority) *level {
	return &q.levels[p-gooseberrypass.MinPriority]
}

func (q *Queue) next() (Job, bool) {
	for p := priorities - 1; p >= 0; p-- {
		if job, ok := q.levels[p].next(); ok {
			return job, true
		}
	}
	return Job{}, false
}

func (q *Queue) remove(id string) bool {
	at, ok := q.places[id]
	if !ok {
		return false
	}
	delete(q.places, id)
	q.level(at.priority).remove(at.account, id)
	return true
}

func (q *Queue) startsNow(job Job) bool {
	return len(q.places) == 0 && q.fits(job)
}

// victim returns the queued job that makes room for job in a full queue: the
// youngest job of the longest flow of the lowest priority. A job of the same
// priority gives way only to an account with a shorter flow.
func (q *Queue) victim(job Job) (string, bool) {
	for p := gooseberrypass.MinPriority; p <= job.Priority; p++ {
		l := q.level(p)
		f, ok := l.longest()
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

// wait returns how long job is expected to be queued.
func (q *Queue) wait(now time.Time, job Job) time.Duration {
	if q.capacity <= 0 {
		return 0
	}
	ahead := len(q.running)
	for p := job.Priority + 1; p <= gooseberrypass.MaxPriority; p++ {
		ahead += q.level(p).size
	}
	ahead += q.level(job.Priority).ahead(job.Account)
	waves := float64(ahead-q.capacity+1) / float64(q.capacity)
	return time.Duration(max(waves, 0) * float64(q.estimator.mean(now)))
}
