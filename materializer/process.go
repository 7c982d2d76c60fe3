package materializer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Process is a process of the system, as it registered itself.
type Process struct {
	Address       string                       `json:"address"`  // address for other processes
	Endpoint      string                       `json:"endpoint"` // address of the endpoint beside an agent, "" for entries
	FailureDomain gooseberrypass.FailureDomain `json:"failure_domain"`
	ID            gooseberrypass.ID            `json:"id"`
	Region        gooseberrypass.Region        `json:"region"`
	Role          gooseberrypass.Role          `json:"role"`
	Service       gooseberrypass.ID            `json:"service"`
}

// processes returns the registered processes, sorted by key.
func (m *Materializer) processes(now time.Time) []Process {
	const topic = gooseberrypass.TopicProcesses
	t := m.topic(topic)
	var processes []Process
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[key]
		if r.Value == nil {
			m.ignored.end(topic, key)
			continue
		}
		if m.ignored.has(topic, r) {
			continue
		}
		p, err := decodeProcess(r.Value)
		if err != nil {
			m.ignored.add(now, topic, r, err)
			continue
		}
		m.ignored.end(topic, key)
		processes = append(processes, p)
	}
	return processes
}

// decodeProcess decodes the record of a process.
func decodeProcess(value []byte) (Process, error) {
	var p Process
	if err := json.Unmarshal(value, &p); err != nil {
		return p, errors.Wrap(err, "decode process")
	}
	if p.Address == "" {
		return p, errors.New("process without an address")
	}
	return p, nil
}
