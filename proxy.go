package gooseberrypass

import (
	"context"
	"io"
	"net/http"
	"time"
)

// A ProxyRequest is a caller's HTTP request that is forwarded to an endpoint unchanged.
type ProxyRequest struct {
	AccountKey      string // key of the client account, "" for none
	Body            []byte
	Deadline        time.Time   // when the caller stops waiting, zero if unknown
	EstimatedTokens int         // caller's estimate of the tokens in the answer, 0 for none
	Header          http.Header // end-to-end headers, without those that the system sets
	Host            string
	ID              string // ID of this attempt of the caller
	LastEvent       int    // index of the last event that the caller has received, -1 for none
	MaxTokens       int    // largest number of tokens in the answer, 0 if unknown
	Memory          Memory // for what is buffered of the answer, nil for no limit
	Method          string
	Model           string
	Path            string   // without the query
	PromptParts     string   // identifiers of the parts of the prompt; the last part is unique to the request
	PromptTokens    int      // 0 if unknown
	SharedParts     []string // identifiers of the parts of the prompt that other requests may have, in order
	URI             string   // path and query as sent by the caller
}

// Memory is what one request may use of the memory for all requests. What it has reserved is
// given back when the request has ended.
type Memory interface {
	// TryReserve reserves n bytes and returns whether they were available.
	TryReserve(n int64) bool
}

// fields returns the fields by which requests are compared: account, host, method,
// URI and body.
func (p *ProxyRequest) fields() RequestFields {
	return RequestFields{Account: Name(p.AccountKey), Body: p.Body, Call: p.Method + " " + p.URI, Target: Name(p.Host)}
}

// Digest returns the digest of the account, host, method, URI and body. It does not
// depend on the ID.
func (p *ProxyRequest) Digest() Digest { return requestDigest(p.fields()) }

// RepeatDigest returns the digest of the same fields and the prompt. A request that its
// caller sends again has the same RepeatDigest.
func (p *ProxyRequest) RepeatDigest() Digest {
	f := p.fields()
	f.Call += " " + p.PromptParts
	return requestDigest(f)
}

// A Dispatch is one attempt to forward a request to an endpoint.
type Dispatch struct {
	Account         ID // client account, "" for a public route
	Endpoint        Endpoint
	ExpectedVersion int       // version that the endpoint must have loaded, 0 for any
	FirstSent       time.Time // when the request was first sent to the endpoint, zero for never
	LastEvent       int       // index of the last event delivered to the caller, -1 for none
	MaxIdleConns    int       // largest number of idle connections to the endpoint, 0 for the default
	Priority        int       // 0 is the highest
	// Release, unless nil, holds back the request's last byte until the endpoint's machine has
	// acknowledged the others. It is called with the time that this has taken so far, repeatedly
	// until it has. If it returns false, the last byte is not sent and the request does not run.
	Release  func(took time.Duration) bool
	Request  *ProxyRequest
	TimeLeft time.Duration // time limit of the endpoint
}

// A Reply is the response of an endpoint. Body returns io.EOF only after the complete
// response, and another error if the response was interrupted. That of a refusal need not
// be read.
type Reply struct {
	Advisory     Advisory
	Body         io.ReadCloser
	Header       http.Header // end-to-end headers
	Load         *EngineLoad // nil if not reported
	Misdirected  bool        // the endpoint or its loaded version is not the expected one
	ModelVersion int         // version of the weights, 0 if not reported
	NotRun       bool        // the endpoint did not run the request
	Pace         float64     // time that work takes at the endpoint now, as a ratio to its usual time, 0 if not reported
	Replaced     bool        // the address now belongs to another endpoint
	Signed       bool        // has the endpoint's signature
	Status       int         // HTTP status code
	Unframed     bool        // has neither a length nor chunks, so that the end of the connection is that of Body
}

// A DispatchError is the error of a dispatch without a usable response.
type DispatchError struct {
	Err  error
	Sent bool // a part of the request may have reached the endpoint
}

// Error implements error.
func (e *DispatchError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *DispatchError) Unwrap() error { return e.Err }

// A Transport sends dispatches to endpoints. It never retries on its own. Its errors are
// of type *DispatchError.
type Transport interface {
	Send(ctx context.Context, d Dispatch) (*Reply, error)
}

// A Responder delivers the response to a caller. For one request, either Refuse or
// Start is called.
type Responder interface {
	// Abort closes the caller's connection, so that the caller does not take a
	// partial response for a complete one. It does not return.
	Abort()
	// LimitWrites makes writes fail that end much later than d from now. A caller that
	// does not read would hold its place at an endpoint.
	LimitWrites(d time.Duration)
	// Refuse delivers an error of this system instead of an endpoint's response.
	Refuse(err *RequestError)
	// Start delivers the status and headers of an endpoint's response.
	Start(status int, header http.Header)
	// Write delivers a part of the body and flushes it.
	Write(piece []byte) error
}

// A ProxyHandler answers forwarded requests.
type ProxyHandler interface {
	HandleProxyRequest(ctx context.Context, p *ProxyRequest, w Responder)
}
