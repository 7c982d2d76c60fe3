package listener

import (
	"net"
	"net/http"
)

// NewLimited is New with limits.
func NewLimited(lis net.Listener, handler http.Handler, limits Limits) *Server {
	return newServer(lis, handler, &limits)
}
