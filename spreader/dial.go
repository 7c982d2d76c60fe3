package spreader

import (
	"net/http"

	"github.com/gooseberrypass/gooseberrypass/wire"
)

// DialTwirp returns a Dial whose clients make Twirp calls over client.
func DialTwirp(client *http.Client) Dial {
	return func(address string) wire.Peer {
		return wire.NewPeerProtobufClient("http://"+address, client)
	}
}
