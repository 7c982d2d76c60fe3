package materializer_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A boundLine is what a log line tells of the bound of a version.
type boundLine struct {
	AgeMillis int64  `json:"age_ms"`
	Observed  bool   `json:"observed"`
	Source    string `json:"source"`
	Version   int    `json:"version"`
}

// Without the source of what an entry knew of versions, the log of a request on an older one
// did not tell a late read from a version that the entry had never heard of.
func TestLogTellsFromWhereAVersionIsKnown(t *testing.T) {
	target := func(version int) []gooseberrypass.AgedTarget {
		return []gooseberrypass.AgedTarget{{Age: time.Second, Model: "m", Observed: true, Version: version}}
	}
	batch := gooseberrypass.KeyedBatch{Next: 1, Records: []gooseberrypass.KeyedRecord{record("version", "2", 0)}}
	for name, c := range map[string]struct {
		event gooseberrypass.TopicChanged
		want  boundLine
	}{
		"first read": {gooseberrypass.TopicChanged{Batch: batch, FirstRead: true}, boundLine{assumedAge.Milliseconds(), false, "first read", 2}},
		"read":       {gooseberrypass.TopicChanged{Batch: batch}, boundLine{0, true, "read", 2}},
		"pull":       {gooseberrypass.TopicChanged{Ages: []time.Duration{time.Minute}, Batch: batch, Targets: target(2)}, boundLine{1000, true, "pull", 2}},
		"message":    {gooseberrypass.TopicChanged{Ages: []time.Duration{}, Targets: target(1)}, boundLine{1000, true, "message", 1}},
	} {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		log.SetFormatter(&logrus.JSONFormatter{})
		m := materializer.New(textDecoder{}, materializer.Settings{AssumedAge: assumedAge}, log)
		c.event.Topic = gooseberrypass.TopicOperator
		m.Handle(startTime, c.event)
		m.Handle(startTime.Add(time.Second), c.event) // nothing new
		var got []boundLine
		for line := range strings.Lines(out.String()) {
			if !strings.Contains(line, "bound of a version set") {
				continue
			}
			var l boundLine
			if err := json.Unmarshal([]byte(line), &l); err != nil {
				t.Fatal(err)
			}
			got = append(got, l)
		}
		if len(got) != 1 || got[0] != c.want {
			t.Errorf("%s: got %+v, want %+v once", name, got, c.want)
		}
	}
}
