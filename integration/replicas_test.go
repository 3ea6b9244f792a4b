package integration

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
)

// replicaProcesses are the three replicas of a consensus group, processes that serve no dispatchers, with a folder each.
type replicaProcesses struct {
	t        *testing.T
	folder   string
	paths    []string // of the fleet files
	binds    []string // addresses for peers
	commands []*exec.Cmd
	logs     []*logBuffer
}

// newReplicaProcesses writes the replicas' fleet files.
func newReplicaProcesses(t *testing.T) *replicaProcesses {
	t.Helper()
	r := &replicaProcesses{t: t, folder: t.TempDir()}
	names := []string{"s1", "s2", "s3"}
	for range names {
		_, bind := fleetFile(t)
		r.binds = append(r.binds, bind)
	}
	for i, name := range names {
		text, err := json.Marshal(map[string]any{"fleet": "tests", "bind": r.binds[i], "seeds": r.binds,
			"council": map[string]any{"seats": names, "folder": filepath.Join(r.folder, "{name}")}})
		require.NoError(t, err)
		r.paths = append(r.paths, filepath.Join(r.folder, name+".jsonnet"))
		require.NoError(t, os.WriteFile(r.paths[i], text, 0o600))
	}
	t.Cleanup(func() { r.stop(syscall.SIGKILL) })
	return r
}

// launch starts the replicas and waits until each accepts peers.
func (r *replicaProcesses) launch() {
	r.t.Helper()
	r.commands = nil
	r.logs = nil
	for i, path := range r.paths {
		command := exec.Command(program, "seat", "--name", fmt.Sprint("s", i+1), path)
		log := new(logBuffer)
		command.Stderr = log
		require.NoError(r.t, command.Start())
		r.commands = append(r.commands, command)
		r.logs = append(r.logs, log)
	}
	for i, bind := range r.binds {
		require.Eventually(r.t, func() bool {
			conn, err := net.Dial("tcp", bind)
			if err == nil {
				conn.Close()
			}
			return err == nil
		}, testTimeout, 10*time.Millisecond, "s%d accepts peers; %s", i+1, r.logs[i])
	}
}

// stop signals all replicas before it waits for any, and returns their results.
func (r *replicaProcesses) stop(signal syscall.Signal) (errs []error) {
	for _, command := range r.commands {
		command.Process.Signal(signal)
	}
	for _, command := range r.commands {
		errs = append(errs, command.Wait())
	}
	r.commands = nil
	return errs
}

// recordResult claims a token, starts its run and ends it with a result, as a node does.
func (r *replicaProcesses) recordResult(token, result string) {
	r.t.Helper()
	c := &claimant{
		replicas: r,
		conn:     dialPeer(r.t, r.binds[0]),
		owner:    claims.Owner{Name: "n9", Incarnation: 7},
		key:      claims.Key{Operation: "x", Token: token},
	}
	defer func() { c.conn.Close() }()
	verdict := c.propose(claims.Command{Kind: claims.CommandClaim})
	require.Equal(r.t, claims.AnswerGranted, verdict.Answer)
	verdict = c.propose(claims.Command{Kind: claims.CommandStart, Fence: verdict.Fence})
	c.propose(claims.Command{Kind: claims.CommandEnd, Fence: verdict.Fence, Outcome: 1, Result: []byte(result)})
}

// awaitEnded waits until each replica shows the token as ended.
func (r *replicaProcesses) awaitEnded(token string) {
	r.t.Helper()
	for i, bind := range r.binds {
		assert.Eventually(r.t, func() bool {
			out, err := runProgram("claims", "show", "--fleet", "tests", bind, token)
			return err == nil && strings.Contains(out, claims.StateNames[claims.StateEnded])
		}, testTimeout, 50*time.Millisecond, "s%d shows %s as ended; %s", i+1, token, r.logs[i])
	}
}

// claimant is a stand-in for a node that proposes commands on one token to the first replica.
type claimant struct {
	replicas *replicaProcesses
	conn     net.Conn
	owner    claims.Owner
	key      claims.Key
	seq      uint64
}

// propose repeats a command until its verdict comes, and on a new stream after a time without any message.
func (c *claimant) propose(command claims.Command) claims.Verdict {
	t := c.replicas.t
	t.Helper()
	c.seq++
	command.Sender = c.owner
	command.Seq = c.seq
	command.Key = c.key
	command.BodyHash = 1
	command.Duration = 60_000_000_000
	command.Retention = 600_000_000_000
	proposal := &consensus.Message{Kind: consensus.MessagePropose, From: c.owner.Name, Owner: c.owner, ClaimCommands: []claims.Command{command}}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		sendMessage(t, c.conn, proposal)
		message := receiveMessage(t, c.conn, 300*time.Millisecond)
		if message == nil {
			c.conn.Close()
			c.conn = dialPeer(t, c.replicas.binds[0])
			continue
		}
		if message.Kind != consensus.MessageVerdicts {
			continue
		}
		for _, verdict := range message.ClaimVerdicts {
			if verdict.Seq == c.seq {
				return verdict
			}
		}
	}
	t.Fatalf("no verdict; %s", c.replicas.logs[0])
	return claims.Verdict{}
}

func TestReplicasKilledTogetherLoseNoClaim(t *testing.T) {
	replicas := newReplicaProcesses(t)
	replicas.launch()
	replicas.recordResult("t1", "one")
	replicas.stop(syscall.SIGKILL)
	logs, err := filepath.Glob(filepath.Join(replicas.folder, "s2", "log-*"))
	require.NoError(t, err)
	require.Len(t, logs, 1)
	file, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5}) // half a record
	require.NoError(t, err)
	require.NoError(t, file.Close())
	replicas.launch()
	replicas.awaitEnded("t1")
	assert.Contains(t, replicas.logs[1].String(), "a crash left this unfinished")
	assert.Contains(t, replicas.logs[0].String(), "recovered from disk")
	replicas.recordResult("t2", "two")
	for i, err := range replicas.stop(syscall.SIGTERM) {
		assert.NoError(t, err, "s%d exits cleanly", i+1)
	}
	require.NoError(t, os.RemoveAll(filepath.Join(replicas.folder, "s3"))) // a disk that is lost
	replicas.launch()
	replicas.awaitEnded("t1")
	replicas.awaitEnded("t2")
}

func TestReplicaReportsAnInvalidFleetFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.jsonnet")
	text := "{ fleet: 'tests', bind: '127.0.0.1:7946',\n council: { seats: ['s1'],\n  folder: 'here' } }"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	out, err := exec.Command(program, "seat", "--name", "s1", path).CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), path+":3: council.folder: \"here\" is not an absolute path")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(text, "'here'", "'/nowhere'", 1)), 0o600))
	out, err = exec.Command(program, "seat", "--name", "s2", path).CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), `council.seats: "s2" is not one of them`)
}
