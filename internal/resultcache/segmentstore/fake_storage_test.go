package segmentstore

import (
	"errors"
	"maps"
	"math/rand"
	"slices"
)

const blockBytes = 16 // that a crash keeps or loses as one

var errFakeStorage = errors.New("the fake storage failed")

// fakeStorage is a directory in memory that fails on demand, and that a crash takes back to what was synced and some of what was
// not.
type fakeStorage struct {
	files map[string]*fakeFile
	rng   *rand.Rand
	fail  func(operation string) bool
}

type fakeFile struct {
	storage *fakeStorage
	synced  []byte
	live    []byte
}

func newFakeStorage(seed int64) *fakeStorage {
	return &fakeStorage{files: map[string]*fakeFile{}, rng: rand.New(rand.NewSource(seed)), fail: func(string) bool { return false }}
}

func (storage *fakeStorage) Names() (names []string, err error) {
	for name := range storage.files {
		names = append(names, name)
	}
	return names, nil
}

func (storage *fakeStorage) Read(name string) ([]byte, error) {
	if storage.fail("read") {
		return nil, errFakeStorage
	}
	return slices.Clone(storage.files[name].live), nil
}

func (storage *fakeStorage) Create(name string, size int64) (File, error) {
	if storage.fail("create") {
		return nil, errFakeStorage
	}
	storage.files[name] = &fakeFile{storage: storage, synced: make([]byte, size), live: make([]byte, size)}
	return storage.files[name], nil
}

func (storage *fakeStorage) Remove(name string) error {
	if storage.fail("remove") {
		return errFakeStorage
	}
	delete(storage.files, name)
	return nil
}

func (file *fakeFile) WriteAt(p []byte, at int64) (int, error) {
	n := len(p)
	failed := file.storage.fail("write")
	if failed {
		n = file.storage.rng.Intn(len(p) + 1) // torn
	}
	copy(file.live[at:], p[:n])
	if failed {
		return n, errFakeStorage
	}
	return n, nil
}

func (file *fakeFile) Sync() error {
	if file.storage.fail("sync") {
		return errFakeStorage
	}
	copy(file.synced, file.live)
	return nil
}

func (file *fakeFile) Close() error { return nil }

// crash keeps what was synced, and some blocks of what was not, in any order.
func (storage *fakeStorage) crash() {
	for _, name := range slices.Sorted(maps.Keys(storage.files)) { // so that a seed draws the same blocks each time
		file := storage.files[name]
		for at := 0; at < len(file.live); at += blockBytes {
			end := min(at+blockBytes, len(file.live))
			if storage.rng.Intn(2) == 0 {
				copy(file.synced[at:end], file.live[at:end])
			}
		}
		file.live = slices.Clone(file.synced)
	}
}
