package fetcher

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
)

// storePutTimeout bounds one write of a chunk to the weight store.
const storePutTimeout = time.Minute

// A FetchDone is the event that a fetch has ended.
type FetchDone struct {
	Fetch   Fetch
	Outcome Outcome
}

// EventName implements gooseberrypass.Event.
func (FetchDone) EventName() string { return "fetch-done" }

type fetchEffect struct {
	fetch  Fetch
	reader *Reader
	stop   <-chan struct{}
}

// EffectName implements gooseberrypass.Effect.
func (fetchEffect) EffectName() string { return "fetch" }

// Run implements gooseberrypass.Effect.
func (e fetchEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-e.stop:
			cancel()
		case <-ended:
		}
	}()
	return FetchDone{Outcome: e.reader.Read(ctx, e.fetch), Fetch: e.fetch}
}

// A demandsReceived is the event that other instances have requested items that
// this instance does not hold yet.
type demandsReceived struct {
	digests []gooseberrypass.Digest
}

// EventName implements gooseberrypass.Event.
func (demandsReceived) EventName() string { return "chunk-demand" }

type watchDemandEffect struct {
	demands <-chan gooseberrypass.Digest
}

// EffectName implements gooseberrypass.Effect.
func (watchDemandEffect) EffectName() string { return "watch-demand" }

// Run implements gooseberrypass.Effect. It waits for a demand and returns it with
// those that are already queued.
func (e watchDemandEffect) Run(ctx context.Context) gooseberrypass.Event {
	var received demandsReceived
	select {
	case <-ctx.Done():
		return nil
	case digest := <-e.demands:
		received.digests = append(received.digests, digest)
	}
	for range maxDemands {
		select {
		case digest := <-e.demands:
			received.digests = append(received.digests, digest)
		default:
			return received
		}
	}
	return received
}

// A storePutDone is the event that a write to the weight store has ended,
// successfully or not.
type storePutDone struct{}

// EventName implements gooseberrypass.Event.
func (storePutDone) EventName() string { return "store-put-done" }

type storePutEffect struct {
	cacher *cacher.Cacher
	digest gooseberrypass.Digest
	store  gooseberrypass.WeightStore
}

// EffectName implements gooseberrypass.Effect.
func (storePutEffect) EffectName() string { return "store-put" }

// Run implements gooseberrypass.Effect. A failed write is not retried, as the
// weight store is optional.
func (e storePutEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, storePutTimeout)
	defer cancel()
	if body, err := e.cacher.Chunk(e.digest); err == nil {
		_ = e.store.PutChunk(ctx, e.digest, body)
	}
	return storePutDone{}
}

var (
	_ gooseberrypass.Effect = fetchEffect{}
	_ gooseberrypass.Effect = storePutEffect{}
	_ gooseberrypass.Effect = watchDemandEffect{}
)
