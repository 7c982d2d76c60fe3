package materializer_test

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// evacuated returns the evacuated failure domains.
func evacuated(m *materializer.Materializer) string {
	names := make([]string, 0, len(m.Snapshot().Evacuated))
	for domain := range m.Snapshot().Evacuated {
		names = append(names, string(domain))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// A logEvent is one that a process reads of the operator's topic: the records of the log
// since the last read, or every key.
type logEvent = gooseberrypass.TopicChanged

func tail(records ...gooseberrypass.KeyedRecord) logEvent {
	return changed(gooseberrypass.TopicOperator, records...)
}

func every(restores, next uint64, records ...gooseberrypass.KeyedRecord) logEvent {
	return logEvent{Batch: gooseberrypass.KeyedBatch{Complete: true, Next: gooseberrypass.NewOffset(restores, next), Records: records}, Topic: gooseberrypass.TopicOperator}
}

func after(restores, index uint64) gooseberrypass.Offset {
	return gooseberrypass.NewOffset(restores, index)
}

// Evacuations got lost, or came back after they had been removed, when the log was restored
// from an older copy or trimmed, when a process started, and when records came from a peer.
func TestEvacuationsAcrossRestoresAndTrims(t *testing.T) {
	from := func(age time.Duration, e logEvent) logEvent {
		for range e.Batch.Records {
			e.Ages = append(e.Ages, age)
		}
		return e
	}
	first := func(e logEvent) logEvent {
		e.FirstRead = true
		return e
	}
	begin, end := record("away/z", "{}", 10), record("away/z", "", 12)
	ended := record("away/z", "", 12)
	ended.Revision = gooseberrypass.Revision{Number: 11} // as a peer hands it on
	for name, tc := range map[string]struct {
		events []logEvent
		want   string
	}{
		"begin":                                    {[]logEvent{tail(begin)}, "z"},
		"begin and end":                            {[]logEvent{tail(begin), tail(end)}, ""},
		"begin and end in one read":                {[]logEvent{tail(begin, end)}, ""},
		"two domains, one ends":                    {[]logEvent{tail(begin, record("away/y", "{}", 11)), tail(end)}, "y"},
		"begins again":                             {[]logEvent{tail(begin, end), tail(record("away/z", "{}", 13))}, "z"},
		"start during an evacuation":               {[]logEvent{first(every(0, 11, begin))}, "z"},
		"trimmed during an evacuation":             {[]logEvent{tail(begin), every(0, 30, begin)}, "z"},
		"trimmed after the end":                    {[]logEvent{tail(begin), every(0, 30)}, ""},
		"read that began before the evacuation":    {[]logEvent{tail(begin), every(0, 10)}, "z"},
		"the copy lacks the evacuation":            {[]logEvent{tail(begin), every(1, 9)}, "z"},
		"the copy lacks it, ends then":             {[]logEvent{tail(begin), every(1, 9), tail(record("away/z", "", after(1, 9)))}, ""},
		"the copy lacks it, written again":         {[]logEvent{tail(begin), every(1, 9), tail(record("away/z", "{}", after(1, 9)))}, "z"},
		"written again and ended":                  {[]logEvent{tail(begin), every(1, 10, record("away/z", "{}", after(1, 9))), every(1, 20)}, ""},
		"the copy lacks the end":                   {[]logEvent{tail(begin), tail(end), every(1, 11, record("away/z", "{}", after(1, 10)))}, ""},
		"the copy lacks the end, trimmed":          {[]logEvent{tail(begin), every(0, 30), every(1, 11, record("away/z", "{}", after(1, 10)))}, ""},
		"the copy lacks the end, ends again":       {[]logEvent{tail(begin), tail(end), every(1, 11, record("away/z", "{}", after(1, 10))), tail(record("away/z", "", after(1, 11)))}, ""},
		"the copy lacks the end, begins again":     {[]logEvent{tail(begin), tail(end), every(1, 11, record("away/z", "{}", after(1, 10))), tail(record("away/z", "{}", after(1, 11)))}, "z"},
		"begins anew at an earlier position":       {[]logEvent{tail(begin), tail(end), every(1, 6, record("away/z", "{}", after(1, 5)))}, "z"},
		"the copy lacks both, begins anew there":   {[]logEvent{tail(begin), tail(end), every(1, 10), tail(record("away/z", "{}", after(1, 10)))}, "z"},
		"begins anew there, a peer has the end":    {[]logEvent{tail(begin), tail(end), every(1, 10), tail(record("away/z", "{}", after(1, 10))), from(time.Second, every(1, 11, ended, record("away/z", "{}", after(1, 10))))}, "z"},
		"the end is lost twice":                    {[]logEvent{tail(begin), tail(end), every(1, 11, record("away/z", "{}", after(1, 10))), every(2, 11, record("away/z", "{}", after(2, 10)))}, ""},
		"a peer knows the end, this one the copy":  {[]logEvent{every(1, 11, record("away/z", "{}", after(1, 10))), from(time.Second, every(1, 11, ended, record("away/z", "{}", after(1, 10))))}, ""},
		"a peer knows the end, this one nothing":   {[]logEvent{from(time.Second, every(1, 11, ended, record("away/z", "{}", after(1, 10))))}, ""},
		"a peer knows an end before a new begin":   {[]logEvent{every(1, 10, record("away/z", "{}", after(1, 9))), from(time.Second, every(1, 9, ended))}, "z"},
		"a peer has the evacuation the copy lacks": {[]logEvent{every(1, 9), from(time.Second, every(1, 9, begin))}, "z"},
		"a peer is behind the end":                 {[]logEvent{tail(begin), tail(end), from(time.Second, tail(begin))}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := newRestoredMaterializer()
			for i, e := range tc.events {
				m.Handle(startTime.Add(time.Duration(i)*time.Second), e)
			}
			m.Handle(startTime.Add(time.Hour), gooseberrypass.Tick{})
			if got := evacuated(m); got != tc.want {
				t.Errorf("got evacuated %q, want %q", got, tc.want)
			}
		})
	}
}

// An end of an evacuation counts from the time at which a process first knew it: an earlier
// one would let cold endpoints pass as warm, a later one would limit them for too long.
func TestEvacuationEndsWhenItIsFirstKnown(t *testing.T) {
	begin, end := record("away/z", "{}", 10), record("away/z", "", 12)
	first := tail(begin, end)
	first.FirstRead = true
	pulled := tail(end)
	pulled.Ages = []time.Duration{700 * time.Millisecond}
	for name, tc := range map[string]struct {
		events []logEvent
		want   time.Duration // after startTime, at which the last event comes
	}{
		"read":                  {[]logEvent{tail(begin), tail(end)}, 0},
		"read of every key":     {[]logEvent{tail(begin), every(0, 30)}, 0},
		"first read":            {[]logEvent{first}, 0},
		"from a peer":           {[]logEvent{tail(begin), pulled}, -700 * time.Millisecond},
		"begin was never known": {[]logEvent{pulled}, -700 * time.Millisecond},
		"removed once more":     {[]logEvent{tail(begin), pulled, tail(record("away/z", "", 13))}, -700*time.Millisecond - time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMaterializer()
			for i, e := range tc.events {
				m.Handle(startTime.Add(time.Duration(i-len(tc.events)+1)*time.Second), e)
			}
			if got := m.Snapshot().Released["z"].Sub(startTime); got != tc.want || len(m.Snapshot().Evacuated) > 0 {
				t.Errorf("got ended after %s and evacuated %q, want %s and none", got, evacuated(m), tc.want)
			}
		})
	}
}

// A coldDecoder decodes endpoints of a service whose endpoints can be cold: the value is the
// time for which they stay so, with the revision after "#".
type coldDecoder struct{ textDecoder }

func (coldDecoder) Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error) {
	if r.Key != "config" {
		return nil, nil
	}
	return gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{ColdRate: 32, ColdTime: 3 * time.Second, ID: "s"}}, nil, gooseberrypass.CallerLimits{}), nil
}

func (coldDecoder) Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error) {
	left, _, _ := strings.Cut(string(r.Value), "#")
	d, err := time.ParseDuration(left)
	return gooseberrypass.Endpoint{ColdLeft: d, ID: gooseberrypass.ID(r.Key), Service: "s"}, err
}

// A renewalCounter counts snapshots and keeps the renewed endpoints.
type renewalCounter struct {
	renewed   map[gooseberrypass.ID]gooseberrypass.Endpoint
	snapshots int
}

func (c *renewalCounter) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case materializer.Changed:
		c.snapshots++
	case materializer.EndpointsRenewed:
		for _, r := range e.Endpoints {
			c.renewed[r.ID] = r
		}
	}
	return nil
}

// The platform renews the records of cold endpoints every 1.2 s with a smaller time left,
// and each renewal built a snapshot and logged a line.
func TestRenewalsOfColdEndpointsBuildNoSnapshot(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	c := &renewalCounter{renewed: map[gooseberrypass.ID]gooseberrypass.Endpoint{}}
	m := materializer.New(coldDecoder{}, materializer.Settings{AssumedAge: assumedAge}, log, c)
	m.Handle(startTime, tail(record("config", "c", 0)))
	first := changed(gooseberrypass.TopicEndpoints, record("a", "3s#1", 0), record("b", "0s#1", 1))
	first.FirstRead = true
	m.Handle(startTime, first)
	lines, snapshots := strings.Count(out.String(), "\n"), c.snapshots
	for i, left := range []string{"1800ms", "600ms", "0s", "0s", "3s"} {
		m.Handle(startTime.Add(time.Duration(i+1)*1200*time.Millisecond), changed(gooseberrypass.TopicEndpoints, record("a", left+"#"+left, gooseberrypass.Offset(i+2))))
	}
	if got := strings.Count(out.String(), "\n"); got != lines || c.snapshots != snapshots {
		t.Errorf("got %d log lines and %d snapshots, want %d and %d", got, c.snapshots, lines, snapshots)
	}
	want := gooseberrypass.Endpoint{ColdLeft: 3 * time.Second, ID: "a", ReportedAt: startTime.Add(6 * time.Second), Service: "s"}
	if got := c.renewed["a"]; got.ColdLeft != want.ColdLeft || !got.ReportedAt.Equal(want.ReportedAt) {
		t.Errorf("renewed: got %+v, want %+v", got, want)
	}
	m.Handle(startTime.Add(7*time.Second), tail(record("config", "cc", 1)))
	if got := m.Snapshot().Endpoints[0]; got.ColdLeft != want.ColdLeft || !got.ReportedAt.Equal(want.ReportedAt) {
		t.Errorf("next snapshot: got %+v, want %+v", got, want)
	}
}

// A process that had just started handed on the records of cold endpoints with the age that
// is assumed of versions, so that the endpoints passed as warm elsewhere.
func TestRecordsOfEndpointsAreHandedOnWithTheirAge(t *testing.T) {
	m := newMaterializer()
	first := changed(gooseberrypass.TopicEndpoints, record("a", "up", 0))
	first.FirstRead = true
	m.Handle(startTime, first)
	if got := m.RecordsFrom(gooseberrypass.TopicEndpoints, 0).Since; len(got) != 1 || !got[0].Equal(startTime) {
		t.Errorf("known since: got %v, want the first read at %s", got, startTime)
	}
	pulled := changed(gooseberrypass.TopicEndpoints, record("b", "up", 1))
	pulled.Ages = []time.Duration{time.Second}
	m.Handle(startTime, pulled)
	want := map[gooseberrypass.ID]time.Time{"a": startTime, "b": startTime.Add(-time.Second)}
	got := map[gooseberrypass.ID]time.Time{}
	for _, e := range m.Snapshot().Endpoints {
		got[e.ID] = e.ReportedAt
	}
	if !maps.EqualFunc(got, want, time.Time.Equal) {
		t.Errorf("reported at: got %v, want %v", got, want)
	}
}
