package connector_test

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

func TestInstanceListIsReadOnceUntilItChanges(t *testing.T) {
	service := emulator.NewInstanceList(clockwork.NewFakeClock(), 0)
	fullLists := 0
	counting := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w}
		service.ServeHTTP(recorder, r)
		if recorder.status == http.StatusOK {
			fullLists++
		}
	})
	list := connector.NewInstanceList(newClient(t), serve(t, counting))
	for _, id := range []gooseberrypass.ID{"i1", "i2"} {
		service.Put(gooseberrypass.ListedInstance{ID: id})
		for range 5 {
			listing, err := list.List(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if got := listing.Instances[len(listing.Instances)-1].ID; got != id {
				t.Errorf("got last instance %s, want %s", got, id)
			}
		}
	}
	if fullLists != 2 {
		t.Errorf("got the full list %d times, want 2", fullLists)
	}
}

// A statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}
