package admitter

import (
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxFlows bounds the accounts that a level remembers beside those with jobs.
const maxFlows = 1024

// A level holds the queued jobs of one priority. Each client account has a flow
// with a virtual time, the work it was given; the flow with the least goes
// next. A flow that becomes busy again starts at the level's virtual time, so
// that idle time earns nothing.
type level struct {
	flows   []*flow // in order of account
	size    int     // queued jobs
	virtual int64
}

type flow struct {
	account gooseberrypass.ID
	jobs    []Job // in order of arrival
	virtual int64
}

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

// ahead returns how many queued jobs of the level are expected to start before
// a new job of account: its own, and as many of each other account.
func (l *level) ahead(account gooseberrypass.ID) int {
	own := l.queued(account)
	ahead := own
	for _, f := range l.flows {
		if f.account != account {
			ahead += min(len(f.jobs), own+1)
		}
	}
	return ahead
}

// charge adds work to an account's virtual time and moves the level's on.
func (l *level) charge(account gooseberrypass.ID, cost int64) {
	i, ok := l.find(account)
	if !ok {
		return
	}
	l.virtual = max(l.virtual, l.flows[i].virtual)
	l.flows[i].virtual += cost
	l.forget()
}

// correct adds the difference between expected and real work.
func (l *level) correct(account gooseberrypass.ID, difference int64) {
	if i, ok := l.find(account); ok {
		l.flows[i].virtual += difference
	}
	l.forget()
}

// forget drops idle flows that are not ahead of the level's virtual time.
func (l *level) forget() {
	l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
		return len(f.jobs) == 0 && f.virtual <= l.virtual
	})
}

func (l *level) longest() (*flow, bool) {
	var longest *flow
	for _, f := range l.flows {
		if len(f.jobs) > 0 && (longest == nil || len(f.jobs) > len(longest.jobs)) {
			longest = f
		}
	}
	return longest, longest != nil
}

func (l *level) next() (Job, bool) {
	var least *flow
	for _, f := range l.flows {
		if len(f.jobs) > 0 && (least == nil || f.virtual < least.virtual) {
			least = f
		}
	}
	if least == nil {
		return Job{}, false
	}
	return least.jobs[0], true
}

func (l *level) push(job Job) {
	l.shrink()
	i, ok := l.find(job.Account)
	if !ok {
		l.flows = slices.Insert(l.flows, i, &flow{account: job.Account, virtual: l.virtual})
	}
	l.flows[i].jobs = append(l.flows[i].jobs, job)
	l.size++
}

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

// shrink forgets the idle flow that was given least if there are too many.
func (l *level) shrink() {
	if len(l.flows) < maxFlows {
		return
	}
	least := -1
	for i, f := range l.flows {
		if len(f.jobs) == 0 && (least < 0 || f.virtual < l.flows[least].virtual) {
			least = i
		}
	}
	if least >= 0 {
		l.flows = slices.Delete(l.flows, least, least+1)
	}
}
