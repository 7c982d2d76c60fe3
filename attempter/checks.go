package attempter

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	maxCallNameSize = 256 // bytes
	maxIDSize       = 128 // bytes
)

// ErrBadAttempt is returned for an attempt whose id or request digest is missing
// or malformed, so that it cannot be told from other attempts.
var ErrBadAttempt = errors.New("attempt without a valid id and request digest")

func checkIdentity(id string, digest []byte) error {
	if id == "" || len(id) > maxIDSize || len(digest) != gooseberrypass.DigestSize {
		return errors.Wrapf(ErrBadAttempt, "id of %d bytes, digest of %d bytes", len(id), len(digest))
	}
	return nil
}

func checkAttempt(m *wire.Attempt) error {
	if err := checkCommon(m.GetAccount(), m.GetModel(), m.GetPriority(), m.GetDeadlineMs()); err != nil {
		return err
	}
	n := len(m.GetWeightsDigest())
	switch {
	case n != 0 && n != gooseberrypass.DigestSize:
		return badRequest("weights digest of %d bytes", n)
	case m.GetMaxTokens() < 1 || m.GetMaxTokens() > MaxTokens:
		return badRequest("max tokens %d, want 1 to %d", m.GetMaxTokens(), MaxTokens)
	case m.GetFrom() < 0 || m.GetFrom() >= m.GetMaxTokens():
		return badRequest("first token %d of %d", m.GetFrom(), m.GetMaxTokens())
	case len(m.GetKvCache()) > MaxKVCache || len(m.GetPrompt()) > MaxPrompt:
		return badRequest("prompt of %d and KV cache of %d bytes", len(m.GetPrompt()), len(m.GetKvCache()))
	}
	return nil
}

func checkCall(m *wire.CallRequest) error {
	if err := checkCommon(m.GetAccount(), m.GetService(), m.GetPriority(), m.GetDeadlineMs()); err != nil {
		return err
	}
	if m.GetCall() == "" || len(m.GetCall()) > maxCallNameSize || len(m.GetKey()) > maxIDSize {
		return badRequest("call of %d and key of %d bytes", len(m.GetCall()), len(m.GetKey()))
	}
	return nil
}

// checkCommon checks the fields that attempts and calls have in common.
func checkCommon(account, target string, priority int32, deadlineMS int64) error {
	p := gooseberrypass.Priority(priority)
	switch {
	case target == "" || len(target) > maxIDSize || len(account) > maxIDSize:
		return badRequest("target of %d and account of %d bytes", len(target), len(account))
	case p < gooseberrypass.MinPriority || p > gooseberrypass.MaxPriority:
		return badRequest("priority %d", p)
	case deadlineMS <= 0:
		return notRun(gooseberrypass.ReasonDeadline, "deadline passed on the way")
	case deadlineMS > MaxDeadline.Milliseconds():
		return badRequest("deadline of %d ms, at most %d", deadlineMS, MaxDeadline.Milliseconds())
	}
	return nil
}

func badRequest(format string, args ...any) error {
	return notRun(gooseberrypass.ReasonBadRequest, fmt.Sprintf(format, args...))
}

func lifetimeOf(deadlineMS int64) time.Duration {
	return time.Duration(deadlineMS) * time.Millisecond
}
