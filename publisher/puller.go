package publisher

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// Pull updates a folder to the accepted files and writes its base file. It creates
// the folder if it does not exist. The operator's changes are kept; if others have
// published a different change of the same file, it changes nothing and the error is
// a *ConflictError.
func (p *Publisher) Pull(ctx context.Context, dir string) (*Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil { //nolint:gosec // operators share folders, so others may read it
		return nil, errors.Wrap(err, "create folder")
	}
	progress, err := p.catchUp(ctx, replayer.State{})
	if err != nil {
		return nil, err
	}
	folder, err := parser.ReadFolder(ctx, p.clock, dir)
	if err != nil {
		return nil, err
	}
	base, err := ReadBase(dir)
	if err != nil {
		return nil, err
	}
	if base.Offset > progress.State.LastAccepted() {
		return nil, errors.Wrapf(ErrOtherLog, "the folder's base is at offset %d, the last accepted change at %d",
			base.Offset, progress.State.LastAccepted())
	}
	edit := newEdit(base, folder.Files())
	if files := edit.conflicts(progress.State); len(files) > 0 {
		return nil, &ConflictError{Files: files}
	}
	result := &Result{Offset: progress.State.LastAccepted()}
	return result, edit.syncFolder(dir, edit.apply(progress.State), progress.State, result)
}
