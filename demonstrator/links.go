package demonstrator

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Names of the counters of weight bytes.
const (
	metricReceived = "gooseberrypass_fetch_bytes_total"
	metricSent     = "gooseberrypass_chunk_sent_bytes_total"
)

// byteCounts counts the bytes of weights that crossed one instance's link.
type byteCounts struct {
	received int64
	sent     int64
}

// linkByteCounts holds the counts of all agents' instances.
type linkByteCounts map[gooseberrypass.ID]byteCounts

// maxBytes returns the highest count of any link in either direction.
func (l linkByteCounts) maxBytes() int64 {
	var busiest int64
	for _, one := range l {
		busiest = max(busiest, one.received, one.sent)
	}
	return busiest
}

// since returns the counts minus those in before.
func (l linkByteCounts) since(before linkByteCounts) linkByteCounts {
	diff := linkByteCounts{}
	for id, now := range l {
		diff[id] = byteCounts{
			received: now.received - before[id].received,
			sent:     now.sent - before[id].sent,
		}
	}
	return diff
}

// linkBytes reads the counters of all agents, killed ones included.
func (f *fleet) linkBytes() linkByteCounts {
	all := linkByteCounts{}
	for _, a := range f.agents {
		all[a.id] = byteCounts{
			received: counterSum(a.registry, metricReceived),
			sent:     counterSum(a.registry, metricSent),
		}
	}
	return all
}

// counterSum returns the sum of a counter over all label values, or 0 if it cannot
// be read.
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
