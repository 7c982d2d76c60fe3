package cacher_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
)

// FuzzChunkRequest requests arbitrary digests with arbitrary waits. The handler must
// return only held bytes, and only for their own digest.
func FuzzChunkRequest(f *testing.F) {
	body := []byte("chunk")
	held := gooseberrypass.DigestOf(body).String()
	f.Add(held, "1ms")
	f.Add(held, "-1h")
	f.Add("sha256:00", "")
	f.Add("../"+held, "9999999h")
	c := cacher.New(100)
	if err := c.Put(gooseberrypass.DigestOf(body), body); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, digest, wait string) {
		_, mux := newHandler(t, c, 0, nil)
		r := httptest.NewRequest(http.MethodGet, "/chunks/x", http.NoBody)
		r.URL = &url.URL{Path: "/chunks/" + digest, RawQuery: url.Values{cacher.WaitParam: {wait}}.Encode()}
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, r)
		if w.Code == http.StatusOK && (digest != held || w.Body.String() != string(body)) {
			t.Errorf("got %q for %q", w.Body, digest)
		}
	})
}
