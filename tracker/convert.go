package tracker

import (
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// The largest numbers of elements accepted in a status message.
const (
	maxCachedPrefixes = 4096
	maxCrashes        = 256
	maxCrashRequests  = 1024 // of one crash
	maxLoaded         = 256
	maxServices       = 256
	maxTargets        = 256
)

// maxLoadAge is sent as the age of a load report that is older than this or was
// never made.
const maxLoadAge = 24 * time.Hour

// ErrBadStatus is wrapped by the errors for invalid status messages.
var ErrBadStatus = errors.New("invalid agent status")

// StatusToWire returns the message for the status of the instance self, as read at
// now.
func StatusToWire(self gooseberrypass.ListedInstance, status *gooseberrypass.AgentStatus, now time.Time) *wire.StatusResponse {
	m := &wire.StatusResponse{
		CachedPrefixes: status.CachedPrefixes,
		CacheEvent:     status.CacheEvent,
		Capacity:       int64(status.Load.Capacity),
		ConfigOffset:   uint64(status.ConfigOffset),
		EndpointUp:     status.EndpointUp,
		FailureDomain:  string(self.FailureDomain),
		Instance:       string(self.ID),
		Leaving:        status.Leaving,
		LoadAgeMs:      min(max(0, now.Sub(status.Load.At)), maxLoadAge).Milliseconds(),
		Pool:           string(self.Pool),
		Queued:         int64(status.Load.Queued),
		Region:         string(self.Region),
		Running:        int64(status.Load.Running),
		Version:        status.Version,
	}
	for _, c := range status.Crashes {
		crash := &wire.Crash{Id: c.ID, UnixNanos: c.At.UnixNano()}
		for _, d := range c.Requests {
			crash.RequestDigests = append(crash.RequestDigests, d[:])
		}
		m.Crashes = append(m.Crashes, crash)
	}
	for _, l := range status.Loaded {
		m.Loaded = append(m.Loaded, &wire.Loaded{Model: string(l.Model), Digest: l.Digest[:]})
	}
	for _, s := range status.Services {
		m.Services = append(m.Services, string(s))
	}
	for _, t := range status.Targets {
		m.Targets = append(m.Targets, &wire.Target{
			Digest: t.Digest[:],
			Error:  t.Err,
			Held:   int64(t.Held),
			Model:  string(t.Model),
			Phase:  string(t.Phase),
			Total:  int64(t.Total),
		})
	}
	return m
}

// StatusFromWire returns the status in a message received at now. The error for a
// message that exceeds a limit or has an invalid digest wraps ErrBadStatus.
func StatusFromWire(m *wire.StatusResponse, now time.Time) (*gooseberrypass.AgentStatus, error) {
	if err := checkLimits(m); err != nil {
		return nil, err
	}
	status := &gooseberrypass.AgentStatus{
		CachedPrefixes: m.GetCachedPrefixes(),
		CacheEvent:     m.GetCacheEvent(),
		ConfigOffset:   gooseberrypass.Offset(m.GetConfigOffset()),
		EndpointUp:     m.GetEndpointUp(),
		Leaving:        m.GetLeaving(),
		Load: gooseberrypass.EngineLoad{
			At:       now.Add(-time.Duration(min(m.GetLoadAgeMs(), maxLoadAge.Milliseconds())) * time.Millisecond),
			Capacity: int(m.GetCapacity()),
			Queued:   int(m.GetQueued()),
			Running:  int(m.GetRunning()),
		},
		Version: m.GetVersion(),
	}
	for _, s := range m.GetServices() {
		status.Services = append(status.Services, gooseberrypass.ID(s))
	}
	if err := addCrashes(status, m.GetCrashes()); err != nil {
		return nil, err
	}
	if err := addLoaded(status, m.GetLoaded()); err != nil {
		return nil, err
	}
	return status, addTargets(status, m.GetTargets())
}

func checkLimits(m *wire.StatusResponse) error {
	sizes := []struct {
		field      string
		got, limit int
	}{
		{"cached_prefixes", len(m.GetCachedPrefixes()), maxCachedPrefixes},
		{"crashes", len(m.GetCrashes()), maxCrashes},
		{"loaded", len(m.GetLoaded()), maxLoaded},
		{"services", len(m.GetServices()), maxServices},
		{"targets", len(m.GetTargets()), maxTargets},
	}
	for _, s := range sizes {
		if s.got > s.limit {
			return errors.Wrapf(ErrBadStatus, "message has %d %s, at most %d are accepted", s.got, s.field, s.limit)
		}
	}
	if m.GetCapacity() < 0 || m.GetRunning() < 0 || m.GetQueued() < 0 || m.GetLoadAgeMs() < 0 {
		return errors.Wrap(ErrBadStatus, "message has a negative capacity, load or load age")
	}
	return nil
}

func addCrashes(status *gooseberrypass.AgentStatus, crashes []*wire.Crash) error {
	for _, c := range crashes {
		if len(c.GetRequestDigests()) > maxCrashRequests {
			return errors.Wrapf(ErrBadStatus, "crash %q has %d requests, at most %d are accepted", c.GetId(), len(c.GetRequestDigests()), maxCrashRequests)
		}
		crash := gooseberrypass.Crash{At: time.Unix(0, c.GetUnixNanos()), ID: c.GetId()}
		for _, b := range c.GetRequestDigests() {
			d, err := gooseberrypass.DigestFromBytes(b)
			if err != nil {
				return errors.Wrapf(ErrBadStatus, "request digest of crash %q: %v", c.GetId(), err)
			}
			crash.Requests = append(crash.Requests, d)
		}
		status.Crashes = append(status.Crashes, crash)
	}
	return nil
}

func addLoaded(status *gooseberrypass.AgentStatus, loaded []*wire.Loaded) error {
	for _, l := range loaded {
		d, err := gooseberrypass.DigestFromBytes(l.GetDigest())
		if err != nil {
			return errors.Wrapf(ErrBadStatus, "digest of loaded model %q: %v", l.GetModel(), err)
		}
		status.Loaded = append(status.Loaded, gooseberrypass.LoadedVersion{Digest: d, Model: gooseberrypass.ID(l.GetModel())})
	}
	return nil
}

func addTargets(status *gooseberrypass.AgentStatus, targets []*wire.Target) error {
	for _, t := range targets {
		d, err := gooseberrypass.DigestFromBytes(t.GetDigest())
		if err != nil {
			return errors.Wrapf(ErrBadStatus, "digest of target model %q: %v", t.GetModel(), err)
		}
		status.Targets = append(status.Targets, gooseberrypass.TargetStatus{
			Digest: d,
			Err:    t.GetError(),
			Held:   int(t.GetHeld()),
			Model:  gooseberrypass.ID(t.GetModel()),
			Phase:  gooseberrypass.Phase(t.GetPhase()),
			Total:  int(t.GetTotal()),
		})
	}
	return nil
}
