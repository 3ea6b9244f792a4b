package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazpost/frame"
)

const (
	callers     = 8                // connections of a storm, each with some invocations open
	openEach    = 4                // of them
	tokensOpen  = 40               // tokens of which invocations are drawn at a time: each comes again and again
	freshEvery  = 8                // of so many invocations one opens a new token and retires the oldest
	runMost     = 30               // ms of a run at the most
	answerMost  = 12 * time.Second // past the client timeout, then an invocation counts as lost
	startMost   = 20 * time.Second // for a daemon to serve
	stormWindow = 600_000          // ms: no token's window ends in a storm
)

// ledger is the executor and what it does lasts: runs by token.
type ledger struct {
	mu      sync.Mutex
	chance  *rand.Rand
	runs    map[string]int
	last    int
	notices int
	conn    net.Conn
}

func (l *ledger) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		switch {
		case len(w) == 2 && w[0] == "JOIN":
			l.mu.Lock()
			if l.conn = conn; w[1] == "0" {
				l.notices = 0
			}
			fmt.Fprint(conn, "WELCOME old 60000\r\n")
			l.mu.Unlock()
		case len(w) == 2 && w[0] == "METER":
			l.mu.Lock()
			fmt.Fprintf(conn, "METERS %s 0.1 1\r\n", w[1])
			l.mu.Unlock()
		case len(w) == 4 && w[0] == "EXEC":
			size, _ := strconv.Atoi(w[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			l.run(conn, w[1], string(body[:size]))
		}
	}
}

// run has its effect at once and its end later. What a node that was killed began goes on, and is heard by nobody.
func (l *ledger) run(conn net.Conn, call, token string) {
	l.mu.Lock()
	l.runs[token]++
	after := time.Duration(l.chance.Intn(runMost)) * time.Millisecond
	result := fmt.Sprintf("%s run %d", token, l.runs[token])
	l.mu.Unlock()
	time.AfterFunc(after, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conn == conn {
			l.notices++
			fmt.Fprintf(conn, "EXIT %d %s good 5 %d\r\n%s\r\n", l.notices, call, len(result), result)
		}
	})
}

// storm is one node under repeats of tokens, killed and started again.
type storm struct {
	night    *Night
	folder   string
	program  string
	ledger   *ledger
	executor net.Listener
	control  net.Listener

	mu      sync.Mutex
	chance  *rand.Rand
	tokens  []string
	next    int
	asked   int
	counts  map[string]int // what became of invocations
	wrong   []string
	address string
	command *exec.Cmd
	ended   chan struct{}
}

// playStorm plays a night of repeats on one daemon with a store.
func (n *Night) playStorm(seed int64, program, folder string) *Outcome {
	o := &Outcome{Seed: seed, Measures: map[string]float64{}}
	s := &storm{night: n, folder: folder, program: program, chance: rand.New(rand.NewSource(seed)), counts: map[string]int{},
		ledger: &ledger{chance: rand.New(rand.NewSource(seed + 1)), runs: map[string]int{}}}
	if err := s.play(o); err != nil {
		o.Failed = err.Error()
	}
	return o
}

func (s *storm) play(o *Outcome) error {
	var err error
	if s.executor, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	defer s.executor.Close()
	if s.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	defer s.control.Close()
	go http.Serve(s.control, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	go func() {
		for {
			conn, err := s.executor.Accept()
			if err != nil {
				return
			}
			go s.ledger.serve(conn)
		}
	}()
	if err := s.start(); err != nil {
		return err
	}
	defer func() { s.kill() }()
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { s.call(stop) })
	}
	length := time.Duration(s.night.Seconds * 1e9)
	began := time.Now()
	most := int64(0)
	for k := range s.night.Kills {
		at := time.Duration(float64(length) * (float64(k) + 0.2 + 0.6*s.drawn()) / float64(s.night.Kills))
		time.Sleep(time.Until(began.Add(at)))
		most = max(most, s.stored())
		s.kill()
		if err := s.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(length)))
	close(stop)
	group.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	twice, ran := 0, 0
	for token, runs := range s.ledger.runs {
		ran++
		if runs > 1 {
			twice++
			o.Timeline = append(o.Timeline, fmt.Sprintf("%s ran %d times", token, runs))
		}
	}
	o.Timeline = append(o.Timeline, s.wrong...)
	m := o.Measures
	m["twice"], m["tokens_run"], m["invocations"], m["wrong"] = float64(twice), float64(ran), float64(s.asked), float64(len(s.wrong))
	for _, what := range []string{"succeeded", "kept", "throttled", "unknown", "errored", "broken", "lost"} {
		m[what] = float64(s.counts[what])
	}
	m["store_bytes"], m["per_s"] = float64(max(most, s.stored())), float64(s.asked)/length.Seconds()
	m["pace"] = 1
	return nil
}

func (s *storm) drawn() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance.Float64()
}

func (s *storm) stored() (sum int64) {
	entries, _ := os.ReadDir(filepath.Join(s.folder, "kept"))
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			sum += info.Size()
		}
	}
	return sum
}

func (s *storm) start() error {
	nameplate, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0",
		"executor": s.executor.Addr().String(), "control": s.control.Addr().String(), "catalog": s.executor.Addr().String(),
		"seed": "8c1f30d27a5be964", "stop_ms": 3_000, "limits": map[string]any{"cores": 2.0, "memory_mb": 192, "sockets": 256},
		"settings": map[string]any{
			"grades": []any{map[string]any{"name": "hold", "aim": 2_000, "give_up": 5_000, "importance": 1, "effect": "deduplicated",
				"window": stormWindow}},
			"family_info": map[string]any{"n_cores": 8, "memory_kb": 400_000, "blowup": 4, "entry_kb": 1, "class_calls": []bool{false},
				"below": "off", "advert": "off", "gauges": []string{"cpu_busy", "runnable"}},
			"guarantees": map[string]any{"tip_multiple": 8, "drain_grace": 500},
			"limits":     map[string]any{"retry_after": true, "max_retry_after": 1_000}}})
	if err != nil {
		return err
	}
	kept := map[string]string{"durability": "batched", "folder": filepath.Join(s.folder, "kept"), "segment": "1 MiB", "size": "64 MiB"}
	for k, v := range s.night.Fleet {
		kept[k] = v
	}
	text, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	config, keep := filepath.Join(s.folder, "n0.json"), filepath.Join(s.folder, "kept.jsonnet")
	if err := os.WriteFile(config, nameplate, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(keep, text, 0o600); err != nil {
		return err
	}
	command := exec.Command(s.program, "serve", "--keep", keep, config)
	out, err := command.StderrPipe()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, "n0.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	up, ended := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(ended)
		defer log.Close()
		address := ""
		in := bufio.NewScanner(out)
		in.Buffer(nil, linesMost)
		for in.Scan() {
			fmt.Fprintln(log, in.Text())
			var l struct{ Message, Listen string }
			if json.Unmarshal(in.Bytes(), &l) == nil {
				if l.Message == "listening" {
					address = l.Listen
				}
				if strings.HasPrefix(l.Message, "executor is up") {
					up <- address
				}
			}
		}
		command.Wait()
	}()
	select {
	case address := <-up:
		s.mu.Lock()
		s.address, s.command, s.ended = address, command, ended
		s.mu.Unlock()
		return nil
	case <-ended:
		return fmt.Errorf("the daemon ended while starting; its log is %s", log.Name())
	case <-time.After(startMost):
		command.Process.Kill()
		return fmt.Errorf("the daemon did not come up within %s; its log is %s", startMost, log.Name())
	}
}

func (s *storm) kill() {
	s.mu.Lock()
	command, ended := s.command, s.ended
	s.address = ""
	s.mu.Unlock()
	if command != nil {
		command.Process.Kill()
		<-ended
	}
}

// draw is the next invocation's token: an older one, most of the time.
func (s *storm) draw() (token, call string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if len(s.tokens) < tokensOpen || s.chance.Intn(freshEvery) == 0 {
		s.next++
		s.tokens = append(s.tokens, fmt.Sprint("t", s.next))
		if len(s.tokens) > tokensOpen {
			s.tokens = s.tokens[1:]
		}
	}
	return s.tokens[s.chance.Intn(len(s.tokens))], fmt.Sprintf("%016x", s.asked)
}

func (s *storm) count(what string, wrong string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
	if wrong != "" && len(s.wrong) < shown {
		s.wrong = append(s.wrong, wrong)
	}
}

// call is one caller: some invocations open at a time on a connection that is opened anew when it breaks.
func (s *storm) call(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		s.mu.Lock()
		address := s.address
		s.mu.Unlock()
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if address == "" || err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.converse(conn, stop)
		conn.Close()
	}
}

func (s *storm) converse(conn net.Conn, stop chan struct{}) {
	open := map[uint32]string{}
	var parser frame.Parser
	for stream := uint32(1); ; {
		ending := false
		select {
		case <-stop:
			ending = true
		default:
		}
		for !ending && len(open) < openEach {
			token, call := s.draw()
			text := frame.AppendInvocation(nil, stream, []frame.Field{{Name: "op", Value: "hold"}, {Name: "call", Value: call},
				{Name: "recv", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "src", Value: "1"},
				{Name: "heap", Value: "1"}, {Name: "token", Value: token}}, []byte(token))
			if _, err := conn.Write(text); err != nil {
				s.count("broken", "")
				s.broken(open)
				return
			}
			open[stream] = token
			stream++
		}
		if len(open) == 0 {
			return
		}
		conn.SetReadDeadline(time.Now().Add(answerMost))
		n, err := conn.Read(parser.Space())
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				s.count("lost", fmt.Sprintf("%d invocations had no answer within %s", len(open), answerMost))
				return
			}
			s.broken(open)
			return
		}
		parser.Wrote(n)
		for {
			f, ok, err := parser.Next()
			if err != nil {
				s.count("errored", "an answer can't be read: "+err.Error())
				return
			}
			if !ok {
				break
			}
			if f.Type == frame.Answer {
				s.answered(open, &f)
			}
		}
	}
}

func (s *storm) broken(open map[uint32]string) {
	for range open {
		s.count("broken", "")
	}
}

func (s *storm) answered(open map[uint32]string, f *frame.Frame) {
	token, asked := open[f.Stream]
	if !asked {
		s.count("wrong", fmt.Sprintf("stream %d has more than one answer", f.Stream))
		return
	}
	delete(open, f.Stream)
	fields, body, err := frame.Fields(f.Payload[1:])
	if err != nil {
		s.count("wrong", err.Error())
		return
	}
	noted := map[string]string{}
	for _, x := range fields {
		noted[x.Name] = x.Value
	}
	switch f.Payload[0] {
	case frame.Succeeded:
		what, wrong := "succeeded", ""
		if noted["kept"] != "" {
			what = "kept"
		}
		if string(body) != token+" run 1" {
			wrong = fmt.Sprintf("token %s was answered %q", token, body)
		}
		s.count(what, wrong)
	case frame.Throttled:
		s.count("throttled", "")
	default:
		if noted["outcome"] == "unknown" {
			s.count("unknown", "")
		} else {
			s.count("errored", "")
		}
	}
}
