package gooseberrypass

import (
	"slices"
	"time"
)

// A Section is one section of the configuration folder, merged from all files: its
// names and the values of all its keys, with defaults filled in.
type Section struct {
	id     ID
	kind   Kind
	names  []Name
	values map[string]any
}

// NewSection returns a section. values holds a value for each key of the kind; its
// Go type is the one that package checker defines for the key.
func NewSection(kind Kind, id ID, names []Name, values map[string]any) Section {
	return Section{id: id, kind: kind, names: names, values: values}
}

// ID returns the ID that all names of the section resolve to.
func (s Section) ID() ID { return s.id }

// Kind returns the kind of the section.
func (s Section) Kind() Kind { return s.kind }

// Names returns the names of the section in all naming schemes.
func (s Section) Names() []Name { return slices.Clone(s.names) }

// value returns the value of a key, the zero value if the section has none.
func value[T any](s Section, key string) T {
	v, _ := s.values[key].(T)
	return v
}

// A ClientAccount is the configuration of a known caller.
type ClientAccount struct{ Section }

// Burst returns the number of requests that the account may send at once above its
// rate.
func (a ClientAccount) Burst() int { return value[int](a.Section, "burst") }

// KeyDigest returns the digest of the account's key. If it is zero, the account
// needs no key.
func (a ClientAccount) KeyDigest() Digest { return value[Digest](a.Section, "key-digest") }

// MaxPriority returns the highest priority that the account may request.
func (a ClientAccount) MaxPriority() Priority {
	return Priority(value[int](a.Section, "max-priority"))
}

// Rate returns the rate limit of the account in requests per second, 0 for no limit.
func (a ClientAccount) Rate() float64 { return value[float64](a.Section, "rate") }

// An Instance is the configuration of one instance, which overrides the platform's
// list.
type Instance struct{ Section }

// Drain reports whether the instance must not accept new requests.
func (i Instance) Drain() bool { return value[bool](i.Section, "drain") }

// Pool returns the pool that replaces the one in the platform's list, "" for no
// override.
func (i Instance) Pool() Pool { return Pool(value[string](i.Section, "pool")) }

// Role returns the role to which the instance's engine is set.
func (i Instance) Role() EngineRole { return EngineRole(value[string](i.Section, "role")) }

// A Model is the configuration of a model or adapter.
type Model struct{ Section }

// Base returns the ID of the base model if the model is an adapter, otherwise "".
func (m Model) Base() ID { return value[ID](m.Section, "base") }

// Deadline returns the time limit of requests that do not set a deadline.
func (m Model) Deadline() time.Duration { return value[time.Duration](m.Section, "deadline") }

// Fenced reports whether the engines refuse orders whose fence is older than that
// of an accepted order.
func (m Model) Fenced() bool { return value[bool](m.Section, "fenced") }

// Manifest returns the pinned digest of the version's manifest.
func (m Model) Manifest() Digest { return value[Digest](m.Section, "manifest") }

// MaxTokens returns the largest number of tokens in one answer.
func (m Model) MaxTokens() int { return value[int](m.Section, "max-tokens") }

// OriginName returns the name of the model at the origin.
func (m Model) OriginName() string { return value[string](m.Section, "origin-name") }

// Pool returns the pool of instances that serve the model.
func (m Model) Pool() Pool { return Pool(value[string](m.Section, "pool")) }

// Priority returns the priority of requests that do not set one.
func (m Model) Priority() Priority { return Priority(value[int](m.Section, "priority")) }

// Version returns the name of the version at the origin.
func (m Model) Version() string { return value[string](m.Section, "version") }

// An Objective is a service level objective. It applies to the requests that all
// its selectors match: account, minimum priority and target.
type Objective struct{ Section }

// Account returns the selected client account, "" for all.
func (o Objective) Account() ID { return value[ID](o.Section, "client-account") }

// FirstToken returns the limit on the time to the first token, 0 for no limit.
func (o Objective) FirstToken() time.Duration {
	return value[time.Duration](o.Section, "first-token")
}

// InTime returns the limit on the time to the complete answer, 0 for no limit.
func (o Objective) InTime() time.Duration { return value[time.Duration](o.Section, "in-time") }

// MinPriority returns the lowest selected priority.
func (o Objective) MinPriority() Priority {
	return Priority(value[int](o.Section, "min-priority"))
}

// Share returns the share of requests, from 0 to 1, that must succeed within the
// limits.
func (o Objective) Share() float64 { return value[float64](o.Section, "share") }

// Target returns the selected model or service, "" for all.
func (o Objective) Target() ID { return value[ID](o.Section, "target") }

// A Service is the configuration of a plain service.
type Service struct{ Section }

// ChecksOrders reports whether the service verifies the identity of its callers.
func (s Service) ChecksOrders() bool { return value[bool](s.Section, "checks-orders") }

// Deadline returns the time limit of calls that do not set a deadline.
func (s Service) Deadline() time.Duration { return value[time.Duration](s.Section, "deadline") }

// Pool returns the pool of instances that serve the service.
func (s Service) Pool() Pool { return Pool(value[string](s.Section, "pool")) }

// Priority returns the priority of calls that do not set one.
func (s Service) Priority() Priority { return Priority(value[int](s.Section, "priority")) }

// Repeatable reports whether the named call is idempotent. Calls that the
// configuration does not list are not.
func (s Service) Repeatable(call string) bool {
	return slices.Contains(value[[]string](s.Section, "repeatable-calls"), call)
}

// Offers reports whether the service has the named call.
func (s Service) Offers(call string) bool {
	return s.Repeatable(call) || slices.Contains(value[[]string](s.Section, "unrepeatable-calls"), call)
}

// System holds the settings of the whole system.
type System struct{ Section }

// BulkRate returns the rate limit at which one instance sends weights, in bytes per
// second.
func (s System) BulkRate() int64 { return value[int64](s.Section, "bulk-rate") }

// ChunkMemory returns the memory for chunks on one instance, in bytes.
func (s System) ChunkMemory() int64 { return value[int64](s.Section, "chunk-memory") }

// ClaimRetention returns how long the log is relied on to keep claims.
func (s System) ClaimRetention() time.Duration {
	return value[time.Duration](s.Section, "claim-retention")
}

// MaxUnavailable returns the share, from 0 to 1, of a pool's instances in a failure
// domain that may be out of service at once to load a version.
func (s System) MaxUnavailable() float64 { return value[float64](s.Section, "max-unavailable") }

// OriginBudget returns how many copies of a version may be read from the origin. It
// need not be a whole number.
func (s System) OriginBudget() float64 { return value[float64](s.Section, "origin-budget") }

// OriginRegion returns the region of the origin.
func (s System) OriginRegion() Region { return Region(value[string](s.Section, "origin-region")) }

// QueueLimit returns the largest number of requests that one agent queues.
func (s System) QueueLimit() int { return value[int](s.Section, "queue-limit") }

// Quarantine returns how long a request that crashed engines is refused.
func (s System) Quarantine() time.Duration { return value[time.Duration](s.Section, "quarantine") }

// RegionRate returns the rate limit, in bytes per second, at which the instances of
// one region together fetch weights from each other region, 0 for no limit.
func (s System) RegionRate() int64 { return value[int64](s.Section, "region-rate") }

// RetryBudget returns the largest share of retries, from 0 to 1, among the requests
// sent.
func (s System) RetryBudget() float64 { return value[float64](s.Section, "retry-budget") }

// StopLimit returns how long a planned stop waits for requests in progress.
func (s System) StopLimit() time.Duration { return value[time.Duration](s.Section, "stop-limit") }

// A Resolver resolves names of any naming scheme to IDs.
type Resolver interface {
	Resolve(kind Kind, name Name) (ID, bool)
}

// A Config is one accepted configuration. It is immutable.
type Config struct {
	accounts   map[ID]ClientAccount
	instances  map[ID]Instance
	models     map[ID]Model
	objectives []Objective
	offset     Offset
	resolver   Resolver
	services   map[ID]Service
	system     System
}

// NewConfig returns the configuration that consists of sections and was accepted at
// offset.
func NewConfig(offset Offset, resolver Resolver, sections []Section) *Config {
	c := &Config{
		accounts:  map[ID]ClientAccount{},
		instances: map[ID]Instance{},
		models:    map[ID]Model{},
		offset:    offset,
		resolver:  resolver,
		services:  map[ID]Service{},
	}
	for _, s := range sections {
		switch s.kind {
		case KindClientAccount:
			c.accounts[s.id] = ClientAccount{s}
		case KindInstance:
			c.instances[s.id] = Instance{s}
		case KindModel:
			c.models[s.id] = Model{s}
		case KindObjective:
			c.objectives = append(c.objectives, Objective{s})
		case KindService:
			c.services[s.id] = Service{s}
		case KindSystem:
			c.system = System{s}
		}
	}
	return c
}

// Account returns the client account with an ID.
func (c *Config) Account(id ID) (ClientAccount, bool) {
	a, ok := c.accounts[id]
	return a, ok
}

// Accounts returns the client accounts sorted by ID.
func (c *Config) Accounts() []ClientAccount { return sortedValues(c.accounts) }

// Instance returns the configuration of an instance.
func (c *Config) Instance(id ID) (Instance, bool) {
	i, ok := c.instances[id]
	return i, ok
}

// Instances returns the configured instances sorted by ID.
func (c *Config) Instances() []Instance { return sortedValues(c.instances) }

// Model returns the model with an ID.
func (c *Config) Model(id ID) (Model, bool) {
	m, ok := c.models[id]
	return m, ok
}

// Models returns the models sorted by ID.
func (c *Config) Models() []Model { return sortedValues(c.models) }

// Objectives returns the objectives in the order of the configuration folder.
func (c *Config) Objectives() []Objective { return slices.Clone(c.objectives) }

// Offset returns the log offset at which the configuration was accepted.
func (c *Config) Offset() Offset { return c.offset }

// Resolve returns the ID to which a name of any naming scheme resolves.
func (c *Config) Resolve(kind Kind, name Name) (ID, bool) {
	return c.resolver.Resolve(kind, name)
}

// Service returns the service with an ID.
func (c *Config) Service(id ID) (Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Services returns the services sorted by ID.
func (c *Config) Services() []Service { return sortedValues(c.services) }

// System returns the settings of the whole system.
func (c *Config) System() System { return c.system }

// sortedValues returns the values of m sorted by ID.
func sortedValues[V any](m map[ID]V) []V {
	ids := make([]ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	values := make([]V, 0, len(ids))
	for _, id := range ids {
		values = append(values, m[id])
	}
	return values
}
