package materializer_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

const rewriteInterval = time.Second / 15

// A strictDecoder is a textDecoder for which "?" cannot be decoded whatever the key. It
// counts what it is asked to decode.
type strictDecoder struct {
	textDecoder
	decoded *int
}

// errHuge is an error that quotes all of a large record.
var errHuge = errors.New(strings.Repeat("x", 100_000))

func (d strictDecoder) Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error) {
	*d.decoded++
	if string(r.Value) == "?" {
		return nil, errHuge
	}
	return d.textDecoder.Deployment(r)
}

func (d strictDecoder) Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error) {
	*d.decoded++
	if string(r.Value) == "?" {
		return gooseberrypass.Endpoint{}, errHuge
	}
	return d.textDecoder.Endpoint(r)
}

func (d strictDecoder) Target(r gooseberrypass.KeyedRecord) (gooseberrypass.ModelTarget, bool, error) {
	if r.Key == "version" && string(r.Value) == "?" {
		return gooseberrypass.ModelTarget{}, false, errHuge
	}
	return d.textDecoder.Target(r)
}

// newLoggingMaterializer returns a materializer, its log and the number of decoded records.
func newLoggingMaterializer() (*materializer.Materializer, *bytes.Buffer, *int) {
	var out bytes.Buffer
	decoded := 0
	log := logrus.New()
	log.SetOutput(&out)
	return materializer.New(strictDecoder{decoded: &decoded}, materializer.Settings{Retention: retention}, log), &out, &decoded
}

func countIgnored(out *bytes.Buffer) int { return strings.Count(out.String(), "ignoring") }

// An odd record that is written many times a second must not fill the log.
func TestRecordThatIsWrittenAgainIsLoggedOnce(t *testing.T) {
	const key = "a"
	tests := map[string]struct {
		between string // written after each odd value, "" for nothing
		want    int
	}{
		"the odd one alone":      {want: 1},
		"in turn with a usable":  {between: "up", want: 6},
		"in turn with a removal": {between: "removed", want: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, out, _ := newLoggingMaterializer()
			offset := gooseberrypass.Offset(0)
			write := func(now time.Time, value string) {
				offset++
				m.Handle(now, gooseberrypass.Tick{})
				m.Handle(now, changed(gooseberrypass.TopicEndpoints, record(key, value, offset)))
			}
			for at := time.Duration(0); at < time.Minute; at += rewriteInterval {
				write(startTime.Add(at), "?")
				if test.between != "" {
					write(startTime.Add(at+rewriteInterval/2), strings.TrimPrefix(test.between, "removed"))
				}
			}
			if got := countIgnored(out); got != test.want {
				t.Errorf("lines about the record in a minute: got %d, want %d", got, test.want)
			}
		})
	}
}

// An error may quote all of a record.
func TestLogQuotesAPartOfAnOddRecord(t *testing.T) {
	m, out, _ := newLoggingMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "?", 1)))
	if got, most := out.Len(), 2_000; got > most || countIgnored(out) != 1 {
		t.Errorf("%d lines of %d bytes, want 1 of at most %d", countIgnored(out), got, most)
	}
}

// Every change of anything decodes the operator's records and those of processes again. An
// odd one among them must be decoded and logged once, and leave the others in force.
func TestOddRecordsAreNotDecodedAgain(t *testing.T) {
	m, out, decoded := newLoggingMaterializer()
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("config", "1", 1), record("version", "2", 2)))
	m.Handle(startTime, changed(gooseberrypass.TopicProcesses, record("p", `{"address":"10.0.0.1:7000","id":"p"}`, 1)))
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("config", "?", 3), record("version", "?", 4)))
	m.Handle(startTime, changed(gooseberrypass.TopicProcesses, record("deep", strings.Repeat("[", 100_000), 2), record("none", "{}", 3), record("number", `{"address":1e400}`, 4)))
	*decoded = 0
	const changes = 100
	for i := range changes {
		m.Handle(startTime, changed(gooseberrypass.TopicEndpoints, record("a", "up"+strings.Repeat(" leaving", i%2), gooseberrypass.Offset(i))))
	}
	if got, want := countIgnored(out), 5; got != want {
		t.Errorf("lines about odd records: got %d, want %d", got, want)
	}
	if got, want := *decoded, changes; got != want {
		t.Errorf("decoded records: got %d, want %d", got, want)
	}
	s := m.Snapshot()
	if s.Deployment == nil || len(s.Targets["m"]) != 1 || len(s.Processes) != 1 {
		t.Errorf("got deployment %v, targets %v, processes %v, want those of the sound records", s.Deployment, s.Targets, s.Processes)
	}
	m.Handle(startTime, changed(gooseberrypass.TopicOperator, record("config", "12", 5), record("version", "3", 6)))
	if target, _ := m.Snapshot().Targets["m"].Newest(); m.Deployment().Version() != 2 || target.Version != 3 {
		t.Errorf("after sound records: got deployment %d and version %d, want 2 and 3", m.Deployment().Version(), target.Version)
	}
}
