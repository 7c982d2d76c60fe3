package resolver

import (
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
)

// Limits on names, in bytes. maxDigits and maxLetters apply to inventory names.
const (
	maxDigits     = 12
	maxLetters    = 8
	maxNameLength = 256
)

// SchemeOf returns the naming scheme of a name. It returns false if the name is
// valid in none.
func SchemeOf(name gooseberrypass.Name) (gooseberrypass.Scheme, bool) {
	if len(name) > maxNameLength {
		return "", false
	}
	for _, scheme := range Schemes() {
		if matchesScheme(string(name), scheme) {
			return scheme, true
		}
	}
	return "", false
}

// Schemes returns the naming schemes in order of precedence: an object with several
// names takes its identity from the first scheme in which it has one.
func Schemes() []gooseberrypass.Scheme {
	return []gooseberrypass.Scheme{
		gooseberrypass.SchemeCatalogue,
		gooseberrypass.SchemeInventory,
		gooseberrypass.SchemePath,
	}
}

// SchemeDescription returns a description of the names of a scheme, with an example.
func SchemeDescription(scheme gooseberrypass.Scheme) string {
	switch scheme {
	case gooseberrypass.SchemeInventory:
		return "capital letters, a hyphen and a number, as MDL-0042"
	case gooseberrypass.SchemePath:
		return "a path from the root, as /fonoteca/scripts/jingle-writer"
	default:
		return "lower-case words joined by hyphens, as jingle-writer"
	}
}

// matchesScheme reports whether a name is valid in a scheme.
func matchesScheme(name string, scheme gooseberrypass.Scheme) bool {
	switch scheme {
	case gooseberrypass.SchemeInventory:
		letters, digits, ok := strings.Cut(name, "-")
		return ok && consistsOf(letters, maxLetters, isUpper) && consistsOf(digits, maxDigits, isDigit)
	case gooseberrypass.SchemePath:
		rest, ok := strings.CutPrefix(name, "/")
		return ok && !slices.ContainsFunc(strings.Split(rest, "/"), func(part string) bool { return !isPathSegment(part) })
	default:
		return !slices.ContainsFunc(strings.FieldsFunc("."+name+".", isLowerOrDigit), func(joint string) bool { return len(joint) != 1 }) &&
			consistsOf(name, maxNameLength, func(r rune) bool { return isLowerOrDigit(r) || strings.ContainsRune("._-", r) }) &&
			isLowerOrDigit(rune(name[0])) && isLowerOrDigit(rune(name[len(name)-1]))
	}
}

// consistsOf reports whether text has between 1 and n bytes and all its runes are
// allowed.
func consistsOf(text string, n int, allowed func(rune) bool) bool {
	return text != "" && len(text) <= n && !strings.ContainsFunc(text, func(r rune) bool { return !allowed(r) })
}

func isPathSegment(part string) bool {
	return consistsOf(part, maxNameLength, func(r rune) bool { return isLowerOrDigit(r) || isUpper(r) || strings.ContainsRune("._-", r) }) &&
		!strings.ContainsRune("._-", rune(part[0]))
}

func isDigit(r rune) bool { return r >= '0' && r <= '9' }

func isUpper(r rune) bool { return r >= 'A' && r <= 'Z' }

func isLowerOrDigit(r rune) bool { return isDigit(r) || r >= 'a' && r <= 'z' }
