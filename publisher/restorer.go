package publisher

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// ErrNotLost is returned for a restore though the log holds the accepted state.
var ErrNotLost = errors.New("the log still holds the accepted configuration: publish instead")

// Restore makes a folder the accepted state of a log that has trimmed all that
// it was made of. It appends the folder as a snapshot at the log's end, so that
// every process that holds an older state takes it over.
func (p *Publisher) Restore(ctx context.Context, dir string) (*Result, error) {
	folder, err := parser.ReadFolder(ctx, p.clock, dir)
	if err != nil {
		return nil, err
	}
	progress, err := p.catchUp(ctx, replayer.State{})
	if err == nil {
		return nil, ErrNotLost
	}
	if !errors.Is(err, replayer.ErrGap) {
		return nil, err
	}
	edit := newEdit(Base{}, folder.Files())
	pinned, err := p.pin(ctx, edit.apply(replayer.State{}), replayer.State{})
	if err != nil {
		return nil, err
	}
	end := progress.Next - 1
	body, err := replayer.EncodeSnapshot(p.key, replayer.Snapshot{Files: pinned.files, FoldedThrough: end, LastAccepted: end})
	if err != nil {
		return nil, err
	}
	if _, err := p.log.Append(ctx, gooseberrypass.StreamConfig, body); err != nil {
		return nil, errors.Wrap(err, "append snapshot; restore again once the log answers")
	}
	progress, err = p.catchUp(ctx, replayer.State{})
	if err != nil {
		return nil, err
	}
	result := &Result{Changed: edit.changed, Offset: progress.State.LastAccepted(), Notes: pinned.notes, Pins: pinned.pins}
	return result, edit.bringIn(dir, progress.State.Files(), progress.State, result)
}
