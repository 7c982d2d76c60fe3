package replicator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

// Each name that was asked for became a topic, which was kept for good.
func TestPullOfAnUnknownTopicIsRefused(t *testing.T) {
	p := newProcess("b", gooseberrypass.RoleEntry)
	for topic, want := range map[string]int{
		"endpoints": http.StatusOK, "operator": http.StatusOK, "processes": http.StatusOK,
		"": http.StatusNotFound, "operator/x": http.StatusNotFound, "other": http.StatusNotFound,
	} {
		w := httptest.NewRecorder()
		servePull(p, w, topic, "from=0")
		if got := w.Code; got != want {
			t.Errorf("topic %q: got status %d, want %d", topic, got, want)
		}
	}
}
