package forwarder_test

import (
	"strings"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

// memoryLeft is a memory that grants so many bytes.
type memoryLeft struct{ bytes int64 }

func (m *memoryLeft) TryReserve(n int64) bool {
	if n > m.bytes {
		return false
	}
	m.bytes -= n
	return true
}

// sendWithMemory sends a request with so much memory for its answer.
func (f *fixture) sendWithMemory(bytes int64) *caller {
	c := &caller{}
	f.handle(&gooseberrypass.ProxyRequest{
		AccountKey: "key", Host: "h", ID: "id", LastEvent: -1, Memory: &memoryLeft{bytes: bytes}, Method: "GET", Path: "/safe/x", URI: "/safe/x",
	}, c)
	return c
}

// Answers that wait for callers who read slowly filled the memory of an entry. Without memory
// an answer must still arrive whole.
func TestAnswerIsDeliveredWithoutMemoryForIt(t *testing.T) {
	want := strings.Repeat("0123456789", 10_000)
	for name, bytes := range map[string]int64{"none": 0, "for a part": 20_000, "for all of it": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{body: want})
			c := f.sendWithMemory(bytes)
			if got := c.body.String(); got != want || c.aborted {
				t.Errorf("got an answer of %d bytes (aborted %t), want %d", len(got), c.aborted, len(want))
			}
		})
	}
}

// An answer of which a part was delivered for lack of memory must not be repeated behind it.
func TestCutAnswerWithoutMemoryIsAborted(t *testing.T) {
	f := newFixture(t, reaction{body: strings.Repeat("x", 10_000), cut: true}, reaction{body: "other"})
	c := f.sendWithMemory(0)
	if !c.aborted || strings.Contains(c.body.String(), "other") {
		t.Errorf("got %d bytes (aborted %t), want the answer aborted", c.body.Len(), c.aborted)
	}
}
