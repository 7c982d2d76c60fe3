package gooseberrypass

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// A Fence is the fencing token of an order to an engine: the log offset of the
// configuration on which the order is based.
type Fence uint64

// ErrOldFence is returned when an engine refuses an order because it has accepted
// one with a higher fence.
var ErrOldFence = errors.New("order refused: old fence")

// An OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderAdapter OrderKind = "adapter" // load an adapter
	OrderLoad    OrderKind = "load"    // load a model version
	OrderRole    OrderKind = "role"    // change the role
	OrderUnload  OrderKind = "unload"  // unload a model or adapter
)

// An EngineRole defines which phases of inference an engine runs.
type EngineRole string

// The roles of engines.
const (
	EngineRoleDecode  EngineRole = "decode"
	EngineRoleMixed   EngineRole = "mixed" // prefill and decode
	EngineRolePrefill EngineRole = "prefill"
)

// An Order instructs an engine to load or unload a version or adapter, or to change
// its role. WeightsURL is the URL from which the engine reads the chunks of the
// weights.
type Order struct {
	Digest     Digest     `json:"digest,omitzero"`
	Fence      Fence      `json:"fence"`
	Kind       OrderKind  `json:"kind"`
	Manifest   []byte     `json:"manifest,omitempty"`
	Model      ID         `json:"model,omitempty"`
	Role       EngineRole `json:"role,omitempty"`
	WeightsURL string     `json:"weights_url,omitempty"`
}

// A LoadedVersion is a version of a model or adapter that an engine has loaded.
type LoadedVersion struct {
	Digest Digest `json:"digest"`
	Model  ID     `json:"model"`
}

// An EngineLoad is the load of an engine at a point in time. The load that an engine
// reports lags behind its real load.
type EngineLoad struct {
	At       time.Time `json:"at"`
	Capacity int       `json:"capacity"` // requests that can run at once
	Queued   int       `json:"queued"`
	Running  int       `json:"running"`
}

// An EngineState is the state that an engine reports. BootID changes on each restart
// of the engine, which leaves nothing loaded. Fence is that of the last accepted
// order, 0 if the engine does not check fences.
type EngineState struct {
	BootID  string          `json:"boot_id"`
	Fence   Fence           `json:"fence"`
	Load    EngineLoad      `json:"load"`
	Loaded  []LoadedVersion `json:"loaded"`
	Loading bool            `json:"loading"`
	Role    EngineRole      `json:"role"`
}

// A GenerateOrder requests one stream of tokens from an engine. KVCache is a cache
// that ExportKV returned, which spares the engine the prefill.
type GenerateOrder struct {
	AttemptID string   `json:"attempt_id"`
	Digest    Digest   `json:"digest"`
	KVCache   []byte   `json:"kv_cache,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	Model     ID       `json:"model"`
	Priority  Priority `json:"priority"`
	Prompt    string   `json:"prompt"`
	From      int      `json:"from,omitempty"` // index of the first token to return
}

// A Token is one token of generated text. Digest identifies the version that
// generated it.
type Token struct {
	AttemptID string `json:"attempt_id"`
	Digest    Digest `json:"digest"`
	Index     int    `json:"index"`
	Last      bool   `json:"last,omitempty"`
	Text      string `json:"text"`
}

// A TokenStream returns the tokens of one attempt in order.
type TokenStream interface {
	// Next returns the next token, and io.EOF after the token with Last set. It
	// returns io.ErrUnexpectedEOF if the stream ends before that token.
	Next() (Token, error)
	Close() error
}

// A CacheEvent reports that a prefix was added to an engine's prefix cache or evicted
// from it. Numbers are consecutive, so a reader can detect missed events by a gap.
type CacheEvent struct {
	Evicted bool   `json:"evicted,omitempty"`
	Number  uint64 `json:"number"`
	Prefix  uint64 `json:"prefix"` // as PrefixHash returns it
}

// An Engine is a model engine.
type Engine interface {
	// CacheEvents returns the events with a number above after.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Cancel stops an attempt.
	Cancel(ctx context.Context, attemptID string) error
	// ExportKV returns the KV cache of an attempt.
	ExportKV(ctx context.Context, attemptID string) ([]byte, error)
	// Generate starts an attempt and returns its tokens.
	Generate(ctx context.Context, order GenerateOrder) (TokenStream, error)
	// Order returns once the engine has accepted the order. State shows when a
	// load is complete. Its error wraps ErrOldFence if the fence is too old.
	Order(ctx context.Context, order Order) error
	State(ctx context.Context) (EngineState, error)
}

// A ServiceCall is one call of a plain service. Key is the idempotency key, "" for
// none.
type ServiceCall struct {
	AttemptID string
	Body      []byte
	Call      string
	Key       string
}

// A PlainService is a service other than a model engine.
type PlainService interface {
	Call(ctx context.Context, call ServiceCall) ([]byte, error)
}
