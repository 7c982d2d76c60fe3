package demonstrator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// The counters of bytes of weights.
const (
	metricReceived = "gooseberrypass_fetch_bytes_total"
	metricSent     = "gooseberrypass_chunk_sent_bytes_total"
)

// A link is the bytes of weights that one instance's link carried.
type link struct {
	received int64
	sent     int64
}

// links are the links of the instances.
type links map[gooseberrypass.ID]link

// most returns the most bytes that a link carried in one direction.
func (l links) most() int64 {
	var most int64
	for _, one := range l {
		most = max(most, one.received, one.sent)
	}
	return most
}

// since returns what was carried since before.
func (l links) since(before links) links {
	diff := links{}
	for id, now := range l {
		diff[id] = link{
			received: now.received - before[id].received,
			sent:     now.sent - before[id].sent,
		}
	}
	return diff
}

// linkBytes reads the counters of all agents.
func (f *fleet) linkBytes() links {
	all := links{}
	for _, a := range f.agents {
		all[a.id] = link{
			received: counterSum(a.registry, metricReceived),
			sent:     counterSum(a.registry, metricSent),
		}
	}
	return all
}

// counterSum returns the sum over the labels of a counter.
func counterSum(gatherer prometheus.Gatherer, name string) int64 {
	families, err := gatherer.Gather()
	if err != nil {
		return 0
	}
	var sum float64
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue()
		}
	}
	return int64(sum)
}
