package standin

import (
	"bufio"
	"errors"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// Node is a process of the program, started as `run` of the deploy file says.
type Node struct {
	c       *Case
	name    string
	command *exec.Cmd
	exited  chan error

	mu  sync.Mutex
	log []string
}

// StartNode starts `exec bin/topazpost serve` by /bin/sh from the root, with the path of a configuration and further
// variables.
func (c *Case) StartNode(name, configPath string, env ...string) (*Node, error) {
	return c.StartProcess(name, "exec bin/topazpost serve", append([]string{"GW_CONFIG=" + configPath, "GW_NAME=" + name}, env...)...)
}

// StartProcess starts a command by /bin/sh from the root.
func (c *Case) StartProcess(name, command string, env ...string) (*Node, error) {
	n := &Node{c: c, name: name, command: exec.Command("/bin/sh", "-c", command), exited: make(chan error, 1)}
	n.command.Dir = c.Root
	n.command.Env = append(append(os.Environ(), "TMPDIR="+c.Temp), env...)
	output, err := n.command.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	c.Note("node %s: started", name)
	c.AtEnd(func() {
		n.command.Process.Kill()
		_, _ = n.AwaitExit(5 * time.Second)
	})
	go n.readLog(output)
	return n, nil
}

// readLog keeps the lines of the log, and waits for the process after the last one.
func (n *Node) readLog(output io.Reader) {
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		n.mu.Lock()
		n.log = append(n.log, lines.Text())
		n.mu.Unlock()
	}
	n.exited <- n.command.Wait()
}

// AwaitExit waits for the end of the process; false means that it still runs.
func (n *Node) AwaitExit(limit time.Duration) (error, bool) {
	select {
	case err := <-n.exited:
		n.exited <- err
		return err, true
	case <-time.After(limit):
		return nil, false
	}
}

// AwaitLog waits for a line of the log that contains a text.
func (n *Node) AwaitLog(text string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if n.Logged(text) > 0 {
			return nil
		}
	}
	return errors.New("node " + n.name + " did not log: " + text + "; its log: " + strings.Join(n.Tail(10), " | "))
}

// Logged is how many lines of the log contain a text.
func (n *Node) Logged(text string) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, line := range n.log {
		if strings.Contains(line, text) {
			count++
		}
	}
	return count
}

// Tail is the last lines of the log.
func (n *Node) Tail(lines int) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.log[max(0, len(n.log)-lines):]...)
}
