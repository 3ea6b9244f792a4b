package processfleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/nodeconfig"
	"topazpost/server"
)

// put has one command ordered, at one seat after the other until there is a verdict.
func (f *processVersions) put(ctx context.Context, c *configsync.Command, chance *rand.Rand) *configsync.Verdict {
	for ctx.Err() == nil {
		i := chance.Intn(f.terms.Seats)
		f.mu.Lock()
		up := f.up[i]
		f.mu.Unlock()
		if up {
			if a, err := f.question(i, &configsync.Query{Kind: configsync.QueryPropose, Command: c}); err == nil && a.Verdict != nil {
				return a.Verdict
			}
		}
		time.Sleep(putBackoff)
	}
	return nil
}

// putAll puts what callers want at its time, one command at a time.
func (f *processVersions) putAll(ctx context.Context, list []timedChange, base uint64) {
	chance, seq := rand.New(rand.NewSource(f.p.seed)), uint64(0)
	for len(list) > 0 && ctx.Err() == nil {
		n, named := 0, map[string]bool{} // a put has each item once, and what is new alone
		for now := f.p.now(); n < len(list) && n < maxPutChanges && list[n].at <= now && (n == 0 || !list[n].isNew && !list[0].isNew) && !named[list[n].item.Name]; n++ {
			named[list[n].item.Name] = true
		}
		if n == 0 {
			time.Sleep(putBackoff)
			continue
		}
		some, began := list[:n], f.p.now()
		list = list[n:]
		command := &configsync.Command{Kind: configsync.CommandPut, Caller: "rig"}
		for _, x := range some {
			command.Changes = append(command.Changes, x.item)
		}
		v := f.until(ctx, command, &seq, &base, chance)
		if v == nil {
			return
		}
		f.mu.Lock()
		for _, x := range some {
			x.version = v.Version
		}
		f.agreedAt[v.Version] = began // not later than it was agreed on
		f.puts = append(f.puts, seconds(f.p.now()-began))
		f.mu.Unlock()
		if some[0].isNew {
			f.rollBackTo(ctx, v.Version, &seq, &base, chance)
		}
	}
}

// until puts a command anew on the newest version until it is done.
func (f *processVersions) until(ctx context.Context, command *configsync.Command, seq, base *uint64, chance *rand.Rand) *configsync.Verdict {
	for ctx.Err() == nil {
		again := *command
		*seq++
		again.Seq = *seq
		again.Base = *base
		v := f.put(ctx, &again, chance)
		if v == nil {
			return nil
		}
		if *base = v.Version; v.Done {
			return v
		}
		f.mu.Lock()
		f.logNowf("a change is refused: %s", v.Refused)
		f.mu.Unlock()
		time.Sleep(putBackoff)
	}
	return nil
}

// rollBackTo waits until what an older build can't take is stopped, and goes back.
func (f *processVersions) rollBackTo(ctx context.Context, version uint64, seq, base *uint64, chance *rand.Rand) {
	for ctx.Err() == nil {
		f.mu.Lock()
		h := f.agreed.Head
		good := f.agreed.RollbackVersions
		f.mu.Unlock()
		to := h.All.Version
		switch {
		case h.Stopped && h.Canary.Version >= version:
			f.stops++
		case to >= version && len(good) > 0:
			to = good[len(good)-1]
		default:
			time.Sleep(putBackoff)
			continue
		}
		v := f.until(ctx, &configsync.Command{Kind: configsync.CommandRollback, Caller: "rig", Version: to}, seq, base, chance)
		if v != nil {
			f.mu.Lock()
			f.undone = append(f.undone, [2]uint64{to, v.Version})
			f.logNowf("version %d takes version %d back to %d", v.Version, version, to)
			f.mu.Unlock()
		}
		return
	}
}

// timedChange is a change that is wanted at a time.
type timedChange struct {
	*wantedChange
	at int64
}

// wantedAt draws the changes of a play.
func (f *processVersions) wantedAt(start, end int64) (list []timedChange) {
	for _, c := range f.terms.Changes {
		last := min(end, start+int64(c.At)+int64(c.For)+1)
		for at := start + int64(c.At); at < last; at += int64(c.Every) {
			x := &wantedChange{isNew: c.New, item: tenantOf(f.chance.Intn(f.terms.Tenants), len(list)+1)}
			if c.New {
				x.item = configsync.Item{Part: configsync.Operations, Name: "new", Value: []byte(newItem)}
			}
			f.changes = append(f.changes, x)
			list = append(list, timedChange{x, at})
			if c.Every <= 0 {
				break
			}
		}
	}
	slices.SortStableFunc(list, func(a, b timedChange) int { return cmp.Compare(a.at, b.at) })
	return list
}

func tenantOf(k, count int) configsync.Item {
	return configsync.Item{Part: configsync.Tenants, Name: fmt.Sprintf("tenant-%05d", k), Value: fmt.Appendf(nil, `{"quota_rps":%d}`, 1+count)}
}

// loadFile puts the operations and limits of a whole node's file and the first tenants, and waits until all have them.
func (f *processVersions) loadFile(ctx context.Context) (uint64, error) {
	text, err := json.Marshal(f.p.config(0))
	if err != nil {
		return 0, err
	}
	n, err := server.DecodeConfig(bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	var items []configsync.Item
	found, _ := nodeconfig.Diff(nil, n.Settings)
	for k := range found {
		items = append(items, configsync.Item(found[k]))
	}
	for k := range f.terms.Tenants {
		items = append(items, tenantOf(k, 0))
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(putTimeout))
	defer stop()
	chance, version := rand.New(rand.NewSource(f.p.seed)), uint64(0)
	for k := 0; k < len(items); k += maxPieceItems {
		c := &configsync.Command{Kind: configsync.CommandPut, Caller: "file", Seq: uint64(k/maxPieceItems) + 1, Piece: k / maxPieceItems,
			MorePieces: k+maxPieceItems < len(items), Changes: items[k:min(len(items), k+maxPieceItems)]}
		v := f.put(ctx, c, chance)
		if v == nil || !v.Done {
			return 0, fmt.Errorf("the first content was not put: %+v", v)
		}
		version = v.Version
	}
	for ctx.Err() == nil {
		f.mu.Lock()
		behind := slices.IndexFunc(f.has, func(m configsync.Revision) bool { return m.Version < version })
		f.mu.Unlock()
		if behind < 0 {
			return version, nil
		}
		time.Sleep(putBackoff)
	}
	return 0, fmt.Errorf("the first content was not in force everywhere within %.0f s", seconds(putTimeout))
}
