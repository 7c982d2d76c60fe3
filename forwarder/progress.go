package forwarder

// A progress is how far the answer of an attempt has come.
type progress int

// The progress of attempts.
const (
	progressNone    progress = iota // no sign of an answer
	progressHead                    // the endpoint began the answer
	progressContent                 // an event, or the whole answer, was received
)

// String returns the progress as it appears in log lines.
func (p progress) String() string {
	switch p {
	case progressHead:
		return "head"
	case progressContent:
		return "content"
	default:
		return "none"
	}
}

// maxBeginCrashes is the number of endpoints at which the answer to a request may break
// off at its begin. The request probably crashes each endpoint that begins the answer.
const maxBeginCrashes = 2

// maxSilentSuspicions is the number of crashes under other requests with a part of the prompt
// from which a request whose connection broke without a sign of an answer is not repeated. A
// connection that breaks in that moment has many causes, so that one is not enough.
const maxSilentSuspicions = 2

// crashesEndpoints reports whether the request probably crashed the endpoint of its last
// attempt. The begin of an answer takes little time, so that other causes rarely break it
// off there.
func (r *request) crashesEndpoints(last *attempt) bool {
	tracker := r.forwarder.tracker
	if _, left := tracker.Quarantine(r.prompt); left > 0 && !r.started {
		return true
	}
	if r.model == "" || last == nil {
		return false
	}
	switch last.progress {
	case progressNone:
		return last.crashed && tracker.Suspicions(r.prompt) >= maxSilentSuspicions
	case progressHead:
		return r.beginCrashes >= maxBeginCrashes || tracker.Suspicions(r.prompt) > 0
	default:
		return false
	}
}
