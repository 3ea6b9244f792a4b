package membership

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// event is a scheduled action in a simulated fleet.
type event struct {
	at, order int64
	run       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].order < q[b].order
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation is a fleet of nodes that send each other datagrams and exchanges, some of which are lost. Its digest covers all
// effects of all nodes.
type simulation struct {
	t           *testing.T
	now         int64
	order       int64
	events      eventQueue
	random      *rand.Rand
	loss        float64
	nodes       map[string]*simulatedNode // by address
	partitioned map[string]bool           // addresses that reach only each other
	digest      hash.Hash
}

type simulatedNode struct {
	address          string
	members          *Members
	wakeAt           int64
	incarnation      int
	paused           bool
	pendingExchanges map[int]func(*Message)
	lastExchange     int
}

func (s *simulation) after(delay int64, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + delay, s.order, run})
}

func (s *simulation) delay() int64 { return ms + s.random.Int63n(20*ms) }

// start starts a node in a new incarnation.
func (s *simulation) start(k int, seeds []string) {
	address := fmt.Sprintf("10.0.0.%d:9", k)
	n := s.nodes[address]
	if n == nil {
		n = &simulatedNode{address: address}
		s.nodes[address] = n
	}
	n.incarnation++
	n.pendingExchanges = map[int]func(*Message){}
	config := Config{Name: fmt.Sprintf("n%d", k), Address: address, Zone: fmt.Sprintf("z%d", k%3), Version: "1", Seeds: seeds,
		ProbeInterval: 500 * ms, LinkTimeout: 3_500 * ms, SuspicionTimeout: 400 * ms, ForgetTimeout: 20_000 * ms, MaxMembers: 64}
	n.members = New(config, s.now, s.now+1, 0, s.random.Int63())
	s.step(n)
}

// encodeAndDecode returns a copy of a message made by its encoding, and the encoding.
func encodeAndDecode(t *testing.T, m *Message) (*Message, []byte) {
	t.Helper()
	encoded, err := cbor.Marshal(m)
	require.NoError(t, err)
	copied := new(Message)
	require.NoError(t, cbor.Unmarshal(encoded, copied))
	return copied, encoded
}

// step steps a node, adds its effects to the digest and executes them.
func (s *simulation) step(n *simulatedNode, inputs ...Input) {
	if n.paused {
		return
	}
	effects, wake := n.members.Step(s.now, s.now, inputs)
	incarnation := n.incarnation
	write := func(values ...int64) {
		for _, v := range values {
			_ = binary.Write(s.digest, binary.LittleEndian, v)
		}
	}
	write(s.now, wake, int64(len(effects)))
	for k := range effects {
		e := &effects[k]
		message, encoded := encodeAndDecode(s.t, &e.Message)
		write(int64(e.Kind), int64(e.ExchangeID), int64(e.Change.Number), int64(e.Change.Cause), int64(e.Change.Incarnation), e.Change.DetectionDelay,
			int64(e.Change.Size), int64(e.Change.Hash))
		_, _ = s.digest.Write(append(encoded, e.To+e.Change.Member+e.Change.ReportedBy...))
		s.execute(n, e.Kind, e.To, e.ExchangeID, message)
	}
	n.wakeAt = max(s.now+1, wake)
	s.after(n.wakeAt-s.now, func() {
		if n.incarnation == incarnation && s.now >= n.wakeAt { // otherwise a later step has scheduled another wake
			s.step(n)
		}
	})
}

// execute delivers a message after a delay, unless it is lost.
func (s *simulation) execute(n *simulatedNode, kind EffectKind, to string, exchangeID int, message *Message) {
	incarnation := n.incarnation
	peer := s.nodes[to]
	lost := peer == nil || s.random.Float64() < s.loss || s.partitioned[to] != s.partitioned[n.address]
	switch kind {
	case Send:
		if !lost {
			s.after(s.delay(), func() { s.step(peer, Input{Kind: DatagramReceived, Message: message}) })
		}
	case Exchange:
		answered := func(input Input) {
			if n.incarnation == incarnation {
				s.step(n, input)
			}
		}
		if lost {
			s.after(s.delay(), func() { answered(Input{Kind: ExchangeFailed, ExchangeID: exchangeID}) })
			return
		}
		s.after(s.delay(), func() {
			peer.lastExchange++
			peer.pendingExchanges[peer.lastExchange] = func(answer *Message) {
				s.after(s.delay(), func() { answered(Input{Kind: ExchangeAnswered, ExchangeID: exchangeID, Message: answer}) })
			}
			s.step(peer, Input{Kind: ExchangeOpened, ExchangeID: peer.lastExchange, Message: message})
		})
	case Reply:
		if reply := n.pendingExchanges[exchangeID]; reply != nil {
			delete(n.pendingExchanges, exchangeID)
			reply(message)
		}
	}
}

// injectFault injects a random fault: a restart, a drain, a partition, a pause or changed facts.
func (s *simulation) injectFault(nodes int, seeds []string) {
	k := 1 + s.random.Intn(nodes)
	n := s.nodes[fmt.Sprintf("10.0.0.%d:9", k)]
	switch s.random.Intn(6) {
	case 0:
		s.start(k, seeds)
	case 1:
		s.step(n, Input{Kind: Leaving})
		s.after(2_000*ms, func() { s.start(k, seeds) })
	case 2:
		s.partitioned[n.address] = true
		s.after(6_000*ms, func() { delete(s.partitioned, n.address) })
	case 3:
		n.paused = true
		s.after(3_000*ms, func() {
			n.paused = false
			s.step(n)
		})
	case 4:
		s.step(n, Input{Kind: FactsChanged, Facts: Facts{Level: uint8(s.random.Intn(3)), NoExecutor: s.random.Intn(2) == 0}})
	case 5:
		for other := range nodes / 2 {
			address := fmt.Sprintf("10.0.0.%d:9", 1+other)
			s.partitioned[address] = true
			s.after(8_000*ms, func() { delete(s.partitioned, address) })
		}
	}
}

// Guards against changes of the protocol by a refactoring: the effects of Step in random simulated fleets must match the
// recorded digests, which change only with the protocol.
func TestDigestsOfMembershipSteps(t *testing.T) {
	for _, c := range []struct {
		name   string
		seed   int64
		nodes  int
		loss   float64
		digest string
	}{
		{"three nodes", 1, 3, 0, "6fda05355136577c2e141de6208e7221c3b198e35779433f90003de15d83ad33"},
		{"twelve nodes with loss", 2, 12, 0.1, "5d7dc08b5a137a266a1039d6aee0771e594a229ac3b9624661ef41d7c993cef4"},
		{"forty nodes", 3, 40, 0.02, "a4e13c0953df3d588f4a5d7c31d5dc61bb74416b78d765046866d12a7b409f57"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &simulation{t: t, now: 1_000_000 * ms, random: rand.New(rand.NewSource(c.seed)), loss: c.loss,
				nodes: map[string]*simulatedNode{}, partitioned: map[string]bool{}, digest: sha256.New()}
			seeds := []string{"10.0.0.1:9", "10.0.0.2:9"}
			for k := range c.nodes {
				s.after(s.random.Int63n(1_000*ms), func() { s.start(1+k, seeds) })
			}
			for at := int64(8_000 * ms); at < 80_000*ms; at += 4_000 * ms {
				s.after(at, func() { s.injectFault(c.nodes, seeds) })
			}
			for end := s.now + 100_000*ms; s.events[0].at < end; {
				e := heap.Pop(&s.events).(event)
				s.now = e.at
				e.run()
			}
			assert.Equal(t, c.digest, fmt.Sprintf("%x", s.digest.Sum(nil)))
		})
	}
}
