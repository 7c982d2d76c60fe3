package replicator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// pull returns the effect that pulls the records of a topic from an offset on.
func (r *Replicator) pull(now time.Time, topic gooseberrypass.Topic, peer string, from gooseberrypass.Offset) gooseberrypass.Effect {
	r.pulling[topic] = true
	return pull{client: r.client, from: from, peer: peer, requestedAt: now, timeout: r.settings.PullTimeout, topic: topic}
}

// shouldPull reports whether to pull records of a topic from a process that has
// read it up to next. A message from a process that is behind as well does not
// reset the time since when this one has been behind.
func (r *Replicator) shouldPull(now time.Time, topic gooseberrypass.Topic, next gooseberrypass.Offset) bool {
	r.remoteNext[topic] = max(r.remoteNext[topic], next)
	own := r.materializer.NextOffset(topic)
	if own >= r.remoteNext[topic] {
		delete(r.behindSince, topic)
		return false
	}
	if _, ok := r.behindSince[topic]; !ok {
		r.behindSince[topic] = now
	}
	return next > own && !r.pulling[topic] && now.Sub(r.behindSince[topic]) >= r.pullDelay(topic)
}

// pullDelay returns how long to wait for an own read before records are pulled, 0
// for a process that does not read the log itself.
func (r *Replicator) pullDelay(topic gooseberrypass.Topic) time.Duration {
	switch {
	case r.loads == nil || r.standby.Load():
		return 0
	case topic == gooseberrypass.TopicEndpoints:
		return r.settings.ListPullDelay
	default:
		return r.settings.PullDelay
	}
}

// finishPull passes the pulled records to all controllers, as if they had been read
// from the log. Their ages count from the request: when the peer wrote its response is unknown, and a
// bound may end early but not late.
func (r *Replicator) finishPull(now time.Time, e pullDone) []gooseberrypass.Effect {
	r.pulling[e.topic] = false
	delete(r.behindSince, e.topic)
	if e.err != nil {
		r.logger.WithError(e.err).WithField(fieldPeer, e.peer).WithField("topic", e.topic).Info("pulling records from another process failed")
		return nil
	}
	if odd := e.document.oddTargets(); len(odd) > 0 {
		r.logger.WithFields(logrus.Fields{"first": odd[0], "number": len(odd), fieldPeer: e.peer}).Warn("leaving out pulled versions that are out of range")
	}
	r.logger.WithFields(logrus.Fields{fieldPeer: e.peer, "topic": e.topic, "next": e.document.Next.Index(), "complete": e.document.Complete, "records": len(e.document.Records)}).Info("pulled records from another process")
	return []gooseberrypass.Effect{redispatch{event: e.document.event(e.topic).Later(now.Sub(e.requestedAt))}}
}

// follows reports whether this process needs the records of a topic.
func (r *Replicator) follows(topic gooseberrypass.Topic) bool {
	return r.loads != nil || topic != gooseberrypass.TopicEndpoints
}
