package claimer_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Invalid records in a stream of claims must neither stop later calls nor make them
// run twice.
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
		runInCluster(t, 2, false, func(t *testing.T, c *cluster) {
			t.Helper()
			c.log.mu.Lock()
			c.log.add(b)
			c.log.mu.Unlock()
			for _, e := range c.entries {
				cr := c.send(e, newKey(), "1", time.Minute)
				c.answerNextCall(nil)
				checkOutcome(t, cr, answered, "")
			}
		})
	})
}
