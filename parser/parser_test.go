package parser_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass/parser"
)

func TestParseFindings(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"NUL":                {"[a]\nk = \x00\n", "f:2: [a] the line holds a NUL byte"},
		"bad UTF-8":          {"[a]\n# \xff\n", "f:2: [a] the line is not valid UTF-8"},
		"byte order mark":    {"[a]\n\uFEFFk = 1\n", "f:2: [a] the line holds a byte order mark"},
		"empty file":         {"", "f:1: the file is empty; remove it if it is not wanted"},
		"too long":           {strings.Repeat("#", parser.MaxFileSize+1), "f:1: the file has 1048577 bytes, at most 1048576 are read"},
		"duplicate key":      {"[a]\nk = 1\n[b]\n[a]\nk = 2\n", "f:5: [a] k: the key stands in line 2 already"},
		"key before section": {"k = 1\n", "f:1: k: the key stands before the first section"},
		"no key":             {"[a]\n = 1\n", "f:2: [a] not a [section], a key = value or a # comment"},
		"no value":           {"[a]\nword\n", "f:2: [a] not a [section], a key = value or a # comment"},
		"open section":       {"[a\n", "f:1: not a [section], a key = value or a # comment"},
		"open quote":         {"[a]\nk = \"\"\"x\n", "f:2: [a] not a [section], a key = value or a # comment"},
		"only open quotes":   {"[a]\nk = \"\"\"", "f:2: [a] not a [section], a key = value or a # comment"},
		"text after section": {"[a] b\n", "f:1: not a section header: want [title] alone on its line"},
		"good":               {"\uFEFF# c\r\n[a]  ; c\r\nk = 1 # c\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, findings := parser.Parse("f", []byte(test.text))
			got := ""
			if len(findings) > 0 {
				got = findings[0].String()
			}
			if got != test.want || len(findings) > 1 {
				t.Errorf("got %q of %d, want %q", got, len(findings), test.want)
			}
		})
	}
}

// Parsing line by line must give the same values as ini.v1 gives for the whole
// file, if there are no findings, and each position must be the line of the key.
func TestParseAgreesWithLibrary(t *testing.T) {
	line := rapid.OneOf(
		rapid.SampledFrom([]string{"[a]", "[b c]", "# x", "; y", "", "  ", "[a] # z", "k = `x # y`", `k = "x ; y"`, "k==1", "k = a\\"}),
		rapid.StringMatching(`[ \t]?[klm]-?[xy]? ?= ?[a-z"'#; =,:%().\\]{0,12}`),
	)
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(line, 1, 12).Draw(t, "lines")
		text := strings.Join(lines, "\n")
		file, findings := parser.Parse("f", []byte(text))
		if len(findings) > 0 {
			t.Skip()
		}
		whole, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true,
		}, []byte(text))
		if err != nil {
			t.Fatalf("library: %v", err)
		}
		for _, s := range file.Sections {
			want := whole.Section(s.Title)
			if got := len(s.Values); got != len(want.Keys()) {
				t.Fatalf("[%s]: got %d keys, want %d", s.Title, got, len(want.Keys()))
			}
			for _, v := range s.Values {
				if w := want.Key(v.Key).Value(); v.Text != w || !strings.Contains(lines[v.Line-1], v.Key) {
					t.Fatalf("[%s] %s in line %d: got %q, want %q", s.Title, v.Key, v.Line, v.Text, w)
				}
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[model x]\nversion = \"v1\" # c\n\x00\n[a]]\n= \n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		file, findings := parser.Parse("f", body)
		lines := strings.Count(string(body), "\n") + 1
		for _, finding := range findings {
			if finding.Line < 1 || finding.Line > lines {
				t.Errorf("got line %d of %d", finding.Line, lines)
			}
		}
		for _, s := range file.Sections {
			for _, v := range s.Values {
				if v.Line < 1 || v.Line > lines || v.Section != s.Title {
					t.Errorf("got %+v of %d lines in [%s]", v, lines, s.Title)
				}
			}
		}
	})
}

// A hookClock calls onWait with the number of the wait instead of waiting, to
// change files between two reads.
type hookClock struct {
	*clockwork.FakeClock
	onWait func(n int)
	n      int
}

func (c *hookClock) After(d time.Duration) <-chan time.Time {
	c.onWait(c.n)
	c.n++
	c.Advance(d)
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

func TestReadFolderIgnoresEditorFiles(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"b.ini", "a.ini", ".a.ini.swp", "a.ini~", "x.swp", ".hidden"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("[s]\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, err := range []error{
		os.Mkdir(filepath.Join(dir, "folder.ini"), 0o700),
		os.Symlink("nowhere", filepath.Join(dir, "c.ini")),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	clock := &hookClock{FakeClock: clockwork.NewFakeClock(), onWait: func(int) {}}
	folder, err := parser.ReadFolder(t.Context(), clock, dir)
	if err != nil {
		t.Fatal(err)
	}
	files, findings := folder.Parse()
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, f.Name)
	}
	if want := []string{"a.ini", "b.ini"}; !slices.Equal(names, want) {
		t.Errorf("got %q, want %q", names, want)
	}
	if len(findings) != 1 || findings[0].File != "c.ini" {
		t.Errorf("got %v, want c.ini not to be readable", findings)
	}
	if _, err := parser.ReadFolder(t.Context(), clock, filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want no such folder", err)
	}
}

func TestReadFolderThatKeepsChanging(t *testing.T) {
	dir := t.TempDir()
	clock := &hookClock{FakeClock: clockwork.NewFakeClock(), onWait: func(n int) {
		if err := os.WriteFile(filepath.Join(dir, "a.ini"), fmt.Appendf(nil, "[s%d]\n", n), 0o600); err != nil {
			t.Error(err)
		}
	}}
	if _, err := parser.ReadFolder(t.Context(), clock, dir); !errors.Is(err, parser.ErrFolderChanging) {
		t.Errorf("got %v, want %v", err, parser.ErrFolderChanging)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := parser.ReadFolder(ctx, clockwork.NewFakeClock(), dir); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}
