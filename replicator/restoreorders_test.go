package replicator_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// The events around a restore of the store whose orders are enumerated.
const (
	copyTaken      = "copy taken"
	secondVersion  = "second configuration"
	thirdVersion   = "third configuration"
	storeRestored  = "store restored"
	entryRestarts  = "entry restarts"
	writtenAgain   = "operator writes again"
	endpointJoins  = "endpoint registers"
	logTrimmed     = "store trims its log" // from then on after each write
	simConfigBound = 2 * time.Second       // a configuration is in force everywhere
)

// A revisionDecoder decodes records of the form VALUE#REVISION: the value of a
// configuration is its version, that of an endpoint "up" or "leaving".
type revisionDecoder struct{ decoder }

func (revisionDecoder) Deployment(r gooseberrypass.KeyedRecord) (*gooseberrypass.Deployment, error) {
	return gooseberrypass.NewDeployment(revisionOf(r).Number, nil, nil, nil, gooseberrypass.CallerLimits{}), nil
}

func (revisionDecoder) Endpoint(r gooseberrypass.KeyedRecord) (gooseberrypass.Endpoint, error) {
	return gooseberrypass.Endpoint{ID: gooseberrypass.ID(r.Key), Leaving: strings.HasPrefix(string(r.Value), "leaving")}, nil
}

func (revisionDecoder) Revision(topic gooseberrypass.Topic, r gooseberrypass.KeyedRecord) gooseberrypass.Revision {
	if topic == gooseberrypass.TopicProcesses {
		return gooseberrypass.Revision{}
	}
	return revisionOf(r)
}

func revisionOf(r gooseberrypass.KeyedRecord) gooseberrypass.Revision {
	_, text, _ := strings.Cut(string(r.Value), "#")
	n, _ := strconv.Atoi(text) // 0 is unknown
	return gooseberrypass.Revision{Number: int64(n), Start: 1}
}

// A restoreSim plays events around a restore of the store.
type restoreSim struct {
	*simulation
	backAt    time.Time // the store came back, or the operator wrote again after that
	config    int       // version that the operator wrote last
	configAt  time.Time
	copied    map[gooseberrypass.Topic]int // records in the copy, by topic
	joined    bool
	joinedAs  string    // record of the endpoint that registered, which is written again as it was
	lapsedAt  time.Time // a running endpoint's record expired
	left      bool      // the endpoint says or said that it leaves
	gone      bool
	leftAt    time.Time
	lost      bool // the operator's newest configuration is to be written again
	revision  int  // of the endpoints' values
	seen      map[gooseberrypass.ID]int64
	seenLeave map[gooseberrypass.ID]bool
	startedAt map[gooseberrypass.ID]time.Time
	trims     bool // the store keeps only the newest records
}

func newRestoreSim(t *testing.T) *restoreSim {
	t.Helper()
	s := &restoreSim{simulation: newSimulation(), seen: map[gooseberrypass.ID]int64{}, seenLeave: map[gooseberrypass.ID]bool{}, startedAt: map[gooseberrypass.ID]time.Time{}}
	s.decoder = revisionDecoder{}
	s.putEndpoint("leaves", "up")
	s.putEndpoint("lives", "up")
	s.putEndpoint("renews", "up")
	s.configure()
	s.takeCopy() // of the start, unless there is a later one
	for _, id := range []gooseberrypass.ID{"a", "b"} {
		s.register(t, id, gooseberrypass.RoleEntry)
		s.begin(id)
	}
	return s
}

func (s *restoreSim) begin(id gooseberrypass.ID) {
	s.start(id, gooseberrypass.RoleEntry)
	s.startedAt[id], s.seen[id], s.seenLeave[id] = s.now, 0, false
}

func (s *restoreSim) putEndpoint(key, value string) {
	s.revision++
	if value != "" {
		value = fmt.Sprintf("%s#%d", value, s.revision)
	}
	s.topics[gooseberrypass.TopicEndpoints].put(key, value)
}

func (s *restoreSim) configure() {
	s.config++
	s.writeConfig()
}

func (s *restoreSim) writeConfig() {
	s.topics[gooseberrypass.TopicOperator].put("config", fmt.Sprintf("%d#%d", s.config, s.config))
	s.configAt, s.lost = s.now, false
}

func (s *restoreSim) takeCopy() {
	s.copied = map[gooseberrypass.Topic]int{}
	for name, topic := range s.topics {
		s.copied[name] = len(topic.records)
	}
}

// happen lets an event happen.
func (s *restoreSim) happen(t *testing.T, event string) {
	t.Helper()
	switch event {
	case copyTaken:
		s.takeCopy()
	case secondVersion, thirdVersion:
		s.configure()
	case leavingWritten:
		s.putEndpoint("leaves", "leaving")
		s.left, s.leftAt = true, s.now
	case recordRemoved:
		s.putEndpoint("leaves", "")
		s.gone, s.leftAt = true, s.now
	case endpointJoins:
		s.putEndpoint("joins", "up")
		s.joined, s.joinedAs = true, fmt.Sprintf("up#%d", s.revision)
	case recordLapses:
		s.putEndpoint("renews", "")
		s.lapsedAt = s.now
	case storeRestored:
		for name, topic := range s.topics {
			topic.restore(s.copied[name])
		}
		s.backAt, s.lost = s.now, true
		for _, id := range []gooseberrypass.ID{"a", "b"} {
			s.register(t, id, gooseberrypass.RoleEntry) // as a registrar does
		}
	case writtenAgain:
		if s.lost {
			s.writeConfig()
		}
	case entryRestarts:
		s.begin("b")
	case logTrimmed:
		s.trims = true
	}
}

// trim drops the records that are not the newest of their keys, if the store does so. Reads
// from before its end then return every key.
func (s *restoreSim) trim() {
	if !s.trims {
		return
	}
	for _, topic := range s.topics {
		topic.first = topic.end()
	}
}

// renew lets the endpoints write again what the store has lost, and the store drop what is
// not renewed.
func (s *restoreSim) renew() {
	if !s.lapsedAt.IsZero() && !s.now.Before(s.lapsedAt.Add(simHeartbeat)) && !s.listed("renews") {
		s.putEndpoint("renews", "up") // otherwise it renews the record that there is
	}
	switch s.now.Sub(s.backAt) {
	case simHeartbeat:
		if s.joined && !s.listed("joins") {
			s.topics[gooseberrypass.TopicEndpoints].put("joins", s.joinedAs)
		}
		if s.left && !s.gone {
			s.putEndpoint("leaves", "leaving")
		}
		s.putEndpoint("lives", "up")
	case 3 * simHeartbeat:
		if s.gone && s.listed("leaves") {
			s.topics[gooseberrypass.TopicEndpoints].put("leaves", "")
		}
	}
}

// check returns what is wrong at an entry.
func (s *restoreSim) check(id gooseberrypass.ID) string {
	p := s.process(id)
	var version int64
	if d := p.materializer.Deployment(); d != nil {
		version = d.Version()
	}
	if version < s.seen[id] {
		return fmt.Sprintf("%s went back from configuration %d to %d", id, s.seen[id], version)
	}
	s.seen[id] = version
	unstable := s.now.Before(s.startedAt[id].Add(simExemption)) || !s.backAt.IsZero() && s.now.Before(s.backAt.Add(simExemption))
	if !unstable && !s.lost && s.now.After(s.configAt.Add(simConfigBound)) && version != int64(s.config) {
		return fmt.Sprintf("%s has configuration %d, %s after %d was written", id, version, s.now.Sub(s.configAt), s.config)
	}
	works := p.work("leaves")
	if s.seenLeave[id] && works {
		return fmt.Sprintf("%s works again with the endpoint that it knew to be leaving", id)
	}
	s.seenLeave[id] = s.seenLeave[id] || (s.left || s.gone) && !works && version > 0
	if !unstable && (s.left || s.gone) && s.now.After(s.leftAt.Add(simDrain)) && works {
		return fmt.Sprintf("%s works with an endpoint, %s after it left", id, s.now.Sub(s.leftAt))
	}
	if version > 0 && !p.work("lives") {
		return string(id) + " lost the endpoint that lives"
	}
	return ""
}

// play plays an order of events, one each step, and returns what broke.
func (s *restoreSim) play(t *testing.T, order []string, step time.Duration) string {
	t.Helper()
	due := s.now.Add(2 * time.Second)
	for i := 0; ; {
		if !s.now.Before(due) && i < len(order) {
			s.happen(t, order[i])
			i++
			due = due.Add(step)
		}
		if i == len(order) && s.now.After(due.Add(simExemption+simLease+simDrain)) {
			break
		}
		s.renew()
		s.trim()
		s.tick()
		for _, id := range []gooseberrypass.ID{"a", "b"} {
			if wrong := s.check(id); wrong != "" {
				return wrong
			}
		}
	}
	for _, id := range []gooseberrypass.ID{"a", "b"} {
		if p := s.process(id); s.joined && !p.work("joins") {
			return string(id) + " does not know the endpoint that registered"
		}
		if !s.process(id).work("renews") {
			return string(id) + " does not use the endpoint that renews its record"
		}
	}
	return ""
}

// inOrder reports whether events come in an order. Those that do not come at all count as
// last.
func inOrder(order []string, events ...string) bool {
	last := -1
	for _, event := range events {
		i := slices.Index(order, event)
		if i < 0 {
			i = len(order)
		}
		if i < last {
			return false
		}
		last = i
	}
	return true
}

// A change that had been confirmed was not in force in time or came back older, and
// endpoints that had left got work again, after the store had come back from an older copy
// and given out offsets again.
func TestEveryOrderOfEventsAroundARestore(t *testing.T) {
	common := []string{copyTaken, secondVersion, thirdVersion, storeRestored, writtenAgain}
	plays := map[string][]string{ // the other events
		"endpoint leaves":                          {leavingWritten, recordRemoved},
		"endpoint leaves, an entry restarts":       {leavingWritten, entryRestarts},
		"endpoint leaves silently, entry restarts": {recordRemoved, entryRestarts},
		"endpoint's record lapses, entry restarts": {recordLapses, entryRestarts},
		"endpoint registers, an entry restarts":    {endpointJoins, entryRestarts},
		"endpoint leaves silently, log is trimmed": {recordRemoved, logTrimmed},
		"endpoint's record lapses, log is trimmed": {recordLapses, logTrimmed},
	}
	for name, others := range plays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			played, broken := 0, 0
			for i, order := range permutations(append(slices.Clone(common), others...)) {
				leaves := !slices.Contains(others, leavingWritten) || inOrder(order, leavingWritten, recordRemoved)
				if !leaves || !inOrder(order, copyTaken, storeRestored, writtenAgain) || !inOrder(order, secondVersion, thirdVersion) {
					continue
				}
				step := 500 * time.Millisecond
				if i%2 == 0 {
					step = 1100 * time.Millisecond
				}
				played++
				if wrong := newRestoreSim(t).play(t, order, step); wrong != "" {
					broken++
					t.Errorf("%s every %s: %s", strings.Join(order, ", "), step, wrong)
				}
			}
			t.Logf("%d orders played, %d broken", played, broken)
		})
	}
}
