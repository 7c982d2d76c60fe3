package spreader

import (
	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/replayer"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	maxHistoryRecords = 32
	maxHistoryBytes   = 512 << 10
)

// A history keeps the latest accepted records, oldest first. Each is based on the
// one before it.
type history struct {
	records []replayer.AcceptedRecord
	size    int // bytes
}

// add appends an accepted record and evicts the oldest ones above the limits. It
// ignores a record that is not newer than the last, and drops all earlier records
// if the new one is not based on the last.
func (h *history) add(a replayer.AcceptedRecord) {
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
	for len(h.records) > 0 && (len(h.records) > maxHistoryRecords || h.size > maxHistoryBytes) {
		h.size -= len(h.records[0].Record.Body)
		h.records = h.records[1:]
	}
}

// after returns the records accepted after offset, and false if the history does
// not hold all of them.
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

// acceptRecords applies records received from a peer to a state, in their order.
// It returns the new state and the records that changed it. It stops at the first
// record that cannot be decoded and returns that error.
func acceptRecords(
	key authenticator.Key, s replayer.State, records []*wire.LogRecord,
) (replayer.State, []replayer.AcceptedRecord, error) {
	var accepted []replayer.AcceptedRecord
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
			accepted = append(accepted, replayer.AcceptedRecord{Change: decoded.Change, Record: recordFromWire(r)})
		}
	}
	return s, accepted, nil
}
