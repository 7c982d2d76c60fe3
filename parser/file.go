package parser

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Limits on the files of a folder. What exceeds them is reported as a finding.
const (
	MaxFileSize   = 1 << 20 // bytes
	MaxFiles      = 4096
	MaxFolderSize = 2 << 20 // bytes in all files together
)

const byteOrderMark = "\uFEFF"

// A Value is the value of one key and its position. Section is the title of its
// section.
type Value struct {
	File    string
	Key     string
	Line    int
	Section string
	Text    string
}

// Finding returns a finding at the position of the value.
func (v Value) Finding(message string) Finding {
	return Finding{File: v.File, Key: v.Key, Line: v.Line, Message: message, Section: v.Section}
}

// A Section holds the keys under one title in a file. A title that is repeated in
// the file continues the same section.
type Section struct {
	File   string
	Line   int
	Title  string
	Values []Value
}

// Position returns the position of the section's first title as a Value without a
// key.
func (s *Section) Position() Value { return Value{File: s.File, Line: s.Line, Section: s.Title} }

// Value returns the value of a key.
func (s *Section) Value(key string) (Value, bool) {
	for _, v := range s.Values {
		if v.Key == key {
			return v, true
		}
	}
	return Value{}, false
}

// A File is a parsed file with its sections in the order of their first titles.
type File struct {
	Name     string
	Sections []*Section
}

// Parse parses one file. Invalid lines are skipped and reported as findings.
//
// ini.v1 reports no line numbers for a whole file. Parse therefore passes it one
// line at a time, which gives the exact position of each key without a second
// parser for the syntax.
func Parse(name string, body []byte) (*File, []Finding) {
	p := &fileParser{file: &File{Name: name}, titles: map[string]*Section{}}
	if message := fileError(body); message != "" {
		p.addFinding(1, "", message)
		return p.file, p.findings
	}
	body = bytes.TrimPrefix(body, []byte(byteOrderMark))
	for i, line := range strings.Split(string(body), "\n") {
		p.parseLine(i+1, line)
	}
	return p.file, p.findings
}

// fileError describes why a file cannot be parsed, "" if it can.
func fileError(body []byte) string {
	switch {
	case len(body) == 0:
		return "the file is empty; remove it if it is not wanted"
	case len(body) > MaxFileSize:
		return fmt.Sprintf("the file has %d bytes, at most %d are read", len(body), MaxFileSize)
	default:
		return ""
	}
}

// A fileParser builds a File line by line.
type fileParser struct {
	current  *Section
	file     *File
	findings []Finding
	titles   map[string]*Section
}

func (p *fileParser) addFinding(line int, key, message string) {
	title := ""
	if p.current != nil {
		title = p.current.Title
	}
	p.findings = append(p.findings, Finding{
		File: p.file.Name, Key: key, Line: line, Message: message, Section: title,
	})
}

func (p *fileParser) parseLine(n int, line string) {
	if message := lineError(line); message != "" {
		p.addFinding(n, "", message)
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
		p.addFinding(n, "", "not a [section], a key = value or a # comment")
		return
	}
	if strings.HasPrefix(strings.TrimSpace(line), "[") {
		p.startSection(n, line, parsed.SectionStrings())
		return
	}
	for _, key := range parsed.Section(ini.DefaultSection).Keys() {
		p.addValue(n, key.Name(), key.Value())
	}
}

// lineError describes why a line cannot be parsed, "" if it can.
func lineError(line string) string {
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

// startSection starts or continues the section of a header line. Its title is the
// last of names, the sections that ini.v1 found in the line; the first is the
// default section.
func (p *fileParser) startSection(n int, line string, names []string) {
	title := strings.Join(strings.Fields(names[len(names)-1]), " ")
	rest := strings.TrimSpace(line[strings.LastIndexByte(line, ']')+1:])
	p.current = nil
	if strings.ContainsAny(title, "[]") || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		p.addFinding(n, "", "not a section header: want [title] alone on its line")
		// The keys that follow go to a section that is not part of the file, so that
		// they are not added to the previous section.
		p.current = &Section{File: p.file.Name, Line: n, Title: title}
		return
	}
	if p.titles[title] == nil {
		p.titles[title] = &Section{File: p.file.Name, Line: n, Title: title}
		p.file.Sections = append(p.file.Sections, p.titles[title])
	}
	p.current = p.titles[title]
}

func (p *fileParser) addValue(n int, key, text string) {
	if p.current == nil {
		p.addFinding(n, key, "the key stands before the first section")
		return
	}
	if first, ok := p.current.Value(key); ok {
		p.addFinding(n, key, fmt.Sprintf("the key stands in line %d already", first.Line))
		return
	}
	p.current.Values = append(p.current.Values, Value{
		File: p.file.Name, Key: key, Line: n, Section: p.current.Title, Text: text,
	})
}
