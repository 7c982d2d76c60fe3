package runner

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass/checker"
)

func forwardSpec() checker.SectionSpec {
	const longest = time.Minute
	return checker.SectionSpec{
		Doc:  "How requests are forwarded.",
		Kind: sectionForward,
		Keys: []checker.Key{
			{Name: "advisory-life", Type: checker.Duration(time.Second, time.Hour), Default: "30s", Doc: "Time for which the rate limit that an endpoint named, or what other entries heard from it, is remembered after any entry last heard it."},
			{Name: "connect", Type: checker.Duration(time.Millisecond, longest), Default: "400ms", Doc: "Time limit for a new connection to an endpoint; many round trips between regions."},
			{Name: "cut-after", Type: checker.Duration(0, longest), Default: default100ms, Doc: "Time after a deadline until an answer is cut off, so that the endpoint's own answer can arrive."},
			{Name: "cutoff-share", Type: checker.Float(0, 1), Default: "0.04", Doc: "Share of the version bound before its end at which a request is withdrawn from an engine of an older version that has not begun it; the delivery of the withdrawal on a busy link."},
			{Name: "ejection", Type: checker.Duration(time.Millisecond, longest), Default: default500ms, Doc: "Time for which an endpoint is skipped after two failures in a row; doubled each time."},
			{Name: "ejection-most", Type: checker.Duration(time.Millisecond, longest), Default: "4s", Doc: "Longest ejection of an endpoint."},
			{Name: "engine-penalty", Type: checker.Float(0, 100), Default: "1", Doc: "Requests added to the load of an engine in another region when endpoints are compared."},
			{Name: "fill", Type: checker.Float(0.1, 10), Default: "1", Doc: "Requests at an engine, as a multiple of its slots, up to which more are sent; those beyond wait without being read."},
			{Name: "far-period", Type: checker.Duration(time.Millisecond, longest), Default: default300ms, Doc: "Interval of messages to entries of other regions, whose endpoints are chosen only when those of the own region are fuller."},
			{Name: "far-rate", Type: checker.Float(0, 1e6), Default: "60", Doc: "Messages a second to entries of other regions above which far-period grows, up to half of notice-life; 0 for no limit."},
			{Name: "first-share", Type: checker.Float(0.01, 10), Default: defaultHalf, Doc: "Share of the objective within which the first event must be predicted for an engine to get a request; the rest is a margin for what the prediction leaves out."},
			{Name: "first-waits", Type: checker.Float(1, 100), Default: "3", Doc: "Longest wait for the head of an answer before a repeatable request is tried at another endpoint, as a multiple of the objective."},
			{Name: "full-pause", Type: checker.Duration(0, longest), Default: "150ms", Doc: "Time for which an endpoint that refused a request for load is skipped; about the time until a slot is free."},
			{Name: "gap-waits", Type: checker.Float(1, 100), Default: "4", Doc: "Silence after which a stream is resumed at another endpoint, as a multiple of the route's longest gap between events; callers leave after 8."},
			{Name: "idle", Type: checker.Duration(time.Second, longest), Default: "10s", Doc: "Time for which an idle connection to an endpoint is kept."},
			{Name: "kept", Type: checker.Int(1, 1000), Default: "24", Doc: "Idle connections kept to one endpoint."},
			{Name: "loss-poll", Type: checker.Duration(0, longest), Default: default100ms, Doc: "Interval at which a repeatable request checks whether any entry hears from its endpoint; 0 for never."},
			{Name: "margin-share", Type: checker.Float(0, 1), Default: defaultMarginShare, Doc: "Share of the version bound before its end from which only the new version is used; the delivery of a request and its wait at an engine."},
			{Name: "max-answer", Type: checker.Size(1024, 1<<30), Default: "1MiB", Doc: "Most bytes of an answer that is buffered until it is complete."},
			{Name: "move-share", Type: checker.Float(0, 1), Default: defaultHalf, Doc: "Share of the retry budget for streams that move from an engine which is about to load a version; the rest is left for failures."},
			{Name: "move-wait", Type: checker.Float(0.01, 10), Default: "1.25", Doc: "Longest pause of a stream that moves, as a multiple of the route's longest gap between events; if the other engine has not begun by then, the stream stays."},
			{Name: "notice-life", Type: checker.Duration(time.Millisecond, longest), Default: "3s", Doc: "Time for which a report of another process is used."},
			{Name: "pace-life", Type: checker.Duration(0, longest), Default: "600ms", Doc: "Age from which the pace that an endpoint reported has no weight; until then its weight falls evenly. The pace of an engine that shares its machine changes every few hundred milliseconds. 0 ignores paces."},
			{Name: "pace-weight", Type: checker.Float(0, 10), Default: defaultHalf, Doc: "Weight of the pace of an endpoint in the cost of the requests there, which outlast a pace. The first event is predicted with all of it."},
			{Name: "pass-share", Type: checker.Float(0.01, 10), Default: "0.7", Doc: "As first-share, where requests are scheduled and the first event is predicted in passes of the engine. The prediction leaves out less, so the margin is smaller. For a prompt above the mean, the first event of one of the mean length in its place must be within it, and that of one behind it within the objective."},
			{Name: "period", Type: checker.Duration(time.Millisecond, longest), Default: default100ms, Doc: "Interval of messages to other entries of the region; a slot becomes free about as often."},
			{Name: "plain-fill", Type: checker.Float(0.1, 100), Default: "3", Doc: "Requests at a plain endpoint, as a multiple of its slots, up to which more are sent."},
			{Name: "plain-penalty", Type: checker.Float(0, 100), Default: "0.4", Doc: "Load, as a multiple of the slots, added to that of a plain endpoint in another region when endpoints are compared."},
			{Name: "poison-breaks", Type: checker.Int(1, 100), Default: "3", Doc: "Broken connections to endpoints after which the request that was sent on them is refused."},
			{Name: "poison-time", Type: checker.Duration(time.Second, time.Hour), Default: "60s", Doc: "Time for which a request that reached poison-breaks is refused, and shortest time for which requests with a part of a prompt that crashes endpoints are."},
			{Name: "probe", Type: checker.Duration(time.Second, longest), Default: "1s", Doc: "Interval of keep-alive probes on silent connections; the kernel takes whole seconds."},
			{Name: "queue-poll", Type: checker.Duration(time.Millisecond, longest), Default: "12ms", Doc: "Interval at which a waiting request checks for an endpoint with capacity."},
			{Name: "queue-share", Type: checker.Float(0, 1), Default: "0.12", Doc: "Share of the objective for which a request waits for an endpoint with capacity."},
			{Name: "remote-fill", Type: checker.Float(0.1, 1), Default: "0.75", Doc: "Share of fill for engines in another region, for scheduled requests that engines of the own region serve too. Entries learn of a load there late, so that several take the same place."},
			{Name: "resume-fill", Type: checker.Float(0.1, 10), Default: "1.5", Doc: "As fill, for streams that are resumed after an interruption."},
			{Name: "resume-poll", Type: checker.Duration(time.Millisecond, longest), Default: "50ms", Doc: "Interval at which a request that may have run checks for an endpoint that can go on with it."},
			{Name: "resume-wait", Type: checker.Duration(0, longest), Default: "1800ms", Doc: "Time after its arrival, or after its last event, for which a request whose endpoint failed waits for another one with capacity; callers leave after a gap of 2 s."},
			{Name: "retry-after", Type: checker.Duration(0, longest), Default: "1900ms", Doc: "Delay after which callers that are refused for load are told to retry."},
			{Name: "retry-share", Type: checker.Float(0.1, 100), Default: "2", Doc: "Entries that share retry-slack, as a multiple of the known entries; above 1 it leaves a margin for those that start."},
			{Name: "return-fill", Type: checker.Float(0.1, 10), Default: "0.85", Doc: "As fill, for callers that retry after a refusal: their answer is late already, and under overload the remaining capacity is for callers that can be answered in time."},
			{Name: "return-time", Type: checker.Duration(0, longest), Default: "5s", Doc: "Time after a refusal for which a retry of the caller is recognized; callers are told to retry after retry-after."},
			{Name: "sample", Type: checker.Float(0, 1000), Default: "1", Doc: "Endpoints compared for a request, as a multiple of those for each entry of the region, at least two; 0 compares all. Entries that compare all of them choose the same one between two messages."},
			{Name: "queue-most", Type: checker.Int(1, 1000000), Default: "256", Doc: "Waiting requests of a scheduled service beyond which the least urgent one is refused; a few times what can be served while they wait."},
			{Name: "scheduling", Type: checker.Enum("always", "auto", "never"), Default: "auto", Doc: "Services whose requests wait in the order of their urgency: all, those that routes of different priority lead to or whose endpoints share their machines, or none."},
			{Name: "servers-pause", Type: checker.Duration(time.Millisecond, longest), Default: default500ms, Doc: "Pause between reads of the list of endpoints."},
			{Name: "share-least", Type: checker.Float(0, 1), Default: "0.12", Doc: "Share of the objective for which the least urgent requests of a scheduled service wait for an endpoint with capacity."},
			{Name: "share-most", Type: checker.Float(0, 1), Default: "0.4", Doc: "As share-least, for the most urgent requests. What is left of the objective is for the first event."},
			{Name: "slow-tolerance", Type: checker.Float(1, 100), Default: "1.6", Doc: "Factor by which an endpoint may be slower than its service before it counts as fuller; a load that differs by a few requests has as much effect."},
			{Name: "stall", Type: checker.Duration(0, longest), Default: "400ms", Doc: "Silence of an endpoint with requests in flight after which it gets no more; as long as an objective, and many passes of an engine."},
			{Name: "stall-times", Type: checker.Float(1, 100), Default: "3", Doc: "As stall, as a multiple of the service's time to the head of an answer; the longer of the two applies."},
			{Name: "starting-wait", Type: checker.Duration(0, longest), Default: default500ms, Doc: "Delay after which callers are told to retry before the first configuration."},
			{Name: "status-life", Type: checker.Duration(time.Millisecond, longest), Default: "8s", Doc: "Time for which an agent's report of its endpoint's versions is used; more than two far-periods of agents."},
			{Name: "stop-delay", Type: checker.Duration(0, longest), Default: default2500ms, Doc: "Time from SIGTERM until no more connections are accepted; the platform checks readiness twice, a second apart."},
		},
	}
}
