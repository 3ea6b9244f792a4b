package ember

import (
	"strconv"
	"strings"

	"topazpost/node"
)

// Plate is a nameplate as it came over the wire, with the names that the door needs to read events.
type Plate struct {
	Nameplate  node.Nameplate
	operations map[string]int32
	tenants    map[string]int32
	gauges     []string
}

// pairs are the path=value settings of a start.
type pairs struct {
	values map[string]string
	f      *fields
}

func (p pairs) text(path string) string { return p.values[path] }

func (p pairs) number(path string) float64 {
	v, ok := p.values[path]
	if !ok || v == "" || v == "-" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		p.f.fail(path + "=" + v)
	}
	return n
}

func (p pairs) time(path string) int64 { return int64(p.number(path) * 1e6) }

func (p pairs) flag(path string) bool { return p.text(path) == "true" || p.text(path) == "1" }

// count is the length of a list; a list announced longer than its items can be is malformed.
func (p pairs) count(path string) int {
	n := p.number(path + ".count")
	if n < 0 || n > float64(len(p.values)) {
		p.f.fail(path + ".count=" + p.text(path+".count"))
		return 0
	}
	return int(n)
}

func (p pairs) list(path string) []string {
	if p.text(path) == "" {
		return nil
	}
	return strings.Split(p.text(path), ",")
}

// ReadPlate reads a PROVISION line.
func ReadPlate(line []string) (*Plate, error) {
	f := &fields{name: line[0], values: line[1:]}
	seed := int64(f.id())
	p := pairs{values: make(map[string]string, len(f.values)), f: f}
	for _, pair := range f.values {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			f.fail(pair)
		}
		p.values[path] = value
	}
	plate := &Plate{
		operations: make(map[string]int32), tenants: make(map[string]int32),
		gauges: p.list("family_info.gauges"),
	}
	plate.Nameplate = node.Nameplate{
		Seed:          seed,
		OverShare:     p.number("over_share_worth"),
		ByWork:        p.text("counted_by") == "work",
		Cores:         max(1, int(p.number("family_info.n_cores"))),
		MemoryKB:      p.number("family_info.memory_kb"),
		Blowup:        max(1, p.number("family_info.blowup")),
		EntryKB:       p.number("family_info.entry_kb"),
		Callers:       int(p.number("family_info.clients_total")),
		Peers:         int(p.number("group_size")),
		CallShare:     p.number("family_info.calls_out"),
		CallSpan:      p.time("family_info.calls_over"),
		Linger:        p.time("family_info.linger"),
		ReuseFor:      p.time("family_info.share_for"),
		FullChecks:    p.flag("family_info.full_checks"),
		RetriesMarked: p.flag("client_habits.marks_retry"),
		Fresh:         p.flag("family_info.just_started"),
		ColdFrom:      p.number("guarantees.cold_from"),
		WarmAfter:     p.time("guarantees.warm_after"),
		TipMultiple:   p.number("guarantees.tip_multiple"),
		DrainGrace:    p.time("guarantees.drain_grace"),
		Halting: map[string]node.Halting{
			"drop": node.DropHalt, "pause": node.PauseHalt}[p.text("family_info.halt")],
		Advice: map[string]node.Advice{"min_rank": node.LevelAdvice, "tokens": node.CreditAdvice,
			"bias": node.WeightAdvice}[p.text("family_info.advert")],
		Below: map[string]node.Below{
			"common": node.SharedBelow, "next_hop": node.TierBelow}[p.text("family_info.below")],
	}
	if p.flag("limits.retry_after") {
		plate.Nameplate.ComeBackMax = p.time("limits.max_retry_after")
	}
	p.operationsInto(plate)
	for i := range p.count("tenants") {
		at := "tenants." + strconv.Itoa(i)
		plate.tenants[p.text(at+".name")] = int32(i)
		plate.Nameplate.TenantRates = append(plate.Nameplate.TenantRates, p.number(at+".quota_rps"))
	}
	return plate, f.err
}

func (p pairs) operationsInto(plate *Plate) {
	calls, skips := p.list("family_info.class_calls"), p.list("family_info.class_skip_worth")
	for i := range p.count("grades") {
		at := "grades." + strconv.Itoa(i)
		op := node.Operation{
			Objective:     p.time(at + ".aim"),
			Stretch:       p.number(at + ".aim_stretch"),
			ClientTimeout: p.time(at + ".give_up"),
			Window:        p.time(at + ".window"),
			BilledValue:   p.number(at + ".importance"),
			LateShare:     p.number(at + ".late_share"),
			MayCall:       i < len(calls) && calls[i] == "true",
			Effect: map[string]node.Effect{"deduplicated": node.Tokened,
				"at_most_once": node.NonIdempotent}[p.text(at+".effect")],
		}
		if i < len(skips) {
			share, err := strconv.ParseFloat(skips[i], 64)
			if err != nil {
				p.f.fail(skips[i])
			}
			op.SkipShare = share
		}
		plate.operations[p.text(at+".name")] = int32(i)
		plate.Nameplate.Operations = append(plate.Nameplate.Operations, op)
	}
}
