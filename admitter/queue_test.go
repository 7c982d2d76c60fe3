package admitter_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
)

func start() time.Time { return time.Unix(1_800_000_000, 0) }

func jobOf(id string, account gooseberrypass.ID, p gooseberrypass.Priority) admitter.Job {
	return admitter.Job{Account: account, Cost: 1, Deadline: start().Add(time.Hour), ID: id, Priority: p}
}

// describe formats decisions as "+id" for a start and "-id:reason" for a refusal.
func describe(decisions []admitter.Decision) []string {
	got := []string{}
	for _, d := range decisions {
		if d.Verdict == admitter.VerdictStart {
			got = append(got, "+"+d.ID)
		} else {
			got = append(got, "-"+d.ID+":"+string(d.Reason))
		}
	}
	return got
}

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name  string
		limit int
		do    func(q *admitter.Queue) []admitter.Decision
		want  []string
	}{
		{"higher priority first", 9, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("low", "a", 1))
			q.Offer(start(), jobOf("high", "a", 5))
			return q.Finish(start(), "first", 1, true)
		}, []string{"+high"}},
		{"account with less work started first", 9, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("a1", "a", 4))
			q.Offer(start(), jobOf("b1", "b", 4))
			return q.Finish(start(), "first", 1, true)
		}, []string{"+b1"}},
		{"idle account gets no credit", 9, func(q *admitter.Queue) []admitter.Decision {
			running := "first"
			next := func(account gooseberrypass.ID, ids ...string) []admitter.Decision {
				for _, id := range ids {
					q.Offer(start(), jobOf(id, account, 4))
				}
				got := q.Finish(start(), running, 1, true)
				running = got[0].ID
				return got
			}
			for _, id := range []string{"a1", "a2", "a3", "a4"} {
				next("a", id)
			}
			got := next("b", "b1", "b2", "b3")
			got = append(got, next("a", "a5", "a6")...)
			return append(got, next("a")...)
		}, []string{"+b1", "+a5", "+b2"}},
		{"full queue: lowest priority is refused", 2, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("low", "a", 1))
			q.Offer(start(), jobOf("mid", "a", 2))
			return q.Offer(start(), jobOf("high", "b", 5))
		}, []string{"-low:overloaded"}},
		{"full queue: no lower priority", 2, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("b1", "b", 4))
			q.Offer(start(), jobOf("c1", "c", 4))
			return q.Offer(start(), jobOf("d1", "d", 4))
		}, []string{"-d1:overloaded"}},
		{"full queue: newest job of the longest flow is refused", 3, func(q *admitter.Queue) []admitter.Decision {
			for _, id := range []string{"a1", "a2", "a3"} {
				q.Offer(start(), jobOf(id, "a", 4))
			}
			return q.Offer(start(), jobOf("b1", "b", 4))
		}, []string{"-a3:overloaded"}},
		{"duplicate id", 9, func(q *admitter.Queue) []admitter.Decision {
			return q.Offer(start(), jobOf("first", "a", 4))
		}, []string{"-first:bad-request"}},
		{"deadline passed", 9, func(q *admitter.Queue) []admitter.Decision {
			j := jobOf("late", "a", 4)
			j.Deadline = start().Add(-1)
			return q.Offer(start(), j)
		}, []string{"-late:deadline"}},
		{"cannot finish in time", 9, func(q *admitter.Queue) []admitter.Decision {
			q.Finish(start().Add(time.Second), "first", 1, true)
			q.Offer(start().Add(time.Second), jobOf("second", "a", 4))
			j := jobOf("tight", "a", 4)
			j.Deadline = start().Add(2500 * time.Millisecond) // expected wait and service time are 1 s each
			return q.Offer(start().Add(time.Second), j)
		}, []string{"-tight:deadline"}},
		{"idle endpoint runs one job despite its estimate", 9, func(q *admitter.Queue) []admitter.Decision {
			now := start().Add(10 * time.Second)
			q.SetCapacity(now, 4)
			q.Finish(now, "first", 0, false)
			got := make([]admitter.Decision, 0, 2)
			for _, id := range []string{"next", "beside"} {
				j := jobOf(id, "a", 4)
				j.Deadline = now.Add(5 * time.Second)
				got = append(got, q.Offer(now, j)...)
			}
			return got
		}, []string{"+next", "-beside:deadline"}},
		{"deadline passed in the queue", 9, func(q *admitter.Queue) []admitter.Decision {
			j := jobOf("late", "a", 4)
			j.Deadline = start().Add(time.Second)
			q.Offer(start(), j)
			return q.Expire(start().Add(2 * time.Second))
		}, []string{"-late:deadline"}},
		{"cancelled while queued", 9, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("gone", "b", 4))
			q.Offer(start(), jobOf("next", "b", 4))
			q.Cancel(start(), "gone")
			return q.Finish(start(), "first", 1, true)
		}, []string{"+next"}},
		{"closed", 9, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("queued", "b", 4))
			return append(q.Close(gooseberrypass.ReasonLeaving), q.Offer(start(), jobOf("new", "b", 4))...)
		}, []string{"-queued:leaving", "-new:leaving"}},
		{"capacity raised", 9, func(q *admitter.Queue) []admitter.Decision {
			q.Offer(start(), jobOf("b1", "b", 4))
			q.Offer(start(), jobOf("b2", "b", 4))
			return q.SetCapacity(start(), 3)
		}, []string{"+b1", "+b2"}},
		{"alone: runs beside no other job", 9, func(q *admitter.Queue) []admitter.Decision {
			j := jobOf("solo", "b", 5)
			j.Alone = true
			q.SetCapacity(start(), 2)
			got := q.Offer(start(), j)
			got = append(got, q.Offer(start(), jobOf("b1", "b", 4))...)
			got = append(got, q.Finish(start(), "first", 1, true)...)
			return append(got, q.Finish(start(), "solo", 1, true)...)
		}, []string{"+solo", "+b1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := admitter.NewQueue(tt.limit, 1)
			q.Offer(start(), jobOf("first", "a", 4))
			if got := describe(tt.do(q)); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestQueueInvariants checks after each step of random histories that decisions
// concern queued jobs, that jobs start in order of priority, within the capacity
// and alone if they ask for it, and that the queue stays within its limit.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		now, slots := start(), 2
		q := admitter.NewQueue(limit, slots)
		queued, running := map[string]admitter.Job{}, map[string]admitter.Job{}
		apply := func(decisions []admitter.Decision) {
			for _, d := range decisions {
				job, ok := queued[d.ID]
				if !ok {
					t.Fatalf("got a decision on %s, which is not queued", d.ID)
				}
				delete(queued, d.ID)
				if d.Verdict == admitter.VerdictRefuse {
					continue
				}
				for _, other := range queued {
					if other.Priority > job.Priority {
						t.Fatalf("got %s of priority %d started before a queued job of priority %d", d.ID, job.Priority, other.Priority)
					}
				}
				for _, other := range running {
					if job.Alone || other.Alone {
						t.Fatalf("got %s running beside %s, but one of them must run alone", d.ID, other.ID)
					}
				}
				if running[d.ID] = job; len(running) > slots {
					t.Fatalf("got %d running, want at most %d", len(running), slots)
				}
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "offer", "finish", "cancel", "expire", "capacity"}).Draw(t, "op") {
			case "offer":
				job := jobOf(strconv.Itoa(i), rapid.SampledFrom([]gooseberrypass.ID{"a", "b", "c"}).Draw(t, "account"),
					gooseberrypass.Priority(rapid.IntRange(0, 3).Draw(t, "priority")))
				job.Alone = rapid.IntRange(0, 5).Draw(t, "alone") == 0
				job.Deadline = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "timeout")) * time.Millisecond)
				queued[job.ID] = job
				apply(q.Offer(now, job))
			case "finish":
				if id, ok := drawJob(t, running); ok {
					delete(running, id)
					apply(q.Finish(now, id, 1, true))
				}
			case "cancel":
				if id, ok := drawJob(t, queued); ok {
					delete(queued, id)
					decisions, found := q.Cancel(now, id)
					if !found {
						t.Fatalf("got %s not found, want cancelled", id)
					}
					apply(decisions)
				}
			case "expire":
				apply(q.Expire(now))
			case "capacity":
				slots = rapid.IntRange(0, 3).Draw(t, "capacity")
				decisions := q.SetCapacity(now, slots)
				apply(decisions)
			}
			if q.Queued() != len(queued) || q.Running() != len(running) || len(queued) > limit {
				t.Fatalf("got %d queued, %d running, want %d (at most %d), %d",
					q.Queued(), q.Running(), len(queued), limit, len(running))
			}
		}
	})
}

// drawJob returns the ID of a random job, and false if there is none.
func drawJob(t *rapid.T, jobs map[string]admitter.Job) (string, bool) {
	ids := make([]string, 0, len(jobs))
	for id := range jobs {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// TestWrongEstimateIsCorrected checks that the estimate raised by one slow job
// does not cause refusals for long: an idle endpoint still runs one job at a
// time, which gives new samples, and an estimate without samples expires.
func TestWrongEstimateIsCorrected(t *testing.T) {
	q := admitter.NewQueue(4, 2)
	now := start()
	offer := func(id string, timeout time.Duration) []string {
		j := jobOf(id, "a", 4)
		j.Deadline = now.Add(timeout)
		return describe(q.Offer(now, j))
	}
	offer("slow", time.Hour)
	now = now.Add(time.Minute)
	q.Finish(now, "slow", 1, true)
	refused := 0
	for i := range 20 {
		id := strconv.Itoa(i)
		if got, want := offer("idle-"+id, 2*time.Second), "+idle-"+id; !slices.Equal(got, []string{want}) {
			t.Fatalf("idle endpoint: got %v, want %s", got, want)
		}
		if got := offer("beside-"+id, 2*time.Second); got[0] != "+beside-"+id {
			refused++
		}
		now = now.Add(time.Second)
		q.Finish(now, "idle-"+id, 1, true)
		q.Finish(now, "beside-"+id, 1, true)
	}
	if refused == 0 || refused > 10 {
		t.Errorf("got %d jobs refused after the slow one, want 1 to 10", refused)
	}
	offer("long", time.Hour)
	now = now.Add(20 * time.Minute)
	q.Finish(now, "long", 1, true)
	offer("running", time.Hour)
	if got, want := offer("tight", time.Second), []string{"-tight:deadline"}; !slices.Equal(got, want) {
		t.Errorf("got %v beside a running job, want %v", got, want)
	}
	now = now.Add(time.Minute)
	if got, want := offer("later", time.Second), []string{"+later"}; !slices.Equal(got, want) {
		t.Errorf("got %v a minute later, want %v", got, want)
	}
}
