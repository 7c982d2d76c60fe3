// Package publisher publishes an operator's configuration folder to the log and
// updates the folder to the accepted state. Concurrent changes are resolved by
// optimistic concurrency: a change is accepted only if it is based on the last
// accepted one.
package publisher

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

const (
	maxTries    = 64                    // appends of one change, and rebases of one edit
	readRetries = 8                     // retries of a read of the log
	retryBase   = 50 * time.Millisecond // mean backoff after the first try, doubled after each
	retryMax    = 2 * time.Second       // largest mean backoff
)

// ErrNoBase is returned for a folder that was never pulled, if there is already an
// accepted state.
var ErrNoBase = errors.New("the folder has no base, but files were published already: pull first")

// ErrOtherLog is returned for a folder whose base is at a higher offset than the
// last accepted change of the log.
var ErrOtherLog = errors.New("the folder was pulled from another log")

// ErrOutcomeUnknown is returned if the log became unavailable before it was known
// whether the change was accepted.
var ErrOutcomeUnknown = errors.New("the change may or may not have been published; publish again when the log is available")

// A ConflictError is returned if others have published different changes of files
// that the operator changed.
type ConflictError struct {
	Files []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("others have published changes of %s since the folder was pulled; "+
		"save your edits elsewhere, pull and apply them again", strings.Join(e.Files, ", "))
}

// A FindingsError is returned for a folder whose files have faults. Its message has
// one line for each.
type FindingsError struct {
	Findings []parser.Finding
}

// Error implements error.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// An Option configures a Publisher.
type Option func(*Publisher)

// WithSeed makes the jitter of the backoff reproducible.
func WithSeed(seed uint64) Option {
	return func(p *Publisher) { p.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// A Publisher publishes, pulls and restores folders.
type Publisher struct {
	clock    gooseberrypass.Clock
	key      authenticator.Key
	log      gooseberrypass.Log
	origin   gooseberrypass.Origin
	replayer *replayer.Replayer
	rng      *rand.Rand
}

// New returns a publisher that signs records with key, and ignores records of the
// log that are not signed with it.
func New(
	clock gooseberrypass.Clock,
	key authenticator.Key,
	log gooseberrypass.Log,
	origin gooseberrypass.Origin,
	options ...Option,
) *Publisher {
	p := &Publisher{
		clock:    clock,
		key:      key,
		log:      log,
		origin:   origin,
		replayer: replayer.New(key, log),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// A Result is the outcome of publishing, pulling or restoring a folder.
type Result struct {
	Applied []string              // files updated in the folder because others changed them
	Changed []string              // files published, empty if there was nothing to publish
	Kept    []string              // files not updated because the operator modified them meanwhile
	Notes   []string              // remarks for the operator
	Offset  gooseberrypass.Offset // offset of the accepted state that the folder now has as its base
	Pins    []Pin                 // pins that were added or replaced
}

// Publish checks a folder, publishes what differs from its base and updates the
// folder to the accepted state. If others publish first, it rebases the change on
// their state, checks it again and retries. The error is a *ConflictError if both
// changed the same file differently, and a *FindingsError if the files have faults.
func (p *Publisher) Publish(ctx context.Context, dir string) (*Result, error) {
	folder, err := parser.ReadFolder(ctx, p.clock, dir)
	if err != nil {
		return nil, err
	}
	if check := checker.Build(folder, 0); len(check.Findings()) > 0 {
		return nil, &FindingsError{Findings: check.Findings()}
	}
	base, err := ReadBase(dir)
	if err != nil {
		return nil, err
	}
	progress, err := p.catchUp(ctx, replayer.State{})
	if err != nil {
		return nil, err
	}
	if err := checkBase(base, progress.State); err != nil {
		return nil, err
	}
	edit := newEdit(base, folder.Files())
	state, result, err := p.publish(ctx, edit, progress.State)
	if err != nil {
		return nil, err
	}
	result.Offset = state.LastAccepted()
	return result, edit.syncFolder(dir, state.Files(), state, result)
}

// checkBase returns an error for a base that cannot come from the log.
func checkBase(base Base, state replayer.State) error {
	switch {
	case base.Offset == 0 && state.LastAccepted() != 0:
		return ErrNoBase
	case base.Offset > state.LastAccepted():
		return errors.Wrapf(ErrOtherLog, "the folder's base is at offset %d, the last accepted change at %d", base.Offset, state.LastAccepted())
	default:
		return nil
	}
}

// publish appends an edit until it is accepted or conflicts with the changes of
// others. It returns the accepted state and a result without Offset.
func (p *Publisher) publish(
	ctx context.Context, edit edit, state replayer.State,
) (replayer.State, *Result, error) {
	for try := range maxTries {
		if files := edit.conflicts(state); len(files) > 0 {
			return state, nil, &ConflictError{Files: files}
		}
		pinned, err := p.pin(ctx, edit.apply(state), state)
		if err != nil {
			return state, nil, err
		}
		change := newChange(state, pinned.files)
		result := &Result{Changed: changedNames(change), Notes: pinned.notes, Pins: pinned.pins}
		if len(result.Changed) == 0 {
			return state, result, nil
		}
		// Entries must be able to append the accepted state as a snapshot, so it has to
		// fit into one record.
		if _, err := replayer.EncodeSnapshot(p.key, replayer.Snapshot{Files: pinned.files}); err != nil {
			return state, nil, err
		}
		next, accepted, err := p.appendChange(ctx, state, change)
		if err != nil || accepted {
			return next, result, err
		}
		state = next
		if err := p.backOff(ctx, try); err != nil {
			return state, nil, err
		}
	}
	return state, nil, errors.Errorf("gave up after %d tries: others published first each time", maxTries)
}

// newChange returns the change that turns a state's files into files, with a new
// random ID.
func newChange(state replayer.State, files map[string]string) replayer.Change {
	change := replayer.Change{Base: state.LastAccepted(), Files: map[string]string{}, ID: uuid.NewString()}
	accepted := state.Files()
	for name, text := range files {
		if have, ok := accepted[name]; !ok || have != text {
			change.Files[name] = text
		}
	}
	for _, name := range slices.Sorted(maps.Keys(accepted)) {
		if _, ok := files[name]; !ok {
			change.Removed = append(change.Removed, name)
		}
	}
	return change
}

func changedNames(change replayer.Change) []string {
	names := slices.AppendSeq(slices.Clone(change.Removed), maps.Keys(change.Files))
	slices.Sort(names)
	return names
}

// appendChange appends a change and reads from the log whether it was accepted. If
// the answer to the append was lost, it searches the log for the change's ID and
// appends again if it is not there. This is safe: a record that is in the log twice
// is accepted at most once, as its base is outdated the second time.
func (p *Publisher) appendChange(
	ctx context.Context, state replayer.State, change replayer.Change,
) (replayer.State, bool, error) {
	body, err := replayer.EncodeChange(p.key, change)
	if err != nil {
		return state, false, err
	}
	sent := false
	for try := range maxTries {
		_, err := p.log.Append(ctx, gooseberrypass.StreamConfig, body)
		if err != nil && !errors.Is(err, gooseberrypass.ErrLogUnavailable) && !errors.Is(err, gooseberrypass.ErrLogOverloaded) {
			return state, false, errors.Wrap(err, "append change")
		}
		sent = sent || !errors.Is(err, gooseberrypass.ErrLogOverloaded)
		progress, readErr := p.catchUp(ctx, state)
		if readErr != nil && sent {
			return state, false, errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", change.ID, readErr)
		}
		if readErr != nil {
			return state, false, readErr
		}
		accepted := slices.ContainsFunc(progress.Accepted, func(a replayer.AcceptedRecord) bool { return a.Change.ID == change.ID })
		if accepted || progress.State.LastAccepted() != change.Base {
			return progress.State, accepted, nil
		}
		state = progress.State
		if err := p.backOff(ctx, try); err != nil {
			return state, false, errors.Wrapf(ErrOutcomeUnknown, "change %s: %v", change.ID, err)
		}
	}
	return state, false, errors.Wrapf(ErrOutcomeUnknown, "change %s: the log did not take it in %d tries", change.ID, maxTries)
}

// catchUp reads the log to its end, with up to readRetries retries. It does not retry
// after replayer.ErrGap.
func (p *Publisher) catchUp(ctx context.Context, state replayer.State) (replayer.Progress, error) {
	var accepted []replayer.AcceptedRecord
	for try := 0; ; try++ {
		progress, err := p.replayer.CatchUp(ctx, state, 0)
		accepted = append(accepted, progress.Accepted...)
		progress.Accepted = accepted
		if err == nil || errors.Is(err, replayer.ErrGap) || try == readRetries {
			return progress, err
		}
		state = progress.State
		if err := p.backOff(ctx, try); err != nil {
			return progress, err
		}
	}
}

// backOff waits before the next try, with exponential backoff and jitter. The error
// is that of ctx.
func (p *Publisher) backOff(ctx context.Context, try int) error {
	limit := min(retryBase<<min(try, 10), retryMax)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.clock.After(limit/2 + time.Duration(p.rng.Int64N(int64(limit)))):
		return nil
	}
}
