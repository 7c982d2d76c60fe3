package merger_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/merger"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

// drawFolder draws the texts of files with values for three models under any of their
// names. The first file declares the names.
func drawFolder(t *rapid.T) []string {
	var head strings.Builder
	for i := range 3 {
		fmt.Fprintf(&head, "[model m%d]\ninventory-name = MDL-%d\npath-name = /m/%d\n", i, i, i)
	}
	n := rapid.IntRange(1, 5).Draw(t, "files")
	texts := append(make([]string, 0, n+1), head.String())
	for range n {
		var b strings.Builder
		for i := range 3 {
			fmt.Fprintf(&b, rapid.SampledFrom([]string{"[model m%d]\n", "[model MDL-%d]\n", "[model /m/%d]\n"}).Draw(t, "title"), i)
			for _, key := range []string{"a", "b", "c"} {
				if rapid.Bool().Draw(t, "set") {
					fmt.Fprintf(&b, "%s = %s\n", key, merger.Quote(rapid.StringMatching(`[a-z #;"'=]{0,6}`).Draw(t, "value")))
				}
			}
		}
		texts = append(texts, b.String())
	}
	return texts
}

func parse(texts []string) []*parser.File {
	files := make([]*parser.File, 0, len(texts))
	for i, text := range texts {
		file, _ := parser.Parse(fmt.Sprintf("%02d.ini", i), []byte(text))
		files = append(files, file)
	}
	return files
}

// naiveMerge is a reference implementation of the merge. It knows the names: each ends
// with the digit of its model.
func naiveMerge(files []*parser.File) map[string]parser.Value {
	values := map[string]parser.Value{}
	for _, file := range files {
		for _, s := range file.Sections {
			for _, v := range s.Values {
				values[s.Title[len(s.Title)-1:]+" "+v.Key] = v
			}
		}
	}
	return values
}

// The last file that sets a key must win, whichever of the model's names it uses, and
// all names must resolve to the same ID.
func TestLaterFileWinsKeyByKeyUnderAnyName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := parse(drawFolder(t))
		m := merger.New(files)
		if len(m.Findings()) > 0 || len(m.Sections()) != 3 {
			t.Fatalf("got %v, %d sections", m.Findings(), len(m.Sections()))
		}
		naive := naiveMerge(files)
		n := 0
		for i, s := range m.Sections() {
			for _, name := range []gooseberrypass.Name{"m%d", "MDL-%d", "/m/%d"} {
				name = gooseberrypass.Name(fmt.Sprintf(string(name), i))
				if id, _ := m.Resolver().Resolve(gooseberrypass.KindModel, name); id != s.ID() || id != gooseberrypass.ID(fmt.Sprintf("m%d", i)) {
					t.Fatalf("%s: got %q, want %q", name, id, s.ID())
				}
			}
			for _, key := range s.Keys() {
				n++
				got, _ := s.Value(key)
				if want := naive[fmt.Sprintf("%d %s", i, key)]; got != want {
					t.Fatalf("%s %s: got %+v, want %+v", s.ID(), key, got, want)
				}
			}
		}
		if n != len(naive) {
			t.Fatalf("got %d values, want %d", n, len(naive))
		}
	})
}

// The written file must read back to the same merge, and must not depend on the order
// of sections in the input.
func TestWriteToReadsBackTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := parse(drawFolder(t))
		var first, second bytes.Buffer
		_, err := merger.New(files).WriteTo(&first)
		if err != nil {
			t.Fatal(err)
		}
		again, findings := parser.Parse("00.ini", first.Bytes())
		if len(findings) > 0 {
			t.Fatalf("got %v in\n%s", findings, first.String())
		}
		if _, err := merger.New([]*parser.File{again}).WriteTo(&second); err != nil {
			t.Fatal(err)
		}
		if got, want := withoutComments(second.String()), withoutComments(first.String()); got != want {
			t.Fatalf("got\n%s\nwant\n%s", got, want)
		}
		for _, file := range files {
			slices.Reverse(file.Sections)
		}
		second.Reset()
		if _, err := merger.New(files).WriteTo(&second); err != nil || second.String() != first.String() {
			t.Fatalf("got\n%s\nwant\n%s", second.String(), first.String())
		}
	})
}

func withoutComments(text string) string {
	lines := slices.DeleteFunc(strings.Split(text, "\n"), func(l string) bool { return strings.HasPrefix(l, "#") })
	return strings.Join(lines, "\n")
}

// A name that a later file overrides must not resolve, and the new name must join the
// sections of both.
func TestOverriddenNameNoLongerResolves(t *testing.T) {
	m := merger.New(parse([]string{
		"[model MDL-1]\ncatalogue-name = old\n", "[model MDL-1]\ncatalogue-name = new\n", "[model new]\nversion = 2\n",
	}))
	if len(m.Findings()) > 0 || len(m.Sections()) != 1 || m.Sections()[0].ID() != "new" {
		t.Errorf("got %v, %d sections", m.Findings(), len(m.Sections()))
	}
	if id, ok := m.Resolver().Resolve(gooseberrypass.KindModel, "old"); ok {
		t.Errorf("old: got %q, want nothing", id)
	}
}
