package parser

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// The limits of what is parsed.
const (
	MaxFileSize   = 1 << 20 // bytes
	MaxFiles      = 4096
	MaxFolderSize = 2 << 20 // bytes
)

const byteOrderMark = "\uFEFF"

// A Value is the value of one key, with its place. Section is the title it
// stands under.
type Value struct {
	File    string
	Key     string
	Line    int
	Section string
	Text    string
}

// Finding returns a finding at the value's place.
func (v Value) Finding(message string) Finding {
	return Finding{File: v.File, Key: v.Key, Line: v.Line, Message: message, Section: v.Section}
}

// A Section is a titled run of keys in one file. Sections of one title are one.
type Section struct {
	File   string
	Line   int
	Title  string
	Values []Value
}

// Place returns the place of the section's first title, as a value without key.
func (s *Section) Place() Value { return Value{File: s.File, Line: s.Line, Section: s.Title} }

// Value returns the value of a key.
func (s *Section) Value(key string) (Value, bool) {
	for _, v := range s.Values {
		if v.Key == key {
			return v, true
		}
	}
	return Value{}, false
}

// A File is a parsed file: its sections in their order.
type File struct {
	Name     string
	Sections []*Section
}

// Parse parses one file. Lines with faults are left out and told as findings.
//
// Each line is read by ini.v1, which tells no line numbers of a whole file, so
// the place of each key is exact and no syntax is parsed twice.
func Parse(name string, body []byte) (*File, []Finding) {
	r := &fileReader{file: &File{Name: name}, titles: map[string]*Section{}}
	if fault := fileFault(body); fault != "" {
		r.find(1, "", fault)
		return r.file, r.findings
	}
	body = bytes.TrimPrefix(body, []byte(byteOrderMark))
	for i, line := range strings.Split(string(body), "\n") {
		r.readLine(i+1, line)
	}
	return r.file, r.findings
}

func fileFault(body []byte) string {
	switch {
	case len(body) == 0:
		return "the file is empty; remove it if it is not wanted"
	case len(body) > MaxFileSize:
		return fmt.Sprintf("the file has %d bytes, at most %d are read", len(body), MaxFileSize)
	default:
		return ""
	}
}

// A fileReader gathers a file line by line.
type fileReader struct {
	current  *Section
	file     *File
	findings []Finding
	titles   map[string]*Section
}

func (r *fileReader) find(line int, key, message string) {
	title := ""
	if r.current != nil {
		title = r.current.Title
	}
	r.findings = append(r.findings, Finding{
		File: r.file.Name, Key: key, Line: line, Message: message, Section: title,
	})
}

func (r *fileReader) readLine(n int, line string) {
	if fault := lineFault(line); fault != "" {
		r.find(n, "", fault)
		return
	}
	if text := strings.TrimSpace(line); text == "" || text[0] == '#' || text[0] == ';' {
		return
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, []byte(line+"\n"))
	if err != nil {
		r.find(n, "", "not a [section], a key = value or a # comment")
		return
	}
	if strings.HasPrefix(strings.TrimSpace(line), "[") {
		r.startSection(n, line, parsed.SectionStrings())
		return
	}
	for _, key := range parsed.Section(ini.DefaultSection).Keys() {
		r.addValue(n, key.Name(), key.Value())
	}
}

// lineFault tells what keeps a line from being parsed, "" for nothing.
func lineFault(line string) string {
	switch {
	case strings.ContainsRune(line, 0):
		return "the line holds a NUL byte"
	case !utf8.ValidString(line):
		return "the line is not valid UTF-8"
	case strings.Contains(line, byteOrderMark):
		return "the line holds a byte order mark"
	default:
		return ""
	}
}

// startSection begins the section that a header line names: the last of names,
// which ini.v1 read.
func (r *fileReader) startSection(n int, line string, names []string) {
	title := strings.Join(strings.Fields(names[len(names)-1]), " ")
	rest := strings.TrimSpace(line[strings.LastIndexByte(line, ']')+1:])
	r.current = nil
	if strings.ContainsAny(title, "[]") || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		r.find(n, "", "not a section header: want [title] alone on its line")
		// The keys that follow belong to no section that is known.
		r.current = &Section{File: r.file.Name, Line: n, Title: title}
		return
	}
	if r.titles[title] == nil {
		r.titles[title] = &Section{File: r.file.Name, Line: n, Title: title}
		r.file.Sections = append(r.file.Sections, r.titles[title])
	}
	r.current = r.titles[title]
}

func (r *fileReader) addValue(n int, key, text string) {
	if r.current == nil {
		r.find(n, key, "the key stands before the first section")
		return
	}
	if first, ok := r.current.Value(key); ok {
		r.find(n, key, fmt.Sprintf("the key stands in line %d already", first.Line))
		return
	}
	r.current.Values = append(r.current.Values, Value{
		File: r.file.Name, Key: key, Line: n, Section: r.current.Title, Text: text,
	})
}
