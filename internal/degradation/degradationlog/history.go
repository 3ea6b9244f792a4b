// Package degradationlog rebuilds from the logs of nodes what level of service each was at. Logs may be cut anywhere.
package degradationlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const maxLineBytes = 1 << 20 // bytes of a line; a longer one is passed over

// LevelChange is one change of level, as a log tells it.
type LevelChange struct {
	Node             string
	At               time.Time
	Line             int
	Plan             string  `json:"plan"`
	From             string  `json:"from"`
	To               string  `json:"to"`
	Cause            string  `json:"cause"`
	Signal           string  `json:"signal"`
	Value            float64 `json:"value"`
	Limit            float64 `json:"threshold"`
	ConditionSeconds float64 `json:"for_s"`
	PreviousSeconds  float64 `json:"lasted_s"`
	Before           struct {
		Whole, Reduced, Levelled, Throttled int
	} `json:"before"`
}

// NodeLog is what one node's log came to.
type NodeLog struct {
	Node       string
	Changes    int
	Unreadable int  // lines that can't be read
	Drained    bool // its last line is that of a drained node; else it was killed, or runs still
	LastAt     time.Time
	Level      string
	Gaps       int // changes that do not follow from the level before: lines between are missing
}

// Timeline is all that was read. The zero value is empty.
type Timeline struct {
	Changes []LevelChange
	Logs    []NodeLog
}

type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Name    string    `json:"name"`
}

// Read adds a log. What is no JSON on a line counts as cut, but for text before its first brace.
func (t *Timeline) Read(path string, from io.Reader) error {
	log := NodeLog{Node: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), Level: "full"}
	in := bufio.NewReaderSize(from, maxLineBytes)
	first := len(t.Changes)
	for number := 1; ; number++ {
		text, err := in.ReadSlice('\n')
		long := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = in.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(text) > 0 {
			log.applyLine(t, string(text), number, long)
		}
		if err != nil {
			break
		}
	}
	for i := first; i < len(t.Changes); i++ {
		t.Changes[i].Node = log.Node
	}
	t.Logs = append(t.Logs, log)
	return nil
}

func (log *NodeLog) applyLine(t *Timeline, text string, number int, long bool) {
	start := strings.IndexByte(text, '{')
	var l logLine
	if long || start < 0 || json.Unmarshal([]byte(text[start:]), &l) != nil {
		if strings.TrimSpace(text) != "" {
			log.Unreadable++
		}
		return
	}
	log.LastAt, log.Drained = l.Time, false
	switch l.Message {
	case "listening":
		log.Node, log.Level = l.Name, "full"
	case "drained, leaving":
		log.Drained = true
	case "level changed":
		turn := LevelChange{At: l.Time, Line: number}
		if json.Unmarshal([]byte(text[start:]), &turn) != nil {
			log.Unreadable++
			return
		}
		if turn.From != "" && turn.From != log.Level {
			log.Gaps++
		}
		log.Level = turn.To
		if log.Level == "" {
			log.Level = "full"
		}
		log.Changes++
		t.Changes = append(t.Changes, turn)
	}
}

// Print writes the changes of all nodes, earliest first, and how each log ended.
func (t *Timeline) Print(to io.Writer) error {
	turns := slices.Clone(t.Changes)
	slices.SortStableFunc(turns, func(a, b LevelChange) int { return a.At.Compare(b.At) })
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "time\tnode\tfrom\tto\twhy\tafter\twhole\treduced\tby the level\tthrottled")
	for i := range turns {
		turn := &turns[i]
		why := turn.Cause
		if turn.Signal != "" {
			why += fmt.Sprintf(": %s %.0f %% past %.0f %% for %.1f s", turn.Signal, 100*turn.Value, 100*turn.Limit, turn.ConditionSeconds)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f s\t%d\t%d\t%d\t%d\n", turn.At.UTC().Format("2006-01-02 15:04:05"), turn.Node,
			turn.From, turn.To, why, turn.PreviousSeconds, turn.Before.Whole, turn.Before.Reduced, turn.Before.Levelled,
			turn.Before.Throttled)
	}
	for i := range t.Logs {
		log := &t.Logs[i]
		end := "no end of a drain: killed, or it runs still"
		if log.Drained {
			end = "drained"
		}
		fmt.Fprintf(w, "%s\t%s\t\t%s\t%d changes, %d lines cut, %d gaps; %s\n", log.LastAt.UTC().Format("2006-01-02 15:04:05"),
			log.Node, log.Level, log.Changes, log.Unreadable, log.Gaps, end)
	}
	return w.Flush()
}
