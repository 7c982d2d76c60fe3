// Package gooseberrypass holds the domain types of the weight distribution
// system and the interfaces that its other packages implement.
//
// Each platform dependency (Log, Origin, Engine, …) is an interface in this
// package; HTTP clients in subpackages implement it. A request passes through a
// chain of Filters. Control state is owned by Controllers, which all run on one
// goroutine.
package gooseberrypass
