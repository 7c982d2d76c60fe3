package listener_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/listener"
)

const testGrace = 30 * time.Second

// start serves handler until the returned function is called, which returns the
// result of Run.
func start(t *testing.T, handler http.Handler) (string, func() error) {
	t.Helper()
	l, stop := startServer(t, handler)
	return "http://" + l.Address(), stop
}

// startServer is start for tests that need the server.
func startServer(t *testing.T, handler http.Handler) (*listener.Server, func() error) {
	t.Helper()
	l, err := listener.Listen(t.Context(), "127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, testGrace) }()
	return l, func() error {
		cancel()
		return <-done
	}
}

func client(t *testing.T, key authenticator.Key) *http.Client {
	t.Helper()
	d, err := dialer.New(key, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	c := d.Client(dialer.ClassControl)
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func TestGracefulStopEndsRequestInProgress(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	url, stop := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	}))
	got := make(chan string, 1)
	c := client(t, authenticator.Key{})
	go func() {
		res, err := c.Get(url)
		if err != nil {
			got <- err.Error()
			return
		}
		defer func() { _ = res.Body.Close() }()
		body, _ := io.ReadAll(res.Body)
		got <- string(body)
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- stop() }()
	close(release)
	if body := <-got; body != "whole" {
		t.Errorf("got answer %q, want %q", body, "whole")
	}
	if err := <-stopped; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}

func TestInternalHandlerRequiresKey(t *testing.T) {
	key := authenticator.NewKey("secret")
	route := listener.Route{Pattern: "/secret", Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	handler := listener.NewInternalHandler(key, prometheus.NewRegistry(), func() error { return io.ErrNoProgress }, route)
	url, stop := start(t, handler)
	defer func() { _ = stop() }()
	tests := []struct {
		key  authenticator.Key
		path string
		want int
	}{
		{path: "/healthz", want: http.StatusOK},
		{path: "/metrics", want: http.StatusOK},
		{path: "/readyz", want: http.StatusServiceUnavailable},
		{path: "/secret", want: http.StatusUnauthorized},
		{path: "/secret", key: authenticator.NewKey("wrong"), want: http.StatusUnauthorized},
		{path: "/secret", key: key, want: http.StatusOK},
	}
	for _, tt := range tests {
		res, err := client(t, tt.key).Post(url+tt.path, "text/plain", strings.NewReader(""))
		if tt.path != "/secret" {
			res, err = client(t, tt.key).Get(url + tt.path)
		}
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != tt.want {
			t.Errorf("%s with key %q: got status %d, want %d", tt.path, tt.key, res.StatusCode, tt.want)
		}
	}
}
