package segmentstore

import (
	"os"
	"path/filepath"
)

// Directory is the Storage of a directory of the file system.
type Directory string

// Names lists the regular files.
func (d Directory) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

// Read reads a whole file.
func (d Directory) Read(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

// Create makes a file of zeros whose name is durable. It must not exist: no file is ever written again.
func (d Directory) Create(name string, size int64) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = file.Truncate(size)
	if err == nil {
		err = d.sync()
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Remove removes a file.
func (d Directory) Remove(name string) error {
	if err := os.Remove(d.path(name)); err != nil {
		return err
	}
	return d.sync()
}

func (d Directory) path(name string) string { return filepath.Join(string(d), name) }

// sync makes the names of files durable.
func (d Directory) sync() error {
	directory, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer directory.Close()
	return directory.Sync()
}
