package standin

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// Catalogue is the dependency that runs call.
type Catalogue struct {
	// ReplyAfter is how long a call takes.
	ReplyAfter time.Duration
	// Spoil, if it is set, may answer a call in place of the catalogue: it returns true if it did.
	Spoil func(conn net.Conn, id string) bool

	record   *Record
	mu       sync.Mutex
	listener net.Listener
	calls    []string // ids, in order
}

// NewCatalogue starts a catalogue.
func NewCatalogue(record *Record) (*Catalogue, error) {
	c := &Catalogue{record: record}
	err := c.Move()
	return c, err
}

// Move has it listen at another address; what is open at the old one stays open.
func (c *Catalogue) Move() error {
	l, err := listen(c.serve)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil {
		c.listener.Close()
	}
	c.listener = l
	return nil
}

// Addr is where it listens.
func (c *Catalogue) Addr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listener.Addr().String()
}

// Close ends it.
func (c *Catalogue) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.Close()
}

// Calls are the ids of the calls so far.
func (c *Catalogue) Calls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.calls...)
}

func (c *Catalogue) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		words, body, err := readLine(in)
		if err != nil {
			return
		}
		if words[0] != "FETCH" || len(words) != 4 {
			continue
		}
		id := words[1]
		c.mu.Lock()
		c.calls = append(c.calls, id)
		c.mu.Unlock()
		c.record.Line("catalogue: FETCH %s for %s ms", id, words[2])
		time.AfterFunc(c.ReplyAfter, func() {
			if c.Spoil != nil && c.Spoil(conn, id) {
				return
			}
			reply := "reply to " + body
			fmt.Fprintf(conn, "%s DATA %d\r\n%s\r\n", id, len(reply), reply)
		})
	}
}
