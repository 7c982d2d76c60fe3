package gooseberrypass

// An Advisory is what an endpoint says in an answer about the requests that it wants.
type Advisory struct {
	Invalid string  // value of a field that cannot be read, "" for none
	Limited bool    // Rate is set
	Rate    float64 // requests per second that the endpoint takes from all entries together, for as long as it says so
}
