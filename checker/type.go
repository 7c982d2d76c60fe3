package checker

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// A Type describes the type and valid range of a key's values and parses them.
type Type struct {
	kinds []gooseberrypass.Kind // kinds that a reference may refer to; empty for other types
	name  string
	parse func(text string) (any, error)
}

// Description returns the type and its range in words, as "yes or no".
func (t Type) Description() string { return t.name }

// Parse parses text. The error need not contain the text.
func (t Type) Parse(text string) (any, error) { return t.parse(text) }

// Address returns the type of an IP address and port. Values are netip.AddrPort.
func Address() Type {
	return newType("IP number and port, as 10.0.0.1:7000", netip.ParseAddrPort)
}

// Bool returns the type of a switch. Values are bool.
func Bool() Type {
	return newType("yes or no", func(text string) (bool, error) {
		switch strings.ToLower(text) {
		case "yes", "true", "on", "1":
			return true, nil
		case "no", "false", "off", "0":
			return false, nil
		default:
			return false, errors.New("neither yes nor no")
		}
	})
}

// Digest returns the type of a digest. Values are gooseberrypass.Digest.
func Digest() Type {
	return newType("digest, as sha256: and 64 hexadecimal digits", gooseberrypass.ParseDigest)
}

// Duration returns the type of a duration from lo to hi. Values are time.Duration.
func Duration(lo, hi time.Duration) Type {
	return newType(fmt.Sprintf("duration from %s to %s, as 1m30s", formatDuration(lo), formatDuration(hi)),
		func(text string) (time.Duration, error) {
			d, err := time.ParseDuration(text)
			return checkRange(d, lo, hi, err)
		})
}

// Enum returns the type of a fixed set of words. Values are string.
func Enum(words ...string) Type {
	return newType("one of "+strings.Join(words, ", "), func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", errors.New("not one of the allowed words")
		}
		return text, nil
	})
}

// Float returns the type of a number from lo to hi. Values are float64.
func Float(lo, hi float64) Type {
	return newType(fmt.Sprintf("number from %g to %g", lo, hi), func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if math.IsNaN(f) {
			err = errors.New("not a number")
		}
		return checkRange(f, lo, hi, err)
	})
}

// Int returns the type of an integer from lo to hi. Values are int.
func Int(lo, hi int) Type {
	return newType(fmt.Sprintf("whole number from %d to %d", lo, hi), func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		return checkRange(n, lo, hi, err)
	})
}

// Name returns the type of a name in the given naming scheme. Values are string.
func Name(scheme gooseberrypass.Scheme) Type {
	return newType(fmt.Sprintf("%s name: %s", scheme, resolver.SchemeDescription(scheme)), func(text string) (string, error) {
		if got, ok := resolver.SchemeOf(gooseberrypass.Name(text)); !ok || got != scheme {
			return "", errors.New("not a name in the naming scheme")
		}
		return text, nil
	})
}

// Reference returns the type of a reference to a section of one of the given
// kinds, by its name in any naming scheme. Values are gooseberrypass.ID. Parse
// does not resolve the name; Build does.
func Reference(kinds ...gooseberrypass.Kind) Type {
	words := make([]string, 0, len(kinds))
	for _, k := range kinds {
		words = append(words, string(k))
	}
	t := newType("name of a "+strings.Join(words, " or "), func(text string) (gooseberrypass.ID, error) {
		return gooseberrypass.ID(text), nil
	})
	t.kinds = kinds
	return t
}

// Size returns the type of a size from lo to hi bytes. Values are int64.
func Size(lo, hi int64) Type {
	return newType(fmt.Sprintf("size from %s to %s, as 512KiB or 20MB", FormatSize(lo), FormatSize(hi)),
		func(text string) (int64, error) {
			n, err := parseSize(text)
			return checkRange(n, lo, hi, err)
		})
}

// Text returns the type of arbitrary text. Values are string.
func Text() Type {
	return newType("text", func(text string) (string, error) { return text, nil })
}

// URL returns the type of an absolute HTTP URL. Values are string, without a
// trailing slash.
func URL() Type {
	return newType("URL, as http://10.0.0.1:7100", func(text string) (string, error) {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return "", errors.New("not an absolute HTTP URL")
		}
		return strings.TrimSuffix(text, "/"), nil
	})
}

// Word returns the type of text without white space. Values are string.
func Word() Type {
	return newType("word", func(text string) (string, error) {
		if strings.ContainsFunc(text, unicode.IsSpace) {
			return "", errors.New("contains white space")
		}
		return text, nil
	})
}

// Words returns the type of comma-separated words. Values are []string.
func Words() Type {
	return newType("words separated by commas", func(text string) ([]string, error) {
		words := strings.Split(text, ",")
		for i, word := range words {
			words[i] = strings.TrimSpace(word)
			if words[i] == "" || strings.ContainsFunc(words[i], unicode.IsSpace) {
				return nil, errors.New("not words separated by commas")
			}
		}
		return words, nil
	})
}

// newType returns a Type with a parse function of a concrete Go type.
func newType[T any](name string, parse func(text string) (T, error)) Type {
	return Type{name: name, parse: func(text string) (any, error) {
		v, err := parse(text)
		if err != nil {
			return nil, err
		}
		return v, nil
	}}
}

// checkRange returns v and err, or an error if v is not in the range from lo to hi.
func checkRange[T int | int64 | float64 | time.Duration](v, lo, hi T, err error) (T, error) {
	if err == nil && (v < lo || v > hi) {
		err = errors.New("out of range")
	}
	return v, err
}

// formatDuration formats a duration without trailing zero parts: 1h, not 1h0m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Pairs returns the type of pairs written as a=b,c=d. Values are map[string]string.
func Pairs() Type {
	return newType("pairs, as a=b,c=d", func(text string) (map[string]string, error) {
		pairs := map[string]string{}
		for pair := range strings.SplitSeq(text, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if !ok || name == "" || value == "" {
				return nil, errors.Errorf("%q is not of the form name=value", pair)
			}
			pairs[name] = value
		}
		return pairs, nil
	})
}
