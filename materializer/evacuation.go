package materializer

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// EndpointsRenewed is the event that records of endpoints were renewed in which nothing but
// the time for which they stay cold may differ. It spares a new snapshot for each renewal.
type EndpointsRenewed struct {
	Endpoints []gooseberrypass.Endpoint
}

// EventName implements gooseberrypass.Event.
func (EndpointsRenewed) EventName() string { return "endpoints-renewed" }

// addEvacuation adds the evacuation of a failure domain to the snapshot, or the end of one if
// the record was deleted.
func (s *Snapshot) addEvacuation(domain gooseberrypass.FailureDomain, r gooseberrypass.KeyedRecord, since time.Time) {
	if r.Value == nil {
		s.Released[domain] = since
		return
	}
	s.Evacuated[domain] = struct{}{}
}

// isEvacuation reports whether a record is that of an evacuation or of its end.
func (m *Materializer) isEvacuation(topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord) bool {
	if topic != gooseberrypass.TopicOperator {
		return false
	}
	_, ok := m.decoder.Evacuation(r)
	return ok
}

// evacuationRevision returns the revision of an evacuation, whose value names none: its
// position in the log, which a copy of the log keeps.
func evacuationRevision(r gooseberrypass.KeyedRecord) gooseberrypass.Revision {
	return gooseberrypass.Revision{Number: int64(r.Offset.Index()) + 1}
}

// supersedesEvacuation reports whether the record of an evacuation is newer than the known
// one, if the log came back from an older copy between them. The copy may bring back an
// evacuation that was removed, which is then found at its position from before. One at any
// other position was written anew, as positions are given out again, and so was one at a
// position that the copy did not have.
func (m *Materializer) supersedesEvacuation(held, r gooseberrypass.KeyedRecord) bool {
	const topic = gooseberrypass.TopicOperator
	old, revision := m.revision(topic, held), m.revision(topic, r)
	restoredNext := m.topic(topic).restoredNext
	anew := restoredNext > 0 && max(held.Offset, r.Offset) >= restoredNext
	same := old == revision && old != (gooseberrypass.Revision{}) && !anew
	later := r.Offset > held.Offset
	switch {
	case r.Value == nil && held.Value != nil:
		return later || same
	case r.Value != nil && held.Value == nil:
		return later && !same
	default:
		return later
	}
}

// publishRenewals passes the renewed records of endpoints that can be cold to the listeners.
func (m *Materializer) publishRenewals(now time.Time) []gooseberrypass.Effect {
	renewed := m.renewed
	m.renewed = nil
	d := m.Deployment()
	if d == nil {
		return nil
	}
	var event EndpointsRenewed
	for _, e := range renewed {
		if spec, ok := d.Service(e.Service); ok && spec.ColdRate > 0 {
			event.Endpoints = append(event.Endpoints, e)
		}
	}
	if len(event.Endpoints) == 0 {
		return nil
	}
	var effects []gooseberrypass.Effect
	for _, c := range m.listeners {
		effects = append(effects, c.Handle(now, event)...)
	}
	return effects
}
