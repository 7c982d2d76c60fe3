package fetcher_test

import (
	"testing"
)

// BenchmarkDistribution reports the time until N instances hold a version, relative
// to the time of one copy over one link (x-ideal). x-naive-origin and x-naive-chain
// relate it to two naive distributions without faults: every instance reads the
// origin, and each instance reads from the one before it.
func BenchmarkDistribution(b *testing.B) {
	benchmarks := []struct {
		name  string
		nodes int
		fault fault
	}{
		{name: "15", nodes: 15},
		{name: "15-fifth-dies", nodes: 15, fault: failOneInFive},
		{name: "700", nodes: 700},
		{name: "700-fifth-dies", nodes: 700, fault: failOneInFive},
	}
	for _, bm := range benchmarks {
		b.Run(bm.name, func(b *testing.B) {
			for b.Loop() {
				m := newLinkModel(256, bm.nodes, "centro")
				m.usePlanners(m.allInstances)
				if bm.fault != nil {
					bm.fault(m)
				}
				got := m.run(runLimit)
				if !m.complete() {
					b.Fatal("version not complete on every instance")
				}
				b.ReportMetric(got, "x-ideal")
				b.ReportMetric(m.originCopies(), "origin-copies")
				b.ReportMetric(m.linkCopies(), "link-copies")
				b.ReportMetric(got/naiveTime(bm.nodes, func(*linkModel, int) *node { return nil }), "x-naive-origin")
				b.ReportMetric(got/naiveTime(bm.nodes, chainParent), "x-naive-chain")
			}
		})
	}
}

// BenchmarkThreeRegions reports the time until all instances of three regions hold
// a version, relative to a naive distribution that reads the version once for each
// region over a single link.
func BenchmarkThreeRegions(b *testing.B) {
	for b.Loop() {
		m, _, times := threeRegions(64)
		b.ReportMetric(times[0]/times[1], "x-naive")
		b.ReportMetric(m.originCopies(), "origin-copies")
		b.ReportMetric(m.linkCopies(), "link-copies")
	}
}

// naiveTime returns the time, in copies over one link, in which every instance reads
// from its parent, or from the origin if that is nil.
func naiveTime(nodes int, parent func(m *linkModel, i int) *node) float64 {
	m := newLinkModel(256, nodes, "centro")
	m.useNaivePlanners(func(i int) *node { return parent(m, i) })
	return m.run(30 * runLimit)
}

func chainParent(m *linkModel, i int) *node {
	if i == 0 {
		return nil
	}
	return m.order[i-1]
}
