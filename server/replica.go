package server

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"topazpost/internal/fleet/consensus"
	"topazpost/internal/node"
)

const (
	baseMagic        = "TPSEAT1\n" // a base begins with it
	baseHeaderSize   = 24          // bytes of a base before its text: mark 8, generation 8, length 4, CRC32C 4 of generation, length and text
	recordHeaderSize = 8           // bytes of a record of the log before its text: length 4, CRC32C 4 of length and text
	maxRecordSize    = 64 << 20    // bytes of one text: far above a table with its entries
	maxQueuedWrites  = 256         // writes that may wait; a seat asks for a few at a time
	baseFileName     = "base"
	logFilePrefix    = "log-"
	partFilePrefix   = "part-"
	temporarySuffix  = ".new" // ending of a file that is not in its place yet
)

// replicaStorage is the folder of a seat of the council: a base that is replaced by rename, parts that it names, and a log of records behind
// it. The base names its log by a generation, so that the two change at once. It writes away from the loop.
type replicaStorage struct {
	server     *Server
	folder     string
	queue      chan *consensus.Write
	unlock     func()
	log        *os.File // nil without a base: then nothing is worth keeping
	generation uint64
	failed     error
}

// openReplicaStorage opens the folder of a seat, locked against any other, and gives what is whole in it. A torn end of the log was never
// acknowledged; it is cut off and told.
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

// read takes up what is there, and lets go of what no base names.
func (d *replicaStorage) read(contents *consensus.DiskContents) (truncated int64, err error) {
	data, err := os.ReadFile(d.path(baseFileName))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, d.removeUnreferenced(nil)
	} else if err != nil {
		return 0, err
	}
	if d.generation, contents.Base, err = readBase(data); err != nil {
		return 0, fmt.Errorf("%s: %w", d.path(baseFileName), err)
	}
	contents.Parts = map[string][]byte{}
	names, err := d.fileNames()
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		digest, is := strings.CutPrefix(name, partFilePrefix)
		if !is || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		text, err := os.ReadFile(d.path(name))
		if err != nil {
			return 0, err
		}
		if fmt.Sprintf("%x", sha256.Sum256(text)) != digest {
			return 0, fmt.Errorf("%s: spoilt: it does not hold what its name says", d.path(name))
		}
		contents.Parts[digest] = text
	}
	if d.log, err = os.OpenFile(d.path(d.logName()), os.O_RDWR, 0o600); err != nil {
		return 0, err
	}
	if data, err = os.ReadFile(d.path(d.logName())); err != nil {
		return 0, err
	}
	records, intact := readRecords(data)
	contents.Records = records
	if truncated = int64(len(data)) - intact; truncated > 0 {
		if err = d.log.Truncate(intact); err == nil {
			err = d.log.Sync()
		}
		if err != nil {
			return 0, err
		}
	}
	if _, err = d.log.Seek(intact, 0); err != nil {
		return 0, err
	}
	return truncated, d.removeUnreferenced(contents.Parts)
}

// enqueue hands a write to the writer. A seat asks for no more before it heard of the last ones.
func (d *replicaStorage) enqueue(w *consensus.Write) {
	select {
	case d.queue <- w:
	case <-d.server.ctx.Done():
	}
}

// run writes until the node ends; what waits then counts as not written, as at a crash.
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

// writeQueued carries out a write and those that wait behind it, records of several with one sync, and says so.
func (d *replicaStorage) writeQueued(w *consensus.Write) {
	var records []byte
	last := uint64(0)
	for {
		if w.DiscardEarlier || w.Base != nil { // what was to go before it counts no more
			records = nil
			d.failed = errors.Join(d.failed, d.replaceBase(w))
		} else {
			for _, text := range w.Records {
				records = appendRecord(records, text)
			}
		}
		last = w.Number
		if len(d.queue) == 0 {
			break
		}
		w = <-d.queue
	}
	if d.failed == nil && len(records) > 0 && d.log != nil {
		if _, d.failed = d.log.Write(records); d.failed == nil {
			d.failed = d.log.Sync()
		}
	}
	if d.failed != nil { // after a sync that failed nobody knows what the disk holds
		d.server.enqueueInput(node.Input{Kind: node.ReplicaWritePersisted, Err: d.failed})
		return
	}
	d.server.enqueueInput(node.Input{Kind: node.ReplicaWritePersisted, Number: last})
}

// replaceBase puts a base in the place of all.
func (d *replicaStorage) replaceBase(w *consensus.Write) error {
	if d.failed != nil {
		return nil
	}
	if w.DiscardEarlier {
		if err := os.Remove(d.path(baseFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		d.closeLog()
		return errors.Join(d.syncFolder(), d.removeUnreferenced(nil))
	}
	for digest, text := range w.Parts {
		if _, err := os.Stat(d.path(partFilePrefix + digest)); err == nil {
			continue
		}
		if err := d.replaceFile(partFilePrefix+digest, text); err != nil {
			return err
		}
	}
	oldLog := d.log
	d.generation++
	log, err := os.OpenFile(d.path(d.logName()), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	var records []byte
	for _, text := range w.Records {
		records = appendRecord(records, text)
	}
	d.log = log
	if oldLog != nil {
		oldLog.Close()
	}
	if _, err = log.Write(records); err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = d.replaceFile(baseFileName, appendBase(d.generation, w.Base))
	}
	if err != nil {
		return err
	}
	return d.removeUnreferenced(w.Parts)
}

// replaceFile puts a file in its replaceFile, whole, or leaves what was there.
func (d *replicaStorage) replaceFile(name string, text []byte) error {
	file, err := os.OpenFile(d.path(name+temporarySuffix), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err = os.Rename(d.path(name+temporarySuffix), d.path(name)); err != nil {
		return err
	}
	return d.syncFolder()
}

// removeUnreferenced removes what is neither the base's log nor one of its parts.
func (d *replicaStorage) removeUnreferenced(parts map[string][]byte) error {
	names, err := d.fileNames()
	for _, name := range names {
		digest, part := strings.CutPrefix(name, partFilePrefix)
		unreferenced := strings.HasPrefix(name, logFilePrefix) && (d.log == nil || name != d.logName())
		if part {
			unreferenced = parts[digest] == nil
		}
		if unreferenced || strings.HasSuffix(name, temporarySuffix) {
			err = errors.Join(err, os.Remove(d.path(name)))
		}
	}
	return err
}

func (d *replicaStorage) fileNames() (fileNames []string, err error) {
	entries, err := os.ReadDir(d.folder)
	for _, e := range entries {
		fileNames = append(fileNames, e.Name())
	}
	return fileNames, err
}

func (d *replicaStorage) syncFolder() error {
	folder, err := os.Open(d.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
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

// recoverReplica opens the folder of the node's seat, where it has both, and gives the seat what is there.
func (s *Server) recoverReplica() error {
	if s.config.Fleet == nil || s.config.Fleet.Council == nil || s.config.Fleet.Council.Folder == "" || !s.state.HasReplica() {
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

// OnlySeat is a node that serves nothing: a member of the fleet with a seat in its council.
func OnlySeat() *Hollow {
	return &Hollow{Counters: new(node.HollowCounters), OnlySeat: true}
}
