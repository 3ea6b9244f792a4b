package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"topazpost/internal/protocol/frame"
)

// Node is a node's process, started as the deploy file starts it, with further flags where a case needs them.
type Node struct {
	Config  map[string]any // written at each start and by WriteConfig
	Flags   string         // of the command serve
	Address string         // where dispatchers connect

	name    string
	folder  string
	record  *Record
	command *exec.Cmd
	exited  chan struct{}
	life    int
}

// FreeAddress returns a loopback address that nobody uses now.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// NewNode prepares a node with its files in a folder.
func NewNode(record *Record, folder, name string, config map[string]any, flags string) (*Node, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	config["name"] = name
	config["listen"] = address
	return &Node{Config: config, Flags: flags, Address: address, name: name, folder: folder, record: record}, nil
}

func (n *Node) configPath() string { return filepath.Join(n.folder, n.name+".json") }

// WriteConfig writes the configuration.
func (n *Node) WriteConfig() error {
	text, err := json.MarshalIndent(n.Config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.configPath(), text, 0o600)
}

// Start starts the process and waits until it answers a health check as good.
func (n *Node) Start() error {
	if err := n.Launch(); err != nil {
		return err
	}
	return n.AwaitReady()
}

// AwaitReady waits until the process answers a health check as good.
func (n *Node) AwaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if healthy(n.Address) {
			n.record.Line("%s: ready", n.name)
			return nil
		}
		if !n.Running() {
			break
		}
	}
	return fmt.Errorf("%s does not get ready; its log: %s", n.name, n.LogPath())
}

// Launch starts the process and does not wait.
func (n *Node) Launch() error {
	if err := n.WriteConfig(); err != nil {
		return err
	}
	n.life++
	log, err := os.Create(n.LogPath())
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command("/bin/sh", "-c", "exec bin/topazpost serve "+n.Flags)
	n.command.Env = append(os.Environ(), "GW_CONFIG="+n.configPath(), "GW_NAME="+n.name, "GW_LISTEN="+n.Address)
	n.command.Stdout = log
	n.command.Stderr = log
	n.record.Line("%s: the process starts", n.name)
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		n.record.Line("%s: the process ended: %v", n.name, errors.Join(err))
		close(exited)
	}(n.command, n.exited)
	return nil
}

// LogPath is the log of the present life.
func (n *Node) LogPath() string {
	return filepath.Join(n.folder, fmt.Sprintf("%s-%d.log", n.name, n.life))
}

// Log is the log of the present life.
func (n *Node) Log() string {
	text, _ := os.ReadFile(n.LogPath())
	return string(text)
}

// LogHas reports whether the log of the present life has a text.
func (n *Node) LogHas(text string) bool { return strings.Contains(n.Log(), text) }

// Running reports whether the process runs.
func (n *Node) Running() bool {
	if n.exited == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal.
func (n *Node) Signal(s syscall.Signal) {
	n.record.Line("%s: signal %s", n.name, s)
	n.command.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	if n.Running() {
		n.Signal(syscall.SIGKILL)
		<-n.exited
	}
}

// AwaitExit waits for the end of the process, up to a time.
func (n *Node) AwaitExit(atMost time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(atMost):
		return false
	}
}

// Pid is the process id.
func (n *Node) Pid() int { return n.command.Process.Pid }

// healthy asks for the health.
func healthy(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(frame.Append(nil, frame.HealthCheck, 1, []byte{0})); err != nil {
		return false
	}
	var parser frame.Parser
	for {
		n, err := conn.Read(parser.Space())
		if err != nil {
			return false
		}
		parser.Wrote(n)
		if f, ok, err := parser.Next(); err != nil || ok {
			return err == nil && f.Type == frame.HealthStatus && len(f.Payload) > 0 && f.Payload[0] == frame.Healthy
		}
	}
}
