package checker

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// A unit is a unit of size and the number of bytes that it stands for.
type unit struct {
	bytes  int64
	suffix string
}

// units returns the units of size, largest first. "B" comes last because it is a
// suffix of all others.
func units() []unit {
	return []unit{
		{1 << 40, "TiB"},
		{1e12, "TB"},
		{1 << 30, "GiB"},
		{1e9, "GB"},
		{1 << 20, "MiB"},
		{1e6, "MB"},
		{1 << 10, "KiB"},
		{1e3, "kB"},
		{1, "B"},
	}
}

// FormatSize formats a number of bytes in the largest unit that divides it evenly.
func FormatSize(n int64) string {
	for _, u := range units() {
		if n != 0 && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// parseSize parses a size with a unit, as 512KiB. A number without a unit is in
// bytes.
func parseSize(text string) (int64, error) {
	factor := int64(1)
	digits := text
	for _, u := range units() {
		if rest, ok := strings.CutSuffix(text, u.suffix); ok {
			factor, digits = u.bytes, strings.TrimSpace(rest)
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/factor {
		return 0, errors.New("not a size")
	}
	return n * factor, nil
}
