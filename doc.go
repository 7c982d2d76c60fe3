// Package gooseberrypass holds the domain types of the weight distribution
// system and the interfaces that its other packages implement.
//
// A platform dependency (Log, Origin, Engine, …) is an interface here and an
// HTTP client in a package below. A request passes a chain of Filters; control
// state is owned by Controllers that run on one goroutine.
package gooseberrypass
