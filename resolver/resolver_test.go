package resolver_test

import (
	"regexp"
	"testing"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// SchemeOf must agree with one regular expression per scheme.
func TestSchemeOfAgreesWithPatterns(t *testing.T) {
	patterns := map[gooseberrypass.Scheme]*regexp.Regexp{
		gooseberrypass.SchemeCatalogue: regexp.MustCompile(`^[a-z0-9]+([._-][a-z0-9]+)*$`),
		gooseberrypass.SchemeInventory: regexp.MustCompile(`^[A-Z]{1,8}-[0-9]{1,12}$`),
		gooseberrypass.SchemePath:      regexp.MustCompile(`^(/[A-Za-z0-9][A-Za-z0-9._-]*)+$`),
	}
	names := rapid.OneOf(
		rapid.StringMatching(`[a-zA0-9./_\- é]{0,8}`),
		rapid.StringMatching(`[A-Z]{1,9}-[0-9]{1,13}`),
		rapid.StringMatching(`(/[a-zA-Z0-9._-]{1,4}){1,3}`),
		rapid.StringMatching(`[a-z0-9]{1,3}([._-][a-z0-9]{1,3}){0,3}`),
	)
	rapid.Check(t, func(t *rapid.T) {
		name := names.Draw(t, "name")
		var want gooseberrypass.Scheme
		for scheme, pattern := range patterns {
			if pattern.MatchString(name) {
				want = scheme
			}
		}
		if got, ok := resolver.SchemeOf(gooseberrypass.Name(name)); got != want || ok != (want != "") {
			t.Fatalf("%q: got %q, want %q", name, got, want)
		}
	})
}
