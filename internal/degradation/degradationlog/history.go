// Package degradationlog rebuilds from the logs of nodes which level of service each was at. Logs may be cut anywhere.
package degradationlog

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"path/filepath"
	"strings"
	"time"

	"topazpost/internal/degradation"
)

const maxLineBytes = 1 << 20 // a longer line is passed over

// Messages of log lines that a timeline is built from.
const (
	messageListening    = "listening"
	messageDrained      = "drained, leaving"
	messageLevelChanged = "level changed"
)

// LevelChange is one change of level in a log.
type LevelChange struct {
	Node string    `json:"-"`
	At   time.Time `json:"-"`
	Line int       `json:"-"`

	Plan                 string  `json:"plan"`
	From                 string  `json:"from"`
	To                   string  `json:"to"`
	Cause                string  `json:"cause"`
	Signal               string  `json:"signal"`
	Value                float64 `json:"value"`
	Limit                float64 `json:"threshold"`
	ConditionSeconds     float64 `json:"for_s"`
	PreviousLevelSeconds float64 `json:"lasted_s"`
	Before               Answers `json:"before"`
}

// Answers counts what was answered at the level before.
type Answers struct {
	Whole            int `json:"whole"`
	Reduced          int `json:"reduced"`
	ThrottledByLevel int `json:"levelled"` // throttled by the level
	Throttled        int `json:"throttled"`
}

// NodeLog summarizes one node's log.
type NodeLog struct {
	Node       string
	Changes    int
	Unreadable int  // lines
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

// AddLog adds a log. A line that is no JSON counts as unreadable, but for text before its first brace.
func (t *Timeline) AddLog(path string, from io.Reader) error {
	log := NodeLog{Node: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), Level: degradation.FullService}
	in := bufio.NewReaderSize(from, maxLineBytes)
	first := len(t.Changes)
	for number := 1; ; number++ {
		text, tooLong, err := readLine(in)
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(text) > 0 {
			if change, changed := log.addLine(text, tooLong); changed {
				change.Line = number
				t.Changes = append(t.Changes, change)
			}
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

// readLine reads a line; of one that is too long the beginning is returned, and the rest is passed over.
func readLine(in *bufio.Reader) (text string, tooLong bool, err error) {
	line, err := in.ReadSlice('\n')
	text = string(line) // ReadSlice overwrites it
	for errors.Is(err, bufio.ErrBufferFull) {
		tooLong = true
		_, err = in.ReadSlice('\n')
	}
	return text, tooLong, err
}

// addLine adds a line to the summary, and returns the change of level that it records, if any.
func (log *NodeLog) addLine(text string, tooLong bool) (change LevelChange, changed bool) {
	start := strings.IndexByte(text, '{')
	var line logLine
	if tooLong || start < 0 || json.Unmarshal([]byte(text[start:]), &line) != nil {
		if strings.TrimSpace(text) != "" {
			log.Unreadable++
		}
		return LevelChange{}, false
	}
	log.LastAt = line.Time
	log.Drained = false
	switch line.Message {
	case messageListening:
		log.Node = line.Name
		log.Level = degradation.FullService
	case messageDrained:
		log.Drained = true
	case messageLevelChanged:
		change.At = line.Time
		if json.Unmarshal([]byte(text[start:]), &change) != nil {
			log.Unreadable++
			return LevelChange{}, false
		}
		log.addChange(&change)
		return change, true
	}
	return LevelChange{}, false
}

// addChange follows a change of level.
func (log *NodeLog) addChange(change *LevelChange) {
	if change.From != "" && change.From != log.Level {
		log.Gaps++
	}
	log.Level = change.To
	if log.Level == "" {
		log.Level = degradation.FullService
	}
	log.Changes++
}
