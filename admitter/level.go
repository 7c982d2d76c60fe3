package admitter

import (
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxFlows is the number of flows from which a level evicts an idle flow before
// it adds a job. Flows with queued jobs are never evicted, so that there may be
// more.
const maxFlows = 1024

// A level holds the queued jobs of one priority and schedules them by fair
// queueing. Each client account has a flow with a virtual time, which grows by
// the work that is started. The flow with the lowest virtual time goes next. A
// new flow starts at the virtual time of the level, so that an idle account
// does not accumulate credit.
type level struct {
	flows       []*flow // sorted by account
	size        int     // number of queued jobs
	virtualTime int64   // highest virtual time at which a flow has started a job
}

// A flow holds the queued jobs of one client account.
type flow struct {
	account     gooseberrypass.ID
	jobs        []Job // in order of arrival
	virtualTime int64 // virtual time of the flow, in the unit of Job.Cost
}

// find returns the index of the flow of account, or the index at which to
// insert it, and whether it exists.
func (l *level) find(account gooseberrypass.ID) (int, bool) {
	return slices.BinarySearchFunc(l.flows, account, func(f *flow, a gooseberrypass.ID) int {
		switch {
		case f.account < a:
			return -1
		case f.account > a:
			return 1
		default:
			return 0
		}
	})
}

// jobsAhead returns how many queued jobs of the level are expected to start
// before a new job of account: all of that account, and at most one more of each
// other account.
func (l *level) jobsAhead(account gooseberrypass.ID) int {
	own := l.queued(account)
	ahead := own
	for _, f := range l.flows {
		if f.account != account {
			ahead += min(len(f.jobs), own+1)
		}
	}
	return ahead
}

// charge advances the virtual time of the level to that of the account's flow
// and then adds cost to the flow's.
func (l *level) charge(account gooseberrypass.ID, cost int64) {
	i, ok := l.find(account)
	if !ok {
		return
	}
	l.virtualTime = max(l.virtualTime, l.flows[i].virtualTime)
	l.flows[i].virtualTime += cost
	l.dropIdle()
}

// adjust adds to an account's virtual time the difference between the actual and
// the expected cost of a finished job.
func (l *level) adjust(account gooseberrypass.ID, difference int64) {
	if i, ok := l.find(account); ok {
		l.flows[i].virtualTime += difference
	}
	l.dropIdle()
}

// dropIdle removes the flows without jobs whose virtual time is not above that
// of the level. A new flow would start there anyway.
func (l *level) dropIdle() {
	l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
		return len(f.jobs) == 0 && f.virtualTime <= l.virtualTime
	})
}

// longestFlow returns the flow with the most queued jobs, and false if the level
// is empty.
func (l *level) longestFlow() (*flow, bool) {
	var longest *flow
	for _, f := range l.flows {
		if len(f.jobs) > 0 && (longest == nil || len(f.jobs) > len(longest.jobs)) {
			longest = f
		}
	}
	return longest, longest != nil
}

// next returns the job to start next, and false if the level is empty.
func (l *level) next() (Job, bool) {
	var least *flow
	for _, f := range l.flows {
		if len(f.jobs) > 0 && (least == nil || f.virtualTime < least.virtualTime) {
			least = f
		}
	}
	if least == nil {
		return Job{}, false
	}
	return least.jobs[0], true
}

func (l *level) push(job Job) {
	l.evictIdle()
	i, ok := l.find(job.Account)
	if !ok {
		l.flows = slices.Insert(l.flows, i, &flow{account: job.Account, virtualTime: l.virtualTime})
	}
	l.flows[i].jobs = append(l.flows[i].jobs, job)
	l.size++
}

// queued returns the number of queued jobs of account.
func (l *level) queued(account gooseberrypass.ID) int {
	if i, ok := l.find(account); ok {
		return len(l.flows[i].jobs)
	}
	return 0
}

func (l *level) remove(account gooseberrypass.ID, id string) {
	i, ok := l.find(account)
	if !ok {
		return
	}
	f := l.flows[i]
	if at := slices.IndexFunc(f.jobs, func(j Job) bool { return j.ID == id }); at >= 0 {
		f.jobs = slices.Delete(f.jobs, at, at+1)
		l.size--
	}
}

// evictIdle removes the idle flow with the lowest virtual time if there are
// maxFlows or more.
func (l *level) evictIdle() {
	if len(l.flows) < maxFlows {
		return
	}
	least := -1
	for i, f := range l.flows {
		if len(f.jobs) == 0 && (least < 0 || f.virtualTime < l.flows[least].virtualTime) {
			least = i
		}
	}
	if least >= 0 {
		l.flows = slices.Delete(l.flows, least, least+1)
	}
}
