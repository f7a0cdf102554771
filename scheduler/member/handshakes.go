package member

import (
	"slices"
	"sync"
)

// maxHandshakes is the maximum number of accepted sessions whose handshake is not
// complete. Instances complete theirs within a few round trips.
const maxHandshakes = 64

// handshakes are the accepted sessions whose handshake is not complete, the oldest
// first.
type handshakes struct {
	mu       sync.Mutex
	sessions []Session
}

// begin adds a session, and closes the oldest one if there are too many.
func (h *handshakes) begin(s Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.sessions) >= maxHandshakes {
		oldest := h.sessions[0]
		h.sessions = slices.Delete(h.sessions, 0, 1)
		// Close waits for the goroutines of the session.
		go func() { _ = oldest.Close() }()
	}
	h.sessions = append(h.sessions, s)
}

// end removes a session whose handshake is over.
func (h *handshakes) end(s Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.sessions, s); i >= 0 {
		h.sessions = slices.Delete(h.sessions, i, i+1)
	}
}
