// Package crowdtest plays crowds of clients that do not behave against a server,
// and measures what the process of the server holds meanwhile.
package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// sendTimeout is the time after which a client gives up sending. It stays
// connected.
const sendTimeout = 20 * time.Second

// Shape writes what one client sends. Clients are numbered from 0.
type Shape func(w io.Writer, client int) error

// Crowd is a number of clients that stay connected after they have sent.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// stayTime is how long the clients stay before Gather returns, so that the server
// has taken up what they have sent.
const stayTime = 2 * time.Second

// Gather connects clients to the address, all at once, and returns when each has
// sent everything or cannot send more, and they have stayed for a while.
func Gather(t *testing.T, address string, clients int, shape Shape) *Crowd {
	t.Helper()
	c := &Crowd{}
	t.Cleanup(c.Leave)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				// The server may refuse connections.
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			// The server may close the connection while it receives.
			_ = shape(conn, i)
		})
	}
	group.Wait()
	time.Sleep(stayTime)
	return c
}

// Leave closes the connections of all clients.
func (c *Crowd) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// Head returns the head of a POST request without the empty line at its end.
func Head(host, path string, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", path, host)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.Bytes()
}

// Send writes all parts in turn.
func Send(w io.Writer, parts ...[]byte) error {
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// SendPieces writes content in pieces of the given size.
func SendPieces(w io.Writer, content []byte, size int) error {
	for len(content) > 0 {
		n := min(size, len(content))
		if _, err := w.Write(content[:n]); err != nil {
			return err
		}
		content = content[n:]
	}
	return nil
}

// SendOver writes content evenly over a time.
func SendOver(w io.Writer, content []byte, d time.Duration) error {
	const pieces = 16
	for i := range pieces {
		time.Sleep(d / pieces)
		if _, err := w.Write(content[i*len(content)/pieces : (i+1)*len(content)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

// Chunks returns the content in chunks of the given size, without the last chunk.
// Each chunk has the extension, which may be empty.
func Chunks(content []byte, size int, extension string) []byte {
	var b bytes.Buffer
	for len(content) > 0 {
		n := min(size, len(content))
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extension, content[:n])
		content = content[n:]
	}
	return b.Bytes()
}

// Fields returns header fields with different short names, of about the given
// total size.
func Fields(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.Bytes()
}
