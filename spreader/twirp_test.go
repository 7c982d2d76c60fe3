package spreader_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/spreader"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// A longPollLog is a simulated log whose reads take 10 ms of real time if there
// are no records, so that the reader does not spin.
type longPollLog struct{ *node }

func (l longPollLog) Read(
	ctx context.Context, stream gooseberrypass.Stream, from gooseberrypass.Offset, wait time.Duration,
) (gooseberrypass.Batch, error) {
	batch, err := l.node.Read(ctx, stream, from, wait)
	if len(batch.Records) == 0 {
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
	return batch, err
}

// A configSink is a controller that sends accepted configurations to a channel.
type configSink chan *gooseberrypass.Config

func (s configSink) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	if e, ok := event.(gooseberrypass.ConfigAccepted); ok {
		s <- e.Config
	}
	return nil
}

// Two processes with real control loops exchange over Twirp, and one of them
// reaches the log. Both must get the configuration, and no goroutine may outlive
// the loops.
func TestSpreadOverTwirp(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	const n = 2
	client := &http.Client{Transport: &http.Transport{}}
	members := newSimulation(1, n, 0)
	servers := make([]*httptest.Server, n)
	for i := range n {
		servers[i] = httptest.NewUnstartedServer(nil)
		members.members[i].Listed.Address = servers[i].Listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(t.Context())
	accepted := make(configSink, n)
	ended := make(chan error, n)
	for i := range n {
		log := &node{cutFromLog: i > 0, sim: newSimulation(1, 0, 0)}
		log.sim.appendChange(0, "[system]\nqueue-limit = 9\n")
		registry := prometheus.NewRegistry()
		loop, err := looper.New(clockwork.NewRealClock(), registry, 10*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		listed := members.members[i].Listed
		s, err := spreader.New(
			spreader.Self{ID: listed.ID, Region: listed.Region, Role: gooseberrypass.RoleAgent}, testKey(),
			longPollLog{log}, members, spreader.DialTwirp(client), loop.Post, registry, spreader.WithSeed(1),
		)
		if err != nil {
			t.Fatal(err)
		}
		loop.Add(s, accepted)
		servers[i].Config.Handler = wire.NewPeerServer(s)
		servers[i].Start()
		go func() { ended <- loop.Run(ctx) }()
	}
	for range n {
		if config := <-accepted; config.Offset() != 1 || config.System().QueueLimit() != 9 {
			t.Errorf("got %d, queue limit %d, want 1, 9", config.Offset(), config.System().QueueLimit())
		}
	}
	cancel()
	for i := range n {
		if err := <-ended; err != nil {
			t.Error(err)
		}
		servers[i].Close()
	}
	client.CloseIdleConnections()
	goleak.VerifyNone(t, leaks)
}
