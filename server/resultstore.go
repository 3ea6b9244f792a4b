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
	maxQueuedRecords     = 4_096 // more count as not written
	maxRecordsPerBatch   = 256
	maxRecoveredPerInput = 1_024
	expireInterval       = 10 * time.Second
	maxDamageLogged      = 20 // places, a line each
)

var errRecordQueueFull = errors.New("result store: too many records wait for the disk")

// resultStore writes records to disk in a goroutine of its own, so that a slow disk delays only the calls that wait for it.
type resultStore struct {
	server    *Server
	config    *cacheconfig.Config
	startedAt time.Time // now counts from here, so that setting the wall clock moves no deduplication window
	queue     chan *resultcache.Record
	unlock    func()
	log       *segmentstore.Log
	recovered []segmentstore.Record
	damaged   int // places of the store that can't be read
}

// openResultStore opens the node's result store, where the config names a folder for it.
func (s *Server) openResultStore() error {
	config := s.config.Keep
	if config == nil || config.Folder == "" || s.config.Hollow != nil {
		return nil
	}
	if s.config.hasConsensus() {
		return errors.New("keep: a folder and the fleet's council can't both keep results; leave out durability and folder, or the council")
	}
	if err := os.MkdirAll(config.Folder, 0o700); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	unlock, err := LockStore(config.Folder)
	if err != nil {
		return err
	}
	log, recovered, truncated, damage, err := segmentstore.Salvage(segmentstore.Directory(config.Folder), config.Limits)
	if err != nil {
		unlock()
		return err
	}
	s.logDamage(damage)
	for _, t := range truncated {
		s.log.Warn().Str("segment", t.Name).Int64("bytes", t.Bytes).Msg("a crash left this unfinished; nothing of it was acknowledged")
	}
	s.resultStore = &resultStore{
		server:    s,
		config:    config,
		startedAt: time.Now(),
		queue:     make(chan *resultcache.Record, maxQueuedRecords),
		unlock:    unlock,
		log:       log,
		recovered: recovered,
		damaged:   len(damage),
	}
	return nil
}

// logDamage logs the places of the store that can't be read, the first ones each.
func (s *Server) logDamage(damage []segmentstore.Damage) {
	for _, d := range damage[:min(len(damage), maxDamageLogged)] {
		s.log.Error().Str("segment", d.Segment).Int64("offset", d.Offset).Str("reason", d.Reason).
			Msg("stored results are damaged; the sound ones are served, the file is left as it is")
	}
	if more := len(damage) - maxDamageLogged; more > 0 {
		s.log.Error().Int("places", more).Msg("stored results are damaged at more places")
	}
}

// retainRecovered keeps what was recovered for a window, in nanoseconds, from now on.
func (r *resultStore) retainRecovered(window int64) { r.log.RetainUntil(r.now() + window) }

// now is Unix time in nanoseconds: that of the start plus the time that has passed since.
func (r *resultStore) now() int64 { return r.startedAt.UnixNano() + int64(time.Since(r.startedAt)) }

// run passes on the recovered records, then writes until the node ends.
func (r *resultStore) run() {
	defer r.close()
	if !r.passRecovered() {
		return
	}
	r.server.enqueueInput(node.Input{Kind: node.RecoveryCompleted, DamagedPlaces: r.damaged})
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case first := <-r.queue:
			r.writeBatch(r.collectBatch(first))
		case <-expire.C:
			if err := r.log.Expire(r.now()); err != nil {
				r.server.limitedLog.Warn().Err(err).Msg("segments can't be removed")
			}
		case <-r.server.ctx.Done():
			for range len(r.queue) {
				r.writeBatch([]*resultcache.Record{<-r.queue})
			}
			return
		}
	}
}

// close closes the store and unlocks its folder.
func (r *resultStore) close() {
	r.log.Close()
	r.unlock()
}

// passRecovered gives the state machine the records of an earlier process; false means that the node has ended.
func (r *resultStore) passRecovered() bool {
	for len(r.recovered) > 0 {
		n := min(maxRecoveredPerInput, len(r.recovered))
		batch := make([]resultcache.Record, n)
		for i := range batch {
			batch[i] = cacheRecord(&r.recovered[i])
		}
		r.recovered = r.recovered[n:]
		if !r.server.enqueueInput(node.Input{Kind: node.RecordsRecovered, Records: batch}) {
			return false
		}
	}
	return true
}

// cacheRecord converts a record as it is stored.
func cacheRecord(r *segmentstore.Record) resultcache.Record {
	return resultcache.Record{
		Key:       resultcache.Key{Operation: r.OperationName, Tenant: r.TenantName, Token: r.Token},
		Indices:   resultcache.Indices{Operation: r.Operation, Tenant: r.Tenant},
		BodyHash:  r.BodyHash,
		Completed: r.Kind == segmentstore.RunEnded,
		Outcome:   resultcache.Outcome(r.Outcome),
		Result:    r.Result,
	}
}

// storeRecord converts a record for storage; now is the store's time.
func storeRecord(r *resultcache.Record, now int64) segmentstore.Record {
	stored := segmentstore.Record{
		Kind:          segmentstore.RunStarted,
		Operation:     r.Indices.Operation,
		Tenant:        r.Indices.Tenant,
		OperationName: r.Key.Operation,
		TenantName:    r.Key.Tenant,
		Token:         r.Key.Token,
		BodyHash:      r.BodyHash,
		ExpiresAt:     now + r.Remaining,
	}
	if r.Completed {
		stored.Kind = segmentstore.RunEnded
		stored.Outcome = uint8(r.Outcome)
		stored.Result = r.Result
	}
	return stored
}

// collectBatch waits up to the batch window for more records, so that they share a sync.
func (r *resultStore) collectBatch(first *resultcache.Record) []*resultcache.Record {
	batch := []*resultcache.Record{first}
	if r.config.Durability == cacheconfig.SyncEach {
		return batch
	}
	end := time.NewTimer(time.Duration(r.config.BatchWindow))
	defer end.Stop()
	for len(batch) < maxRecordsPerBatch {
		select {
		case next := <-r.queue:
			batch = append(batch, next)
		case <-end.C:
			return batch
		}
	}
	return batch
}

// writeBatch writes records and reports the result to the state machine. A full store is retried once after expiry.
func (r *resultStore) writeBatch(batch []*resultcache.Record) {
	now := r.now()
	stored := make([]segmentstore.Record, len(batch))
	in := node.Input{Kind: node.RecordWritten}
	for i, r := range batch {
		stored[i] = storeRecord(r, now)
		in.Records = append(in.Records, *r)
	}
	err := r.log.Write(stored, true)
	if errors.Is(err, segmentstore.ErrFull) {
		if err = r.log.Expire(now); err == nil {
			err = r.log.Write(stored, true)
		}
	}
	if err != nil {
		in.Kind = node.RecordWriteFailed
		in.Err = err
	}
	r.server.enqueueInput(in)
}

// enqueue queues a record for the writer; one that finds the queue full counts as not written.
func (r *resultStore) enqueue(e *node.Effect) {
	select {
	case r.queue <- e.Record:
	default:
		rejected := []resultcache.Record{*e.Record}
		r.server.group.Go(func() error {
			r.server.enqueueInput(node.Input{Kind: node.RecordWriteFailed, Records: rejected, Err: errRecordQueueFull})
			return nil
		})
	}
}
