package server

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"topazpost/internal/fleet/consensus"
	"topazpost/internal/node"
)

const (
	seatMark      = "TPSEAT1\n" // a base begins with it
	seatHead      = 24          // bytes of a base before its text: mark 8, generation 8, length 4, CRC32C 4 of generation, length and text
	seatRecord    = 8           // bytes of a record of the log before its text: length 4, CRC32C 4 of length and text
	seatMost      = 64 << 20    // bytes of one text: far above a table with its entries
	seatWaiting   = 256         // writes that may wait; a seat asks for a few at a time
	seatBase      = "base"
	seatLog       = "log-"
	seatPart      = "part-"
	seatUnsettled = ".new" // ending of a file that is not in its place yet
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seatDisk is the folder of a seat of the council: a base that is replaced by rename, parts that it names, and a log of records behind
// it. The base names its log by a generation, so that the two change at once. It writes away from the loop.
type seatDisk struct {
	s          *Server
	folder     string
	in         chan *consensus.Write
	unlock     func()
	log        *os.File // nil without a base: then nothing is worth keeping
	generation uint64
	failed     error
}

// openSeat opens the folder of a seat, locked against any other, and gives what is whole in it. A torn end of the log was never
// acknowledged; it is cut off and told.
func openSeat(s *Server, folder string) (d *seatDisk, there consensus.DiskContents, err error) {
	d = &seatDisk{s: s, folder: folder, in: make(chan *consensus.Write, seatWaiting)}
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return nil, there, fmt.Errorf("seat: %w", err)
	}
	if d.unlock, err = LockStore(folder); err != nil {
		return nil, there, err
	}
	dropped, err := d.read(&there)
	if err != nil {
		d.close()
		return nil, there, fmt.Errorf("seat: %w; nothing was changed. A seat that begins with an empty folder is seated anew by the others", err)
	}
	if dropped > 0 {
		s.log.Warn().Str("file", d.path(d.logName())).Int64("bytes", dropped).Msg("a crash left this unfinished; nothing of it was acknowledged, and it is cut off")
	}
	return d, there, nil
}

func (d *seatDisk) path(name string) string { return filepath.Join(d.folder, name) }

func (d *seatDisk) logName() string { return fmt.Sprintf("%s%016x", seatLog, d.generation) }

// read takes up what is there, and lets go of what no base names.
func (d *seatDisk) read(there *consensus.DiskContents) (dropped int64, err error) {
	data, err := os.ReadFile(d.path(seatBase))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, d.sweep(nil)
	} else if err != nil {
		return 0, err
	}
	if d.generation, there.Base, err = readBase(data); err != nil {
		return 0, fmt.Errorf("%s: %w", d.path(seatBase), err)
	}
	there.Parts = map[string][]byte{}
	names, err := d.names()
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		digest, is := strings.CutPrefix(name, seatPart)
		if !is || strings.HasSuffix(name, seatUnsettled) {
			continue
		}
		text, err := os.ReadFile(d.path(name))
		if err != nil {
			return 0, err
		}
		if fmt.Sprintf("%x", sha256.Sum256(text)) != digest {
			return 0, fmt.Errorf("%s: spoilt: it does not hold what its name says", d.path(name))
		}
		there.Parts[digest] = text
	}
	if d.log, err = os.OpenFile(d.path(d.logName()), os.O_RDWR, 0o600); err != nil {
		return 0, err
	}
	if data, err = os.ReadFile(d.path(d.logName())); err != nil {
		return 0, err
	}
	records, whole := readRecords(data)
	there.Records = records
	if dropped = int64(len(data)) - whole; dropped > 0 {
		if err = d.log.Truncate(whole); err == nil {
			err = d.log.Sync()
		}
		if err != nil {
			return 0, err
		}
	}
	if _, err = d.log.Seek(whole, 0); err != nil {
		return 0, err
	}
	return dropped, d.sweep(there.Parts)
}

// readBase reads a base: what it says, and the generation of its log.
func readBase(data []byte) (generation uint64, text []byte, err error) {
	switch {
	case len(data) < seatHead || !bytes.HasPrefix(data, []byte(seatMark)):
		return 0, nil, errors.New("no base of a seat, or one of a build that is not known here")
	case int(binary.LittleEndian.Uint32(data[16:])) != len(data)-seatHead:
		return 0, nil, fmt.Errorf("spoilt: %d bytes of text where its head says %d", len(data)-seatHead, binary.LittleEndian.Uint32(data[16:]))
	case baseSum(data) != binary.LittleEndian.Uint32(data[20:]):
		return 0, nil, errors.New("spoilt: its sum is another")
	}
	return binary.LittleEndian.Uint64(data[8:]), data[seatHead:], nil
}

func baseSum(data []byte) uint32 {
	return crc32.Update(crc32.Checksum(data[8:20], castagnoli), castagnoli, data[seatHead:])
}

func appendBase(generation uint64, text []byte) []byte {
	b := append(make([]byte, 0, seatHead+len(text)), seatMark...)
	b = binary.LittleEndian.AppendUint64(b, generation)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = append(append(b, 0, 0, 0, 0), text...)
	binary.LittleEndian.PutUint32(b[20:], baseSum(b))
	return b
}

// readRecords gives the records up to the first that is not whole, and where that begins. What lies behind it, whole or not, was not
// acknowledged, or else the others know that this disk is behind.
func readRecords(data []byte) (records [][]byte, whole int64) {
	for rest := data; len(rest) >= seatRecord; {
		n := int(binary.LittleEndian.Uint32(rest))
		if n == 0 || n > seatMost || n > len(rest)-seatRecord || recordSum(rest[:seatRecord+n]) != binary.LittleEndian.Uint32(rest[4:]) {
			break
		}
		records = append(records, bytes.Clone(rest[seatRecord:seatRecord+n]))
		rest, whole = rest[seatRecord+n:], whole+int64(seatRecord+n)
	}
	return records, whole
}

func recordSum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, b[seatRecord:])
}

func appendRecord(b, text []byte) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = append(append(b, 0, 0, 0, 0), text...)
	binary.LittleEndian.PutUint32(b[at+4:], recordSum(b[at:]))
	return b
}

// keep hands a write to the writer. A seat asks for no more before it heard of the last ones.
func (d *seatDisk) keep(w *consensus.Write) {
	select {
	case d.in <- w:
	case <-d.s.ctx.Done():
	}
}

// run writes until the node ends; what waits then counts as not written, as at a crash.
func (d *seatDisk) run() {
	defer d.close()
	for {
		select {
		case w := <-d.in:
			d.take(w)
		case <-d.s.ctx.Done():
			return
		}
	}
}

// take carries out a write and those that wait behind it, records of several with one sync, and says so.
func (d *seatDisk) take(w *consensus.Write) {
	var records []byte
	last := uint64(0)
	for {
		if w.DiscardEarlier || w.Base != nil { // what was to go before it counts no more
			records = nil
			d.failed = errors.Join(d.failed, d.replace(w))
		} else {
			for _, text := range w.Records {
				records = appendRecord(records, text)
			}
		}
		last = w.Number
		if len(d.in) == 0 {
			break
		}
		w = <-d.in
	}
	if d.failed == nil && len(records) > 0 && d.log != nil {
		if _, d.failed = d.log.Write(records); d.failed == nil {
			d.failed = d.log.Sync()
		}
	}
	if d.failed != nil { // after a sync that failed nobody knows what the disk holds
		d.s.tell(node.Input{Kind: node.ReplicaWritePersisted, Err: d.failed})
		return
	}
	d.s.tell(node.Input{Kind: node.ReplicaWritePersisted, Number: last})
}

// replace puts a base in the place of all.
func (d *seatDisk) replace(w *consensus.Write) error {
	if d.failed != nil {
		return nil
	}
	if w.DiscardEarlier {
		if err := os.Remove(d.path(seatBase)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		d.closeLog()
		return errors.Join(d.sync(), d.sweep(nil))
	}
	for digest, text := range w.Parts {
		if _, err := os.Stat(d.path(seatPart + digest)); err == nil {
			continue
		}
		if err := d.place(seatPart+digest, text); err != nil {
			return err
		}
	}
	before := d.log
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
	if before != nil {
		before.Close()
	}
	if _, err = log.Write(records); err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = d.place(seatBase, appendBase(d.generation, w.Base))
	}
	if err != nil {
		return err
	}
	return d.sweep(w.Parts)
}

// place puts a file in its place, whole, or leaves what was there.
func (d *seatDisk) place(name string, text []byte) error {
	file, err := os.OpenFile(d.path(name+seatUnsettled), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err = os.Rename(d.path(name+seatUnsettled), d.path(name)); err != nil {
		return err
	}
	return d.sync()
}

// sweep removes what is neither the base's log nor one of its parts.
func (d *seatDisk) sweep(parts map[string][]byte) error {
	names, err := d.names()
	for _, name := range names {
		digest, part := strings.CutPrefix(name, seatPart)
		old := strings.HasPrefix(name, seatLog) && (d.log == nil || name != d.logName())
		if part {
			old = parts[digest] == nil
		}
		if old || strings.HasSuffix(name, seatUnsettled) {
			err = errors.Join(err, os.Remove(d.path(name)))
		}
	}
	return err
}

func (d *seatDisk) names() (names []string, err error) {
	entries, err := os.ReadDir(d.folder)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d *seatDisk) sync() error {
	folder, err := os.Open(d.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func (d *seatDisk) closeLog() {
	if d.log != nil {
		d.log.Close()
		d.log = nil
	}
}

func (d *seatDisk) close() {
	d.closeLog()
	d.unlock()
}

// takeSeat opens the folder of the node's seat, where it has both, and gives the seat what is there.
func (s *Server) takeSeat() error {
	if s.config.Fleet == nil || s.config.Fleet.ConsensusGroup == nil || s.config.Fleet.ConsensusGroup.Folder == "" || !s.state.HasReplica() {
		return nil
	}
	d, there, err := openSeat(s, s.config.Fleet.ConsensusGroup.Folder)
	if err != nil {
		return err
	}
	now, _ := s.clock.Now()
	if err := s.state.RecoverReplica(now, there); err != nil {
		d.close()
		return fmt.Errorf("seat: %s: %w", d.folder, err)
	}
	s.seat = d
	return nil
}

// OnlySeat is a node that serves nothing: a member of the fleet with a seat in its council.
func OnlySeat() *Hollow {
	return &Hollow{Counters: new(node.HollowCounters), OnlySeat: true}
}
