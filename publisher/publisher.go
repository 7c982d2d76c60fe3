// Package publisher carries an operator's folder to the log and back.
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
	maxTries  = 64
	readTries = 8
	retryStep = 50 * time.Millisecond
	retryMost = 2 * time.Second
)

// ErrNoBase is returned for a folder that was not pulled though there is an
// accepted state.
var ErrNoBase = errors.New("the folder has no base, but files were published already: pull first")

// ErrOtherLog is returned for a folder whose base the log does not know.
var ErrOtherLog = errors.New("the folder was pulled from another log")

// ErrUnsettled is returned if the log was lost before it told whether it took
// the change.
var ErrUnsettled = errors.New("the change may or may not have been published; publish again once the log answers")

// A ConflictError is returned if others published changes of the same files.
type ConflictError struct {
	Files []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("others have published changes of %s since the folder was pulled; "+
		"keep your edits elsewhere, pull and edit anew", strings.Join(e.Files, ", "))
}

// A FindingsError is returned for a folder with faults.
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

// An Option changes a Publisher.
type Option func(*Publisher)

// WithSeed makes the waits between tries follow from a seed.
func WithSeed(seed uint64) Option {
	return func(p *Publisher) { p.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// A Publisher publishes and pulls folders.
type Publisher struct {
	clock    gooseberrypass.Clock
	key      authenticator.Key
	log      gooseberrypass.Log
	origin   gooseberrypass.Origin
	replayer *replayer.Replayer
	rng      *rand.Rand
}

// New returns a publisher that signs what it publishes with key.
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

// A Result is what came of publishing or pulling a folder.
type Result struct {
	Brought []string // files that others changed, written to the folder
	Changed []string // files published, empty if there was nothing to publish
	Kept    []string // files not written, as the operator changed them meanwhile
	Notes   []string
	Offset  gooseberrypass.Offset
	Pins    []Pin
}

// Publish checks a folder and publishes what differs from its base. A change
// that loses a race is based on the winner's state and checked again, unless
// both touched the same file.
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
	return result, edit.bringIn(dir, state.Files(), state, result)
}

// checkBase refuses a folder that cannot have been pulled from the log.
func checkBase(base Base, state replayer.State) error {
	switch {
	case base.Offset == 0 && state.LastAccepted() != 0:
		return ErrNoBase
	case base.Offset > state.LastAccepted():
		return errors.Wrapf(ErrOtherLog, "base %d, the log's last accepted change is %d", base.Offset, state.LastAccepted())
	default:
		return nil
	}
}

// publish appends an edit until it is accepted or conflicts with others'.
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
		change := changeTo(state, pinned.files)
		result := &Result{Changed: changedNames(change), Notes: pinned.notes, Pins: pinned.pins}
		if len(result.Changed) == 0 {
			return state, result, nil
		}
		// What is accepted must fit into a snapshot.
		if _, err := replayer.EncodeSnapshot(p.key, replayer.Snapshot{Files: pinned.files}); err != nil {
			return state, nil, err
		}
		next, accepted, err := p.append(ctx, state, change)
		if err != nil || accepted {
			return next, result, err
		}
		state = next
		if err := p.pause(ctx, try); err != nil {
			return state, nil, err
		}
	}
	return state, nil, errors.Errorf("others published first %d times", maxTries)
}

// changeTo returns the change from a state to files, with a new id.
func changeTo(state replayer.State, files map[string]string) replayer.Change {
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

// append appends a change and reads from the log whether it was accepted. A
// change whose answer was lost is looked for by its id, and appended again if
// it is not there: a record that is there twice is accepted once at most.
func (p *Publisher) append(
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
			return state, false, errors.Wrapf(ErrUnsettled, "id %s: %v", change.ID, readErr)
		}
		if readErr != nil {
			return state, false, readErr
		}
		accepted := slices.ContainsFunc(progress.Accepted, func(a replayer.Accepted) bool { return a.Change.ID == change.ID })
		if accepted || progress.State.LastAccepted() != change.Base {
			return progress.State, accepted, nil
		}
		state = progress.State
		if err := p.pause(ctx, try); err != nil {
			return state, false, errors.Wrapf(ErrUnsettled, "id %s: %v", change.ID, err)
		}
	}
	return state, false, errors.Wrapf(ErrUnsettled, "id %s: the log refused it %d times", change.ID, maxTries)
}

// catchUp reads the log to its end, trying a few times.
func (p *Publisher) catchUp(ctx context.Context, state replayer.State) (replayer.Progress, error) {
	var accepted []replayer.Accepted
	for try := 0; ; try++ {
		progress, err := p.replayer.CatchUp(ctx, state, 0)
		accepted = append(accepted, progress.Accepted...)
		progress.Accepted = accepted
		if err == nil || errors.Is(err, replayer.ErrGap) || try == readTries {
			return progress, err
		}
		state = progress.State
		if err := p.pause(ctx, try); err != nil {
			return progress, err
		}
	}
}

// pause waits before the next try, longer with each.
func (p *Publisher) pause(ctx context.Context, try int) error {
	most := min(retryStep<<min(try, 10), retryMost)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.clock.After(most/2 + time.Duration(p.rng.Int64N(int64(most)))):
		return nil
	}
}
