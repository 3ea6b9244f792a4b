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
	lastGoodFileName  = "last-good"        // the file of the last version that was in force, with records behind it
	corruptFileName   = "last-good.spoilt" // one of which nothing could be read, put aside
	maxQueuedVersions = 4                  // versions that may wait for the disk; more count as not kept, and the next is kept whole
	configSyncSeed    = 0x636f6e6669677572 // told apart from the node's other sources of chance
)

var errVersionQueueFull = errors.New("too many versions wait for the disk")

// configStorage keeps the last version that was in force at this node, away from the loop. One file: a content, and records
// behind it; it is replaced by rename.
type configStorage struct {
	server *Server
	folder string
	queue  chan *configsync.Effect
	unlock func()
	file   *os.File // at its end; nil before all was written once
}

// enableConfigSync has the node take its configuration in service, where the fleet's file says so: it begins with the last
// version on its disk, else with its own file.
func (s *Server) enableConfigSync() error {
	if s.config.Fleet == nil || s.config.Fleet.Configuration == nil {
		return nil
	}
	file, err := configContent(s.config.Settings)
	if err != nil {
		return fmt.Errorf("configuration: the node's own file: %w", err)
	}
	fromFile := configsync.InitialState{Mark: configsync.Revision{Digest: file.Digest()}, Content: file, Source: "file", Journal: -1}
	start, folder := fromFile, s.config.Fleet.Configuration.Folder
	if folder != "" {
		d := &configStorage{server: s, folder: folder, queue: make(chan *configsync.Effect, maxQueuedVersions)}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		if d.unlock, err = LockStore(folder); err != nil {
			return err
		}
		s.configStorage = d
		if kept, there := d.read(); there {
			start = kept
		}
	}
	now, _ := s.clock.Now()
	seed := s.config.Settings.Node.Seed ^ configSyncSeed
	if err := s.state.EnableConfigSync(now, seed, start, file); err != nil {
		s.log.Warn().Uint64("version", start.Mark.Version).Err(err).
			Msg("configuration: this node can't start from the last version on its disk, and starts from its own file")
		if err := s.state.EnableConfigSync(now, seed, fromFile, file); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	debug.FreeOSMemory() // of what reading took; nobody is served yet
	return nil
}

// configContent is what a node's own file holds of what may change in service.
func configContent(settings *nodeconfig.Config) (*configsync.Content, error) {
	if settings.Operations == nil || settings.Operations.Len() == 0 { // a node that serves nothing
		return new(configsync.Content), nil
	}
	return configsync.Build(func(yield func(configsync.Item)) {
		settings.Items(func(i nodeconfig.Item) { yield(configsync.Item(i)) })
	})
}

func (d *configStorage) path(name string) string { return filepath.Join(d.folder, name) }

// read takes up what is there, and tells what was dropped of it.
func (d *configStorage) read() (start configsync.InitialState, found bool) {
	file, err := os.OpenFile(d.path(lastGoodFileName), os.O_RDWR, 0o600)
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
		d.server.log.Warn().Str("file", d.path(lastGoodFileName)).Uint64("version", start.Mark.Version).Err(err).
			Msg("configuration: a crash or the disk spoilt the end of what was kept; what is before it is taken")
		return start, true
	}
	renameErr := os.Rename(d.path(lastGoodFileName), d.path(corruptFileName))
	d.server.log.Warn().Str("file", d.path(corruptFileName)).Err(errors.Join(err, renameErr)).
		Msg("configuration: what was kept can't be read, and is put aside; the node starts from its own file")
	return start, false
}

// enqueue hands a version to the writer; where too many wait it counts as not kept.
func (d *configStorage) enqueue(e *configsync.Effect) {
	select {
	case d.queue <- e:
	default:
		d.server.group.Go(func() error {
			d.server.enqueueInput(node.Input{Kind: node.VersionPersisted, Err: errVersionQueueFull})
			return nil
		})
	}
}

// run writes until the node ends, and what waits then too.
func (d *configStorage) run() {
	defer d.close()
	for {
		select {
		case e := <-d.queue:
			d.server.enqueueInput(node.Input{Kind: node.VersionPersisted, Err: d.writeVersion(e)})
		case <-d.server.ctx.Done():
			for len(d.queue) > 0 {
				_ = d.writeVersion(<-d.queue) // the state machine has ended; the next start reads what the file holds
			}
			return
		}
	}
}

// writeVersion keeps a version: what leads to it behind what is there, or all anew.
func (d *configStorage) writeVersion(e *configsync.Effect) (err error) {
	if e.Full {
		return d.replaceFile(e)
	}
	if d.file == nil {
		return fmt.Errorf("%s isn't open", d.path(lastGoodFileName))
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

func (d *configStorage) replaceFile(e *configsync.Effect) error {
	d.closeFile()
	temporary := d.path(lastGoodFileName + ".new")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
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
		err = os.Rename(temporary, d.path(lastGoodFileName))
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

func (d *configStorage) closeFile() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
}

func (d *configStorage) close() {
	d.closeFile()
	d.unlock()
}

// persistVersion has a version kept; a node without a folder keeps it in memory only.
func (s *Server) persistVersion(e *configsync.Effect) {
	if s.configStorage != nil {
		s.configStorage.enqueue(e)
	}
}
