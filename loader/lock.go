package loader

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// bindPause is the time between two tries to get the slot's address.
const bindPause = 250 * time.Millisecond

// Listen returns the listener on the slot's address, which is the lock on the
// engine beside it: the kernel gives the address to one process, and frees it
// when that process is gone. It waits as long as another process has it.
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
			return nil, errors.Wrapf(ctx.Err(), "another process has %s", address)
		case <-clock.After(bindPause):
		}
	}
}
