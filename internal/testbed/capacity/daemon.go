package capacity

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout   = 60 * time.Second // for a node to serve, on a machine that is busy
	endTimeout     = 10 * time.Second // for a process that was ended to be gone
	settleDuration = 1500 * time.Millisecond
	pollInterval   = 100 * time.Millisecond
	idleDuration   = 2 * time.Second  // in which an idle node's processor time is taken
	reloadTimeout  = 20 * time.Second // for a SIGHUP to be worked off
	quietPart      = 0.1              // of a core, under which a node is at rest
	quietLooks     = 3                // in a row
	runTime        = 5 * time.Millisecond
	memoryMB       = 1_024 // of the generated nodes: far above what is measured, as the runtime collects harder near its limit
	maxSockets     = 18_500
	maxLineBytes   = 1 << 20 // bytes of a log's line
)

// shape is what a generated configuration has.
type shape struct {
	routes, tenants, sockets int
	fleet                    string // path of its fleet file, empty outside a fleet
}

func routeName(k int) string { return fmt.Sprintf("orders.v1/Route%04d", k) }

func tenantName(k int) string { return fmt.Sprintf("tenant-%06d", k) }

// write makes a configuration file, and says how many bytes it has.
func (s shape) write(path, executor, control string) (int64, error) {
	type operation struct {
		Name       string `json:"name"`
		Aim        int    `json:"aim"`
		GiveUp     int    `json:"give_up"`
		Importance int    `json:"importance"`
		Effect     string `json:"effect"`
	}
	type tenant struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	}
	operations, tenants := make([]operation, max(1, s.routes)), make([]tenant, s.tenants)
	for k := range operations {
		operations[k] = operation{routeName(k), 1_000, 2_500, 1, "idempotent"}
	}
	for k := range tenants {
		tenants[k] = tenant{tenantName(k), 1.5}
	}
	settings := map[string]any{"grades": operations,
		"family_info": map[string]any{"n_cores": 8, "memory_kb": 400_000, "blowup": 4, "entry_kb": 1, "below": "off", "halt": "off",
			"advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
		"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
		"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}
	if s.tenants > 0 {
		settings["tenants"] = tenants
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "executor": executor, "control": control,
		"catalog": "", "seed": "8c1f30d27a5be964", "stop_ms": 3_000,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": cmp.Or(s.sockets, 1_024)}, "settings": settings})
	if err != nil {
		return 0, err
	}
	return int64(len(text)), os.WriteFile(path, text, 0o600)
}

// daemon is one that was started, with its executor.
type daemon struct {
	command  *exec.Cmd
	executor *executor
	control  interface{ Close() error }
	config   string
	began    time.Time
	ended    chan struct{}

	mu      sync.Mutex
	address string
	serving time.Time
	last    string    // line of its log
	inForce []logLine // versions that came into force
}

// start writes a configuration and starts a node on it; it returns once the node serves.
func (b *Bench) start(s shape) (d *daemon, size int64, err error) {
	d = &daemon{ended: make(chan struct{})}
	if d.executor, err = newExecutor(runTime); err != nil {
		return nil, 0, err
	}
	control, err := platform()
	if err != nil {
		return nil, 0, err
	}
	d.control = control
	d.config = filepath.Join(b.folder, "n0.json")
	if size, err = s.write(d.config, d.executor.listener.Addr().String(), control.Addr().String()); err != nil {
		return nil, 0, err
	}
	arguments := []string{"serve", d.config}
	if s.fleet != "" {
		arguments = []string{"serve", "--fleet", s.fleet, d.config}
	}
	d.command = exec.Command(b.Program, arguments...)
	if err := d.run(); err != nil {
		return nil, 0, err
	}
	for time.Since(d.began) < startTimeout {
		if at, _ := d.serves(); at != "" {
			return d, size, nil
		}
		select {
		case <-d.ended:
			d.close()
			return nil, 0, fmt.Errorf("%s ended instead of serving: %s", b.Program, d.last)
		case <-time.After(2 * time.Millisecond):
		}
	}
	d.close()
	return nil, 0, fmt.Errorf("%s does not serve after %s: %s", b.Program, startTimeout, d.last)
}

// run starts the command, and reads its log until it ends.
func (d *daemon) run() error {
	out, err := d.command.StderrPipe()
	if err != nil {
		return err
	}
	d.began = time.Now()
	if err := d.command.Start(); err != nil {
		return err
	}
	go func() {
		in := bufio.NewScanner(out)
		in.Buffer(nil, maxLineBytes)
		for in.Scan() {
			d.logLineReceived(in.Bytes())
		}
		_ = d.command.Wait() // daemons are killed in the end
		close(d.ended)
	}()
	return nil
}

// logLine is what is read of a line of a daemon's log.
type logLine struct {
	Message, Listen string
	Longest         float64 `json:"longest_step_ms"` // where a version came into force: of the reducer's steps since the one before
}

func (d *daemon) logLineReceived(line []byte) {
	var l logLine
	_ = json.Unmarshal(line, &l) // lines that aren't JSON are kept as the last line only
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last = string(line)
	switch {
	case l.Message == "listening":
		d.address = l.Listen
	case strings.HasPrefix(l.Message, "executor is up") && d.serving.IsZero():
		d.serving = time.Now()
	case l.Message == "configuration in force":
		d.inForce = append(d.inForce, l)
	}
}

// longest is the longest step of the reducer, in ms, up to the last version that came into force and since so many versions were.
// The daemon takes the wall clock, so other work on the machine only adds to it.
func (d *daemon) longest(since int) (ms float64, versions int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.inForce[since:] {
		ms = max(ms, f.Longest)
	}
	return ms, len(d.inForce)
}

// serves says where, once the node does, and how long that took.
func (d *daemon) serves() (at string, after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.serving.IsZero() {
		return "", 0
	}
	return d.address, d.serving.Sub(d.began)
}

func (d *daemon) close() {
	d.command.Process.Kill()
	select {
	case <-d.ended:
	case <-time.After(endTimeout):
	}
	d.executor.listener.Close()
	d.control.Close()
}

// usage is what a process has used so far.
type usage struct {
	at     time.Time
	cpu    time.Duration
	waited time.Duration // of its threads, for a core
	rssMB  float64
	peakMB float64
}

var errGone = errors.New("the process is gone")

// processUsage reads what a process used. Processor time is that of its threads, in ns; Go's runtime ends next to none.
func processUsage(pid int) (u usage, err error) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if f := strings.Fields(string(text)); err == nil && len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			u.cpu += time.Duration(ns)
			if len(f) > 1 {
				ns, _ = strconv.ParseInt(f[1], 10, 64)
				u.waited += time.Duration(ns)
			}
		}
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil || len(tasks) == 0 {
		return u, errGone
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			u.rssMB = kb / 1_024
		case "VmHWM:":
			u.peakMB = kb / 1_024
		}
	}
	u.at = time.Now()
	return u, nil
}

func (d *daemon) usage() (usage, error) { return processUsage(d.command.Process.Pid) }

// since is the processor time for each second of wall time, in ms.
func (u *usage) since(before *usage) float64 {
	return (u.cpu - before.cpu).Seconds() * 1e3 / u.at.Sub(before.at).Seconds()
}

// lowerPeak has the kernel count the peak of resident memory from now on.
func (d *daemon) lowerPeak() {
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", d.command.Process.Pid), []byte("5"), 0)
}

// reload sends SIGHUP and waits until the node is at rest again, and says what that took of the processor.
func (d *daemon) reload() (cpu time.Duration, after usage, err error) {
	before, err := d.usage()
	if err != nil {
		return 0, after, err
	}
	d.command.Process.Signal(syscall.SIGHUP)
	quiet, last := 0, before
	for began := time.Now(); quiet < quietLooks && time.Since(began) < reloadTimeout; {
		time.Sleep(pollInterval)
		if after, err = d.usage(); err != nil {
			return 0, after, err
		}
		if after.since(&last) < quietPart*1e3 && after.cpu > before.cpu {
			quiet++
		} else {
			quiet = 0
		}
		last = after
	}
	return after.cpu - before.cpu, after, nil
}

// check runs the command that operators check a file with. Its peak of memory is not reported: the kernel counts in it what the
// laboratory's own process had when it forked.
func (b *Bench) check(config string) (cpu time.Duration, err error) {
	ctx, stop := context.WithTimeout(context.Background(), startTimeout)
	defer stop()
	c := exec.CommandContext(ctx, b.Program, "check", config)
	if out, err := c.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("check: %w: %s", err, out)
	}
	return c.ProcessState.UserTime() + c.ProcessState.SystemTime(), nil
}
