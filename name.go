package gooseberrypass

// A Kind is the kind of thing that a section of the folder describes.
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

// A Scheme is one of the naming schemes that operators use side by side.
type Scheme string

// The naming schemes. SchemeCatalogue has words ("jingle-writer"),
// SchemeInventory has a letter code and a number ("MDL-0042") and SchemePath
// has a slash-separated path ("/fonoteca/scripts/jingle-writer").
const (
	SchemeCatalogue Scheme = "catalogue"
	SchemeInventory Scheme = "inventory"
	SchemePath      Scheme = "path"
)

// A Name is a name of a thing under any scheme, as a caller or an operator
// wrote it.
type Name string

// An ID is the one identity that every name of a thing resolves to.
type ID string

// A Region is a named group of failure domains.
type Region string

// A FailureDomain is a named group of instances that may fail together.
type FailureDomain string

// A Pool is a named group of instances that serve the same models or services.
type Pool string

// A Priority orders requests: higher values go first. It runs from
// MinPriority to MaxPriority.
type Priority int

// The range of priorities.
const (
	MinPriority     Priority = 0
	DefaultPriority Priority = 4
	MaxPriority     Priority = 9
)
