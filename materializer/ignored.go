package materializer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	ignoredLogPeriod = 10 * time.Second // shortest time between two log lines about one key
	maxErrorText     = 512              // bytes of an error that are logged; it may quote the record
)

// A topicKey is a key of a topic.
type topicKey struct {
	key   string
	topic gooseberrypass.Topic
}

// An ignoredRecord is the last record of a key that could not be used.
type ignoredRecord struct {
	current  bool // no usable record of the key has followed
	loggedAt time.Time
	offset   gooseberrypass.Offset
}

// ignoredRecords are the records that cannot be used. Only the first one of a key is
// logged until a usable one follows, since its writer may write it many times a second.
type ignoredRecords struct {
	logger  logrus.FieldLogger
	records map[topicKey]ignoredRecord
}

func newIgnoredRecords(logger logrus.FieldLogger) *ignoredRecords {
	return &ignoredRecords{logger: logger, records: map[topicKey]ignoredRecord{}}
}

// add records that a record cannot be used, for the reason err.
func (i *ignoredRecords) add(now time.Time, topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord, err error) {
	key := topicKey{key: r.Key, topic: topic}
	last, known := i.records[key]
	if !known || !last.current && now.Sub(last.loggedAt) >= ignoredLogPeriod {
		text := err.Error()
		i.logger.WithFields(logrus.Fields{
			"bytes": len(r.Value), logrus.ErrorKey: text[:min(len(text), maxErrorText)], fieldKey: r.Key, fieldOffset: r.Offset.Index(), fieldTopic: topic,
		}).Warn("ignoring record that cannot be used")
		last.loggedAt = now
	}
	last.current, last.offset = true, r.Offset
	i.records[key] = last
}

// has reports whether a record is known to be of no use.
func (i *ignoredRecords) has(topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord) bool {
	last := i.records[topicKey{key: r.Key, topic: topic}]
	return last.current && last.offset == r.Offset
}

// end records that a key has a usable record, or none.
func (i *ignoredRecords) end(topic gooseberrypass.Topic, key string) {
	k := topicKey{key: key, topic: topic}
	if last, ok := i.records[k]; ok {
		last.current = false
		i.records[k] = last
	}
}

// prune forgets the keys whose next record that cannot be used would be logged.
func (i *ignoredRecords) prune(now time.Time) {
	for key, last := range i.records {
		if !last.current && now.Sub(last.loggedAt) >= ignoredLogPeriod {
			delete(i.records, key)
		}
	}
}
