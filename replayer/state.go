// Package replayer rebuilds the accepted configuration files by folding the records
// of the log's configuration stream into a state. The fold does not validate file
// contents, so that all processes and releases come to the same state.
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

// ErrGap is returned if records that follow the last folded one are missing.
var ErrGap = errors.New("configuration records are missing from the log")

// A State is the result of folding records. It is immutable.
type State struct {
	files         map[string]string
	foldedThrough gooseberrypass.Offset
	lastAccepted  gooseberrypass.Offset
}

// NewState returns the state of a snapshot.
func NewState(s Snapshot) State {
	return State{files: maps.Clone(s.Files), foldedThrough: s.FoldedThrough, lastAccepted: s.LastAccepted}
}

// Digest returns the SHA-256 digest of LastAccepted and the accepted files.
func (s State) Digest() gooseberrypass.Digest {
	h := sha256.New()
	// Writes to a hash never fail.
	_ = binary.Write(h, binary.BigEndian, uint64(s.lastAccepted))
	for _, name := range slices.Sorted(maps.Keys(s.files)) {
		for _, text := range []string{name, s.files[name]} {
			_ = binary.Write(h, binary.BigEndian, uint64(len(text)))
			_, _ = h.Write([]byte(text))
		}
	}
	return gooseberrypass.Digest(h.Sum(nil))
}

// Files returns a copy of the accepted files, contents by name.
func (s State) Files() map[string]string { return maps.Clone(s.files) }

// FoldedThrough returns the offset of the last record folded.
func (s State) FoldedThrough() gooseberrypass.Offset { return s.foldedThrough }

// LastAccepted returns the offset of the last change accepted, 0 for none.
func (s State) LastAccepted() gooseberrypass.Offset { return s.lastAccepted }

// Snapshot returns a snapshot of the state.
func (s State) Snapshot() Snapshot {
	return Snapshot{Files: s.Files(), FoldedThrough: s.foldedThrough, LastAccepted: s.lastAccepted}
}

// Accept returns the state after the change at offset, and whether the change was
// accepted. It is accepted if and only if it is based on the last accepted offset
// and was not folded before.
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

// WithFoldedThrough returns the state with all records up to offset marked as folded.
func (s State) WithFoldedThrough(offset gooseberrypass.Offset) State {
	s.foldedThrough = max(s.foldedThrough, offset)
	return s
}

// An AcceptedRecord is a change that was accepted, with the log record that holds it.
type AcceptedRecord struct {
	Change Change
	Record gooseberrypass.Record
}

// Fold folds records into a state, and returns the new state and the accepted
// changes. It skips records that were folded before and ignores those that Decode
// refuses. The error is ErrGap if a record is missing; the state then is that
// before the gap.
func Fold(key authenticator.Key, s State, records []gooseberrypass.Record) (State, []AcceptedRecord, error) {
	var accepted []AcceptedRecord
	for _, r := range records {
		if r.Offset <= s.foldedThrough {
			continue
		}
		if r.Offset != s.foldedThrough+1 {
			return s, accepted, errors.Wrapf(ErrGap, "folded through offset %d, next record is at %d", s.foldedThrough, r.Offset)
		}
		record, err := Decode(key, r.Body)
		if err == nil && record.Snapshot == nil {
			next, ok := s.Accept(r.Offset, record.Change)
			if ok {
				accepted = append(accepted, AcceptedRecord{Change: record.Change, Record: r})
			}
			s = next
		}
		s = s.WithFoldedThrough(r.Offset)
	}
	return s, accepted, nil
}
