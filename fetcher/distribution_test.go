package fetcher_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// runLimit bounds the simulated time of a run.
const runLimit = 20 * time.Minute

// A fault schedules a failure in a model.
type fault func(m *linkModel)

// atProgress schedules run for the time in which one link sends the given share of
// the version.
func atProgress(m *linkModel, share float64, run func()) {
	m.after(time.Duration(share*float64(m.manifest.Size())/linkRate*float64(time.Second)), run)
}

func failOneInFive(m *linkModel) {
	for i := 0; i < len(m.order); i += 5 {
		atProgress(m, 0.1+0.8*float64(i)/float64(len(m.order)), func() { m.order[i].dead = true })
	}
}

func peerStalls(m *linkModel) {
	atProgress(m, 0.3, func() { m.order[1].frozen = true })
}

// TestDistributionInLinkModel checks the time, the copies read from the origin and
// the copies over each link against the bounds, with failures and with instances
// whose lists differ.
func TestDistributionInLinkModel(t *testing.T) {
	tests := []struct {
		name   string
		chunks int
		nodes  int
		fault  fault
		differ bool
		origin float64 // maximum copies read from the origin
		links  float64 // maximum copies over one link
		time   float64 // maximum time, in copies over one link
	}{
		{name: "15", chunks: 256, nodes: 15, origin: 1.1, links: 2.2, time: 1.6},
		{name: "15 lists differ", chunks: 256, nodes: 15, differ: true, origin: 4, links: 2.2, time: 1.6},
		{name: "15 fifth dies", chunks: 256, nodes: 15, fault: failOneInFive, origin: 4, links: 2.2, time: 1.6},
		{name: "15 holder stalls", chunks: 256, nodes: 15, fault: peerStalls, origin: 4, links: 2.2, time: 1.6},
		{name: "50 fifth dies, lists differ", chunks: 96, nodes: 50, fault: failOneInFive, differ: true, origin: 4, links: 2.2, time: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newLinkModel(tt.chunks, tt.nodes, "centro")
			list := m.allInstances
			if tt.differ {
				list = m.mostInstances
			}
			m.usePlanners(list)
			got := runWithFault(m, tt.fault)
			t.Logf("x-ideal %.2f, origin copies %.2f, link copies %.2f, %v", got, m.originCopies(), m.linkCopies(), m.results)
			if !m.complete() {
				t.Error("version not complete on every instance")
			}
			if got > tt.time || m.originCopies() > tt.origin || m.linkCopies() > tt.links {
				t.Errorf("want at most %v, %v, %v", tt.time, tt.origin, tt.links)
			}
			checkNaiveFails(t, tt.chunks, tt.nodes, tt.fault)
		})
	}
}

func runWithFault(m *linkModel, f fault) float64 {
	if f != nil {
		f(m)
	}
	return m.run(runLimit)
}

// checkNaiveFails checks that the bounds and faults of a test rule out naive
// distributions: if every instance reads the origin, each costs a copy, and a chain
// stops at any fault.
func checkNaiveFails(t *testing.T, chunks, nodes int, f fault) {
	t.Helper()
	m := newLinkModel(chunks, nodes, "centro")
	m.useNaivePlanners(func(int) *node { return nil })
	m.run(3 * runLimit)
	if got := m.originCopies(); got < float64(nodes)-0.1 {
		t.Errorf("got %.2f copies where every instance reads the origin, want %d", got, nodes)
	}
	if f == nil {
		return
	}
	m = newLinkModel(chunks, nodes, "centro")
	m.useNaivePlanners(func(i int) *node { return chainParent(m, i) })
	runWithFault(m, f)
	if m.complete() {
		t.Error("a chain completed the version despite the fault")
	}
}

// threeRegions runs the planner and a naive distribution in three regions. It
// returns both models and their times. In the naive distribution, each region reads
// the version once over a single link and passes it on in chains.
func threeRegions(chunks int) (*linkModel, *linkModel, [2]float64) {
	regions := []gooseberrypass.Region{"centro", "norte", "sureste"}
	system := newLinkModel(chunks, 15, regions...)
	system.usePlanners(system.allInstances)
	naive := newLinkModel(chunks, 15, regions...)
	naive.useNaivePlanners(func(i int) *node {
		switch i {
		case 0:
			return nil
		case 1, 2:
			return naive.order[0]
		default:
			return naive.order[i-3]
		}
	})
	return system, naive, [2]float64{system.run(runLimit), naive.run(runLimit)}
}

func TestThreeRegionsAgainstOneLink(t *testing.T) {
	m, naive, times := threeRegions(64)
	if !m.complete() || !naive.complete() {
		t.Fatal("version not complete on every instance")
	}
	t.Logf("x-naive %.2f, origin copies %.2f, link copies %.2f, %v", times[0]/times[1], m.originCopies(), m.linkCopies(), m.results)
	if got := times[0] / times[1]; got > 0.65 || m.originCopies() > 1.1 || m.linkCopies() > 2.2 {
		t.Errorf("got %.2f of the naive time, want at most 0.65", got)
	}
}

// A region is partitioned from the others during a distribution. The others must
// complete meanwhile, and the region after the partition has ended, without more
// copies from the origin or over any link than allowed.
func TestRegionCutOffComesBack(t *testing.T) {
	m := newLinkModel(64, 15, "centro", "norte", "sureste")
	m.usePlanners(m.allInstances)
	m.after(20*time.Second, func() { m.isolated = "norte" })
	m.after(3*time.Minute, func() { m.isolated = "" })
	others := -1.0
	m.after(3*time.Minute-time.Second, func() { others = completeShare(m, "sureste") })
	m.run(runLimit)
	t.Logf("complete after %v, origin copies %.2f, link copies %.2f, %v", m.clock.Since(m.start), m.originCopies(), m.linkCopies(), m.results)
	if !m.complete() || others != 1 {
		t.Errorf("got complete %v and share %v of the other remote region complete during the partition, want true and 1", m.complete(), others)
	}
	if m.originCopies() > 4 || m.linkCopies() > 2.2 {
		t.Errorf("got %.2f origin and %.2f link copies, want at most 4 and 2.2", m.originCopies(), m.linkCopies())
	}
}

// completeShare returns the share of a region's instances that hold the complete
// version.
func completeShare(m *linkModel, region gooseberrypass.Region) float64 {
	complete, all := 0.0, 0.0
	for _, n := range m.order {
		if n.listed.Region == region {
			all++
			if len(n.held) > m.manifest.Len() {
				complete++
			}
		}
	}
	return complete / all
}
