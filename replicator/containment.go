package replicator

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// contain calls handle, which handles one part of a message. If that panics, the other parts
// still count.
func (r *Replicator) contain(from gooseberrypass.ID, handle func()) {
	defer func() {
		if cause := recover(); cause != nil {
			r.logger.WithFields(logrus.Fields{fieldPeer: from, "panic": fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("panic over a part of a message contained")
		}
	}()
	handle()
}
