package cacher_test

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
)

// TestCacherMatchesNaiveModel compares a cacher to a naive model, a list that is
// searched from its oldest end, under random calls of Put, Pin, SetLimit and Chunk.
func TestCacherMatchesNaiveModel(t *testing.T) {
	bodies := map[gooseberrypass.Digest][]byte{}
	digests := make([]gooseberrypass.Digest, 0, 8)
	for i := range 8 {
		body := make([]byte, i+1)
		digests = append(digests, gooseberrypass.DigestOf(body))
		bodies[digests[i]] = body
	}
	rapid.Check(t, func(t *rapid.T) {
		c := cacher.New(16)
		limit, pinned := int64(16), map[gooseberrypass.Digest]struct{}{}
		var naive []gooseberrypass.Digest // oldest first
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			digest := rapid.SampledFrom(digests).Draw(t, "chunk")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				err := c.Put(digest, bodies[digest])
				var want error
				naive, want = naivePut(naive, bodies, pinned, limit, digest)
				if !errors.Is(err, want) {
					t.Fatalf("got error %v, want %v", err, want)
				}
			case 1:
				pinned = map[gooseberrypass.Digest]struct{}{digest: {}, digests[0]: {}}
				c.Pin(pinned)
				naive = naiveEvict(naive, bodies, pinned, limit, 0)
			case 2:
				limit = int64(rapid.IntRange(0, 20).Draw(t, "limit"))
				c.SetLimit(limit)
				naive = naiveEvict(naive, bodies, pinned, limit, 0)
			case 3:
				_, err := c.Chunk(digest)
				var found bool
				naive, found = naiveUse(naive, digest)
				if found != (err == nil) {
					t.Fatalf("got error %v, want found %v", err, found)
				}
			}
			if got, want := c.Bytes(), naiveBytes(naive, bodies); got != want {
				t.Fatalf("got %d bytes, want %d", got, want)
			}
		}
	})
}

func naiveBytes(held []gooseberrypass.Digest, bodies map[gooseberrypass.Digest][]byte) int64 {
	sum := int64(0)
	for _, d := range held {
		sum += int64(len(bodies[d]))
	}
	return sum
}

func naiveEvict(held []gooseberrypass.Digest, bodies map[gooseberrypass.Digest][]byte, pinned map[gooseberrypass.Digest]struct{}, limit, size int64) []gooseberrypass.Digest {
	var kept []gooseberrypass.Digest
	excess := naiveBytes(held, bodies) + size - limit
	for _, d := range held {
		if _, ok := pinned[d]; !ok && excess > 0 {
			excess -= int64(len(bodies[d]))
			continue
		}
		kept = append(kept, d)
	}
	return kept
}

func naiveUse(held []gooseberrypass.Digest, digest gooseberrypass.Digest) ([]gooseberrypass.Digest, bool) {
	var kept []gooseberrypass.Digest
	for _, d := range held {
		if d != digest {
			kept = append(kept, d)
		}
	}
	if len(kept) == len(held) {
		return held, false
	}
	return append(kept, digest), true
}

func naivePut(held []gooseberrypass.Digest, bodies map[gooseberrypass.Digest][]byte, pinned map[gooseberrypass.Digest]struct{}, limit int64, digest gooseberrypass.Digest) ([]gooseberrypass.Digest, error) {
	for _, d := range held {
		if d == digest {
			return held, nil
		}
	}
	size := int64(len(bodies[digest]))
	held = naiveEvict(held, bodies, pinned, limit, size)
	if naiveBytes(held, bodies)+size > limit {
		return held, cacher.ErrFull
	}
	return append(held, digest), nil
}

func TestPutRejectsWrongDigest(t *testing.T) {
	c := cacher.New(100)
	if err := c.Put(gooseberrypass.DigestOf([]byte("a")), []byte("b")); !errors.Is(err, cacher.ErrWrongDigest) {
		t.Errorf("got error %v, want %v", err, cacher.ErrWrongDigest)
	}
	if got := c.Bytes(); got != 0 {
		t.Errorf("got %d bytes held, want 0", got)
	}
}

func TestAwait(t *testing.T) {
	body := []byte("chunk")
	digest := gooseberrypass.DigestOf(body)
	tests := []struct {
		name string
		then func(c *cacher.Cacher)
		want error
	}{
		{"arrives", func(c *cacher.Cacher) { _ = c.Put(digest, body) }, nil},
		{"no longer wanted", func(c *cacher.Cacher) { c.Pin(nil) }, gooseberrypass.ErrChunkNotHeld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := cacher.New(100)
			c.Pin(map[gooseberrypass.Digest]struct{}{digest: {}})
			got := make(chan error, 1)
			go func() {
				_, err := c.Await(t.Context(), digest)
				got <- err
			}()
			if demand := <-c.Demands(); demand != digest {
				t.Errorf("got demand for %s, want %s", demand, digest)
			}
			tt.then(c)
			if err := <-got; !errors.Is(err, tt.want) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := cacher.New(1).Await(ctx, digest); !errors.Is(err, gooseberrypass.ErrChunkNotHeld) {
		t.Errorf("got error %v for a chunk that is not wanted, want %v", err, gooseberrypass.ErrChunkNotHeld)
	}
}
