package balancer_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// Holding a request back costs a round trip, so it must not be done while the end of the
// engine's version is far off, and a version named while it is held back must count.
func TestRequestsAreHeldBackOnlyNearTheEndOfAVersion(t *testing.T) {
	s := settings()
	s.VersionCutoff, s.VersionMargin = 300*time.Millisecond, 800*time.Millisecond
	f := newFixtureWith(t, 1, s)
	if f.choose(t).Release() != nil {
		t.Error("held back although no newer version is wanted")
	}
	f.snapshot.Targets["m"] = materializer.Targets{{Since: f.clock.Now(), Version: 2}}
	f.publish()
	f.clock.Advance(3999 * time.Millisecond)
	if f.choose(t).Release() != nil {
		t.Error("held back more than half of the bound before the end")
	}
	f.clock.Advance(time.Millisecond)
	release := f.choose(t).Release()
	if release == nil {
		t.Fatal("not held back within half of the bound before the end")
	}
	f.clock.Advance(2900 * time.Millisecond) // 1.1 s before the end, 0.5 s of which are for the wait
	for _, tt := range []struct {
		took time.Duration
		want bool
	}{{0, true}, {300 * time.Millisecond, true}, {301 * time.Millisecond, false}} {
		if got := release(tt.took); got != tt.want {
			t.Errorf("released after %v on the way: got %t, want %t", tt.took, got, tt.want)
		}
	}
	f.snapshot.Targets["m"] = materializer.Targets{{Since: f.clock.Now().Add(-7600 * time.Millisecond), Version: 2}}
	f.publish()
	if release(0) {
		t.Error("released after the bound turned out to be earlier")
	}
}
