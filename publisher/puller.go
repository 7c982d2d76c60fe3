package publisher

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// Pull brings a folder, which it makes if need be, up to the accepted files and
// writes their base beside them. What the operator edited stays, unless others
// published a change of the same file.
func (p *Publisher) Pull(ctx context.Context, dir string) (*Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil { //nolint:gosec // operators share folders
		return nil, errors.Wrap(err, "make folder")
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
		return nil, errors.Wrapf(ErrOtherLog, "base %d, the log's last accepted change is %d",
			base.Offset, progress.State.LastAccepted())
	}
	edit := newEdit(base, folder.Files())
	if files := edit.conflicts(progress.State); len(files) > 0 {
		return nil, &ConflictError{Files: files}
	}
	result := &Result{Offset: progress.State.LastAccepted()}
	return result, edit.bringIn(dir, edit.apply(progress.State), progress.State, result)
}
