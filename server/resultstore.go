package server

import (
	"errors"
	"fmt"
	"os"
	"time"

	"topazpost/internal/node"
	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/cacheconfig"
	"topazpost/internal/resultcache/segmentstore"
)

const (
	maxQueuedRecords     = 4_096            // records that may wait for the disk; more count as not written
	maxRecordsPerBatch   = 256              // records in one group
	maxRecoveredPerInput = 1_024            // records of an earlier life handed on at once
	expireInterval       = 10 * time.Second // between looks for segments that are past their windows
	lockFileName         = "lock"
)

var errRecordQueueFull = errors.New("too many records wait for the disk")

// resultStore writes records to the store, away from the loop: a slow disk holds up only what waits for it.
type resultStore struct {
	server    *Server
	config    *cacheconfig.Config
	startedAt time.Time // its clock starts from there, so that one that is set moves no window
	queue     chan *resultcache.Record
	unlock    func()
	log       *segmentstore.Log
	recovered []segmentstore.Record
}

// openResultStore opens the store of a node, locked against any other.
func openResultStore(s *Server, config *cacheconfig.Config) (*resultStore, error) {
	k := &resultStore{server: s, config: config, startedAt: time.Now(), queue: make(chan *resultcache.Record, maxQueuedRecords)}
	if err := os.MkdirAll(config.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	var err error
	if k.unlock, err = LockStore(config.Folder); err != nil {
		return nil, err
	}
	var truncated []segmentstore.TruncatedTail
	k.log, k.recovered, truncated, err = segmentstore.Open(segmentstore.Directory(config.Folder), config.Limits)
	if err != nil {
		k.unlock()
		return nil, err
	}
	for _, d := range truncated {
		s.log.Warn().Str("segment", d.Name).Int64("bytes", d.Bytes).Msg("a crash left this unfinished; nothing of it was acknowledged")
	}
	k.log.RetainUntil(k.now() + config.Cache.Window)
	return k, nil
}

// now is Unix time as it was at the start, and what has passed since.
func (k *resultStore) now() int64 { return k.startedAt.UnixNano() + int64(time.Since(k.startedAt)) }

// run gives what an earlier life kept, then writes until the node ends.
func (k *resultStore) run() {
	defer k.unlock()
	for len(k.recovered) > 0 {
		n := min(maxRecoveredPerInput, len(k.recovered))
		var batch []resultcache.Record
		for i := range k.recovered[:n] {
			r := &k.recovered[i]
			batch = append(batch, resultcache.Record{Key: resultcache.Key{Operation: r.Operation, Tenant: r.Tenant, Token: r.Token}, BodyHash: r.BodyHash,
				Completed: r.Kind == segmentstore.RunEnded, Outcome: resultcache.Outcome(r.Outcome), Result: r.Result})
		}
		k.recovered = k.recovered[n:]
		if !k.server.enqueueInput(node.Input{Kind: node.RecordsRecovered, Records: batch}) {
			return
		}
	}
	k.server.enqueueInput(node.Input{Kind: node.RecoveryCompleted})
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case first := <-k.queue:
			k.writeBatch(k.collectBatch(first))
		case <-expire.C:
			if err := k.log.Expire(k.now()); err != nil {
				k.server.limitedLog.Warn().Err(err).Msg("segments can't be removed")
			}
		case <-k.server.ctx.Done():
			for range len(k.queue) {
				k.writeBatch([]*resultcache.Record{<-k.queue})
			}
			k.log.Close()
			return
		}
	}
}

// collectBatch waits a moment for more, so that they share the syncs.
func (k *resultStore) collectBatch(first *resultcache.Record) []*resultcache.Record {
	batch := []*resultcache.Record{first}
	if k.config.Durability == cacheconfig.SyncEach {
		return batch
	}
	end := time.NewTimer(time.Duration(k.config.BatchWindow))
	defer end.Stop()
	for len(batch) < maxRecordsPerBatch {
		select {
		case next := <-k.queue:
			batch = append(batch, next)
		case <-end.C:
			return batch
		}
	}
	return batch
}

func (k *resultStore) writeBatch(batch []*resultcache.Record) {
	records := make([]segmentstore.Record, len(batch))
	in := node.Input{Kind: node.RecordWritten}
	now := k.now()
	for i, s := range batch {
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
	k.server.enqueueInput(in)
}

// enqueue hands a record to the writer; where too many wait it counts as not written.
func (k *resultStore) enqueue(e *node.Effect) {
	select {
	case k.queue <- e.Record:
	default:
		rejected := []resultcache.Record{*e.Record}
		k.server.group.Go(func() error {
			k.server.enqueueInput(node.Input{Kind: node.RecordWriteFailed, Records: rejected, Err: errRecordQueueFull})
			return nil
		})
	}
}
