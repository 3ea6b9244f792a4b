package processfleet

import (
	"encoding/json"
	"errors"
	"os/exec"
	"time"
)

// ErrNoCouncil says that a fleet's seats did not come to a leader in time.
var ErrNoCouncil = errors.New("the fleet's council did not come about")

// Fleet is a scenario's fleet of built daemons for callers that measure it themselves.
type Fleet struct{ p *processes }

// NewFleet starts all nodes of a scenario; program is the built daemon, and files are left in folder.
func NewFleet(n *Scenario, seed int64, program, folder string) (*Fleet, error) {
	p, err := newProcesses(n, seed, program, folder)
	if err != nil {
		return nil, err
	}
	f := &Fleet{p}
	for i := range n.Nodes {
		if err := p.start(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Council waits until every node reaches the council, which all serve by then.
func (f *Fleet) Council(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if nodes, _ := f.p.serving(); len(nodes) == len(f.p.daemons) && f.reached() {
			return nil
		}
	}
	return ErrNoCouncil
}

func (f *Fleet) reached() bool {
	for i := range f.p.daemons {
		var shown struct {
			Reached bool `json:"council_reached"`
		}
		out, err := exec.Command(f.p.program, "claims", "--fleet", "rig", "--json", f.p.bind[i]).Output()
		if err != nil || json.Unmarshal(out, &shown) != nil || !shown.Reached {
			return false
		}
	}
	return true
}

// Address is where a node takes invocations, empty while it serves nobody.
func (f *Fleet) Address(i int) string {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	if d := f.p.daemons[i]; d.up && d.serving {
		return d.listens
	}
	return ""
}

// Pid is the process of a node.
func (f *Fleet) Pid(i int) int {
	f.p.mu.Lock()
	defer f.p.mu.Unlock()
	return f.p.daemons[i].command.Process.Pid
}

// Sent is how many bytes a node has sent to its peers.
func (f *Fleet) Sent(i int) int64 {
	f.p.links.mu.Lock()
	defer f.p.links.mu.Unlock()
	return f.p.links.bytes[i]
}

// Claims are how many the council's table has, and their bytes, as a seat tells.
func (f *Fleet) Claims(seat int) (count int, bytes int64, err error) {
	var shown struct {
		Claims int
		Bytes  int64
	}
	out, err := exec.Command(f.p.program, "claims", "--fleet", "rig", "--json", f.p.bind[seat]).Output()
	if err == nil {
		err = json.Unmarshal(out, &shown)
	}
	return shown.Claims, shown.Bytes, err
}

// Close ends all nodes.
func (f *Fleet) Close() { f.p.close() }

// Invocation is one of the operation `hold` of a scenario's nodes, on a stream and with a token.
func Invocation(stream uint32, call, token string) []byte {
	return invocation("hold", stream, call, token)
}
