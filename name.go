package gooseberrypass

// A Kind is the kind of a section of the configuration folder.
type Kind string

// The kinds of sections.
const (
	KindClientAccount Kind = "client-account"
	KindInstance      Kind = "instance"
	KindModel         Kind = "model"
	KindObjective     Kind = "objective"
	KindService       Kind = "service"
	KindSystem        Kind = "system"
)

// A Scheme is a naming scheme. Operators use several side by side.
type Scheme string

// The naming schemes. SchemeCatalogue is for words ("jingle-writer"),
// SchemeInventory for a letter code with a number ("MDL-0042") and SchemePath for a
// slash-separated path ("/fonoteca/scripts/jingle-writer").
const (
	SchemeCatalogue Scheme = "catalogue"
	SchemeInventory Scheme = "inventory"
	SchemePath      Scheme = "path"
)

// A Name is a name in any naming scheme, as written by a caller or an operator.
type Name string

// An ID is the unique identifier to which all names of a section resolve.
type ID string

// A Region is the name of a group of failure domains.
type Region string

// A FailureDomain is the name of a group of instances that may fail together.
type FailureDomain string

// A Pool is the name of a group of instances that serve the same models or services.
type Pool string

// A Priority is the priority of a request, from MinPriority to MaxPriority. Requests
// with a higher value are served first.
type Priority int

// The range of priorities.
const (
	MinPriority     Priority = 0
	DefaultPriority Priority = 4
	MaxPriority     Priority = 9
)
