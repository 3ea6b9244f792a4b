package server

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"topazpost/internal/fleet/consensus"
	"topazpost/internal/node"
)

const (
	maxQueuedWrites = 256 // a replica has only a few writes pending
	baseFileName    = "base"
	logFilePrefix   = "log-"
	partFilePrefix  = "part-"
	temporarySuffix = ".new" // of a file that will be renamed into place
)

// replicaStorage is the folder of a replica of the consensus group: a base that is replaced by rename, parts that it refers
// to, and a log of the records that follow it. The base names its log by a generation, so that both change at once. A
// goroutine of its own writes to it.
type replicaStorage struct {
	server     *Server
	folder     string
	queue      chan *consensus.Write
	unlock     func()
	log        *os.File // nil without a base: then nothing is stored
	generation uint64
	failed     error
}

// recoverReplica opens the folder of the node's replica, where it has both, and gives the replica its contents.
func (s *Server) recoverReplica() error {
	if !s.config.hasConsensus() || s.config.Fleet.ConsensusGroup.Folder == "" || !s.state.HasReplica() {
		return nil
	}
	d, contents, err := openReplicaStorage(s, s.config.Fleet.ConsensusGroup.Folder)
	if err != nil {
		return err
	}
	now, _ := s.clock.Now()
	if err := s.state.RecoverReplica(now, contents); err != nil {
		d.close()
		return fmt.Errorf("seat: %s: %w", d.folder, err)
	}
	s.replica = d
	return nil
}

// openReplicaStorage opens and locks the folder of a replica and reads what is intact in it. A torn end of the log was never
// acknowledged; it is truncated and logged.
func openReplicaStorage(s *Server, folder string) (d *replicaStorage, contents consensus.DiskContents, err error) {
	d = &replicaStorage{server: s, folder: folder, queue: make(chan *consensus.Write, maxQueuedWrites)}
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return nil, contents, fmt.Errorf("seat: %w", err)
	}
	if d.unlock, err = LockStore(folder); err != nil {
		return nil, contents, err
	}
	truncated, err := d.read(&contents)
	if err != nil {
		d.close()
		return nil, contents, fmt.Errorf("seat: %w; nothing was changed. A seat that begins with an empty folder is seated anew by the others", err)
	}
	if truncated > 0 {
		s.log.Warn().Str("file", d.path(d.logName())).Int64("bytes", truncated).Msg("a crash left this unfinished; nothing of it was acknowledged, and it is cut off")
	}
	return d, contents, nil
}

func (r *replicaStorage) path(name string) string { return filepath.Join(r.folder, name) }

func (r *replicaStorage) logName() string { return fmt.Sprintf("%s%016x", logFilePrefix, r.generation) }

// read reads the base, its parts and its log, and removes files that the base doesn't refer to.
func (r *replicaStorage) read(contents *consensus.DiskContents) (truncated int64, err error) {
	data, err := os.ReadFile(r.path(baseFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, r.removeUnreferenced(nil)
	}
	if err != nil {
		return 0, err
	}
	r.generation, contents.Base, err = readBase(data)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", r.path(baseFileName), err)
	}
	contents.Parts, err = r.readParts()
	if err != nil {
		return 0, err
	}
	contents.Records, truncated, err = r.readLog()
	if err != nil {
		return 0, err
	}
	return truncated, r.removeUnreferenced(contents.Parts)
}

// readParts reads the parts by their digests.
func (r *replicaStorage) readParts() (map[string][]byte, error) {
	names, err := r.fileNames()
	if err != nil {
		return nil, err
	}
	parts := map[string][]byte{}
	for _, name := range names {
		digest, isPart := strings.CutPrefix(name, partFilePrefix)
		if !isPart || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		text, err := os.ReadFile(r.path(name))
		if err != nil {
			return nil, err
		}
		if fmt.Sprintf("%x", sha256.Sum256(text)) != digest {
			return nil, fmt.Errorf("%s: spoilt: it does not hold what its name says", r.path(name))
		}
		parts[digest] = text
	}
	return parts, nil
}

// readLog opens the log, reads its records, truncates a torn end and goes to the end of the rest.
func (r *replicaStorage) readLog() (records [][]byte, truncated int64, err error) {
	r.log, err = os.OpenFile(r.path(r.logName()), os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, err
	}
	data, err := os.ReadFile(r.path(r.logName()))
	if err != nil {
		return nil, 0, err
	}
	records, intact := readRecords(data)
	truncated = int64(len(data)) - intact
	if truncated > 0 {
		if err = r.log.Truncate(intact); err != nil {
			return nil, 0, err
		}
		if err = r.log.Sync(); err != nil {
			return nil, 0, err
		}
	}
	_, err = r.log.Seek(intact, io.SeekStart)
	return records, truncated, err
}

// enqueue queues a write. A replica asks for no more before the last ones are reported.
func (r *replicaStorage) enqueue(w *consensus.Write) {
	select {
	case r.queue <- w:
	case <-r.server.ctx.Done():
	}
}

// run writes until the node ends; writes still queued then count as lost, as in a crash.
func (r *replicaStorage) run() {
	defer r.close()
	for {
		select {
		case w := <-r.queue:
			r.writeQueued(w)
		case <-r.server.ctx.Done():
			return
		}
	}
}

// writeQueued performs a write and those queued behind it, with one sync for the records of several, and reports the last one.
func (r *replicaStorage) writeQueued(w *consensus.Write) {
	var records []byte
	for {
		if w.DiscardEarlier || w.Base != nil { // it replaces all records before it
			records = nil
			r.failed = errors.Join(r.failed, r.apply(w))
		} else {
			records = appendRecords(records, w.Records)
		}
		if len(r.queue) == 0 {
			break
		}
		w = <-r.queue
	}
	if r.failed == nil && len(records) > 0 && r.log != nil {
		r.failed = writeAndSync(r.log, records)
	}
	if r.failed != nil { // after a failed sync the contents of the disk are unknown
		r.server.enqueueInput(node.Input{Kind: node.ReplicaWritePersisted, Err: r.failed})
		return
	}
	r.server.enqueueInput(node.Input{Kind: node.ReplicaWritePersisted, Number: w.Number})
}

// apply discards what is stored, or replaces the base; after a failure it does nothing.
func (r *replicaStorage) apply(w *consensus.Write) error {
	switch {
	case r.failed != nil:
		return nil
	case w.DiscardEarlier:
		return r.discard()
	default:
		return r.replaceBase(w)
	}
}

// discard removes the base and all that belongs to it.
func (r *replicaStorage) discard() error {
	if err := os.Remove(r.path(baseFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	r.closeLog()
	return errors.Join(syncFolder(r.folder), r.removeUnreferenced(nil))
}

// replaceBase writes new parts, a new log and then the base that refers to them.
func (r *replicaStorage) replaceBase(w *consensus.Write) error {
	for digest, text := range w.Parts {
		if _, err := os.Stat(r.path(partFilePrefix + digest)); err == nil {
			continue
		}
		if err := r.replaceFile(partFilePrefix+digest, text); err != nil {
			return err
		}
	}
	r.generation++
	log, err := os.OpenFile(r.path(r.logName()), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	r.closeLog()
	r.log = log
	if err := writeAndSync(log, appendRecords(nil, w.Records)); err != nil {
		return err
	}
	if err := r.replaceFile(baseFileName, appendBase(r.generation, w.Base)); err != nil {
		return err
	}
	return r.removeUnreferenced(w.Parts)
}

// replaceFile replaces a file by rename: after a failure or a crash the old content is still there.
func (r *replicaStorage) replaceFile(name string, text []byte) error {
	temporary := r.path(name + temporarySuffix)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = writeAndSync(file, text)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err = os.Rename(temporary, r.path(name)); err != nil {
		return err
	}
	return syncFolder(r.folder)
}

// removeUnreferenced removes files that are neither the base's log nor one of its parts.
func (r *replicaStorage) removeUnreferenced(parts map[string][]byte) error {
	names, err := r.fileNames()
	for _, name := range names {
		digest, isPart := strings.CutPrefix(name, partFilePrefix)
		unreferenced := strings.HasPrefix(name, logFilePrefix) && (r.log == nil || name != r.logName())
		if isPart {
			unreferenced = parts[digest] == nil
		}
		if unreferenced || strings.HasSuffix(name, temporarySuffix) {
			err = errors.Join(err, os.Remove(r.path(name)))
		}
	}
	return err
}

func (r *replicaStorage) fileNames() (names []string, err error) {
	entries, err := os.ReadDir(r.folder)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (r *replicaStorage) closeLog() {
	if r.log != nil {
		r.log.Close()
		r.log = nil
	}
}

func (r *replicaStorage) close() {
	r.closeLog()
	r.unlock()
}
