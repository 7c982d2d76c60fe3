package replayer

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

// MaxRecordSize is the largest size of an encoded record, in bytes. Larger ones are
// rejected on replay, so it must be the same in all releases: otherwise releases
// would come to different states.
const MaxRecordSize = 4 << 20

const (
	schema     = 1
	signDomain = "gooseberrypass configuration record"
)

// ErrBadRecord is returned for a record that is malformed, too large or not signed
// with the shared key.
var ErrBadRecord = errors.New("bad configuration record")

// A Change is a published change of the configuration folder. It replaces or adds
// Files and deletes those named in Removed. It is accepted only if Base is the
// offset of the last accepted change.
type Change struct {
	Base    gooseberrypass.Offset
	Files   map[string]string // contents by name
	ID      string
	Removed []string
}

// A Snapshot is a copy of a state, appended to the log so that a reader can start
// from it once older records are trimmed. Folding one changes no state.
type Snapshot struct {
	Files         map[string]string // contents by name
	FoldedThrough gooseberrypass.Offset
	LastAccepted  gooseberrypass.Offset
}

// A Record is a decoded record. It is a snapshot if Snapshot is not nil, and a
// change otherwise.
type Record struct {
	Change   Change
	Snapshot *Snapshot
}

// An envelope is the encoding of a record in the log. MAC authenticates Payload.
type envelope struct {
	MAC     []byte          `json:"code"`
	Payload json.RawMessage `json:"payload"`
}

// A payload is the signed content of a record. Schema is the version of the format
// that the writer used. Readers do not branch on it: they read the fields they know
// and ignore all others, so that all releases come to the same state.
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

// EncodeChange returns the signed record of a change. The error is ErrBadRecord if
// the record is too large or a file is not valid UTF-8.
func EncodeChange(key authenticator.Key, c Change) ([]byte, error) {
	return encode(key, payload{Base: c.Base, Files: c.Files, ID: c.ID, Removed: c.Removed, Schema: schema})
}

// EncodeSnapshot returns the signed record of a snapshot, with the same errors as
// EncodeChange.
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
	body, err := json.Marshal(envelope{MAC: key.Sign(signDomain, encoded), Payload: encoded})
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	if len(body) > MaxRecordSize {
		return nil, errors.Wrapf(ErrBadRecord, "record has %d bytes, limit is %d", len(body), MaxRecordSize)
	}
	return body, nil
}

// Decode verifies the signature of a record and decodes it. The error is
// ErrBadRecord.
func Decode(key authenticator.Key, body []byte) (Record, error) {
	if len(body) > MaxRecordSize {
		return Record{}, errors.Wrapf(ErrBadRecord, "record has %d bytes, limit is %d", len(body), MaxRecordSize)
	}
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return Record{}, errors.Wrapf(ErrBadRecord, "%v", err)
	}
	if !key.Verify(signDomain, e.Payload, e.MAC) {
		return Record{}, errors.Wrap(ErrBadRecord, "signature does not match the shared key")
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
