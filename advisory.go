package gooseberrypass

import "time"

// An Advisory is what an endpoint says in an answer about the requests that it wants.
type Advisory struct {
	Invalid string        // value of a field that cannot be read, "" for none
	Leaving bool          // the endpoint is about to stop and wants no further requests
	Limited bool          // Rate is set
	Pause   time.Duration // time for which the endpoint wants no requests from the entry that it answers, 0 for none
	Rate    float64       // requests per second that the endpoint takes from all entries together, for as long as it says so
}
