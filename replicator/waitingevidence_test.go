package replicator_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// crashHistory is the request history of an entry that attributes crashes.
type crashHistory struct {
	noHistory
	*attributor.Attributor
}

func (h crashHistory) AddCrashEvidence(from gooseberrypass.ID, e attributor.Evidence) {
	h.Attributor.AddCrashEvidence(from, e)
}

func (h crashHistory) CrashEvidence() attributor.Evidence { return h.Attributor.CrashEvidence() }

// newCrashHistory returns the history of an entry that has had sound requests.
func newCrashHistory(t *testing.T, clock gooseberrypass.Clock) crashHistory {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, err := attributor.New(clock, attributor.Settings{QuarantineTime: time.Minute}, 1, prometheus.NewRegistry(), log)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		a.Register("engines", requestDigest(1000+i), []string{fmt.Sprint("common-", i%20)})
	}
	return crashHistory{Attributor: a}
}

func requestDigest(n int) gooseberrypass.Digest {
	var d gooseberrypass.Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// A quarantine, or the crashes for one, that was told in a message began when the message was
// handled: an answer that an endpoint had begun on the part meanwhile did not count against it.
func TestMessageThatWaitedDoesNotBeginAQuarantineAnew(t *testing.T) {
	for name, told := range map[string]func(e attributor.Evidence) attributor.Evidence{
		"quarantine": func(e attributor.Evidence) attributor.Evidence {
			return attributor.Evidence{Quarantines: e.Quarantines}
		},
		"crashes": func(e attributor.Evidence) attributor.Evidence {
			e.Quarantines = nil
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			other, own := newCrashHistory(t, clock), newCrashHistory(t, clock)
			for i := range 6 {
				prompt := other.Register("engines", requestDigest(i), []string{"rare"})
				clock.Advance(100 * time.Millisecond)
				other.RecordInterruption(prompt, gooseberrypass.ID(fmt.Sprint("engine-", i)), true)
			}
			message := gossiper.Received{Message: gossiper.Message{CrashEvidence: told(other.CrashEvidence()), From: "other", Role: gooseberrypass.RoleEntry}}
			refuses := func() bool {
				_, left := own.Quarantine(own.Register("engines", requestDigest(100), []string{"rare"}))
				return left > 0
			}
			p := newEntryWith(own)
			handleLate(t, clock, message, time.Second, func() {
				own.RecordAnswer(own.Register("engines", requestDigest(101), []string{"rare"}))
			}, p)
			if refuses() {
				t.Error("got a quarantine, want none: an endpoint has begun an answer since")
			}
			own = newCrashHistory(t, clock)
			newEntryWith(own).Handle(clock.Now(), message)
			if !refuses() {
				t.Error("without an answer: got no quarantine, want one")
			}
		})
	}
}

// newEntryWith returns the replicator of an entry with a history.
func newEntryWith(history replicator.RequestHistory) *replicator.Replicator {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := materializer.New(decoder{}, materializer.Settings{}, log)
	return replicator.New(replicator.Self{Address: "own", ID: "own", Role: gooseberrypass.RoleEntry}, m, &recordingSender{}, newClient(), noLoads{}, nil, history, replicator.Settings{Period: time.Hour, PullTimeout: time.Second}, 1, log)
}
