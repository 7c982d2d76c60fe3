package merger

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// WriteTo writes the merge as one INI file, sections sorted by kind and ID and keys by
// name, each below a comment with the file and line of its value. Parsing and merging
// that file gives the same merge.
func (m *Merge) WriteTo(w io.Writer) (int64, error) {
	sections := slices.SortedStableFunc(slices.Values(m.sections), func(a, b *Section) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.id, b.id))
	})
	c := &countingWriter{w: w}
	for i, s := range sections {
		if i > 0 {
			c.printf("\n")
		}
		c.printf("[%s]\n", s.Title())
		for _, scheme := range resolver.Schemes() {
			d, ok := s.Declaration(scheme)
			if ok && string(d.Name) != string(s.id) {
				c.writeValue(NameKey(scheme), d.Position)
			}
		}
		for _, key := range s.Keys() {
			if _, ok := SchemeOfKey(key); !ok {
				c.writeValue(key, s.values[key])
			}
		}
	}
	return c.n, c.err
}

// A countingWriter counts the bytes written and keeps the first error.
type countingWriter struct {
	err error
	n   int64
	w   io.Writer
}

func (c *countingWriter) printf(format string, args ...any) {
	if c.err != nil {
		return
	}
	n, err := fmt.Fprintf(c.w, format, args...)
	c.n += int64(n)
	c.err = err
}

func (c *countingWriter) writeValue(key string, v parser.Value) {
	c.printf("# %s:%d\n%s = %s\n", v.File, v.Line, key, Quote(v.Text))
}

// Quote returns text quoted so that the parser reads it back unchanged, without quotes
// if they are not needed. Text that no quotes can hold is returned as it is.
func Quote(text string) string {
	for _, format := range []string{"%s", `"%s"`, "`%s`", `"""%s"""`} {
		quoted := fmt.Sprintf(format, text)
		file, findings := parser.Parse("", []byte("[s]\nk = "+quoted))
		if len(findings) > 0 || len(file.Sections) != 1 {
			continue
		}
		if v, ok := file.Sections[0].Value("k"); ok && v.Text == text {
			return quoted
		}
	}
	return text
}

var _ io.WriterTo = (*Merge)(nil)
