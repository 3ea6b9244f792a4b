package emulator

import (
	"fmt"
	"math"

	"topazpost/internal/node"
)

// scheduleFault has a fault strike at its time.
func (f *fleet) scheduleFault(x *Fault) {
	struck := max(1, int(math.Round(x.Part*float64(len(f.machines)))))
	first := f.Rand.Intn(len(f.machines))
	each := func(do func(k int, m *machine)) func() {
		return func() {
			for k := range struck {
				do(k, f.machines[(first+k)%len(f.machines)])
			}
		}
	}
	f.At(f.start+x.At, func() {
		f.total.Troubles = append(f.total.Troubles, fmt.Sprintf("%.1f s: %s", float64(x.At)/1e9, x.Kind))
	})
	switch x.Kind {
	case "kill":
		f.At(f.start+x.At, each(func(_ int, m *machine) { m.kill() }))
		f.At(f.start+x.At+x.For, each(func(_ int, m *machine) { m.reboot() }))
	case "restart": // one after the other within For; dispatchers do not hear of it but by their answers
		f.At(f.start+x.At, each(func(k int, m *machine) {
			f.After(x.For*int64(k)/int64(struck), m.restart)
		}))
	case "slow":
		f.At(f.start+x.At, each(func(_ int, m *machine) { m.cores.SetFactor(1 / x.By) }))
		f.At(f.start+x.At+x.For, each(func(_ int, m *machine) { m.cores.SetFactor(1) }))
	case "pause":
		f.At(f.start+x.At, each(func(_ int, m *machine) { m.cores.SetFactor(0) }))
		f.At(f.start+x.At+x.For, each(func(_ int, m *machine) { m.cores.SetFactor(1) }))
	case "ledger":
		f.At(f.start+x.At, func() { f.ledger.SetFactor(1 / x.By) })
		f.At(f.start+x.At+x.For, func() { f.ledger.SetFactor(1) })
	case "adopt":
		f.At(f.start+x.At, each(func(_ int, m *machine) {
			m.deliver(node.Input{Kind: node.PlanChanged, Plan: f.day.Next})
		}))
	case "release":
		f.At(f.start+x.At, each(func(k int, m *machine) {
			f.After(x.For*int64(k)/int64(struck), m.release)
		}))
	}
}
