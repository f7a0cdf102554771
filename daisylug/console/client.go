package console

import (
	"net/http"
	"time"
)

// client calls the HTTP interface of the instances.
type client struct {
	servers   []server
	timeout   time.Duration
	transport http.RoundTripper
}

func newClient(servers []server, timeout time.Duration, transport http.RoundTripper) *client {
	return &client{servers: servers, timeout: timeout, transport: transport}
}

// NewTransport returns the transport for connections to instances.
func NewTransport() *http.Transport {
	return &http.Transport{}
}
