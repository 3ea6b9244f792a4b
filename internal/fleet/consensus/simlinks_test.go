package consensus

import (
	"math/rand"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"topazpost/internal/fleet/claims"
)

// send sends an encoded message over a link, which may be cut, lose, delay or duplicate it.
func (s *simulation) send(from int, to string, m Message) {
	i := slices.IndexFunc(s.nodes, func(x *simNode) bool { return x.name == to })
	if i < 0 {
		return
	}
	if i != from && (s.cutLinks[[2]int{from, i}] || s.random.Float64() < s.loss) {
		return
	}
	encoded, err := cbor.Marshal(m)
	if err != nil {
		s.fail("message can't be encoded: %v", err)
		return
	}
	delay := int64(0)
	if i != from {
		delay = ms/5 + s.random.Int63n(ms)
		if !s.stable && s.random.Intn(50) == 0 {
			delay += s.random.Int63n(300 * ms)
		}
	}
	copies := 1
	if !s.stable && s.random.Intn(50) == 0 {
		copies = 2
	}
	for range copies {
		s.at(s.now+delay, i, func() {
			got := new(Message)
			if cbor.Unmarshal(encoded, got) == nil {
				s.receive(i, got)
			}
		})
	}
}

func (s *simulation) receive(i int, msg *Message) {
	node := s.nodes[i]
	switch msg.Kind {
	case MessageVerdicts, MessageClaimsEnded, MessageReassignment:
		if msg.Owner != node.owner() {
			return
		}
		node.receiveAnswer(msg)
	default:
		if node.replica != nil {
			node.replicaInputs = append(node.replicaInputs, Input{Message: msg})
		}
	}
	s.wakeNow(i)
}

func (n *simNode) receiveAnswer(msg *Message) {
	for k := range msg.ClaimVerdicts {
		n.clientInputs = append(n.clientInputs, claims.Input{Kind: claims.VerdictReceived, Verdict: msg.ClaimVerdicts[k]})
	}
	n.configVerdicts = append(n.configVerdicts, msg.ConfigVerdicts...)
	for _, key := range msg.Keys {
		n.clientInputs = append(n.clientInputs, claims.Input{Kind: claims.EndNotified, Key: key})
	}
	if e := msg.Claim; e != nil {
		n.clientInputs = append(n.clientInputs, claims.Input{Kind: claims.ClaimAssigned, Key: e.Key, BodyHash: e.BodyHash,
			Remaining: msg.Remaining, Retention: e.Retention, Work: e.Work, InvocationID: e.InvocationID, Fence: e.Fence})
	}
}

// cutFrom cuts the links from a node to a random half of the others.
func (s *simulation) cutFrom(i int, random *rand.Rand) {
	for k := range s.nodes {
		if k != i && random.Intn(2) == 0 {
			s.cutLinks[[2]int{i, k}] = true
		}
	}
}

// cutOff cuts the links from all other nodes to a node, and those from it to a random half of them.
func (s *simulation) cutOff(i int, random *rand.Rand) {
	for k := range s.nodes {
		if k != i {
			s.cutLinks[[2]int{k, i}] = true
			s.cutLinks[[2]int{i, k}] = random.Intn(2) == 0
		}
	}
}
