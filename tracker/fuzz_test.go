package tracker_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// FuzzStatusFromWire checks that a message is either rejected with ErrBadStatus or
// survives a conversion to the wire and back.
func FuzzStatusFromWire(f *testing.F) {
	d := gooseberrypass.DigestOf(nil)
	whole := tracker.StatusToWire(gooseberrypass.ListedInstance{ID: "w"}, &gooseberrypass.AgentStatus{
		CachedPrefixes: []uint64{1}, Crashes: []gooseberrypass.Crash{{ID: "c", Requests: []gooseberrypass.Digest{d}}},
		Loaded: []gooseberrypass.LoadedVersion{{Digest: d, Model: "m"}}, Services: []gooseberrypass.ID{"s"},
		Targets: []gooseberrypass.TargetStatus{{Digest: d, Model: "m", Phase: gooseberrypass.PhaseServing}}, Version: 3,
	}, time.Unix(1, 0))
	seed, err := proto.Marshal(whole)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &wire.StatusResponse{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		now := time.Unix(1<<30, 0)
		status, err := tracker.StatusFromWire(m, now)
		if err != nil {
			if !errors.Is(err, tracker.ErrBadStatus) {
				t.Errorf("got error %v, want one that wraps ErrBadStatus", err)
			}
			return
		}
		again, err := tracker.StatusFromWire(tracker.StatusToWire(gooseberrypass.ListedInstance{}, status, now), now)
		if err != nil || again.Version != status.Version || len(again.Crashes) != len(status.Crashes) || !again.Load.At.Equal(status.Load.At) {
			t.Errorf("got %+v, %v, want %+v", again, err, status)
		}
	})
}
