package fetcher_test

import (
	"testing"
)

// BenchmarkDistribution reports the time to N replicas in copies of the version
// over one link (x-ideal), and against every instance reading the origin and
// against one chain, both without any fault.
func BenchmarkDistribution(b *testing.B) {
	benchmarks := []struct {
		name  string
		nodes int
		fault fault
	}{
		{name: "15", nodes: 15},
		{name: "15-fifth-dies", nodes: 15, fault: fifthDies},
		{name: "700", nodes: 700},
		{name: "700-fifth-dies", nodes: 700, fault: fifthDies},
	}
	for _, bm := range benchmarks {
		b.Run(bm.name, func(b *testing.B) {
			for b.Loop() {
				m := newLinkModel(256, bm.nodes, "centro")
				m.use(m.all)
				if bm.fault != nil {
					bm.fault(m)
				}
				got := m.run(simLimit)
				if !m.whole() {
					b.Fatal("not whole everywhere")
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

// BenchmarkThreeRegions reports the time to N replicas over three regions
// against pulling each region over one link.
func BenchmarkThreeRegions(b *testing.B) {
	for b.Loop() {
		m, _, times := threeRegions(64)
		b.ReportMetric(times[0]/times[1], "x-naive")
		b.ReportMetric(m.originCopies(), "origin-copies")
		b.ReportMetric(m.linkCopies(), "link-copies")
	}
}

func naiveTime(nodes int, parent func(m *linkModel, i int) *node) float64 {
	m := newLinkModel(256, nodes, "centro")
	m.useNaive(func(i int) *node { return parent(m, i) })
	return m.run(30 * simLimit)
}

func chainParent(m *linkModel, i int) *node {
	if i == 0 {
		return nil
	}
	return m.order[i-1]
}
