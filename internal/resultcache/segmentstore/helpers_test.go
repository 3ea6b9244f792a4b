package segmentstore

import (
	"errors"
	"math/rand"
	"slices"
)

var errDisk = errors.New("the disk failed")

// disk is a folder in memory that fails when told to, and that a crash takes back to what was synced and some of what
// was not.
type disk struct {
	files  map[string]*memory
	chance *rand.Rand
	fail   func(what string) bool
}

type memory struct {
	disk   *disk
	synced []byte
	live   []byte
}

func newDisk(seed int64) *disk {
	return &disk{files: map[string]*memory{}, chance: rand.New(rand.NewSource(seed)), fail: func(string) bool { return false }}
}

func (d *disk) Names() (names []string, err error) {
	for name := range d.files {
		names = append(names, name)
	}
	return names, nil
}

func (d *disk) Read(name string) ([]byte, error) {
	if d.fail("read") {
		return nil, errDisk
	}
	return slices.Clone(d.files[name].live), nil
}

func (d *disk) Create(name string, size int64) (File, error) {
	if d.fail("create") {
		return nil, errDisk
	}
	d.files[name] = &memory{disk: d, synced: make([]byte, size), live: make([]byte, size)}
	return d.files[name], nil
}

func (d *disk) Remove(name string) error {
	if d.fail("remove") {
		return errDisk
	}
	delete(d.files, name)
	return nil
}

func (m *memory) WriteAt(p []byte, at int64) (int, error) {
	n := len(p)
	failed := m.disk.fail("write")
	if failed {
		n = m.disk.chance.Intn(len(p) + 1) // torn
	}
	copy(m.live[at:], p[:n])
	if failed {
		return n, errDisk
	}
	return n, nil
}

func (m *memory) Sync() error {
	if m.disk.fail("sync") {
		return errDisk
	}
	copy(m.synced, m.live)
	return nil
}

func (m *memory) Close() error { return nil }

// crash keeps what was synced, and of what was not some blocks of sixteen bytes in any order.
func (d *disk) crash() {
	for _, m := range d.files {
		for at := 0; at < len(m.live); at += 16 {
			end := min(at+16, len(m.live))
			if d.chance.Intn(2) == 0 {
				copy(m.synced[at:end], m.live[at:end])
			}
		}
		m.live = slices.Clone(m.synced)
	}
}
