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

// A Type parses the text of a value into a value of one Go type.
type Type struct {
	kinds []gooseberrypass.Kind
	name  string
	parse func(text string) (any, error)
}

// Name returns the type and its range in words.
func (t Type) Name() string { return t.name }

// Parse parses text. The error says what was wanted, without the text.
func (t Type) Parse(text string) (any, error) { return t.parse(text) }

// Address is the type of an IP number and port, a netip.AddrPort.
func Address() Type {
	return newType("IP number and port, as 10.0.0.1:7000", netip.ParseAddrPort)
}

// Bool is the type of a bool.
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

// Digest is the type of a gooseberrypass.Digest.
func Digest() Type {
	return newType("digest, as sha256: and 64 hexadecimal digits", gooseberrypass.ParseDigest)
}

// Duration is the type of a time.Duration from least to most.
func Duration(least, most time.Duration) Type {
	return newType(fmt.Sprintf("duration from %s to %s, as 1m30s", short(least), short(most)),
		func(text string) (time.Duration, error) {
			d, err := time.ParseDuration(text)
			return inRange(d, least, most, err)
		})
}

// Enum is the type of a string that is one of words.
func Enum(words ...string) Type {
	return newType("one of "+strings.Join(words, ", "), func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", errors.New("none of these")
		}
		return text, nil
	})
}

// Float is the type of a float64 from least to most.
func Float(least, most float64) Type {
	return newType(fmt.Sprintf("number from %g to %g", least, most), func(text string) (float64, error) {
		f, err := strconv.ParseFloat(text, 64)
		if math.IsNaN(f) {
			err = errors.New("not a number")
		}
		return inRange(f, least, most, err)
	})
}

// Int is the type of an int from least to most.
func Int(least, most int) Type {
	return newType(fmt.Sprintf("whole number from %d to %d", least, most), func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		return inRange(n, least, most, err)
	})
}

// Name is the type of a string that is a name of a scheme.
func Name(scheme gooseberrypass.Scheme) Type {
	return newType(fmt.Sprintf("%s name: %s", scheme, resolver.Shape(scheme)), func(text string) (string, error) {
		if got, ok := resolver.SchemeOf(gooseberrypass.Name(text)); !ok || got != scheme {
			return "", errors.New("another shape")
		}
		return text, nil
	})
}

// Reference is the type of a gooseberrypass.ID: a name, of any scheme, of a
// section of one of kinds.
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

// Size is the type of an int64 number of bytes from least to most.
func Size(least, most int64) Type {
	return newType(fmt.Sprintf("size from %s to %s, as 512KiB or 20MB", FormatSize(least), FormatSize(most)),
		func(text string) (int64, error) {
			n, err := parseSize(text)
			return inRange(n, least, most, err)
		})
}

// Text is the type of any string.
func Text() Type {
	return newType("text", func(text string) (string, error) { return text, nil })
}

// URL is the type of a string that is an absolute HTTP URL.
func URL() Type {
	return newType("URL, as http://10.0.0.1:7100", func(text string) (string, error) {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return "", errors.New("not an absolute HTTP URL")
		}
		return strings.TrimSuffix(text, "/"), nil
	})
}

// Word is the type of a string without white space.
func Word() Type {
	return newType("word", func(text string) (string, error) {
		if strings.ContainsFunc(text, unicode.IsSpace) {
			return "", errors.New("white space in it")
		}
		return text, nil
	})
}

// Words is the type of a []string: words separated by commas.
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

func newType[T any](name string, parse func(text string) (T, error)) Type {
	return Type{name: name, parse: func(text string) (any, error) {
		v, err := parse(text)
		if err != nil {
			return nil, err
		}
		return v, nil
	}}
}

func inRange[T int | int64 | float64 | time.Duration](v, least, most T, err error) (T, error) {
	if err == nil && (v < least || v > most) {
		err = errors.New("out of range")
	}
	return v, err
}

// short writes a duration without the zero parts of its end.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Pairs is the type of a map[string]string written as a=b,c=d.
func Pairs() Type {
	return newType("pairs, as a=b,c=d", func(text string) (map[string]string, error) {
		pairs := map[string]string{}
		for pair := range strings.SplitSeq(text, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if !ok || name == "" || value == "" {
				return nil, errors.Errorf("%q is no pair", pair)
			}
			pairs[name] = value
		}
		return pairs, nil
	})
}
