// Package dialer creates the HTTP clients of a process, one for each class of
// traffic, and counts the bytes on their connections.
package dialer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass/authenticator"
)

// A Class is a class of traffic, and the value of the label class in the byte
// counters.
type Class string

// The classes of traffic.
const (
	ClassAttempt  Class = "attempt"
	ClassBulk     Class = "bulk"
	ClassControl  Class = "control"
	ClassEndpoint Class = "endpoint" // to the engine or plain service on the same instance
	ClassPlatform Class = "platform"
	ClassInbound  Class = "served" // connections accepted from other processes
)

// Limits of connections.
const (
	connectTimeout     = 2 * time.Second
	idleTimeout        = 90 * time.Second
	keepAlivePeriod    = 15 * time.Second
	maxIdlePerHost     = 16
	maxResponseHeaders = 64 << 10 // bytes
	bufferSize         = 32 << 10 // bytes
	maxControlResponse = 16 << 20 // bytes; the largest response has a copy of the configuration
)

// A Dialer creates HTTP clients and counts the bytes on their connections.
type Dialer struct {
	bytes *prometheus.CounterVec
	key   authenticator.Key
}

// New returns a dialer whose clients send key with each request, except those of
// ClassEndpoint and ClassPlatform.
func New(key authenticator.Key, registerer prometheus.Registerer) (*Dialer, error) {
	d := &Dialer{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_connection_bytes_total",
			Help: "Bytes on connections between processes and to the platform.",
		}, []string{"class", "direction"}),
		key: key,
	}
	if err := registerer.Register(d.bytes); err != nil {
		return nil, err
	}
	return d, nil
}

// Client returns a new client for a class of traffic. The client has no timeout:
// the context of each request sets its deadline.
func (d *Dialer) Client(class Class) *http.Client {
	in := d.bytes.WithLabelValues(string(class), "in")
	out := d.bytes.WithLabelValues(string(class), "out")
	dial := &net.Dialer{KeepAlive: keepAlivePeriod, Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{Conn: conn, in: in, out: out}, nil
		},
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxResponseHeaders,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
	if class == ClassEndpoint || class == ClassPlatform {
		return &http.Client{Transport: transport}
	}
	client := &http.Client{Transport: d.key.Transport(transport)}
	if class == ClassControl {
		return LimitResponses(client, maxControlResponse)
	}
	return client
}

// WrapListener wraps lis to count the bytes on its connections as ClassInbound.
func (d *Dialer) WrapListener(lis net.Listener) net.Listener {
	return countedListener{
		Listener: lis,
		in:       d.bytes.WithLabelValues(string(ClassInbound), "in"),
		out:      d.bytes.WithLabelValues(string(ClassInbound), "out"),
	}
}

// A countedListener counts the bytes on the connections that it accepts.
type countedListener struct {
	net.Listener
	in  prometheus.Counter
	out prometheus.Counter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, in: l.in, out: l.out}, nil
}

// A countedConn counts the bytes on a connection.
type countedConn struct {
	net.Conn
	in  prometheus.Counter
	out prometheus.Counter
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(float64(n))
	return n, err
}

var (
	_ net.Conn     = countedConn{}
	_ net.Listener = countedListener{}
)
