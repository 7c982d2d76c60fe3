package fetcher_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

const simLimit = 20 * time.Minute

// A fault brings a failure about in a model.
type fault func(m *linkModel)

func during(m *linkModel, share float64, run func()) {
	m.after(time.Duration(share*float64(m.manifest.Size())/linkRate*float64(time.Second)), run)
}

func fifthDies(m *linkModel) {
	for i := 0; i < len(m.order); i += 5 {
		during(m, 0.1+0.8*float64(i)/float64(len(m.order)), func() { m.order[i].dead = true })
	}
}

func holderStalls(m *linkModel) {
	during(m, 0.3, func() { m.order[1].frozen = true })
}

func TestDistributionInLinkModel(t *testing.T) {
	tests := []struct {
		name   string
		chunks int
		nodes  int
		fault  fault
		differ bool
		origin float64 // bounds
		links  float64
		time   float64
	}{
		{name: "15", chunks: 256, nodes: 15, origin: 1.1, links: 2.2, time: 1.6},
		{name: "15 lists differ", chunks: 256, nodes: 15, differ: true, origin: 4, links: 2.2, time: 1.6},
		{name: "15 fifth dies", chunks: 256, nodes: 15, fault: fifthDies, origin: 4, links: 2.2, time: 1.6},
		{name: "15 holder stalls", chunks: 256, nodes: 15, fault: holderStalls, origin: 4, links: 2.2, time: 1.6},
		{name: "50 fifth dies, lists differ", chunks: 96, nodes: 50, fault: fifthDies, differ: true, origin: 4, links: 2.2, time: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newLinkModel(tt.chunks, tt.nodes, "centro")
			list := m.all
			if tt.differ {
				list = m.some
			}
			m.use(list)
			got := play(m, tt.fault)
			t.Logf("x-ideal %.2f, origin copies %.2f, link copies %.2f, %v", got, m.originCopies(), m.linkCopies(), m.results)
			if !m.whole() {
				t.Error("not whole everywhere")
			}
			if got > tt.time || m.originCopies() > tt.origin || m.linkCopies() > tt.links {
				t.Errorf("want at most %v, %v, %v", tt.time, tt.origin, tt.links)
			}
			naiveFails(t, tt.chunks, tt.nodes, tt.fault)
		})
	}
}

func play(m *linkModel, f fault) float64 {
	if f != nil {
		f(m)
	}
	return m.run(simLimit)
}

// naiveFails shows that the faults and bounds tell the system from the naive
// versions: reading the origin everywhere costs a copy for each instance, and a
// chain is stopped by any fault.
func naiveFails(t *testing.T, chunks, nodes int, f fault) {
	t.Helper()
	m := newLinkModel(chunks, nodes, "centro")
	m.useNaive(func(int) *node { return nil })
	m.run(3 * simLimit)
	if got := m.originCopies(); got < float64(nodes)-0.1 {
		t.Errorf("got %.2f copies where every instance reads the origin, want %d", got, nodes)
	}
	if f == nil {
		return
	}
	m = newLinkModel(chunks, nodes, "centro")
	m.useNaive(func(i int) *node { return chainParent(m, i) })
	play(m, f)
	if m.whole() {
		t.Error("a chain became whole in spite of the fault")
	}
}

// threeRegions returns the time of the system and of pulling each region over
// one link.
func threeRegions(chunks int) (*linkModel, *linkModel, [2]float64) {
	regions := []gooseberrypass.Region{"centro", "norte", "sureste"}
	system := newLinkModel(chunks, 15, regions...)
	system.use(system.all)
	naive := newLinkModel(chunks, 15, regions...)
	naive.useNaive(func(i int) *node {
		switch i {
		case 0:
			return nil
		case 1, 2:
			return naive.order[0]
		default:
			return naive.order[i-3]
		}
	})
	return system, naive, [2]float64{system.run(simLimit), naive.run(simLimit)}
}

func TestThreeRegionsAgainstOneLink(t *testing.T) {
	m, naive, times := threeRegions(64)
	if !m.whole() || !naive.whole() {
		t.Fatal("not whole everywhere")
	}
	t.Logf("x-naive %.2f, origin copies %.2f, link copies %.2f, %v", times[0]/times[1], m.originCopies(), m.linkCopies(), m.results)
	if got := times[0] / times[1]; got > 0.65 || m.originCopies() > 1.1 || m.linkCopies() > 2.2 {
		t.Errorf("got %.2f of the naive time, want at most 0.65", got)
	}
}

func TestRegionCutOffComesBack(t *testing.T) {
	m := newLinkModel(64, 15, "centro", "norte", "sureste")
	m.use(m.all)
	m.after(20*time.Second, func() { m.cut = "norte" })
	m.after(3*time.Minute, func() { m.cut = "" })
	others := -1.0
	m.after(3*time.Minute-time.Second, func() { others = wholeShare(m, "sureste") })
	m.run(simLimit)
	t.Logf("whole after %v, origin copies %.2f, link copies %.2f, %v", m.clock.Since(m.start), m.originCopies(), m.linkCopies(), m.results)
	if !m.whole() || others != 1 {
		t.Errorf("got whole %v and share %v of the other remote region whole before, want true and 1", m.whole(), others)
	}
	if m.originCopies() > 4 || m.linkCopies() > 2.2 {
		t.Errorf("got %.2f origin and %.2f link copies, want at most 4 and 2.2", m.originCopies(), m.linkCopies())
	}
}

func wholeShare(m *linkModel, region gooseberrypass.Region) float64 {
	whole, all := 0.0, 0.0
	for _, n := range m.order {
		if n.listed.Region == region {
			all++
			if len(n.held) > m.manifest.Len() {
				whole++
			}
		}
	}
	return whole / all
}
