package gooseberrypass

import (
	"slices"
	"time"
)

// A Section is one merged section of the folder: the values of all its keys,
// defaults filled in, under all its names.
type Section struct {
	id     ID
	kind   Kind
	names  []Name
	values map[string]any
}

// NewSection returns a section. values holds, for each key of the kind, a value
// of the Go type that the key's type in package checker stands for.
func NewSection(kind Kind, id ID, names []Name, values map[string]any) Section {
	return Section{id: id, kind: kind, names: names, values: values}
}

// ID returns the section's identity.
func (s Section) ID() ID { return s.id }

// Kind returns the section's kind.
func (s Section) Kind() Kind { return s.kind }

// Names returns every name of the section, of every scheme.
func (s Section) Names() []Name { return slices.Clone(s.names) }

func value[T any](s Section, key string) T {
	v, _ := s.values[key].(T)
	return v
}

// A ClientAccount is a caller that the system knows.
type ClientAccount struct{ Section }

// Burst returns how many requests may come at once above the rate.
func (a ClientAccount) Burst() int { return value[int](a.Section, "burst") }

// KeyDigest returns the digest of the account's key; zero admits the account
// without a key.
func (a ClientAccount) KeyDigest() Digest { return value[Digest](a.Section, "key-digest") }

// MaxPriority returns the highest priority the account may ask for.
func (a ClientAccount) MaxPriority() Priority {
	return Priority(value[int](a.Section, "max-priority"))
}

// Rate returns the requests a second the account may send; 0 is no limit.
func (a ClientAccount) Rate() float64 { return value[float64](a.Section, "rate") }

// An Instance is what the folder says of one instance.
type Instance struct{ Section }

// Drain reports whether the instance is to take no new work.
func (i Instance) Drain() bool { return value[bool](i.Section, "drain") }

// Pool returns the pool that overrides the listed one, "" for none.
func (i Instance) Pool() Pool { return Pool(value[string](i.Section, "pool")) }

// Role returns the role that the instance's engine is to take.
func (i Instance) Role() EngineRole { return EngineRole(value[string](i.Section, "role")) }

// A Model is a model or adapter to be served.
type Model struct{ Section }

// Base returns the base model's id if the model is an adapter, else "".
func (m Model) Base() ID { return value[ID](m.Section, "base") }

// Deadline returns the time a request gets if its caller names none.
func (m Model) Deadline() time.Duration { return value[time.Duration](m.Section, "deadline") }

// Fenced reports whether the engines refuse orders with an old fence.
func (m Model) Fenced() bool { return value[bool](m.Section, "fenced") }

// Manifest returns the pinned digest of the version's manifest.
func (m Model) Manifest() Digest { return value[Digest](m.Section, "manifest") }

// MaxTokens returns the most tokens of one answer.
func (m Model) MaxTokens() int { return value[int](m.Section, "max-tokens") }

// OriginName returns the model's name at the origin.
func (m Model) OriginName() string { return value[string](m.Section, "origin-name") }

// Pool returns the pool of instances that serve the model.
func (m Model) Pool() Pool { return Pool(value[string](m.Section, "pool")) }

// Priority returns the priority of requests that name none.
func (m Model) Priority() Priority { return Priority(value[int](m.Section, "priority")) }

// Version returns the version's name at the origin.
func (m Model) Version() string { return value[string](m.Section, "version") }

// An Objective is a service level to be kept for some requests. An empty
// selector admits all.
type Objective struct{ Section }

// Account returns the client account selected, "" for all.
func (o Objective) Account() ID { return value[ID](o.Section, "client-account") }

// FirstToken returns the time to the first token to be kept, 0 for none.
func (o Objective) FirstToken() time.Duration {
	return value[time.Duration](o.Section, "first-token")
}

// InTime returns the time to the whole answer to be kept, 0 for none.
func (o Objective) InTime() time.Duration { return value[time.Duration](o.Section, "in-time") }

// MinPriority returns the lowest priority selected.
func (o Objective) MinPriority() Priority {
	return Priority(value[int](o.Section, "min-priority"))
}

// Share returns the share of requests, 0 to 1, that must be good.
func (o Objective) Share() float64 { return value[float64](o.Section, "share") }

// Target returns the model or service selected, "" for all.
func (o Objective) Target() ID { return value[ID](o.Section, "target") }

// A Service is a plain service to be routed to.
type Service struct{ Section }

// ChecksOrders reports whether the service checks who calls it.
func (s Service) ChecksOrders() bool { return value[bool](s.Section, "checks-orders") }

// Deadline returns the time a call gets if its caller names none.
func (s Service) Deadline() time.Duration { return value[time.Duration](s.Section, "deadline") }

// Pool returns the pool of instances that serve the service.
func (s Service) Pool() Pool { return Pool(value[string](s.Section, "pool")) }

// Priority returns the priority of calls that name none.
func (s Service) Priority() Priority { return Priority(value[int](s.Section, "priority")) }

// Repeatable reports whether the named call is idempotent. A call that is
// listed as neither is not.
func (s Service) Repeatable(call string) bool {
	return slices.Contains(value[[]string](s.Section, "repeatable-calls"), call)
}

// Offers reports whether the service has the named call.
func (s Service) Offers(call string) bool {
	return s.Repeatable(call) || slices.Contains(value[[]string](s.Section, "unrepeatable-calls"), call)
}

// System holds the settings of the whole system.
type System struct{ Section }

// BulkRate returns the bytes a second that one instance sends of weights.
func (s System) BulkRate() int64 { return value[int64](s.Section, "bulk-rate") }

// ChunkMemory returns the bytes of chunks that one instance keeps.
func (s System) ChunkMemory() int64 { return value[int64](s.Section, "chunk-memory") }

// ClaimRetention returns how long the log is trusted to keep a claim.
func (s System) ClaimRetention() time.Duration {
	return value[time.Duration](s.Section, "claim-retention")
}

// MaxUnavailable returns the share, 0 to 1, of a failure domain's instances in
// a pool that may be out of service to load at once.
func (s System) MaxUnavailable() float64 { return value[float64](s.Section, "max-unavailable") }

// OriginBudget returns the copies of a version that may be read from the origin.
func (s System) OriginBudget() float64 { return value[float64](s.Section, "origin-budget") }

// OriginRegion returns the region in which the origin stands.
func (s System) OriginRegion() Region { return Region(value[string](s.Section, "origin-region")) }

// QueueLimit returns how many requests one agent queues.
func (s System) QueueLimit() int { return value[int](s.Section, "queue-limit") }

// Quarantine returns how long a request that crashed engines is refused.
func (s System) Quarantine() time.Duration { return value[time.Duration](s.Section, "quarantine") }

// RegionRate returns the bytes a second of weights that the instances of one
// region together take from each other region; 0 is no limit.
func (s System) RegionRate() int64 { return value[int64](s.Section, "region-rate") }

// RetryBudget returns the share of retries, 0 to 1, among requests sent.
func (s System) RetryBudget() float64 { return value[float64](s.Section, "retry-budget") }

// StopLimit returns how long a planned stop waits for work in progress.
func (s System) StopLimit() time.Duration { return value[time.Duration](s.Section, "stop-limit") }

// A Resolver finds the identity behind a name of any scheme.
type Resolver interface {
	Resolve(kind Kind, name Name) (ID, bool)
}

// A Config is one accepted state of the whole configuration. It never changes.
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

// NewConfig returns the configuration accepted at offset, made of sections.
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

// Account returns the client account with an id.
func (c *Config) Account(id ID) (ClientAccount, bool) {
	a, ok := c.accounts[id]
	return a, ok
}

// Accounts returns the client accounts in order of id.
func (c *Config) Accounts() []ClientAccount { return sortedValues(c.accounts) }

// Instance returns what the folder says of an instance.
func (c *Config) Instance(id ID) (Instance, bool) {
	i, ok := c.instances[id]
	return i, ok
}

// Instances returns the instances that the folder names in order of id.
func (c *Config) Instances() []Instance { return sortedValues(c.instances) }

// Model returns the model with an id.
func (c *Config) Model(id ID) (Model, bool) {
	m, ok := c.models[id]
	return m, ok
}

// Models returns the models in order of id.
func (c *Config) Models() []Model { return sortedValues(c.models) }

// Objectives returns the objectives in the order of the folder.
func (c *Config) Objectives() []Objective { return slices.Clone(c.objectives) }

// Offset returns the log offset at which the configuration was accepted.
func (c *Config) Offset() Offset { return c.offset }

// Resolve returns the identity behind a name of any scheme.
func (c *Config) Resolve(kind Kind, name Name) (ID, bool) {
	return c.resolver.Resolve(kind, name)
}

// Service returns the service with an id.
func (c *Config) Service(id ID) (Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Services returns the services in order of id.
func (c *Config) Services() []Service { return sortedValues(c.services) }

// System returns the settings of the whole system.
func (c *Config) System() System { return c.system }

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
