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
	lastGoodFileName  = "last-good"        // the last version in force, followed by the records of later ones
	corruptFileName   = "last-good.spoilt" // one that couldn't be read, set aside
	maxQueuedVersions = 4                  // more count as not persisted, and the next one is written in full
	configSyncSeed    = 0x636f6e6669677572 // keeps this random sequence apart from the node's others
)

var errVersionQueueFull = errors.New("configuration: too many versions wait for the disk")

// configStorage stores the last configuration version in force at this node. It is one file, a content with the records that
// follow it, which is replaced by rename. A goroutine of its own writes to it.
type configStorage struct {
	server *Server
	folder string
	queue  chan *configsync.Effect
	unlock func()
	file   *os.File // positioned at its end; nil until all has been written once
}

// enableConfigSync makes the node take its configuration from the fleet, where the fleet's file says so. It starts from the
// last version on disk, else from the node's own file.
func (s *Server) enableConfigSync() error {
	if s.config.Fleet == nil || s.config.Fleet.ConfigSync == nil {
		return nil
	}
	content, err := configContent(s.config.Settings)
	if err != nil {
		return fmt.Errorf("configuration: the node's own file: %w", err)
	}
	fromFile := configsync.InitialState{ContentRevision: configsync.Revision{Digest: content.Digest()}, Content: content, Source: "file", Journal: -1}
	start := fromFile
	if folder := s.config.Fleet.ConfigSync.Folder; folder != "" {
		s.configStorage, err = openConfigStorage(s, folder)
		if err != nil {
			return err
		}
		if stored, found := s.configStorage.read(); found {
			start = stored
		}
	}
	now, _ := s.clock.Now()
	seed := s.config.Settings.Node.Seed ^ configSyncSeed
	if err := s.state.EnableConfigSync(now, seed, start, content); err != nil {
		s.log.Warn().Uint64("version", start.ContentRevision.Version).Err(err).
			Msg("configuration: this node can't start from the last version on its disk, and starts from its own file")
		if err := s.state.EnableConfigSync(now, seed, fromFile, content); err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
	}
	debug.FreeOSMemory() // what reading took; no calls are served yet
	return nil
}

// configContent is the part of a node's own file that the fleet may change.
func configContent(settings *nodeconfig.Config) (*configsync.Content, error) {
	if settings.Operations == nil || settings.Operations.Len() == 0 { // a node that serves nothing
		return new(configsync.Content), nil
	}
	return configsync.Build(func(yield func(configsync.Item)) {
		settings.Items(func(i nodeconfig.Item) { yield(configsync.Item(i)) })
	})
}

// openConfigStorage opens and locks a folder for configuration versions.
func openConfigStorage(s *Server, folder string) (*configStorage, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	unlock, err := LockStore(folder)
	if err != nil {
		return nil, err
	}
	return &configStorage{server: s, folder: folder, queue: make(chan *configsync.Effect, maxQueuedVersions), unlock: unlock}, nil
}

func (c *configStorage) path(name string) string { return filepath.Join(c.folder, name) }

// read reads the last version in force and logs what could not be read of it.
func (c *configStorage) read() (start configsync.InitialState, found bool) {
	file, err := os.OpenFile(c.path(lastGoodFileName), os.O_RDWR, 0o600)
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
		c.file = file
		return start, true
	}
	if file != nil {
		file.Close()
	}
	if start.Content != nil { // the next version is written in full
		c.server.log.Warn().Str("file", c.path(lastGoodFileName)).Uint64("version", start.ContentRevision.Version).Err(err).
			Msg("configuration: a crash or the disk spoilt the end of what was kept; what is before it is taken")
		return start, true
	}
	renameErr := os.Rename(c.path(lastGoodFileName), c.path(corruptFileName))
	c.server.log.Warn().Str("file", c.path(corruptFileName)).Err(errors.Join(err, renameErr)).
		Msg("configuration: what was kept can't be read, and is put aside; the node starts from its own file")
	return start, false
}

// enqueue queues a version for the writer; one that finds the queue full counts as not persisted.
func (c *configStorage) enqueue(e *configsync.Effect) {
	select {
	case c.queue <- e:
	default:
		c.server.group.Go(func() error {
			c.server.enqueueInput(node.Input{Kind: node.VersionPersisted, Err: errVersionQueueFull})
			return nil
		})
	}
}

// run writes until the node ends, and then what is still queued.
func (c *configStorage) run() {
	defer c.close()
	for {
		select {
		case e := <-c.queue:
			c.server.enqueueInput(node.Input{Kind: node.VersionPersisted, Err: c.writeVersion(e)})
		case <-c.server.ctx.Done():
			for len(c.queue) > 0 {
				_ = c.writeVersion(<-c.queue) // the state machine has ended; the next start reads what the file holds
			}
			return
		}
	}
}

// writeVersion writes a version: the records that lead to it, or its full content.
func (c *configStorage) writeVersion(e *configsync.Effect) error {
	if e.Full {
		return c.replaceFile(e)
	}
	if c.file == nil {
		return fmt.Errorf("configuration: %s isn't open", c.path(lastGoodFileName))
	}
	var text []byte
	for _, r := range e.Records {
		text = configsync.AppendRecord(text, r)
	}
	err := writeAndSync(c.file, text)
	if err != nil { // the end of the file is no longer known
		c.closeFile()
	}
	return err
}

// replaceFile replaces the file by one with the full content of a version; after a failure the old one is still there.
func (c *configStorage) replaceFile(e *configsync.Effect) error {
	c.closeFile()
	temporary := c.path(lastGoodFileName + temporarySuffix)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	err = writeContent(file, e)
	if err == nil {
		err = os.Rename(temporary, c.path(lastGoodFileName))
	}
	if err == nil {
		err = syncFolder(c.folder)
	}
	if err != nil {
		file.Close()
		return err
	}
	c.file = file
	return nil
}

// writeContent writes the full content of a version and makes it durable.
func writeContent(file *os.File, e *configsync.Effect) error {
	for text := range configsync.Encode(e.Revision, e.New) {
		if _, err := file.Write(text); err != nil {
			return err
		}
	}
	return file.Sync()
}

func (c *configStorage) closeFile() {
	if c.file != nil {
		c.file.Close()
		c.file = nil
	}
}

func (c *configStorage) close() {
	c.closeFile()
	c.unlock()
}

// persistVersion stores a version; a node without a folder has it in memory only.
func (s *Server) persistVersion(e *configsync.Effect) {
	if s.configStorage != nil {
		s.configStorage.enqueue(e)
	}
}
