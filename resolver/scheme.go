package resolver

import (
	"regexp"

	"github.com/gooseberrypass/gooseberrypass"
)

const maxNameLength = 256 // bytes

// SchemeOf returns the naming scheme that a name is written in, and false if it
// fits none.
func SchemeOf(name gooseberrypass.Name) (gooseberrypass.Scheme, bool) {
	if len(name) > maxNameLength {
		return "", false
	}
	for _, scheme := range Schemes() {
		if pattern(scheme).MatchString(string(name)) {
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

func pattern(scheme gooseberrypass.Scheme) *regexp.Regexp {
	switch scheme {
	case gooseberrypass.SchemeInventory:
		return regexp.MustCompile(`^[A-Z]{1,8}-[0-9]{1,12}$`)
	case gooseberrypass.SchemePath:
		return regexp.MustCompile(`^(/[A-Za-z0-9][A-Za-z0-9._-]*)+$`)
	default:
		return regexp.MustCompile(`^[a-z0-9]+([._-][a-z0-9]+)*$`)
	}
}
