package server

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"

	"topazpost/internal/fleet/configsync"
	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
)

const (
	lastGood         = "last-good"        // the file of the last version that was in force, with records behind it
	lastGoodSpoilt   = "last-good.spoilt" // one of which nothing could be read, put aside
	persistsWaiting  = 4                  // versions that may wait for the disk; more count as not kept, and the next is kept whole
	configurationOwn = 0x636f6e6669677572 // told apart from the node's other sources of chance
)

var errPersists = errors.New("too many versions wait for the disk")

// configurationDisk keeps the last version that was in force at this node, away from the loop. One file: a content, and records
// behind it; it is replaced by rename.
type configurationDisk struct {
	s      *Server
	folder string
	in     chan *configsync.Effect
	unlock func()
	file   *os.File // at its end; nil before all was written once
}

// takeConfiguration has the node take its configuration in service, where the fleet's file says so: it begins with the last
// version on its disk, else with its own file.
func (s *Server) takeConfiguration() error {
	if s.config.Fleet == nil || s.config.Fleet.Configuration == nil {
		return nil
	}
	file, err := contentOf(s.config.Settings)
	if err != nil {
		return fmt.Errorf("configuration: the node's own file: %w", err)
	}
	ours := configsync.InitialState{Mark: configsync.Revision{Digest: file.Digest()}, Content: file, Source: "file", Journal: -1}
	start, folder := ours, s.config.Fleet.Configuration.Folder
	if folder != "" {
		d := &configurationDisk{s: s, folder: folder, in: make(chan *configsync.Effect, persistsWaiting)}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		if d.unlock, err = LockStore(folder); err != nil {
			return err
		}
		s.configuration = d
		if kept, there := d.read(); there {
			start = kept
		}
	}
	now, _ := s.clock.Now()
	seed := s.config.Settings.Node.Seed ^ configurationOwn
	if err := s.state.EnableConfigSync(now, seed, start, file); err != nil {
		s.log.Warn().Uint64("version", start.Mark.Version).Err(err).
			Msg("configuration: this node can't start from the last version on its disk, and starts from its own file")
		if err := s.state.EnableConfigSync(now, seed, ours, file); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	debug.FreeOSMemory() // of what reading took; nobody is served yet
	return nil
}

// contentOf is what a node's own file holds of what may change in service.
func contentOf(settings *nodeconfig.Config) (*configsync.Content, error) {
	if settings.Operations == nil || settings.Operations.Len() == 0 { // a node that serves nothing
		return new(configsync.Content), nil
	}
	return configsync.Build(func(yield func(configsync.Item)) {
		settings.Items(func(i nodeconfig.Item) { yield(configsync.Item(i)) })
	})
}

func (d *configurationDisk) path(name string) string { return filepath.Join(d.folder, name) }

// read takes up what is there, and tells what was dropped of it.
func (d *configurationDisk) read() (start configsync.InitialState, there bool) {
	file, err := os.OpenFile(d.path(lastGood), os.O_RDWR, 0o600)
	if errors.Is(err, fs.ErrNotExist) {
		return start, false
	}
	var loader configsync.DiskLoader
	if err == nil {
		_, err = io.Copy(&loader, file)
	}
	if err == nil {
		start, err = loader.Start()
	}
	if err == nil {
		d.file = file
		return start, true
	}
	if file != nil {
		file.Close()
	}
	if start.Content != nil { // all is written anew with the next version
		d.s.log.Warn().Str("file", d.path(lastGood)).Uint64("version", start.Mark.Version).Err(err).
			Msg("configuration: a crash or the disk spoilt the end of what was kept; what is before it is taken")
		return start, true
	}
	aside := os.Rename(d.path(lastGood), d.path(lastGoodSpoilt))
	d.s.log.Warn().Str("file", d.path(lastGoodSpoilt)).Err(errors.Join(err, aside)).
		Msg("configuration: what was kept can't be read, and is put aside; the node starts from its own file")
	return start, false
}

// keep hands a version to the writer; where too many wait it counts as not kept.
func (d *configurationDisk) keep(e *configsync.Effect) {
	select {
	case d.in <- e:
	default:
		d.s.group.Go(func() error {
			d.s.tell(node.Input{Kind: node.VersionPersisted, Err: errPersists})
			return nil
		})
	}
}

// run writes until the node ends, and what waits then too.
func (d *configurationDisk) run() {
	defer d.close()
	for {
		select {
		case e := <-d.in:
			d.s.tell(node.Input{Kind: node.VersionPersisted, Err: d.write(e)})
		case <-d.s.ctx.Done():
			for len(d.in) > 0 {
				_ = d.write(<-d.in) // the state machine has ended; the next start reads what the file holds
			}
			return
		}
	}
}

// write keeps a version: what leads to it behind what is there, or all anew.
func (d *configurationDisk) write(e *configsync.Effect) (err error) {
	if e.Full {
		return d.replace(e)
	}
	if d.file == nil {
		return fmt.Errorf("%s isn't open", d.path(lastGood))
	}
	var text []byte
	for _, r := range e.Records {
		text = configsync.AppendRecord(text, r)
	}
	if _, err = d.file.Write(text); err == nil {
		err = d.file.Sync()
	}
	if err != nil { // where it ends is not known any more
		d.closeFile()
	}
	return err
}

func (d *configurationDisk) replace(e *configsync.Effect) error {
	d.closeFile()
	unsettled := d.path(lastGood + ".new")
	file, err := os.OpenFile(unsettled, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	for text := range configsync.Encode(e.Mark, e.New) {
		if _, err = file.Write(text); err != nil {
			break
		}
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(unsettled, d.path(lastGood))
	}
	if err == nil {
		var folder *os.File
		if folder, err = os.Open(d.folder); err == nil {
			err = errors.Join(folder.Sync(), folder.Close())
		}
	}
	if err != nil {
		file.Close()
		return err
	}
	d.file = file
	return nil
}

func (d *configurationDisk) closeFile() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
}

func (d *configurationDisk) close() {
	d.closeFile()
	d.unlock()
}

// keepConfiguration has a version kept; a node without a folder keeps it in memory only.
func (s *Server) keepConfiguration(e *configsync.Effect) {
	if s.configuration != nil {
		s.configuration.keep(e)
	}
}

// inForce tells of a version that came into force.
func (s *Server) inForce(v *node.VersionInForce) {
	line := s.log.Info().Uint64("version", v.Mark.Version).Stringer("digest", v.Mark.Digest).Str("source", v.Source)
	if v.Source == "fleet" {
		line = line.Uint64("after", v.After).Bool("first_stage", v.First).Float64("took_s", seconds(v.TookNS))
	}
	line = line.Float64("longest_step_ms", float64(s.longest)/1e6) // since the line before
	s.longest = 0
	line.Int("added", v.Added).Int("changed", v.Changed).Int("removed", v.Removed).Msg("configuration in force")
}

// takeDisks opens what the node keeps of its seat and of the configuration, locked against any other.
func (s *Server) takeDisks() error {
	if err := s.takeSeat(); err != nil {
		return err
	}
	err := s.takeConfiguration()
	if err != nil {
		s.closeDisks()
	}
	return err
}

// runDisks writes to them until the node ends.
func (s *Server) runDisks() {
	if s.seat != nil {
		s.group.Go(func() error { s.seat.run(); return nil })
	}
	if s.configuration != nil {
		s.group.Go(func() error { s.configuration.run(); return nil })
	}
}

// closeDisks gives them up where nothing writes to them yet.
func (s *Server) closeDisks() {
	if s.seat != nil {
		s.seat.close()
	}
	if s.configuration != nil {
		s.configuration.close()
	}
}
