package forwarder_test

import (
	"net/http"
	"testing"
)

// The pace of an endpoint went unheard, or was heard only from answers: an endpoint that
// refuses requests would seem to work as usual.
func TestPaceIsHeardOnEveryKindOfAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		path     string
		reaction reaction
	}{
		"answer":       {"/once/", reaction{body: "whole"}},
		"stream":       {"/stream/", reaction{body: "id: 0\n\n"}},
		"error":        {"/once/", reaction{status: http.StatusInternalServerError}},
		"refusal":      {"/once/", reaction{notRun: true, status: http.StatusServiceUnavailable}},
		"wrong target": {"/once/", reaction{notRun: true, status: http.StatusMisdirectedRequest}},
	} {
		for _, pace := range []float64{0, 2.5} {
			t.Run(name, func(t *testing.T) {
				test.reaction.pace = pace
				f := newFixture(t, test.reaction, reaction{body: "whole"})
				f.send(test.path, "key")
				if got, want := f.balancer.SharesMachines("s"), pace > 0; got != want {
					t.Errorf("pace %g: got shared machines %t, want %t", pace, got, want)
				}
			})
		}
	}
}
