package claimer_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Whatever stands in the stream of claims, calls go on and run once.
func FuzzClaimRecords(f *testing.F) {
	b, err := proto.Marshal(&wire.ClaimBatch{Entries: []*wire.ClaimEntry{
		{Kind: wire.ClaimKind_CLAIM_KIND_CLAIM, Key: make([]byte, 16), ClaimId: make([]byte, 16), RequestDigest: make([]byte, 32)},
		{Kind: wire.ClaimKind_CLAIM_KIND_OUTCOME, Key: []byte("short"), ClaimId: make([]byte, 16)},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("not a record"))
	f.Fuzz(func(t *testing.T, b []byte) {
		in(t, 2, false, func(t *testing.T, w *world) {
			t.Helper()
			w.log.mu.Lock()
			w.log.put(b)
			w.log.mu.Unlock()
			for _, e := range w.entries {
				s := w.send(e, newKey(), "1", time.Minute)
				w.serve(nil)
				check(t, s, answered, "")
			}
		})
	})
}
