package tracker_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A fakeAgent answers status polls. Each change increments its status version. It
// holds back changes of its load alone for the time that the poll asks for.
type fakeAgent struct {
	wire.Agent
	changed chan struct{} // closed at the next change
	frozen  bool          // does not answer
	id      gooseberrypass.ID
	mu      sync.Mutex
	polls   int
	// stateVersion is the status version of the last change of more than the load.
	stateVersion uint64
	status       gooseberrypass.AgentStatus
}

func newAgent(id gooseberrypass.ID) *fakeAgent {
	return &fakeAgent{changed: make(chan struct{}), id: id, status: gooseberrypass.AgentStatus{EndpointUp: true, Version: 1}}
}

// set changes more than the load.
func (a *fakeAgent) set(change func(a *fakeAgent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a)
	a.status.Version++
	a.stateVersion = a.status.Version
	close(a.changed)
	a.changed = make(chan struct{})
}

// setLoad changes only the load.
func (a *fakeAgent) setLoad(running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status.Load.Running = running
	a.status.Version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// polled returns the number of status polls since the last call.
func (a *fakeAgent) polled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.polls
	a.polls = 0
	return n
}

func (a *fakeAgent) Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error) {
	timer := time.NewTimer(time.Duration(r.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	load := time.NewTimer(time.Duration(r.GetLoadWaitMs()) * time.Millisecond)
	defer load.Stop()
	loadDue := r.GetLoadWaitMs() == 0
	a.mu.Lock()
	a.polls++
	for {
		changed, frozen := a.changed, a.frozen
		reportable := a.stateVersion > r.GetVersion() || loadDue && a.status.Version != r.GetVersion()
		if !frozen && (reportable || r.GetWaitMs() == 0 || r.GetVersion() == 0) {
			break
		}
		a.mu.Unlock()
		expired := timer.C
		if frozen {
			expired = nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-load.C:
			loadDue = true
		case <-expired:
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.response(), nil
		}
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	return a.response(), nil
}

func (a *fakeAgent) response() *wire.StatusResponse {
	return tracker.StatusToWire(gooseberrypass.ListedInstance{ID: a.id}, &a.status, time.Now())
}

// A platform is a list of instances and their agents.
type platform struct {
	agents  map[string]*fakeAgent // by address
	err     error
	listing gooseberrypass.Listing
	mu      sync.Mutex
}

func newPlatform(agents int) *platform {
	p := &platform{agents: map[string]*fakeAgent{}, listing: gooseberrypass.Listing{Revision: 5}}
	for i := range agents {
		id := gooseberrypass.ID(fmt.Sprintf("w-%02d", i))
		p.agents[string(id)] = newAgent(id)
		p.listing.Instances = append(p.listing.Instances, gooseberrypass.ListedInstance{
			Address: string(id), FailureDomain: gooseberrypass.FailureDomain([]string{"a", "b", "c"}[i%3]), ID: id,
			Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
		})
	}
	return p
}

func (p *platform) List(context.Context) (gooseberrypass.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return gooseberrypass.Listing{Instances: slices.Clone(p.listing.Instances), Revision: p.listing.Revision}, p.err
}

func (p *platform) set(change func(p *platform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// runTracker runs test with a tracker of a platform of the given number of agents,
// in a synctest bubble. The tracker has run for 3 s when test is called.
func runTracker(t *testing.T, agents int, test func(*platform, *tracker.Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(agents)
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		clock, registry := clockwork.NewRealClock(), prometheus.NewRegistry()
		dial := func(address string) wire.Agent { return p.agents[address] }
		tr, err := tracker.New(clock, p, dial, tracker.SelectAll("self"), registry, logger)
		if err != nil {
			t.Fatal(err)
		}
		loop, err := looper.New(clock, registry, 100*time.Millisecond, tr)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = loop.Run(ctx) })
		time.Sleep(3 * time.Second)
		test(p, tr)
		cancel()
		wg.Wait()
	})
}

// countAvailable returns the number of members that take work.
func countAvailable(tr *tracker.Tracker) int {
	n := 0
	for _, m := range tr.Members() {
		if m.TakesWork() {
			n++
		}
	}
	return n
}

// checkAvailable sleeps and then checks the number of members that take work.
func checkAvailable(t *testing.T, tr *tracker.Tracker, within time.Duration, want int) {
	t.Helper()
	time.Sleep(within)
	if got := countAvailable(tr); got != want {
		t.Errorf("got %d members that take work, want %d", got, want)
	}
}

const agentCount = 18

// TestLeaving checks that an instance, or a whole failure domain, gets no new work
// within 3 s of its own report, or of the list's, that it is leaving.
func TestLeaving(t *testing.T) {
	const bound = 3 * time.Second
	leave := func(a *fakeAgent) { a.status.Leaving = true }
	t.Run("one", func(t *testing.T) {
		runTracker(t, agentCount, func(p *platform, tr *tracker.Tracker) {
			checkAvailable(t, tr, 0, agentCount)
			p.agents["w-00"].set(leave)
			checkAvailable(t, tr, bound, agentCount-1)
		})
	})
	t.Run("failure domain", func(t *testing.T) {
		runTracker(t, agentCount, func(p *platform, tr *tracker.Tracker) {
			for i := 0; i < agentCount; i += 3 {
				p.agents[fmt.Sprintf("w-%02d", i)].set(leave)
			}
			checkAvailable(t, tr, bound, agentCount*2/3)
		})
	})
	t.Run("listed", func(t *testing.T) {
		runTracker(t, agentCount, func(p *platform, tr *tracker.Tracker) {
			p.set(func(p *platform) {
				p.listing.Instances[0].State = gooseberrypass.ListedLeaving
				p.listing.Revision++
			})
			checkAvailable(t, tr, bound, agentCount-1)
		})
	})
}

// TestSilence checks that a frozen instance is excluded within 10 s, and is
// included again within 10 s after it resumes.
func TestSilence(t *testing.T) {
	runTracker(t, agentCount, func(p *platform, tr *tracker.Tracker) {
		p.agents["w-00"].set(func(a *fakeAgent) { a.frozen = true })
		checkAvailable(t, tr, 10*time.Second, agentCount-1)
		p.agents["w-00"].set(func(a *fakeAgent) { a.frozen = false })
		checkAvailable(t, tr, 10*time.Second, agentCount)
	})
}

// TestUselessList checks that instances which still answer keep getting work if
// the list fails, is empty, has a lower revision or no longer contains them, and
// that they are excluded once they become silent.
func TestUselessList(t *testing.T) {
	tests := map[string]func(p *platform){
		"down":  func(p *platform) { p.err = errors.New("down") },
		"empty": func(p *platform) { p.listing = gooseberrypass.Listing{Revision: 9} },
		"older": func(p *platform) {
			p.listing.Instances, p.listing.Revision = p.listing.Instances[:2], 4
		},
		"shorter": func(p *platform) {
			p.listing.Instances, p.listing.Revision = p.listing.Instances[:2], 9
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			runTracker(t, agentCount, func(p *platform, tr *tracker.Tracker) {
				p.set(change)
				checkAvailable(t, tr, 30*time.Second, agentCount)
				p.agents["w-17"].set(func(a *fakeAgent) { a.frozen = true })
				checkAvailable(t, tr, 10*time.Second, agentCount-1)
			})
		})
	}
}

// TestListRevisionReset checks that a list whose revisions restart at a lower
// number is ignored at first and used again after staleListLimit.
func TestListRevisionReset(t *testing.T) {
	runTracker(t, 2, func(p *platform, tr *tracker.Tracker) {
		p.set(func(p *platform) {
			p.listing.Revision = 1
			p.listing.Instances[0].State = gooseberrypass.ListedLeaving
		})
		checkAvailable(t, tr, 10*time.Second, 2)
		checkAvailable(t, tr, 2*time.Minute, 1)
	})
}

// TestProcessPause checks that after a pause of this process no member is
// considered silent, though all deadlines have passed in the pause, and that a
// member which then gives no answer is.
func TestProcessPause(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := newPlatform(1)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	dial := func(address string) wire.Agent { return p.agents[address] }
	tr, err := tracker.New(clock, p, dial, tracker.SelectAll("self"), prometheus.NewRegistry(), logger)
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Now()
	tr.Handle(now, gooseberrypass.Tick{})
	tr.Handle(now, gooseberrypass.ListingObserved{Listing: p.listing})
	tr.Handle(now, tracker.StatusObserved{Address: "w-00", ID: "w-00", Status: &gooseberrypass.AgentStatus{EndpointUp: true}})
	tr.Handle(now.Add(time.Hour), gooseberrypass.Tick{})
	if got := countAvailable(tr); got != 1 {
		t.Errorf("after a pause: got %d members that take work, want 1", got)
	}
	for i := range 100 {
		tr.Handle(now.Add(time.Hour+time.Duration(i)*100*time.Millisecond), gooseberrypass.Tick{})
	}
	if got := countAvailable(tr); got != 0 {
		t.Errorf("without an answer after the pause: got %d members that take work, want 0", got)
	}
}

// TestPollBudget checks that status polls stay within their budget although every
// agent publishes a new load each second, as real agents do.
func TestPollBudget(t *testing.T) {
	const seconds, pollBytes, budget = 60, 700, 5 << 10
	for _, agents := range []int{agentCount, 100} {
		runTracker(t, agents, func(p *platform, _ *tracker.Tracker) {
			polls := 0
			for _, a := range p.agents {
				a.setLoad(1)
				a.polled()
			}
			for i := range seconds {
				for _, a := range p.agents {
					polls += a.polled()
					a.setLoad(2 + i)
				}
				time.Sleep(time.Second)
			}
			got := polls * pollBytes / seconds
			t.Logf("%d agents: %d B/s of status polls", agents, got)
			if got > budget {
				t.Errorf("%d agents: got %d B/s of status polls, want at most %d", agents, got, budget)
			}
		})
	}
}

// TestSubset checks that the number of agents followed by an entry is bounded, and
// that each agent is followed by at least 2 entries.
func TestSubset(t *testing.T) {
	listed := capacityListing(1000).Instances
	followers := map[gooseberrypass.ID]int{}
	largest := 0
	for _, l := range listed {
		if l.Role != gooseberrypass.RoleEntry {
			continue
		}
		ids := tracker.SelectSubset(l, 12)(listed)
		largest = max(largest, len(ids))
		for _, id := range ids {
			followers[id]++
		}
	}
	if largest > 4*12+40 {
		t.Errorf("got %d agents followed by one entry, want at most %d", largest, 4*12+40)
	}
	for _, l := range listed {
		if l.Role == gooseberrypass.RoleAgent && followers[l.ID] < 2 {
			t.Errorf("got %d followers of %s, want 2 or more", followers[l.ID], l.ID)
		}
	}
}
