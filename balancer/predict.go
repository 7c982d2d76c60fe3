package balancer

import (
	"math"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// longestPrediction bounds predictions, whatever the figures of an engine are.
const longestPrediction = time.Hour

// A passLoad is what an engine has to do when another request arrives.
type passLoad struct {
	ahead    int // prompt tokens of other requests that are not prefilled
	decoding int // requests in decode
}

// predictFirstEvent predicts the time until an engine has read unread prompt tokens
// and sent the first event, 0 if the engine's rate is unknown. The engine reads
// prompts between the passes of its batch.
func (b *Balancer) predictFirstEvent(unread int, service gooseberrypass.ID, slowness float64) time.Duration {
	engine := b.engine(service)
	if engine == nil || engine.ReadRate <= 0 {
		return 0
	}
	read := time.Duration(float64(unread) / engine.ReadRate * float64(time.Second))
	return time.Duration(slowness * float64(engine.EventInterval+read))
}

// firstEvent predicts the time to the first event of a request at an endpoint with a load,
// and reports whether the endpoint may get the request by this time. One that has no prompt
// left to read may always: it would not answer earlier later.
func (b *Balancer) firstEvent(q Query, load Load, slowness float64) (time.Duration, bool) {
	engine := b.engine(q.Service)
	if !q.Scheduled || engine == nil || engine.Passes.StepTime <= 0 {
		first := b.predictFirstEvent(load.UnreadTokens+q.PromptTokens, q.Service, slowness)
		return first, load.UnreadTokens == 0 || withinShare(first, q.Objective, b.settings.FirstEventShare)
	}
	ahead, mean := passLoadOf(engine, load), engine.Passes.MeanPrompt
	predict := func(load passLoad, prompt int) time.Duration {
		return time.Duration(min(slowness*float64(predictPasses(engine, load, prompt)), float64(longestPrediction)))
	}
	first := predict(ahead, q.PromptTokens)
	if load.UnreadTokens == 0 {
		return first, true
	}
	if mean == 0 || q.PromptTokens <= mean {
		return first, withinShare(first, q.Objective, b.settings.PassShare)
	}
	// The limit of tokens ahead is the same for long and short prompts, so that short ones do
	// not keep an engine closed to long ones. A prompt of the mean length behind a long one
	// must still be answered in time, and so the long one itself.
	behind := passLoad{ahead: ahead.ahead + q.PromptTokens, decoding: ahead.decoding}
	return first, withinShare(predict(ahead, mean), q.Objective, b.settings.PassShare) && withinShare(predict(behind, mean), q.Objective, 1)
}

// withinShare reports whether a time is within a share of an objective, 0 for none.
func withinShare(first, objective time.Duration, share float64) bool {
	return objective == 0 || first <= time.Duration(share*float64(objective))
}

// predictPasses predicts the time until an engine sends the first event of a request for
// another prompt, in passes: the rest of the pass in progress, one pass for each chunk of
// the tokens ahead and its own, and the pass that emits the event. It returns 0 if the
// engine's rate is unknown.
func predictPasses(engine *gooseberrypass.EngineSpec, load passLoad, prompt int) time.Duration {
	if engine.ReadRate <= 0 {
		return 0
	}
	ahead, own := float64(max(load.ahead, 0)), float64(max(prompt, 0))
	decoding := float64(max(load.decoding, 0))
	passes := 1.0
	if engine.Passes.Chunk > 0 {
		passes = max(math.Ceil((ahead+own)/float64(engine.Passes.Chunk)), 1)
	}
	seconds := prefillTime(engine, ahead, own) + passes*decodeTime(engine, decoding) + decodeTime(engine, decoding+1)
	if ahead > 0 || decoding > 0 {
		seconds += decodeTime(engine, decoding) / 2
	}
	if math.IsNaN(seconds) || seconds >= longestPrediction.Seconds() {
		return longestPrediction
	}
	return time.Duration(seconds * float64(time.Second))
}

// prefillTime returns the seconds that an engine takes to prefill a prompt and the tokens
// ahead of it, which are assumed to belong to prompts of the mean length.
func prefillTime(engine *gooseberrypass.EngineSpec, ahead, prompt float64) float64 {
	const pairsPerUnit = 1e6 // PairsTime is for so many
	pairs := (prompt*prompt + ahead*float64(engine.Passes.MeanPrompt)) / 2
	return (ahead+prompt)/engine.ReadRate + pairs/pairsPerUnit*engine.Passes.PairsTime.Seconds()
}

// decodeTime returns the seconds that the decode steps of a pass take.
func decodeTime(engine *gooseberrypass.EngineSpec, requests float64) float64 {
	const contextPerUnit = 1000 // ContextTime is for so many tokens
	p := engine.Passes
	context := requests * (float64(p.MeanPrompt) + float64(engine.MeanTokens)/2)
	step := p.StepTime.Seconds() + requests*p.SequenceTime.Seconds() + context/contextPerUnit*p.ContextTime.Seconds()
	return float64(max(engine.TokensPerEvent, 1)) * step
}

// passLoadOf returns the load of an engine as far as it delays another request. How many
// requests are not prefilled follows from their tokens.
func passLoadOf(engine *gooseberrypass.EngineSpec, load Load) passLoad {
	reading := 0
	if mean := engine.Passes.MeanPrompt; mean > 0 {
		reading = int(math.Round(float64(load.UnreadTokens) / float64(mean)))
	}
	decoding := max(load.Requests-reading, 0)
	if engine.Slots > 0 {
		decoding = min(decoding, engine.Slots)
	}
	return passLoad{ahead: load.UnreadTokens, decoding: decoding}
}
