package gossiper

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// encodeEvidence returns the wire form of crash evidence, nil if there is none.
func encodeEvidence(e attributor.Evidence) *wire.CrashEvidence {
	if len(e.Interruptions)+len(e.Answers)+len(e.Counts)+len(e.Quarantines) == 0 {
		return nil
	}
	w := &wire.CrashEvidence{Counts: make(map[uint64]uint32, len(e.Counts)), Requests: make(map[string]uint32, len(e.Requests))}
	for _, c := range e.Counts {
		w.Counts[c.Part] = uint32(max(c.Requests, 0))
	}
	for _, t := range e.Requests {
		w.Requests[string(t.Service)] = uint32(max(t.Requests, 0))
	}
	for _, i := range e.Interruptions {
		w.Interruptions = append(w.Interruptions, &wire.Interruption{
			AgeMillis: i.Age.Milliseconds(), Begun: i.Begun, Endpoint: string(i.Endpoint), Parts: i.Parts, Request: i.Request, Service: string(i.Service),
		})
	}
	for _, t := range e.Answers {
		w.Answers = append(w.Answers, &wire.PartAnswer{AgeMillis: t.Age.Milliseconds(), Part: t.Part})
	}
	for _, q := range e.Quarantines {
		w.Quarantines = append(w.Quarantines, &wire.PartQuarantine{AgeMillis: q.Age.Milliseconds(), Count: uint32(max(q.Count, 0)), Part: q.Part, With: q.With})
	}
	return w
}

func decodeEvidence(w *wire.CrashEvidence) attributor.Evidence {
	var e attributor.Evidence
	for _, i := range w.GetInterruptions() {
		e.Interruptions = append(e.Interruptions, attributor.Interruption{
			Age: decodeAge(i.GetAgeMillis()), Begun: i.GetBegun(), Endpoint: gooseberrypass.ID(i.GetEndpoint()), Parts: i.GetParts(), Request: i.GetRequest(),
			Service: gooseberrypass.ID(i.GetService()),
		})
	}
	for part, n := range w.GetCounts() {
		e.Counts = append(e.Counts, attributor.Count{Part: part, Requests: int(n)})
	}
	for service, n := range w.GetRequests() {
		e.Requests = append(e.Requests, attributor.Total{Requests: int(n), Service: gooseberrypass.ID(service)})
	}
	for _, t := range w.GetAnswers() {
		e.Answers = append(e.Answers, attributor.Answer{Age: decodeAge(t.GetAgeMillis()), Part: t.GetPart()})
	}
	for _, q := range w.GetQuarantines() {
		e.Quarantines = append(e.Quarantines, attributor.Quarantine{Age: decodeAge(q.GetAgeMillis()), Count: int(q.GetCount()), Part: q.GetPart(), With: q.GetWith()})
	}
	return e
}

// maxAge is the largest age that is taken from a message.
const maxAge = 24 * time.Hour

// decodeAge returns an age from a message, which is never negative.
func decodeAge(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxAge.Milliseconds())) * time.Millisecond
}
