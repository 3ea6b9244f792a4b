package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/fleet/claims"
	"topazpost/internal/fleet/consensus"
)

// seats are processes that serve nothing, three of them with a folder each.
type seats struct {
	t      *testing.T
	folder string
	paths  []string
	binds  []string
	runs   []*exec.Cmd
	logs   []*heardLog
}

// heardLog is what a process says, read while it runs.
type heardLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *heardLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *heardLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newSeats(t *testing.T) *seats {
	s := &seats{t: t, folder: t.TempDir()}
	names := []string{"s1", "s2", "s3"}
	for range names {
		_, bind := fleetWith(t, nil)
		s.binds = append(s.binds, bind)
	}
	for i, name := range names {
		text, err := json.Marshal(map[string]any{"fleet": "tests", "bind": s.binds[i], "seeds": s.binds,
			"council": map[string]any{"seats": names, "folder": filepath.Join(s.folder, "{name}")}})
		require.NoError(t, err)
		s.paths = append(s.paths, filepath.Join(s.folder, name+".jsonnet"))
		require.NoError(t, os.WriteFile(s.paths[i], text, 0o600))
	}
	t.Cleanup(func() { s.end(syscall.SIGKILL) })
	return s
}

func (s *seats) start() {
	s.runs, s.logs = nil, nil
	for i, path := range s.paths {
		command, log := exec.Command(program, "seat", "--name", fmt.Sprint("s", i+1), path), new(heardLog)
		command.Stderr = log
		require.NoError(s.t, command.Start())
		s.runs, s.logs = append(s.runs, command), append(s.logs, log)
	}
	for i, bind := range s.binds {
		require.Eventually(s.t, func() bool {
			conn, err := net.Dial("tcp", bind)
			if err == nil {
				conn.Close()
			}
			return err == nil
		}, bound, 10*time.Millisecond, "s%d hears peers; %s", i+1, s.logs[i])
	}
}

// end signals all before it waits for any.
func (s *seats) end(signal syscall.Signal) (errs []error) {
	for _, run := range s.runs {
		run.Process.Signal(signal)
	}
	for _, run := range s.runs {
		errs = append(errs, run.Wait())
	}
	s.runs = nil
	return errs
}

// claim has a token claimed and ended by a node that is a test, and says its result.
func (s *seats) claim(token, result string) {
	owner := claims.Owner{Name: "n9", Incarnation: 7}
	key := claims.Key{Operation: "x", Token: token}
	conn := stream(s.t, s.binds[0])
	seq := uint64(0)
	say := func(c claims.Command) claims.Verdict {
		seq++
		c.Sender, c.Seq, c.Key, c.BodyHash, c.Duration, c.Window = owner, seq, key, 1, 60_000_000_000, 600_000_000_000
		for end := time.Now().Add(bound); time.Now().Before(end); {
			write(s.t, conn, &consensus.Message{Kind: consensus.MessagePropose, From: owner.Name, Owner: owner, Commands: []claims.Command{c}})
			if got := read(s.t, conn, 300*time.Millisecond); got != nil && got.Kind == consensus.MessageVerdicts {
				for _, v := range got.Verdicts {
					if v.Seq == c.Seq {
						return v
					}
				}
			} else if got == nil {
				conn.Close()
				conn = stream(s.t, s.binds[0])
			}
		}
		s.t.Fatalf("no verdict; %s", s.logs[0])
		return claims.Verdict{}
	}
	v := say(claims.Command{Kind: claims.CommandClaim})
	require.Equal(s.t, claims.AnswerGranted, v.Answer)
	v = say(claims.Command{Kind: claims.CommandStart, Fence: v.Fence})
	v = say(claims.Command{Kind: claims.CommandEnd, Fence: v.Fence, Outcome: 1, Result: []byte(result)})
	conn.Close()
}

// knows waits until each seat shows the token as ended.
func (s *seats) knows(token string) {
	for i, bind := range s.binds {
		assert.Eventually(s.t, func() bool {
			out, err := exec.Command(program, "claims", "show", "--fleet", "tests", bind, token).CombinedOutput()
			return err == nil && strings.Contains(string(out), claims.StateNames[claims.StateEnded])
		}, bound, 50*time.Millisecond, "s%d knows %s; %s", i+1, token, s.logs[i])
	}
}

func TestSeatsThatAreAllKilledAtOnceForgetNothing(t *testing.T) {
	s := newSeats(t)
	s.start()
	s.claim("t1", "one")
	s.end(syscall.SIGKILL)
	logs, err := filepath.Glob(filepath.Join(s.folder, "s2", "log-*"))
	require.NoError(t, err)
	require.Len(t, logs, 1)
	file, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5}) // half a record
	require.NoError(t, err)
	require.NoError(t, file.Close())
	s.start()
	s.knows("t1")
	assert.Contains(t, s.logs[1].String(), "a crash left this unfinished")
	assert.Contains(t, s.logs[0].String(), "back from the disk")
	s.claim("t2", "two")
	for i, err := range s.end(syscall.SIGTERM) {
		assert.NoError(t, err, "s%d leaves cleanly", i+1)
	}
	require.NoError(t, os.RemoveAll(filepath.Join(s.folder, "s3"))) // a disk that is lost
	s.start()
	s.knows("t1")
	s.knows("t2")
}

func TestSeatSaysWhatIsWrongWithItsFile(t *testing.T) {
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
