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
	if !s.config.hasConsensus() || s.config.Fleet.Council.Folder == "" || !s.state.HasReplica() {
		return nil
	}
	d, contents, err := openReplicaStorage(s, s.config.Fleet.Council.Folder)
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

func (d *replicaStorage) path(name string) string { return filepath.Join(d.folder, name) }

func (d *replicaStorage) logName() string { return fmt.Sprintf("%s%016x", logFilePrefix, d.generation) }

// read reads the base, its parts and its log, and removes files that the base doesn't refer to.
func (d *replicaStorage) read(contents *consensus.DiskContents) (truncated int64, err error) {
	data, err := os.ReadFile(d.path(baseFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, d.removeUnreferenced(nil)
	}
	if err != nil {
		return 0, err
	}
	d.generation, contents.Base, err = readBase(data)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", d.path(baseFileName), err)
	}
	contents.Parts, err = d.readParts()
	if err != nil {
		return 0, err
	}
	contents.Records, truncated, err = d.readLog()
	if err != nil {
		return 0, err
	}
	return truncated, d.removeUnreferenced(contents.Parts)
}

// readParts reads the parts by their digests.
func (d *replicaStorage) readParts() (map[string][]byte, error) {
	names, err := d.fileNames()
	if err != nil {
		return nil, err
	}
	parts := map[string][]byte{}
	for _, name := range names {
		digest, isPart := strings.CutPrefix(name, partFilePrefix)
		if !isPart || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		text, err := os.ReadFile(d.path(name))
		if err != nil {
			return nil, err
		}
		if fmt.Sprintf("%x", sha256.Sum256(text)) != digest {
			return nil, fmt.Errorf("%s: spoilt: it does not hold what its name says", d.path(name))
		}
		parts[digest] = text
	}
	return parts, nil
}

// readLog opens the log, reads its records, truncates a torn end and goes to the end of the rest.
func (d *replicaStorage) readLog() (records [][]byte, truncated int64, err error) {
	d.log, err = os.OpenFile(d.path(d.logName()), os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, err
	}
	data, err := os.ReadFile(d.path(d.logName()))
	if err != nil {
		return nil, 0, err
	}
	records, intact := readRecords(data)
	truncated = int64(len(data)) - intact
	if truncated > 0 {
		if err = d.log.Truncate(intact); err != nil {
			return nil, 0, err
		}
		if err = d.log.Sync(); err != nil {
			return nil, 0, err
		}
	}
	_, err = d.log.Seek(intact, io.SeekStart)
	return records, truncated, err
}

// enqueue queues a write. A replica asks for no more before the last ones are reported.
func (d *replicaStorage) enqueue(w *consensus.Write) {
	select {
	case d.queue <- w:
	case <-d.server.ctx.Done():
	}
}

// run writes until the node ends; writes still queued then count as lost, as in a crash.
func (d *replicaStorage) run() {
	defer d.close()
	for {
		select {
		case w := <-d.queue:
			d.writeQueued(w)
		case <-d.server.ctx.Done():
			return
		}
	}
}

// writeQueued performs a write and those queued behind it, with one sync for the records of several, and reports the last one.
func (d *replicaStorage) writeQueued(w *consensus.Write) {
	var records []byte
	for {
		if w.DiscardEarlier || w.Base != nil { // it replaces all records before it
			records = nil
			d.failed = errors.Join(d.failed, d.apply(w))
		} else {
			records = appendRecords(records, w.Records)
		}
		if len(d.queue) == 0 {
			break
		}
		w = <-d.queue
	}
	if d.failed == nil && len(records) > 0 && d.log != nil {
		d.failed = writeAndSync(d.log, records)
	}
	if d.failed != nil { // after a failed sync the contents of the disk are unknown
		d.server.enqueueInput(node.Input{Kind: node.ReplicaWritePersisted, Err: d.failed})
		return
	}
	d.server.enqueueInput(node.Input{Kind: node.ReplicaWritePersisted, Number: w.Number})
}

// apply discards what is stored, or replaces the base; after a failure it does nothing.
func (d *replicaStorage) apply(w *consensus.Write) error {
	switch {
	case d.failed != nil:
		return nil
	case w.DiscardEarlier:
		return d.discard()
	default:
		return d.replaceBase(w)
	}
}

// discard removes the base and all that belongs to it.
func (d *replicaStorage) discard() error {
	if err := os.Remove(d.path(baseFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	d.closeLog()
	return errors.Join(syncFolder(d.folder), d.removeUnreferenced(nil))
}

// replaceBase writes new parts, a new log and then the base that refers to them.
func (d *replicaStorage) replaceBase(w *consensus.Write) error {
	for digest, text := range w.Parts {
		if _, err := os.Stat(d.path(partFilePrefix + digest)); err == nil {
			continue
		}
		if err := d.replaceFile(partFilePrefix+digest, text); err != nil {
			return err
		}
	}
	d.generation++
	log, err := os.OpenFile(d.path(d.logName()), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	d.closeLog()
	d.log = log
	if err := writeAndSync(log, appendRecords(nil, w.Records)); err != nil {
		return err
	}
	if err := d.replaceFile(baseFileName, appendBase(d.generation, w.Base)); err != nil {
		return err
	}
	return d.removeUnreferenced(w.Parts)
}

// replaceFile replaces a file by rename: after a failure or a crash the old content is still there.
func (d *replicaStorage) replaceFile(name string, text []byte) error {
	temporary := d.path(name + temporarySuffix)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = writeAndSync(file, text)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err = os.Rename(temporary, d.path(name)); err != nil {
		return err
	}
	return syncFolder(d.folder)
}

// removeUnreferenced removes files that are neither the base's log nor one of its parts.
func (d *replicaStorage) removeUnreferenced(parts map[string][]byte) error {
	names, err := d.fileNames()
	for _, name := range names {
		digest, isPart := strings.CutPrefix(name, partFilePrefix)
		unreferenced := strings.HasPrefix(name, logFilePrefix) && (d.log == nil || name != d.logName())
		if isPart {
			unreferenced = parts[digest] == nil
		}
		if unreferenced || strings.HasSuffix(name, temporarySuffix) {
			err = errors.Join(err, os.Remove(d.path(name)))
		}
	}
	return err
}

func (d *replicaStorage) fileNames() (names []string, err error) {
	entries, err := os.ReadDir(d.folder)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d *replicaStorage) closeLog() {
	if d.log != nil {
		d.log.Close()
		d.log = nil
	}
}

func (d *replicaStorage) close() {
	d.closeLog()
	d.unlock()
}
