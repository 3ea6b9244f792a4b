package segmentstore

import (
	"os"
	"path/filepath"
)

// Directory is the files of one folder of the system.
type Directory string

// Names lists them.
func (f Directory) Names() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read reads a file whole.
func (f Directory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(f), name))
}

// Create makes a file of zeros whose name lasts. It must be new: none is ever written again.
func (f Directory) Create(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err = file.Truncate(size); err == nil {
		err = f.sync()
	}
	if err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Remove takes a file out.
func (f Directory) Remove(name string) error {
	if err := os.Remove(filepath.Join(string(f), name)); err != nil {
		return err
	}
	return f.sync()
}

// sync makes names lasting.
func (f Directory) sync() error {
	folder, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
