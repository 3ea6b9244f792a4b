package server

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// openStorage opens what the node keeps of its seat and of the configuration, locked against any other.
func (s *Server) openStorage() error {
	if err := s.recoverReplica(); err != nil {
		return err
	}
	err := s.enableConfigSync()
	if err != nil {
		s.closeStorage()
	}
	return err
}

// runStorage writes to them until the node ends.
func (s *Server) runStorage() {
	if s.replica != nil {
		s.group.Go(func() error { s.replica.run(); return nil })
	}
	if s.configStorage != nil {
		s.group.Go(func() error { s.configStorage.run(); return nil })
	}
}

// closeStorage gives them up where nothing writes to them yet.
func (s *Server) closeStorage() {
	if s.replica != nil {
		s.replica.close()
	}
	if s.configStorage != nil {
		s.configStorage.close()
	}
}

// LockStore keeps a folder from any other node, and from commands that write to it, until unlock.
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
