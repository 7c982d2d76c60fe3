package gooseberrypass

import "context"

// An EngineReport is the state that a StagedEngine reports.
type EngineReport struct {
	Busy          bool // an order is being executed
	Load          EngineLoad
	Models        map[string]int // completely loaded version of each model
	Orders        int            // number of orders accepted since the start
	StartMillis   int64          // time of the engine's start in Unix milliseconds
	StepTimeRatio float64        // ratio of the current step time to the normal one, 0 if unknown
}

// A StartOrder instructs an engine to load the staged version of a model.
type StartOrder struct {
	Model   string
	Orders  int // number of orders accepted so far; the engine refuses the order if it differs
	Version int
}

// A StartResult is the result of a StartOrder.
type StartResult int

// The results of start orders. After StartUnknown, the zero value, the load may have
// started.
const (
	StartUnknown  StartResult = iota
	StartAccepted             // the load has started
	StartDone                 // the version is already loaded
	StartRefused              // the order does not match the engine's state
)

// An AdvisedEngine is a StagedEngine whose answers say which requests it wants.
type AdvisedEngine interface {
	// Hearing returns the engine for calls of which heard gets what each answer says.
	Hearing(heard func(Advisory)) StagedEngine
}

// A StagedEngine is a model engine that loads a version from a staging area on its
// instance. Only the agent on that instance may stage the chunks of a
// version.
type StagedEngine interface {
	// ListStaged returns the indexes of the staged chunks of a model, or ErrChunkNotHeld
	// if nothing is staged.
	ListStaged(ctx context.Context, model string) ([]int, error)
	// Report returns the state of the engine.
	Report(ctx context.Context) (EngineReport, error)
	// Stage writes a chunk of a model, replacing any chunk with the same index. The
	// engine does not verify it.
	Stage(ctx context.Context, model string, index int, body []byte) error
	// ReadStaged reads back a staged chunk of size bytes, or returns ErrChunkNotHeld. Of a
	// longer one it returns at most one byte more, so that it does not pass as the chunk.
	ReadStaged(ctx context.Context, model string, index int, size int64) ([]byte, error)
	// StartLoad orders the engine to load the staged chunks and does not wait for it.
	StartLoad(ctx context.Context, order StartOrder) (StartResult, error)
}
