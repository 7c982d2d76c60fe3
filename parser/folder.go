// Package parser reads folders of INI files. It records the file and line of each
// section and key.
package parser

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// A folder counts as unchanged if two reads, settleInterval apart, agree.
// ReadFolder compares at most maxSettleReads times before it gives up.
const (
	settleInterval = 200 * time.Millisecond
	maxSettleReads = 25
)

// ErrFolderChanging is returned for a folder that changed between all reads.
var ErrFolderChanging = errors.New("folder is being written")

// A FolderError reports that a folder could not be read.
type FolderError struct {
	Err error
}

// Error implements error.
func (e *FolderError) Error() string { return "read folder: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }

// A Folder is a consistent copy of the files in a folder.
type Folder struct {
	files    map[string]string
	findings []Finding
	name     string
}

// NewFolder returns a folder with the given contents by file name.
func NewFolder(name string, files map[string]string) *Folder {
	return &Folder{files: files, name: name}
}

// ReadFolder reads a folder that may be written to at the same time. It repeats
// the read until two consecutive reads give the same files, bytes and modification
// times. The error is a *FolderError or wraps that of ctx. A file that cannot be
// read is reported as a finding.
func ReadFolder(ctx context.Context, clock gooseberrypass.Clock, dir string) (*Folder, error) {
	before, err := readSnapshot(dir)
	if err != nil {
		return nil, err
	}
	for range maxSettleReads {
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "read folder %s", dir)
		case <-clock.After(settleInterval):
		}
		after, err := readSnapshot(dir)
		if err != nil {
			return nil, err
		}
		if after.equal(before) {
			return after.folder, nil
		}
		before = after
	}
	return nil, &FolderError{Err: errors.Wrap(ErrFolderChanging, dir)}
}

// Files returns the contents of the files by name.
func (f *Folder) Files() map[string]string { return maps.Clone(f.files) }

// Parse parses the files in the order of their names. The findings include files
// that could not be read.
func (f *Folder) Parse() ([]*File, []Finding) {
	findings := slices.Clone(f.findings)
	if len(f.files) == 0 && len(findings) == 0 {
		return nil, []Finding{{File: f.name, Message: "the folder holds no files"}}
	}
	files := make([]*File, 0, len(f.files))
	size := 0
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		file, fileFindings := Parse(name, []byte(f.files[name]))
		files = append(files, file)
		findings = append(findings, fileFindings...)
		size += len(f.files[name])
	}
	if size > MaxFolderSize || len(f.files) > MaxFiles {
		findings = append(findings, Finding{File: f.name, Message: fmt.Sprintf(
			"the folder has %d bytes in %d files, at most %d in %d are read",
			size, len(f.files), MaxFolderSize, MaxFiles)})
	}
	return files, findings
}

// A snapshot is the result of one read of a folder, with the modification times of
// its files.
type snapshot struct {
	folder   *Folder
	modTimes map[string]time.Time
}

func (s snapshot) equal(other snapshot) bool {
	return maps.Equal(s.folder.files, other.folder.files) &&
		maps.EqualFunc(s.modTimes, other.modTimes, time.Time.Equal) &&
		slices.Equal(s.folder.findings, other.folder.findings)
}

// readSnapshot reads a folder once. It reads at most MaxFiles+1 files, enough for
// Parse to report that there are too many.
func readSnapshot(dir string) (snapshot, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return snapshot{}, &FolderError{Err: err}
	}
	s := snapshot{folder: NewFolder(dir, map[string]string{}), modTimes: map[string]time.Time{}}
	for _, entry := range entries {
		if ignoredName(entry.Name()) || entry.IsDir() {
			continue
		}
		if len(s.folder.files) > MaxFiles {
			break
		}
		s.readFile(filepath.Join(dir, entry.Name()), entry.Name())
	}
	return s, nil
}

func (s snapshot) readFile(path, name string) {
	info, err := os.Stat(path)
	if err == nil && info.IsDir() {
		return
	}
	var body []byte
	if err == nil && !info.Mode().IsRegular() {
		err = errors.New("not a regular file")
	}
	if err == nil {
		body, err = readLimited(path)
	}
	if err != nil {
		s.folder.findings = append(s.folder.findings, Finding{
			File: name, Line: 1, Message: fmt.Sprintf("the file cannot be read: %v", errors.Cause(err)),
		})
		return
	}
	s.folder.files[name] = string(body)
	s.modTimes[name] = info.ModTime()
}

// readLimited reads at most MaxFileSize+1 bytes, enough to detect a file that is
// too large.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path) //nolint:gosec // the operator names the folder
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // nothing was written
	return io.ReadAll(io.LimitReader(f, MaxFileSize+1))
}

// ignoredName reports whether a file is hidden or a backup or swap file of an
// editor.
func ignoredName(name string) bool {
	return strings.HasPrefix(name, ".") || strings.HasSuffix(name, "~") || strings.HasSuffix(name, ".swp")
}

// ValidFileName reports whether name is a valid name of a configuration file: a base
// name that ReadFolder does not ignore.
func ValidFileName(name string) bool {
	return name != "" && name == filepath.Base(name) && !ignoredName(name) &&
		!strings.ContainsAny(name, "/\\\n\r\x00")
}
