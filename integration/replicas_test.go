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

// replicaProcesses are processes that serve nothing, three of them with a folder each.
type replicaProcesses struct {
	t        *testing.T
	folder   string
	paths    []string
	binds    []string
	commands []*exec.Cmd
	logs     []*logBuffer
}

func newReplicaProcesses(t *testing.T) *replicaProcesses {
	s := &replicaProcesses{t: t, folder: t.TempDir()}
	names := []string{"s1", "s2", "s3"}
	for range names {
		_, bind := fleetFileWithReplicas(t, nil)
		s.binds = append(s.binds, bind)
	}
	for i, name := range names {
		text, err := json.Marshal(map[string]any{"fleet": "tests", "bind": s.binds[i], "seeds": s.binds,
			"council": map[string]any{"seats": names, "folder": filepath.Join(s.folder, "{name}")}})
		require.NoError(t, err)
		s.paths = append(s.paths, filepath.Join(s.folder, name+".jsonnet"))
		require.NoError(t, os.WriteFile(s.paths[i], text, 0o600))
	}
	t.Cleanup(func() { s.stop(syscall.SIGKILL) })
	return s
}

func (r *replicaProcesses) launch() {
	r.commands, r.logs = nil, nil
	for i, path := range r.paths {
		command, log := exec.Command(program, "seat", "--name", fmt.Sprint("s", i+1), path), new(logBuffer)
		command.Stderr = log
		require.NoError(r.t, command.Start())
		r.commands, r.logs = append(r.commands, command), append(r.logs, log)
	}
	for i, bind := range r.binds {
		require.Eventually(r.t, func() bool {
			conn, err := net.Dial("tcp", bind)
			if err == nil {
				conn.Close()
			}
			return err == nil
		}, testTimeout, 10*time.Millisecond, "s%d hears peers; %s", i+1, r.logs[i])
	}
}

// stop signals all before it waits for any.
func (r *replicaProcesses) stop(signal syscall.Signal) (errs []error) {
	for _, run := range r.commands {
		run.Process.Signal(signal)
	}
	for _, run := range r.commands {
		errs = append(errs, run.Wait())
	}
	r.commands = nil
	return errs
}

// recordResult has a token claimed and ended by a node that is a test, and says its result.
func (r *replicaProcesses) recordResult(token, result string) {
	owner := claims.Owner{Name: "n9", Incarnation: 7}
	key := claims.Key{Operation: "x", Token: token}
	conn := dialPeer(r.t, r.binds[0])
	seq := uint64(0)
	say := func(c claims.Command) claims.Verdict {
		seq++
		c.Sender, c.Seq, c.Key, c.BodyHash, c.Duration, c.Window = owner, seq, key, 1, 60_000_000_000, 600_000_000_000
		for end := time.Now().Add(testTimeout); time.Now().Before(end); {
			sendMessage(r.t, conn, &consensus.Message{Kind: consensus.MessagePropose, From: owner.Name, Owner: owner, Commands: []claims.Command{c}})
			if got := receiveMessage(r.t, conn, 300*time.Millisecond); got != nil && got.Kind == consensus.MessageVerdicts {
				for _, v := range got.Verdicts {
					if v.Seq == c.Seq {
						return v
					}
				}
			} else if got == nil {
				conn.Close()
				conn = dialPeer(r.t, r.binds[0])
			}
		}
		r.t.Fatalf("no verdict; %s", r.logs[0])
		return claims.Verdict{}
	}
	v := say(claims.Command{Kind: claims.CommandClaim})
	require.Equal(r.t, claims.AnswerGranted, v.Answer)
	v = say(claims.Command{Kind: claims.CommandStart, Fence: v.Fence})
	v = say(claims.Command{Kind: claims.CommandEnd, Fence: v.Fence, Outcome: 1, Result: []byte(result)})
	conn.Close()
}

// awaitEnded waits until each seat shows the token as ended.
func (r *replicaProcesses) awaitEnded(token string) {
	for i, bind := range r.binds {
		assert.Eventually(r.t, func() bool {
			out, err := exec.Command(program, "claims", "show", "--fleet", "tests", bind, token).CombinedOutput()
			return err == nil && strings.Contains(string(out), claims.StateNames[claims.StateEnded])
		}, testTimeout, 50*time.Millisecond, "s%d knows %s; %s", i+1, token, r.logs[i])
	}
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
	assert.Contains(t, replicas.logs[0].String(), "back from the disk")
	replicas.recordResult("t2", "two")
	for i, err := range replicas.stop(syscall.SIGTERM) {
		assert.NoError(t, err, "s%d leaves cleanly", i+1)
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
	assert.Contains(t, string(out), path+":3: council.folder: \"here\" is no absolute path")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(text, "'here'", "'/nowhere'", 1)), 0o600))
	out, err = exec.Command(program, "seat", "--name", "s2", path).CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), `council.seats: "s2" is not one of them`)
}
