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

// crashesEndpoints reports whether the request probably crashed the endpoint of its last
// attempt. The begin of an answer takes little time, so that other causes rarely break it
// off there.
func (r *request) crashesEndpoints(last *attempt) bool {
	tracker := r.forwarder.tracker
	if _, left := tracker.Quarantine(r.prompt); left > 0 && !r.started {
		return true
	}
	if r.model == "" || last == nil || last.progress != progressHead {
		return false
	}
	return r.beginCrashes >= maxBeginCrashes || tracker.Suspected(r.prompt)
}
