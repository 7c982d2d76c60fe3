package replayer

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

// MaxRecordSize is the size of the longest record, in bytes. Longer ones are
// never accepted, so it must be the same in all releases.
const MaxRecordSize = 4 << 20

const (
	schema     = 1
	signDomain = "gooseberrypass configuration record"
)

// ErrBadRecord is returned for bytes that are no authentic record.
var ErrBadRecord = errors.New("bad configuration record")

// A Change is one operator's change of the folder. It replaces the files it
// holds and removes those it names.
type Change struct {
	Base    gooseberrypass.Offset
	Files   map[string]string
	ID      string
	Removed []string
}

// A Snapshot is a state that a process took from the log. It changes nothing.
type Snapshot struct {
	Files         map[string]string
	FoldedThrough gooseberrypass.Offset
	LastAccepted  gooseberrypass.Offset
}

// A Record is a decoded record: a Snapshot if that is not nil, else a Change.
type Record struct {
	Change   Change
	Snapshot *Snapshot
}

// An envelope is a record as it stands in the log. Code proves Payload.
type envelope struct {
	Code    []byte          `json:"code"`
	Payload json.RawMessage `json:"payload"`
}

// A payload is what a record says. Schema tells which release wrote it; the
// fold reads the same fields whatever it is and ignores those it does not know.
type payload struct {
	Base     gooseberrypass.Offset `json:"base"`
	Files    map[string]string     `json:"files,omitempty"`
	ID       string                `json:"id,omitempty"`
	Removed  []string              `json:"removed,omitempty"`
	Schema   int                   `json:"schema"`
	Snapshot *snapshotPayload      `json:"snapshot,omitempty"`
}

type snapshotPayload struct {
	FoldedThrough gooseberrypass.Offset `json:"folded_through"`
	LastAccepted  gooseberrypass.Offset `json:"last_accepted"`
}

// EncodeChange returns the record of a change.
func EncodeChange(key authenticator.Key, c Change) ([]byte, error) {
	return encode(key, payload{Base: c.Base, Files: c.Files, ID: c.ID, Removed: c.Removed, Schema: schema})
}

// EncodeSnapshot returns the record of a snapshot.
func EncodeSnapshot(key authenticator.Key, s Snapshot) ([]byte, error) {
	return encode(key, payload{
		Files:    s.Files,
		Schema:   schema,
		Snapshot: &snapshotPayload{FoldedThrough: s.FoldedThrough, LastAccepted: s.LastAccepted},
	})
}

func encode(key authenticator.Key, p payload) ([]byte, error) {
	for name, text := range p.Files {
		if !utf8.ValidString(name) || !utf8.ValidString(text) {
			return nil, errors.Wrapf(ErrBadRecord, "file %q is not valid UTF-8", name)
		}
	}
	encoded, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	body, err := json.Marshal(envelope{Code: key.Sign(signDomain, encoded), Payload: encoded})
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	if len(body) > MaxRecordSize {
		return nil, errors.Wrapf(ErrBadRecord, "%d bytes, at most %d", len(body), MaxRecordSize)
	}
	return body, nil
}

// Decode decodes a record that the key proves.
func Decode(key authenticator.Key, body []byte) (Record, error) {
	if len(body) > MaxRecordSize {
		return Record{}, errors.Wrapf(ErrBadRecord, "%d bytes, at most %d", len(body), MaxRecordSize)
	}
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return Record{}, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	if !key.Verify(signDomain, e.Payload, e.Code) {
		return Record{}, errors.Wrap(ErrBadRecord, "not proved by the shared key")
	}
	var p payload
	if err := json.Unmarshal(e.Payload, &p); err != nil {
		return Record{}, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	if p.Snapshot != nil {
		return Record{Snapshot: &Snapshot{
			Files:         p.Files,
			FoldedThrough: p.Snapshot.FoldedThrough,
			LastAccepted:  p.Snapshot.LastAccepted,
		}}, nil
	}
	return Record{Change: Change{Base: p.Base, Files: p.Files, ID: p.ID, Removed: p.Removed}}, nil
}
