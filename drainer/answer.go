package drainer

import (
	"context"
	"net/http"

	"github.com/gooseberrypass/gooseberrypass"
)

// An answer is the Responder of a request that may be canceled at the end of the grace
// period. An answer that has not begun by then can still be a complete one.
type answer struct {
	gooseberrypass.Responder
	begun      bool
	cut        bool            // cut off at the end of the grace period
	expired    context.Context //nolint:containedctx // done at the end of the grace period
	notRun     bool
	unanswered bool // canceled at the end of the grace period before the answer began
}

// Abort implements gooseberrypass.Responder.
func (a *answer) Abort() {
	a.cut = a.begun && a.expired.Err() != nil
	if !a.begun && a.expired.Err() != nil {
		a.unanswered = true
		panic(errGraceOver)
	}
	a.Responder.Abort()
}

// Refuse implements gooseberrypass.Responder.
func (a *answer) Refuse(err *gooseberrypass.RequestError) {
	a.begun, a.notRun = true, err.Outcome == gooseberrypass.OutcomeNotRun
	a.Responder.Refuse(err)
}

// Start implements gooseberrypass.Responder.
func (a *answer) Start(status int, header http.Header) {
	a.begun = true
	a.Responder.Start(status, header)
}

var _ gooseberrypass.Responder = (*answer)(nil)
