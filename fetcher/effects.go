package fetcher

import (
	"context"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/keeper"
)

// storePutLimit bounds one copy of a chunk to the weight store.
const storePutLimit = time.Minute

// A FetchDone is the event that a fetch has ended.
type FetchDone struct {
	Done  Done
	Fetch Fetch
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
	return FetchDone{Done: e.reader.Read(ctx, e.fetch), Fetch: e.fetch}
}

// A demandSeen is the event that other instances wait for items.
type demandSeen struct {
	digests []gooseberrypass.Digest
}

// EventName implements gooseberrypass.Event.
func (demandSeen) EventName() string { return "chunk-demand" }

type watchEffect struct {
	demands <-chan gooseberrypass.Digest
}

// EffectName implements gooseberrypass.Effect.
func (watchEffect) EffectName() string { return "watch-demand" }

// Run implements gooseberrypass.Effect.
func (e watchEffect) Run(ctx context.Context) gooseberrypass.Event {
	var seen demandSeen
	select {
	case <-ctx.Done():
		return nil
	case digest := <-e.demands:
		seen.digests = append(seen.digests, digest)
	}
	for range maxDemanded {
		select {
		case digest := <-e.demands:
			seen.digests = append(seen.digests, digest)
		default:
			return seen
		}
	}
	return seen
}

// A putDone is the event that a copy to the weight store has ended.
type putDone struct{}

// EventName implements gooseberrypass.Event.
func (putDone) EventName() string { return "store-put-done" }

type putEffect struct {
	digest gooseberrypass.Digest
	keeper *keeper.Keeper
	store  gooseberrypass.WeightStore
}

// EffectName implements gooseberrypass.Effect.
func (putEffect) EffectName() string { return "store-put" }

// Run implements gooseberrypass.Effect. A copy that fails is left out.
func (e putEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, storePutLimit)
	defer cancel()
	if body, err := e.keeper.Chunk(e.digest); err == nil {
		_ = e.store.PutChunk(ctx, e.digest, body)
	}
	return putDone{}
}

var (
	_ gooseberrypass.Effect = fetchEffect{}
	_ gooseberrypass.Effect = putEffect{}
	_ gooseberrypass.Effect = watchEffect{}
)
