package gossiper

import (
	"math"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// encodeBacklogs returns the wire form of backlogs by service.
func encodeBacklogs(backlogs map[gooseberrypass.ID]scheduler.Backlog) []*wire.ServiceBacklog {
	encoded := make([]*wire.ServiceBacklog, 0, len(backlogs))
	for service, b := range backlogs {
		encoded = append(encoded, &wire.ServiceBacklog{Refused: encodeCounts(b.Refused), Service: string(service), Waiting: encodeCounts(b.Waiting)})
	}
	return encoded
}

func encodeCounts(counts []int) []uint32 {
	encoded := make([]uint32, 0, len(counts))
	for _, n := range counts {
		encoded = append(encoded, uint32(min(max(n, 0), math.MaxInt32)))
	}
	return encoded
}

// decodeBacklogs returns the backlogs of a message, nil if it has none.
func decodeBacklogs(encoded []*wire.ServiceBacklog) map[gooseberrypass.ID]scheduler.Backlog {
	if len(encoded) == 0 {
		return nil
	}
	backlogs := make(map[gooseberrypass.ID]scheduler.Backlog, len(encoded))
	for _, b := range encoded {
		backlogs[gooseberrypass.ID(b.GetService())] = scheduler.Backlog{Refused: decodeCounts(b.GetRefused()), Waiting: decodeCounts(b.GetWaiting())}
	}
	return backlogs
}

func decodeCounts(encoded []uint32) []int {
	counts := make([]int, 0, len(encoded))
	for _, n := range encoded {
		counts = append(counts, int(min(n, math.MaxInt32)))
	}
	return counts
}
