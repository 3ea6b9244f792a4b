package server

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const lockFileName = "lock"

// LockStore locks a folder against other nodes and against commands that write to it, until unlock is called.
func LockStore(folder string) (unlock func(), err error) {
	lock, err := os.OpenFile(filepath.Join(folder, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("store: %s is in use by a node, or by another command; stop that first", folder)
	}
	return func() { lock.Close() }, nil
}

// openStorage opens the folders that the node writes to, all of them or none.
func (s *Server) openStorage() error {
	for _, open := range []func() error{s.openResultStore, s.recoverReplica, s.enableConfigSync} {
		if err := open(); err != nil {
			s.closeStorage()
			return err
		}
	}
	if s.resultStore != nil { // last: a configuration version from the disk may have brought a longer window
		s.resultStore.retainRecovered(s.state.RecoveryWindow())
	}
	return nil
}

// runStorage starts the writers, which close their folders when the node ends.
func (s *Server) runStorage() {
	if s.resultStore != nil {
		s.group.Go(func() error { s.resultStore.run(); return nil })
	}
	if s.replica != nil {
		s.group.Go(func() error { s.replica.run(); return nil })
	}
	if s.configStorage != nil {
		s.group.Go(func() error { s.configStorage.run(); return nil })
	}
}

// closeStorage closes the folders where no writer was started.
func (s *Server) closeStorage() {
	if s.resultStore != nil {
		s.resultStore.close()
	}
	if s.replica != nil {
		s.replica.close()
	}
	if s.configStorage != nil {
		s.configStorage.close()
	}
}

// syncFolder makes renames and removals in a folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// writeAndSync appends to a file and makes it durable.
func writeAndSync(file *os.File, text []byte) error {
	if _, err := file.Write(text); err != nil {
		return err
	}
	return file.Sync()
}
