package publisher

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// ErrStateNotLost is returned by Restore if the accepted state can still be read
// from the log.
var ErrStateNotLost = errors.New("the log still holds the accepted configuration: publish instead")

// Restore makes the files of a folder the accepted state of a log that has trimmed
// the records of the last one. It appends them as a snapshot of the log's last
// offset, so that every process that holds an older state adopts it.
func (p *Publisher) Restore(ctx context.Context, dir string) (*Result, error) {
	folder, err := parser.ReadFolder(ctx, p.clock, dir)
	if err != nil {
		return nil, err
	}
	progress, err := p.catchUp(ctx, replayer.State{})
	if err == nil {
		return nil, ErrStateNotLost
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
		return nil, errors.Wrap(err, "append snapshot; run the restore again when the log is available")
	}
	progress, err = p.catchUp(ctx, replayer.State{})
	if err != nil {
		return nil, err
	}
	result := &Result{Changed: edit.changed, Offset: progress.State.LastAccepted(), Notes: pinned.notes, Pins: pinned.pins}
	return result, edit.syncFolder(dir, progress.State.Files(), progress.State, result)
}
