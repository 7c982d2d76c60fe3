// Package gossiper exchanges small messages between the system's processes over
// UDP. Messages may be lost.
package gossiper

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// maxDatagram bounds an encoded message, in bytes.
const maxDatagram = 60 << 10

// A Message is the state that one process announces to others. Requests are
// identified by the first eight bytes of their digests.
type Message struct {
	Address        string                                  // sender's address for other processes
	Advisories     []balancer.AdvisoryReport               // that an entry has heard from endpoints
	Backlogs       map[gooseberrypass.ID]scheduler.Backlog // requests that lack capacity at an entry, by service
	CrashEvidence  attributor.Evidence                     // from entries
	Demand         map[gooseberrypass.ID]float64           // requests per second that come to an entry, by service with a limited endpoint
	EndpointStatus *balancer.EndpointStatus                // endpoint of an agent, nil from an entry
	From           gooseberrypass.ID
	ListAge        time.Duration                                  // age of an entry's last own read of the endpoint list
	Loads          map[gooseberrypass.ID]balancer.Load            // load that an entry puts on each endpoint
	Manifests      []gooseberrypass.ModelTarget                   // manifests that an agent offers
	Next           map[gooseberrypass.Topic]gooseberrypass.Offset // offset after the last known record of each topic
	Outranked      []gooseberrypass.Topic                         // topics of which an entry knows newer records than the restored log
	Refused        []uint64                                       // requests that an entry has just refused for load
	Region         gooseberrypass.Region
	RequestCrashes []gooseberrypass.RequestCrashes // that an entry has seen or was told of
	Role           gooseberrypass.Role
	Starting       bool                        // the sender, an entry, has just started and asks for the receiver's state
	Targets        []gooseberrypass.AgedTarget // versions named of late, as this entry saw it or was told
}

// Received is the event that a message was received.
type Received struct {
	Message Message
	Waited  time.Duration // time since the receipt, by which the ages in Message have grown
}

// EventName implements gooseberrypass.Event.
func (Received) EventName() string { return "message-received" }

// Later implements gooseberrypass.TimedEvent. ListAge and the ages of Advisories stay as they
// were sent: a process that is slow to handle a message must not take the sender for one that
// cannot read, nor forget sooner that an endpoint leaves.
func (r Received) Later(by time.Duration) gooseberrypass.Event {
	crashes, targets := r.Message.RequestCrashes, r.Message.Targets
	r.Waited += by
	r.Message.CrashEvidence = r.Message.CrashEvidence.Later(by)
	r.Message.RequestCrashes = make([]gooseberrypass.RequestCrashes, 0, len(crashes))
	for _, c := range crashes {
		r.Message.RequestCrashes = append(r.Message.RequestCrashes, c.Later(by))
	}
	r.Message.Targets = make([]gooseberrypass.AgedTarget, 0, len(targets))
	for _, t := range targets {
		r.Message.Targets = append(r.Message.Targets, t.Later(by))
	}
	return r
}

// A Gossiper sends and receives messages on one UDP socket.
type Gossiper struct {
	conn   *net.UDPConn
	counts *prometheus.CounterVec
	logger logrus.FieldLogger
	post   func(gooseberrypass.Event)
}

// New returns a gossiper that is bound to address. post sends events to the control
// loop.
func New(address string, post func(gooseberrypass.Event), registerer prometheus.Registerer, logger logrus.FieldLogger) (*Gossiper, error) {
	counts := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gooseberrypass_gossip_messages_total",
		Help: "Messages to and from other processes, by result.",
	}, []string{"result"})
	if err := registerer.Register(counts); err != nil {
		return nil, errors.Wrap(err, "register gossip metrics")
	}
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve gossip address")
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for gossip")
	}
	return &Gossiper{conn: conn, counts: counts, logger: logger, post: post}, nil
}

// Address returns the bound address.
func (g *Gossiper) Address() string { return g.conn.LocalAddr().String() }

// Run receives messages until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			g.counts.WithLabelValues("read-failed").Inc()
			time.Sleep(time.Millisecond)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			g.counts.WithLabelValues("unreadable").Inc()
			continue
		}
		g.counts.WithLabelValues("received").Inc()
		g.post(Received{Message: m})
	}
}

// Send sends a message to addresses. A message that cannot be sent is counted and
// dropped, since the next one replaces it.
func (g *Gossiper) Send(m Message, addresses []string) {
	body, err := encode(m)
	if err != nil || len(body) > maxDatagram {
		g.counts.WithLabelValues("too-large").Inc()
		return
	}
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address) // looking up a host name would block the caller
		if err == nil {
			_, err = g.conn.WriteToUDPAddrPort(body, to)
		}
		if err != nil {
			g.counts.WithLabelValues("send-failed").Inc()
			continue
		}
		g.counts.WithLabelValues("sent").Inc()
	}
}

var _ gooseberrypass.TimedEvent = Received{}
