package gooseberrypass

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// A RequestKind is the kind of a request.
type RequestKind int

// The kinds of requests.
const (
	RequestGenerate RequestKind = iota // generates tokens
	RequestCall                        // calls a plain service
)

// RequestFields are the fields of a new Request.
type RequestFields struct {
	Account    Name
	AccountKey string // key of the client account, as sent by the caller
	Body       []byte // prompt, or body of the call
	Call       string // name of the call, for RequestCall
	Deadline   time.Time
	ID         string
	Key        string // idempotency key, a UUIDv7
	Kind       RequestKind
	MaxTokens  int
	Priority   Priority
	Target     Name
}

// A Request is a request of a caller. It is immutable: filters that resolve a part of
// it pass on a modified copy.
type Request struct {
	accountID  ID
	digest     Digest
	fields     RequestFields
	repeatable bool
	targetID   ID
}

// NewRequest returns a request of which nothing has been resolved yet.
func NewRequest(fields RequestFields) *Request {
	return &Request{digest: requestDigest(fields), fields: fields}
}

// Account returns the name of the client account as sent by the caller.
func (r *Request) Account() Name { return r.fields.Account }

// AccountKey returns the key of the client account as sent by the caller.
func (r *Request) AccountKey() string { return r.fields.AccountKey }

// AccountID returns the resolved client account, "" before it is resolved.
func (r *Request) AccountID() ID { return r.accountID }

// Body returns the prompt or the body of the call.
func (r *Request) Body() []byte { return r.fields.Body }

// Call returns the name of the call to a plain service.
func (r *Request) Call() string { return r.fields.Call }

// Deadline returns the time after which the caller does not need the answer.
func (r *Request) Deadline() time.Time { return r.fields.Deadline }

// Digest returns the digest of the target, call, body, token limit and account.
// Requests that agree in these have equal digests.
func (r *Request) Digest() Digest { return r.digest }

// ID returns the ID of the request.
func (r *Request) ID() string { return r.fields.ID }

// Key returns the idempotency key, "" if the caller sent none.
func (r *Request) Key() string { return r.fields.Key }

// Kind returns the kind of the request.
func (r *Request) Kind() RequestKind { return r.fields.Kind }

// MaxTokens returns the largest number of tokens in the answer.
func (r *Request) MaxTokens() int { return r.fields.MaxTokens }

// Priority returns the priority of the request.
func (r *Request) Priority() Priority { return r.fields.Priority }

// Repeatable reports whether the request is idempotent.
func (r *Request) Repeatable() bool { return r.repeatable }

// Target returns the name of the model or service as sent by the caller.
func (r *Request) Target() Name { return r.fields.Target }

// TargetID returns the resolved model or service, "" before it is resolved.
func (r *Request) TargetID() ID { return r.targetID }

// WithAccountID returns a copy with the client account resolved to id.
func (r *Request) WithAccountID(id ID) *Request {
	c := *r
	c.accountID = id
	c.digest = c.resolvedDigest()
	return &c
}

// WithDeadline returns a copy with another deadline.
func (r *Request) WithDeadline(deadline time.Time) *Request {
	c := *r
	c.fields.Deadline = deadline
	return &c
}

// WithMaxTokens returns a copy with another token limit.
func (r *Request) WithMaxTokens(n int) *Request {
	c := *r
	c.fields.MaxTokens = n
	return &c
}

// WithPriority returns a copy with another priority.
func (r *Request) WithPriority(priority Priority) *Request {
	c := *r
	c.fields.Priority = priority
	return &c
}

// WithTarget returns a copy with the target resolved to id. repeatable sets whether
// the request is idempotent.
func (r *Request) WithTarget(id ID, repeatable bool) *Request {
	c := *r
	c.targetID = id
	c.repeatable = repeatable
	c.digest = c.resolvedDigest()
	return &c
}

// resolvedDigest returns the digest with resolved IDs in place of names, so that it
// does not depend on the naming scheme that the caller used.
func (r *Request) resolvedDigest() Digest {
	f := r.fields
	if r.accountID != "" {
		f.Account = Name(r.accountID)
	}
	if r.targetID != "" {
		f.Target = Name(r.targetID)
	}
	return requestDigest(f)
}

// requestDigest hashes the fields that identify a request, each with its length.
func requestDigest(f RequestFields) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(f.Account), []byte(f.Target), []byte(f.Call), f.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	var limit [8]byte
	binary.BigEndian.PutUint64(limit[:], uint64(int64(f.MaxTokens)))
	_, _ = h.Write(limit[:])
	return Digest(h.Sum(nil))
}
