package fetcher_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

// A roundTripper calls a handler without a network, so that it works with the fake
// time of synctest.
type roundTripper struct{ handler http.Handler }

func (t roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// TestCrossRegionReadsKeepToRate checks that reads from other regions keep to
// this instance's share of the region's link, and that reads within the region are
// not limited.
func TestCrossRegionReadsKeepToRate(t *testing.T) {
	const (
		chunks     = 8
		chunkBytes = 256 << 10
		instances  = 4
		regionRate = 1 << 20 // bytes a second
	)
	tests := []struct {
		name string
		kind fetcher.SourceKind
		rate int64
		want time.Duration
	}{
		{name: "other region", kind: fetcher.SourceCrossRegion, rate: regionRate, want: chunks * chunkBytes / (regionRate / instances) * time.Second},
		{name: "other region without a rate", kind: fetcher.SourceCrossRegion, want: 0},
		{name: "same region", kind: fetcher.SourceSameRegion, rate: regionRate, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := strings.Repeat("x", chunkBytes)
				serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
				c := cacher.New(1 << 30)
				c.Pin(map[gooseberrypass.Digest]struct{}{gooseberrypass.DigestOf([]byte(body)): {}})
				r := fetcher.NewReader(&http.Client{Transport: roundTripper{serve}}, clockwork.NewRealClock(), c, nil, nil)
				r.SetRegionRate(tt.rate, instances)
				begin := time.Now()
				for i := range chunks {
					out := r.Read(t.Context(), fetcher.Fetch{
						ID: uint64(i), Kind: tt.kind, Timeout: time.Hour, Wait: time.Second,
						Item: fetcher.Item{Digest: gooseberrypass.DigestOf([]byte(body)), Size: chunkBytes},
						Peer: gooseberrypass.ListedInstance{Address: "10.0.0.1:7000", Region: "norte"},
					})
					if out.Result != fetcher.ResultOK {
						t.Fatalf("got result %v, error %v", out.Result, out.Err)
					}
				}
				got := time.Since(begin)
				if slack := tt.want / 10; got < tt.want-slack || got > tt.want+slack {
					t.Errorf("got %s, want %s", got, tt.want)
				}
			})
		})
	}
}
