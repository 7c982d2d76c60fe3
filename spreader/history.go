package spreader

import (
	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/replayer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	historyLimit = 32
	historyBytes = 512 << 10
)

// A history keeps the records accepted last, each based on the one before it.
type history struct {
	records []replayer.Accepted
	size    int // bytes
}

// add adds an accepted record, unless it is there. One that does not follow on
// the last starts the history anew.
func (h *history) add(a replayer.Accepted) {
	if n := len(h.records); n > 0 {
		last := h.records[n-1].Record.Offset
		if a.Record.Offset <= last {
			return
		}
		if a.Change.Base != last {
			h.records, h.size = nil, 0
		}
	}
	h.records = append(h.records, a)
	h.size += len(a.Record.Body)
	for len(h.records) > 0 && (len(h.records) > historyLimit || h.size > historyBytes) {
		h.size -= len(h.records[0].Record.Body)
		h.records = h.records[1:]
	}
}

// after returns the records that lead from an accepted offset to the last one,
// and false if they are not all there.
func (h *history) after(offset gooseberrypass.Offset) ([]*wire.LogRecord, bool) {
	for i, a := range h.records {
		if a.Change.Base != offset {
			continue
		}
		records := make([]*wire.LogRecord, 0, len(h.records)-i)
		for _, a := range h.records[i:] {
			records = append(records, &wire.LogRecord{
				Body: a.Record.Body, Offset: uint64(a.Record.Offset), UnixNanos: a.Record.Time.UnixNano(),
			})
		}
		return records, true
	}
	return nil, false
}

// acceptRecords returns the state after records that a peer accepted, in their
// order, and those that changed it. The error is that of the first bad record,
// which ends the records.
func acceptRecords(
	key authenticator.Key, s replayer.State, records []*wire.LogRecord,
) (replayer.State, []replayer.Accepted, error) {
	var accepted []replayer.Accepted
	for _, r := range records {
		decoded, err := replayer.Decode(key, r.GetBody())
		if err != nil {
			return s, accepted, err
		}
		if decoded.Snapshot != nil {
			continue
		}
		next, ok := s.Accept(gooseberrypass.Offset(r.GetOffset()), decoded.Change)
		if ok {
			s = next
			accepted = append(accepted, replayer.Accepted{Change: decoded.Change, Record: recordOf(r)})
		}
	}
	return s, accepted, nil
}
