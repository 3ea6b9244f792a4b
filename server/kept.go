package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"topazpost/internal/node"
	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/internal/resultcache/segmentstore"
)

const (
	keptWaiting   = 4_096            // records that may wait for the disk; more count as not written
	groupMost     = 256              // records in one group
	recordsAtOnce = 1_024            // records of an earlier life handed on at once
	expireEvery   = 10 * time.Second // between looks for segments that are past their windows
	lockName      = "lock"
)

var errWaiting = errors.New("too many records wait for the disk")

// keeping writes records to the store, away from the loop: a slow disk holds up only what waits for it.
type keeping struct {
	s      *Server
	what   *cacheconfig.Config
	began  time.Time // its clock starts from there, so that one that is set moves no window
	in     chan *resultcache.Record
	unlock func()
	log    *segmentstore.Log
	first  []segmentstore.Record
}

// LockStore keeps a folder from any other node, and from commands that write to it, until unlock.
func LockStore(folder string) (unlock func(), err error) {
	lock, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("store: %s is in use by a node, or by another command; stop that first", folder)
	}
	return func() { lock.Close() }, nil
}

// openKept opens the store of a node, locked against any other.
func openKept(s *Server, what *cacheconfig.Config) (*keeping, error) {
	k := &keeping{s: s, what: what, began: time.Now(), in: make(chan *resultcache.Record, keptWaiting)}
	if err := os.MkdirAll(what.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var err error
	if k.unlock, err = LockStore(what.Folder); err != nil {
		return nil, err
	}
	var dropped []segmentstore.TruncatedTail
	k.log, k.first, dropped, err = segmentstore.Open(segmentstore.Directory(what.Folder), what.Limits)
	if err != nil {
		k.unlock()
		return nil, err
	}
	for _, d := range dropped {
		s.log.Warn().Str("segment", d.Name).Int64("bytes", d.Bytes).Msg("a crash left this unfinished; nothing of it was acknowledged")
	}
	k.log.RetainUntil(k.now() + what.Cache.Window)
	return k, nil
}

// now is Unix time as it was at the start, and what has passed since.
func (k *keeping) now() int64 { return k.began.UnixNano() + int64(time.Since(k.began)) }

// run gives what an earlier life kept, then writes until the node ends.
func (k *keeping) run() {
	defer k.unlock()
	for len(k.first) > 0 {
		n := min(recordsAtOnce, len(k.first))
		var batch []resultcache.Record
		for i := range k.first[:n] {
			r := &k.first[i]
			batch = append(batch, resultcache.Record{Key: resultcache.Key{Operation: r.Operation, Tenant: r.Tenant, Token: r.Token}, BodyHash: r.BodyHash,
				Completed: r.Kind == segmentstore.RunEnded, Outcome: resultcache.Outcome(r.Outcome), Result: r.Result})
		}
		k.first = k.first[n:]
		if !k.s.tell(node.Input{Kind: node.RecordsRecovered, Records: batch}) {
			return
		}
	}
	k.s.tell(node.Input{Kind: node.RecoveryCompleted})
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case first := <-k.in:
			k.write(k.gather(first))
		case <-expire.C:
			if err := k.log.Expire(k.now()); err != nil {
				k.s.limited.Warn().Err(err).Msg("segments can't be removed")
			}
		case <-k.s.ctx.Done():
			for range len(k.in) {
				k.write([]*resultcache.Record{<-k.in})
			}
			k.log.Close()
			return
		}
	}
}

// gather waits a moment for more, so that they share the syncs.
func (k *keeping) gather(first *resultcache.Record) []*resultcache.Record {
	group := []*resultcache.Record{first}
	if k.what.Durability == cacheconfig.SyncEach {
		return group
	}
	end := time.NewTimer(time.Duration(k.what.BatchWindow))
	defer end.Stop()
	for len(group) < groupMost {
		select {
		case next := <-k.in:
			group = append(group, next)
		case <-end.C:
			return group
		}
	}
	return group
}

func (k *keeping) write(group []*resultcache.Record) {
	records := make([]segmentstore.Record, len(group))
	in := node.Input{Kind: node.RecordWritten}
	now := k.now()
	for i, s := range group {
		records[i] = segmentstore.Record{Kind: segmentstore.RunStarted, Operation: s.Key.Operation, Tenant: s.Key.Tenant, Token: s.Key.Token, BodyHash: s.BodyHash,
			ExpiresAt: now + s.Remaining}
		if s.Completed {
			records[i].Kind, records[i].Outcome, records[i].Result = segmentstore.RunEnded, uint8(s.Outcome), s.Result
		}
		in.Records = append(in.Records, *s)
	}
	err := k.log.Write(records, true)
	if errors.Is(err, segmentstore.ErrFull) {
		if err = k.log.Expire(now); err == nil {
			err = k.log.Write(records, true)
		}
	}
	if err != nil {
		in.Kind, in.Err = node.RecordWriteFailed, err
	}
	k.s.tell(in)
}

// keep hands a record to the writer; where too many wait it counts as not written.
func (k *keeping) keep(e *node.Effect) {
	select {
	case k.in <- e.Record:
	default:
		kept := []resultcache.Record{*e.Record}
		k.s.group.Go(func() error {
			k.s.tell(node.Input{Kind: node.RecordWriteFailed, Records: kept, Err: errWaiting})
			return nil
		})
	}
}
