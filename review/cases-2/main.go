// Command cases-2 plays the cases of the second review, each against processes of the project: cases-2 CASE RECORD. It ends with 0 if the rule held,
// with 1 if it was broken, and with 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	standin "topazpost/review/standin-2"
)

const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2

	caseTimeout = 110 * time.Second
)

// world is what a case plays with.
type world struct {
	record    *standin.Record
	trouble   bool
	folder    string
	executor  *standin.Executor
	catalogue *standin.Catalogue
	control   *standin.ControlPlane
	nodes     []*standin.Node
	processes []*exec.Cmd // seats
	broken    []string
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record.Line("RULE BROKEN: %s", text)
	w.broken = append(w.broken, text)
}

var cases = map[string]func(w *world) error{
	"config-order": playConfigOrder,
	"token-again":  playTokenAgain,
	"first-tenant": playFirstTenant,
	"cut-off":      playCutOff,
	"tenant-order": playTenantOrder,
	"bad-token":    playBadToken,
	"hang":         playHang,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases-2 CASE RECORD; cases:", slices.Sorted(maps.Keys(cases)))
		return notRun
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer out.Close()
	folder, err := os.MkdirTemp("", "topazpost-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(folder)
	w := &world{record: standin.NewRecord(out), trouble: os.Getenv("TROUBLE") != "0", folder: folder}
	w.record.Line("case %s, trouble %v", os.Args[1], w.trouble)
	result := make(chan error, 1)
	go func() { result <- w.play(cases[os.Args[1]]) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-result:
	case <-stop:
		err = errors.New("stopped by a signal")
	case <-time.After(caseTimeout):
		err = errors.New("the case takes too long")
	}
	w.end(err != nil)
	switch {
	case err != nil:
		w.record.Line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return notRun
	case len(w.broken) > 0:
		fmt.Println("broken:", w.broken[0])
		return ruleBroken
	}
	w.record.Line("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

// play starts the stand-ins and plays a case.
func (w *world) play(play func(w *world) error) (err error) {
	if w.executor, err = standin.NewExecutor(w.record); err != nil {
		return err
	}
	w.executor.WorkOf = func(_, _ string) standin.Work { return standin.Work{Time: 150 * time.Millisecond} }
	if w.catalogue, err = standin.NewCatalogue(w.record); err != nil {
		return err
	}
	w.catalogue.ReplyAfter = 30 * time.Millisecond
	if w.control, err = standin.NewControlPlane(); err != nil {
		return err
	}
	return play(w)
}

// end ends all processes, and shows their logs where that helps.
func (w *world) end(withLogs bool) {
	for _, n := range w.nodes {
		n.Kill()
		if withLogs || len(w.broken) > 0 {
			w.record.Line("log of the last life: %s", n.Log())
		}
	}
	for _, p := range w.processes {
		p.Process.Kill()
		_ = p.Wait() // the error of the kill
	}
	if w.executor != nil {
		w.executor.Close()
	}
	if w.catalogue != nil {
		w.catalogue.Close()
	}
	if w.control != nil {
		w.control.Close()
	}
}

// node prepares a node.
func (w *world) node(name, flags string, settings map[string]any) (*standin.Node, error) {
	config := map[string]any{
		"executor": w.executor.Addr(), "control": w.control.Addr(), "catalog": w.catalogue.Addr(),
		"seed": "8c1f30d27a5be964", "stop_ms": 6_000, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"settings": settings,
	}
	n, err := standin.NewNode(w.record, w.folder, name, config, flags)
	if err == nil {
		w.nodes = append(w.nodes, n)
	}
	return n, err
}

// keepFile writes a file for kept results on disk, in a folder of its own.
func (w *world) keepFile() (flags string, err error) {
	path := filepath.Join(w.folder, "kept.jsonnet")
	text := fmt.Sprintf("{ token: 'dedupe', durability: 'each', folder: %q, trouble: 'refuse', size: '64 MiB', segment: '8 MiB' }\n", filepath.Join(w.folder, "kept"))
	return "--keep " + path, os.WriteFile(path, []byte(text), 0o600)
}

// operation is an operation of the settings.
func operation(name, effect string, aim, giveUp, window int) map[string]any {
	op := map[string]any{"name": name, "effect": effect, "aim": aim, "give_up": giveUp, "importance": 1.0, "late_share": 0.0}
	if window > 0 {
		op["window"] = window
	}
	return op
}

// settings are those of a small deployment, after the brief of the Tsakiris runners.
func settings(operations []any, tenants []any) map[string]any {
	calls := make([]bool, len(operations))
	skips := make([]float64, len(operations))
	return map[string]any{
		"grades": operations, "tenants": tenants, "counted_by": "work", "group_size": 3, "over_share_worth": 0.1, "locality": "athens", "zones": []string{"athens"},
		"family_info": map[string]any{"n_cores": 4, "memory_kb": 20_000, "blowup": 8, "below": "off", "class_calls": calls, "class_skip_worth": skips,
			"entry_kb": 40, "advert": "off", "halt": "off", "gauges": []string{"cpu_busy", "runnable", "mem_used", "sockets"}, "passes_deadline": true,
			"tells_gone": true, "full_checks": true, "keepalive_max": 30_000, "calls_out": 6.0, "calls_over": 5_000, "linger": 200, "share_for": 0},
		"guarantees": map[string]any{"tip_multiple": 5, "fall": 3_000, "drain_grace": 2_500, "grace_to_answer": 100, "cold_from": 0.25, "warm_after": 18_000},
		"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000},
	}
}

// tenants are tenants with a share each.
func tenants(names ...string) (list []any) {
	for _, name := range names {
		list = append(list, map[string]any{"name": name, "quota_rps": 40.0, "fraction": 1 / float64(len(names))})
	}
	return list
}

// tokenOperations are the operations of the Tsakiris runners.
func tokenOperations() []any {
	return []any{
		operation("sample-run", "idempotent", 1_400, 3_600, 0),
		operation("full-check", "idempotent", 1_800, 5_400, 0),
		operation("quick-check", "idempotent", 720, 1_800, 0),
		operation("graded-submit", "deduplicated", 1_800, 4_300, 13_023),
	}
}
