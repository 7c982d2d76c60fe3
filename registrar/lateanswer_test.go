package registrar_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/registrar"
)

// A slowLog answers a registration only after the process has read what follows it.
type slowLog struct {
	log
	answer  chan struct{}
	written chan struct{}
}

func (l *slowLog) Put(ctx context.Context, topic gooseberrypass.Topic, key string, value []byte) error {
	err := l.log.Put(ctx, topic, key, value)
	if l.count() == 1 {
		l.written <- struct{}{}
		<-l.answer
	}
	return err
}

// The deregistration by the process before followed the registration in the log, and was read
// before the answer to the registration came. The process stayed unregistered.
func TestProcessRegistersAgainAfterADeregistrationBeforeTheAnswer(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	clock := clockwork.NewFakeClock()
	l := &slowLog{answer: make(chan struct{}), written: make(chan struct{})}
	r := registrar.New(clock, l, &records{}, "key", []byte("body"), 1, logger)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	<-l.written
	r.Handle(clock.Now(), gooseberrypass.TopicChanged{
		Batch: gooseberrypass.KeyedBatch{Next: 2, Records: []gooseberrypass.KeyedRecord{{Key: "key", Offset: 1}}}, Topic: gooseberrypass.TopicProcesses,
	})
	l.answer <- struct{}{}
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Error("the process does not register again")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
