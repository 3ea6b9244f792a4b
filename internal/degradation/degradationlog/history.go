// Package degradationlog reads the changes of degradation level of nodes from their logs. It accepts logs that are cut off or miss lines.
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

const maxLineBytes = 1 << 20 // longer lines are skipped

// Messages of the log lines that a timeline is built from. The server package writes them.
const (
	messageListening    = "listening"
	messageDrained      = "drained, leaving"
	messageLevelChanged = "level changed"
)

// LevelChange is a change of level that a log records.
type LevelChange struct {
	Node string    `json:"-"`
	At   time.Time `json:"-"`
	Line int       `json:"-"`

	Plan                 string  `json:"plan"`
	From                 string  `json:"from"` // empty if there was no plan before
	To                   string  `json:"to"`   // empty if the plan was removed
	Cause                string  `json:"cause"`
	Signal               string  `json:"signal"`
	Value                float64 `json:"value"`
	Limit                float64 `json:"threshold"`
	ConditionSeconds     float64 `json:"for_s"`
	PreviousLevelSeconds float64 `json:"lasted_s"`
	Before               Answers `json:"before"`
}

// Answers counts the answers that the node gave at the level before the change.
type Answers struct {
	Whole            int `json:"whole"`
	Reduced          int `json:"reduced"`
	ThrottledByLevel int `json:"levelled"`  // throttled because the level sheds the operation
	Throttled        int `json:"throttled"` // throttled for other reasons
}

// NodeLog summarizes one node's log.
type NodeLog struct {
	Node           string
	Changes        int
	Unreadable     int       // lines that are too long, not valid JSON, or have fields of other types than expected
	Drained        bool      // the last valid line reports a completed drain; otherwise the node was killed, still runs, or the log is cut off
	LastAt         time.Time // time of the last valid line
	Level          string    // after the last change
	MissingChanges int       // changes that do not start from the level known before, which means that lines are missing
}

// Timeline holds the changes of level and a summary of each log that was added. The zero value is empty.
type Timeline struct {
	Changes []LevelChange
	Logs    []NodeLog
}

// logLine holds the fields that log lines of all kinds share.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Name    string    `json:"name"`
}

// AddLog reads the log of one node and adds it. It skips text before the first brace of a line, and counts lines without valid JSON as
// unreadable. The node has the name in the last
// "listening" line, or the name of the file if there is none.
func (t *Timeline) AddLog(path string, r io.Reader) error {
	log := NodeLog{Node: strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), Level: degradation.FullService}
	in := bufio.NewReaderSize(r, maxLineBytes)
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

// readLine reads a line. Of a line that is too long it returns the beginning and skips the rest.
func readLine(in *bufio.Reader) (text string, tooLong bool, err error) {
	line, err := in.ReadSlice('\n')
	text = string(line) // copied, as the next ReadSlice overwrites the line
	for errors.Is(err, bufio.ErrBufferFull) {
		tooLong = true
		_, err = in.ReadSlice('\n')
	}
	return text, tooLong, err
}

// addLine adds a line to the summary and returns the change of level that it records, if any.
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

// addChange adds a change of level to the summary.
func (log *NodeLog) addChange(change *LevelChange) {
	if change.From != "" && change.From != log.Level {
		log.MissingChanges++
	}
	log.Level = change.To
	if log.Level == "" {
		log.Level = degradation.FullService
	}
	log.Changes++
}
