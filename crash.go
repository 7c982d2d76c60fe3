package gooseberrypass

import "time"

// RequestCrashes are the connections to endpoints that broke during one request, as one start
// of an entry saw them.
type RequestCrashes struct {
	Age      time.Duration // time since the last one
	Count    int           // 0 if the request was answered then, so that earlier crashes had another cause
	Observer uint64        // identifies the start of the entry
	Relapses int           // how often a connection broke although the request was known to crash endpoints
	Request  uint64        // first eight bytes of the request's digest
}

// Later returns the crashes as of a later time.
func (c RequestCrashes) Later(by time.Duration) RequestCrashes {
	c.Age = Older(c.Age, by)
	return c
}
