package attributor_test

import (
	"fmt"
	"testing"
)

// A deadly part far back in a long prompt counts like any other.
func TestPartsOfLongPromptsCount(t *testing.T) {
	a, clock := newWarm(t)
	parts := make([]string, 40)
	for i := range 8 {
		for j := range parts {
			parts[j] = fmt.Sprint("turn-", i, "-", j)
		}
		parts[35] = "deadly"
		crashUnder(a, clock, 1, 1+i, parts...)
	}
	if !isQuarantined(a, service, "deadly") {
		t.Error("got no quarantine, want one")
	}
}
