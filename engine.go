package gooseberrypass

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// A Fence orders the orders given to an engine: the offset of the configuration
// that an order follows from.
type Fence uint64

// ErrOldFence is returned by an engine that refused an order for its fence.
var ErrOldFence = errors.New("order refused: old fence")

// An OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderAdapter OrderKind = "adapter"
	OrderLoad    OrderKind = "load"
	OrderRole    OrderKind = "role"
	OrderUnload  OrderKind = "unload"
)

// An EngineRole is the part an engine plays in serving a model.
type EngineRole string

// The roles of engines.
const (
	EngineRoleDecode  EngineRole = "decode"
	EngineRoleMixed   EngineRole = "mixed"
	EngineRolePrefill EngineRole = "prefill"
)

// An Order tells an engine to load or unload a version or adapter, or to change
// its role. WeightsURL is where the engine reads the weights, chunk after chunk.
type Order struct {
	Digest     Digest     `json:"digest,omitzero"`
	Fence      Fence      `json:"fence"`
	Kind       OrderKind  `json:"kind"`
	Manifest   []byte     `json:"manifest,omitempty"`
	Model      ID         `json:"model,omitempty"`
	Role       EngineRole `json:"role,omitempty"`
	WeightsURL string     `json:"weights_url,omitempty"`
}

// A LoadedVersion is a version that an engine serves.
type LoadedVersion struct {
	Digest Digest `json:"digest"`
	Model  ID     `json:"model"`
}

// An EngineLoad is an engine's report of its load; it lags.
type EngineLoad struct {
	At       time.Time `json:"at"`
	Capacity int       `json:"capacity"` // requests that run at once
	Queued   int       `json:"queued"`
	Running  int       `json:"running"`
}

// An EngineState is what an engine says of itself. BootID changes whenever the
// engine starts anew with nothing loaded.
type EngineState struct {
	BootID  string          `json:"boot_id"`
	Fence   Fence           `json:"fence"`
	Load    EngineLoad      `json:"load"`
	Loaded  []LoadedVersion `json:"loaded"`
	Loading bool            `json:"loading"`
	Role    EngineRole      `json:"role"`
}

// A GenerateOrder asks an engine for one stream of tokens.
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

// A Token is one piece of generated text. Digest names the version that made it.
type Token struct {
	AttemptID string `json:"attempt_id"`
	Digest    Digest `json:"digest"`
	Index     int    `json:"index"`
	Last      bool   `json:"last,omitempty"`
	Text      string `json:"text"`
}

// A TokenStream returns the tokens of one stream in order.
type TokenStream interface {
	// Next returns the next token; io.EOF follows the token marked Last. A
	// stream that ends before that returns io.ErrUnexpectedEOF.
	Next() (Token, error)
	Close() error
}

// A CacheEvent tells that an engine's prefix cache gained or lost a prefix.
// Events have dense numbers; a reader that sees a gap has missed some.
type CacheEvent struct {
	Evicted bool   `json:"evicted,omitempty"`
	Number  uint64 `json:"number"`
	Prefix  uint64 `json:"prefix"` // hash of the prefix
}

// An Engine is a model engine.
type Engine interface {
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Cancel(ctx context.Context, attemptID string) error
	ExportKV(ctx context.Context, attemptID string) ([]byte, error)
	Generate(ctx context.Context, order GenerateOrder) (TokenStream, error)
	Order(ctx context.Context, order Order) error
	State(ctx context.Context) (EngineState, error)
}

// A ServiceCall is one call of a plain service.
type ServiceCall struct {
	AttemptID string
	Body      []byte
	Call      string
	Key       string
}

// A PlainService is a service beside the model engines.
type PlainService interface {
	Call(ctx context.Context, call ServiceCall) ([]byte, error)
}
