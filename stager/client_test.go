package stager_test

import (
	"context"
	"net"
	"net/http"
	"time"
)

// receiveBuffer is the size of the receive buffers of sockets. The kernel lets them grow to the
// sizes of whole responses otherwise, so that the bytes that a server could send tell nothing
// about those that were read.
const receiveBuffer = 64 << 10

// newClient returns a client whose sockets hold few bytes.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Second, DialContext: dialSmall}}
}

func dialSmall(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
}
