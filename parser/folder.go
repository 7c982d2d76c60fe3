// Package parser reads folders of INI files and keeps the place of each
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

const (
	settleTime  = 200 * time.Millisecond
	settleTries = 25
)

// ErrFolderChanging is returned for a folder that changed each time it was read.
var ErrFolderChanging = errors.New("folder is being written")

// A FolderError is returned for a folder that cannot be read.
type FolderError struct {
	Err error
}

// Error implements error.
func (e *FolderError) Error() string { return "read folder: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }

// A Folder is what one folder held at one moment.
type Folder struct {
	files    map[string]string
	findings []Finding
	name     string
}

// NewFolder returns a folder of files that were read elsewhere, by name.
func NewFolder(name string, files map[string]string) *Folder {
	return &Folder{files: files, name: name}
}

// ReadFolder reads a folder that others may be writing: it returns what it held
// when two reads, a settling time apart, gave the same files and bytes. The error
// is a *FolderError, or that of ctx; a file that cannot be read is a finding.
func ReadFolder(ctx context.Context, clock gooseberrypass.Clock, dir string) (*Folder, error) {
	before, err := readOnce(dir)
	if err != nil {
		return nil, err
	}
	for range settleTries {
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "read folder %s", dir)
		case <-clock.After(settleTime):
		}
		after, err := readOnce(dir)
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

// Files returns the bytes of each file by its name.
func (f *Folder) Files() map[string]string { return maps.Clone(f.files) }

// Parse parses the files in the order of their names.
func (f *Folder) Parse() ([]*File, []Finding) {
	findings := slices.Clone(f.findings)
	if len(f.files) == 0 && len(findings) == 0 {
		return nil, []Finding{{File: f.name, Message: "the folder holds no files"}}
	}
	files := make([]*File, 0, len(f.files))
	size := 0
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		file, faults := Parse(name, []byte(f.files[name]))
		files = append(files, file)
		findings = append(findings, faults...)
		size += len(f.files[name])
	}
	if size > MaxFolderSize || len(f.files) > MaxFiles {
		findings = append(findings, Finding{File: f.name, Message: fmt.Sprintf(
			"the folder has %d bytes in %d files, at most %d in %d are read",
			size, len(f.files), MaxFolderSize, MaxFiles)})
	}
	return files, findings
}

// A reading is one pass over a folder, with the times of its files.
type reading struct {
	folder *Folder
	times  map[string]time.Time
}

func (r reading) equal(other reading) bool {
	return maps.Equal(r.folder.files, other.folder.files) &&
		maps.EqualFunc(r.times, other.times, time.Time.Equal) &&
		slices.Equal(r.folder.findings, other.folder.findings)
}

func readOnce(dir string) (reading, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return reading{}, &FolderError{Err: err}
	}
	r := reading{folder: NewFolder(dir, map[string]string{}), times: map[string]time.Time{}}
	for _, entry := range entries {
		if passesOver(entry.Name()) || entry.IsDir() {
			continue
		}
		if len(r.folder.files) > MaxFiles {
			break
		}
		r.readFile(filepath.Join(dir, entry.Name()), entry.Name())
	}
	return r, nil
}

func (r reading) readFile(path, name string) {
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
		r.folder.findings = append(r.folder.findings, Finding{
			File: name, Line: 1, Message: fmt.Sprintf("the file cannot be read: %v", errors.Cause(err)),
		})
		return
	}
	r.folder.files[name] = string(body)
	r.times[name] = info.ModTime()
}

// readLimited reads at most one byte more than a file may have.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path) //nolint:gosec // the operator names the folder
	if err != nil {
		return nil, err
	}
	defer f.Close() //nolint:errcheck // nothing was written
	return io.ReadAll(io.LimitReader(f, MaxFileSize+1))
}

// passesOver reports whether a name is one that editors leave behind.
func passesOver(name string) bool {
	return strings.HasPrefix(name, ".") || strings.HasSuffix(name, "~") || strings.HasSuffix(name, ".swp")
}

// PlainName reports whether a file of this name is read from a folder.
func PlainName(name string) bool {
	return name != "" && name == filepath.Base(name) && !passesOver(name) &&
		!strings.ContainsAny(name, "/\\\n\r\x00")
}
