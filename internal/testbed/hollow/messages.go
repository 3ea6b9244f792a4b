package hollow

import (
	"encoding/json"
	"fmt"
)

// spec is the first line that a process reads: what it is to run.
type spec struct {
	Block, All int
	Nodes      []int // those of this process
	Whole      []int // those that are whole daemons elsewhere, behind relays
	Contacts   []int // the seeds
	Layout     Layout
	Fleet      json.RawMessage // fields of the fleet's file
	Config     json.RawMessage // configuration of a node, its name left out
	Seed       int64
}

// command is a line that a process reads later; only the fields that are set count.
type command struct {
	Start   []int       `json:"start,omitempty"`
	Over    float64     `json:"over,omitempty"` // seconds over which the starts are spread
	Kill    []int       `json:"kill,omitempty"`
	Leave   []int       `json:"leave,omitempty"`
	Restart []int       `json:"restart,omitempty"` // leave, and start once that is over
	Cut     *cutCommand `json:"cut,omitempty"`
	Heal    bool        `json:"heal,omitempty"`
	Loss    *float64    `json:"loss,omitempty"`
	Delay   *float64    `json:"delay_ms,omitempty"`
	Tokens  *float64    `json:"tokens,omitempty"` // a second, of all nodes of this process
	Calls   *int        `json:"calls,omitempty"`  // wanted at a time, of all nodes of this process
	Events  *bool       `json:"events,omitempty"` // tell each change of a view, else only the last of each node
}

type cutCommand struct {
	From []int `json:"from"`
	To   []int `json:"to"`
}

// Event is a change of one node's view. Fields are in the order in which they are encoded: times are Unix milliseconds.
type Event [6]uint64

// The fields of an event: who is a number of a node.
const (
	EventAt = iota
	EventNode
	EventCause
	EventWho
	EventSize
	EventHash
)

// report is what a process tells: its figures of a second, or events.
type report struct {
	Second *Second `json:"second,omitempty"`
	Events []Event `json:"events,omitempty"`
	Failed string  `json:"failed,omitempty"`
}

// Traffic is bytes and messages.
type Traffic struct {
	Bytes    int64 `json:"bytes"`
	Messages int64 `json:"messages"`
}

// Second is what a process, or all of a fleet, came to in one second. Bytes are those of letters, without headers of IP.
type Second struct {
	Unix        int64              `json:"unix"`
	Span        int64              `json:"span"`  // seconds that it covers up to this one: more than one where the process lacked time
	Nodes       int                `json:"nodes"` // that are up
	Sent        map[string]Traffic `json:"sent"`  // by kind: datagrams, exchanges, streams
	Received    map[string]Traffic `json:"received"`
	FromWhole   int64              `json:"from_whole"` // bytes received of whole daemons without a relay
	Cut         int64              `json:"cut"`        // datagrams and pieces that the filter dropped
	Dropped     int64              `json:"dropped"`    // that nobody had time for
	Flooded     int64              `json:"flooded"`    // of senders past their pace
	Refused     int64              `json:"refused"`    // exchanges past those served at once
	WorstNode   int                `json:"worst_node"`
	WorstSent   int64              `json:"worst_sent"` // bytes, of that node
	WorstMost   int64              `json:"worst_received"`
	CPU         float64            `json:"cpu_s"`       // processor seconds, all nodes together, with the process around them
	RSS         int64              `json:"rss"`         // bytes resident now, all processes together
	Peak        int64              `json:"peak"`        // at the most so far
	Changes     int64              `json:"changes"`     // of views
	LastChange  int64              `json:"last_change"` // Unix ms of the last change of any view
	Views       map[string]int     `json:"views"`       // nodes by their view: size and hash
	Tokens      Tokens             `json:"tokens"`      // in this second
	Calls       Calls              `json:"calls"`       // now
	Late        float64            `json:"late_s"`      // by which this line is late: the process lacked time
	PerNode     float64            `json:"-"`           // bytes sent, by a node in the mean
	CPUPerNode  float64            `json:"-"`           // processor seconds of a node in the mean
	RSSPerNode  float64            `json:"-"`           // bytes resident of a node in the mean, with its part of the process
	MessagesOut float64            `json:"-"`           // by a node in the mean
}

// Tokens are what became of tokens that nodes were to claim. Times are milliseconds.
type Tokens struct {
	Wanted     int64   `json:"wanted"`
	TurnedAway int64   `json:"turned_away"`
	Begun      int64   `json:"begun"`
	Kept       int64   `json:"kept"`
	Late       int64   `json:"late"`
	Taken      int64   `json:"taken"`
	BeginMS    float64 `json:"begin_ms"` // to the agreed start, in the mean
	BeginMost  float64 `json:"begin_most_ms"`
}

// Calls are units of the fleet's limit.
type Calls struct {
	Wanted  int64 `json:"wanted"`
	Allowed int64 `json:"allowed"`
	InHand  int64 `json:"in_hand"`
}

// ViewName tells views apart.
func ViewName(size int, hash uint64) string { return fmt.Sprintf("%d %016x", size, hash) }
