// Package replayer folds the records of the configuration stream. The fold is
// the same in every process and release: it validates nothing.
package replayer

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

// ErrGap is returned for records that do not follow on what was folded.
var ErrGap = errors.New("records are missing from the fold")

// A State is what the fold has come to. It never changes.
type State struct {
	files         map[string]string
	foldedThrough gooseberrypass.Offset
	lastAccepted  gooseberrypass.Offset
}

// NewState returns the state that a snapshot holds.
func NewState(s Snapshot) State {
	return State{files: maps.Clone(s.Files), foldedThrough: s.FoldedThrough, lastAccepted: s.LastAccepted}
}

// Digest returns the digest of the accepted files and their offset.
func (s State) Digest() gooseberrypass.Digest {
	h := sha256.New()
	// A hash takes all bytes without error.
	_ = binary.Write(h, binary.BigEndian, uint64(s.lastAccepted))
	for _, name := range slices.Sorted(maps.Keys(s.files)) {
		for _, text := range []string{name, s.files[name]} {
			_ = binary.Write(h, binary.BigEndian, uint64(len(text)))
			_, _ = h.Write([]byte(text))
		}
	}
	return gooseberrypass.Digest(h.Sum(nil))
}

// Files returns the accepted files by name.
func (s State) Files() map[string]string { return maps.Clone(s.files) }

// FoldedThrough returns the offset of the last record folded.
func (s State) FoldedThrough() gooseberrypass.Offset { return s.foldedThrough }

// LastAccepted returns the offset of the last record accepted, 0 for none.
func (s State) LastAccepted() gooseberrypass.Offset { return s.lastAccepted }

// Snapshot returns the state as a snapshot.
func (s State) Snapshot() Snapshot {
	return Snapshot{Files: s.Files(), FoldedThrough: s.foldedThrough, LastAccepted: s.lastAccepted}
}

// Accept returns the state after the change at offset, and whether the change
// was accepted: if and only if its base is the last accepted offset.
func (s State) Accept(offset gooseberrypass.Offset, c Change) (State, bool) {
	if offset <= s.foldedThrough || c.Base != s.lastAccepted {
		return s, false
	}
	files := maps.Clone(s.files)
	if files == nil {
		files = map[string]string{}
	}
	for _, name := range c.Removed {
		delete(files, name)
	}
	maps.Copy(files, c.Files)
	return State{files: files, foldedThrough: offset, lastAccepted: offset}, true
}

// Through returns the state with the records up to offset counted as folded.
func (s State) Through(offset gooseberrypass.Offset) State {
	s.foldedThrough = max(s.foldedThrough, offset)
	return s
}

// An Accepted is a record that the fold accepted, as it stands in the log.
type Accepted struct {
	Change Change
	Record gooseberrypass.Record
}

// Fold returns the state after records that follow on what was folded, and those
// of them that were accepted. Records folded before are passed over. The error
// is ErrGap if one is missing; the state then is that before the gap.
func Fold(key authenticator.Key, s State, records []gooseberrypass.Record) (State, []Accepted, error) {
	var accepted []Accepted
	for _, r := range records {
		if r.Offset <= s.foldedThrough {
			continue
		}
		if r.Offset != s.foldedThrough+1 {
			return s, accepted, errors.Wrapf(ErrGap, "folded through %d, next record is %d", s.foldedThrough, r.Offset)
		}
		record, err := Decode(key, r.Body)
		if err == nil && record.Snapshot == nil {
			next, ok := s.Accept(r.Offset, record.Change)
			if ok {
				accepted = append(accepted, Accepted{Change: record.Change, Record: r})
			}
			s = next
		}
		s = s.Through(r.Offset)
	}
	return s, accepted, nil
}
