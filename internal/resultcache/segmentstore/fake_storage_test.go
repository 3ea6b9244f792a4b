package segmentstore

import (
	"errors"
	"math/rand"
	"slices"
)

var errFakeStorage = errors.New("the disk failed")

// fakeStorage is a folder in memory that fails when told to, and that a crash takes back to what was synced and some of what
// was not.
type fakeStorage struct {
	files map[string]*fakeFile
	rng   *rand.Rand
	fail  func(what string) bool
}

type fakeFile struct {
	storage *fakeStorage
	synced  []byte
	live    []byte
}

func newFakeStorage(seed int64) *fakeStorage {
	return &fakeStorage{files: map[string]*fakeFile{}, rng: rand.New(rand.NewSource(seed)), fail: func(string) bool { return false }}
}

func (d *fakeStorage) Names() (names []string, err error) {
	for name := range d.files {
		names = append(names, name)
	}
	return names, nil
}

func (d *fakeStorage) Read(name string) ([]byte, error) {
	if d.fail("read") {
		return nil, errFakeStorage
	}
	return slices.Clone(d.files[name].live), nil
}

func (d *fakeStorage) Create(name string, size int64) (File, error) {
	if d.fail("create") {
		return nil, errFakeStorage
	}
	d.files[name] = &fakeFile{storage: d, synced: make([]byte, size), live: make([]byte, size)}
	return d.files[name], nil
}

func (d *fakeStorage) Remove(name string) error {
	if d.fail("remove") {
		return errFakeStorage
	}
	delete(d.files, name)
	return nil
}

func (m *fakeFile) WriteAt(p []byte, at int64) (int, error) {
	n := len(p)
	failed := m.storage.fail("write")
	if failed {
		n = m.storage.rng.Intn(len(p) + 1) // torn
	}
	copy(m.live[at:], p[:n])
	if failed {
		return n, errFakeStorage
	}
	return n, nil
}

func (m *fakeFile) Sync() error {
	if m.storage.fail("sync") {
		return errFakeStorage
	}
	copy(m.synced, m.live)
	return nil
}

func (m *fakeFile) Close() error { return nil }

// crash keeps what was synced, and of what was not some blocks of sixteen bytes in any order.
func (d *fakeStorage) crash() {
	for _, m := range d.files {
		for at := 0; at < len(m.live); at += 16 {
			end := min(at+16, len(m.live))
			if d.rng.Intn(2) == 0 {
				copy(m.synced[at:end], m.live[at:end])
			}
		}
		m.live = slices.Clone(m.synced)
	}
}
