package checker

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// WriteMarkdown writes the reference of all sections in Markdown: for each key its
// type, default and meaning.
func (t *Table) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	for _, s := range t.sections {
		title := string(s.Kind)
		if s.Named {
			title += " NAME"
		}
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n| key | type | default | meaning |\n|---|---|---|---|\n", title, s.Doc)
		for _, k := range s.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, k.Type.Description(), k.defaultText(), k.Doc)
		}
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write table")
}

func (k Key) defaultText() string {
	switch {
	case k.Required:
		return "must be set"
	case k.Default == "":
		return ""
	default:
		return "`" + k.Default + "`"
	}
}
