package control

import (
	"topazpost/node"
)

const start = 1_000 * 1_000 * ms

// post is a sound, warm node of two cores with one idempotent and one tokened operation.
func post(change ...func(*node.Nameplate)) *Post {
	plate := &node.Nameplate{
		Operations: []node.Operation{
			{Objective: 1_000 * ms, ClientTimeout: 3_000 * ms, BilledValue: 1, MayCall: true},
			{Objective: 1_000 * ms, ClientTimeout: 3_000 * ms, BilledValue: 5, Effect: node.Tokened,
				Window: 5_000 * ms, MayCall: true},
		},
		Cores: 2, MemoryKB: 1_000, Blowup: 4, EntryKB: 1, Peers: 2, Below: node.SharedBelow,
		CallShare: 2.4, CallSpan: 5_000 * ms, TipMultiple: 4, DrainGrace: 2_000 * ms,
		ComeBackMax: 1_000 * ms, Halting: node.PauseHalt,
	}
	for _, c := range change {
		c(plate)
	}
	return New(plate, start)
}

// put adds an invocation that arrived now, in the given state, and returns it.
func put(p *Post, op int, s state) *invocation {
	p.invs = append(p.invs, invocation{op: &p.ops[op], tenant: -1, arrived: p.now, base: float64(100 * ms), part: 1, worth: 1,
		due: p.now + p.ops[op].ClientTimeout, kb: 10, ran: s == running || s == standing || s == calling})
	p.live = append(p.live, int32(len(p.invs)-1))
	p.opened++
	v := &p.invs[len(p.invs)-1]
	p.shift(v, s)
	return v
}

// kinds lists the kinds of the actions decided so far.
func kinds(p *Post) []node.ActionKind {
	list := []node.ActionKind{}
	for _, a := range p.out {
		list = append(list, a.Kind)
	}
	return list
}
