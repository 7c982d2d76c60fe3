package resolver

import (
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
)

// The limits of names, in bytes.
const (
	maxDigits     = 12
	maxLetters    = 8
	maxNameLength = 256
)

// SchemeOf returns the naming scheme that a name is written in, and false if it
// fits none.
func SchemeOf(name gooseberrypass.Name) (gooseberrypass.Scheme, bool) {
	if len(name) > maxNameLength {
		return "", false
	}
	for _, scheme := range Schemes() {
		if fits(string(name), scheme) {
			return scheme, true
		}
	}
	return "", false
}

// Schemes returns the naming schemes in the order in which a name of them
// becomes the identity of a thing; the catalogue goes first.
func Schemes() []gooseberrypass.Scheme {
	return []gooseberrypass.Scheme{
		gooseberrypass.SchemeCatalogue,
		gooseberrypass.SchemeInventory,
		gooseberrypass.SchemePath,
	}
}

// Shape tells in words how names of a scheme are written.
func Shape(scheme gooseberrypass.Scheme) string {
	switch scheme {
	case gooseberrypass.SchemeInventory:
		return "capital letters, a hyphen and a number, as MDL-0042"
	case gooseberrypass.SchemePath:
		return "a path from the root, as /fonoteca/scripts/jingle-writer"
	default:
		return "lower-case words joined by hyphens, as jingle-writer"
	}
}

// fits reports whether a name is written as Shape tells.
func fits(name string, scheme gooseberrypass.Scheme) bool {
	switch scheme {
	case gooseberrypass.SchemeInventory:
		letters, digits, ok := strings.Cut(name, "-")
		return ok && consists(letters, maxLetters, isUpper) && consists(digits, maxDigits, isDigit)
	case gooseberrypass.SchemePath:
		rest, ok := strings.CutPrefix(name, "/")
		return ok && !slices.ContainsFunc(strings.Split(rest, "/"), func(part string) bool { return !isPathPart(part) })
	default:
		return !slices.ContainsFunc(strings.FieldsFunc("."+name+".", isWord), func(joint string) bool { return len(joint) != 1 }) &&
			consists(name, maxNameLength, func(r rune) bool { return isWord(r) || strings.ContainsRune("._-", r) }) &&
			isWord(rune(name[0])) && isWord(rune(name[len(name)-1]))
	}
}

// consists reports whether text is made of at least one and at most n runes of
// a class.
func consists(text string, n int, class func(rune) bool) bool {
	return text != "" && len(text) <= n && !strings.ContainsFunc(text, func(r rune) bool { return !class(r) })
}

func isPathPart(part string) bool {
	return consists(part, maxNameLength, func(r rune) bool { return isWord(r) || isUpper(r) || strings.ContainsRune("._-", r) }) &&
		!strings.ContainsRune("._-", rune(part[0]))
}

func isDigit(r rune) bool { return r >= '0' && r <= '9' }

func isUpper(r rune) bool { return r >= 'A' && r <= 'Z' }

func isWord(r rune) bool { return isDigit(r) || r >= 'a' && r <= 'z' }
