package loader

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// bindInterval is the time between two attempts to bind the address.
const bindInterval = 250 * time.Millisecond

// Listen returns a listener on address, which serves as the lock on the engine
// beside this process: the kernel lets one process bind the address and releases it
// when that process exits. Listen waits while another process has it.
func Listen(ctx context.Context, clock gooseberrypass.Clock, address string) (net.Listener, error) {
	var cfg net.ListenConfig
	for {
		listener, err := cfg.Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, errors.Wrap(err, "listen")
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "address %s is bound by another process", address)
		case <-clock.After(bindInterval):
		}
	}
}
