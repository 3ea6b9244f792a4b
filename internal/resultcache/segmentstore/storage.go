package segmentstore

// File is a file that was created. Writes are durable once Sync has returned.
type File interface {
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Close() error
}

// Storage is the files of one directory.
type Storage interface {
	// Names lists the files, in any order.
	Names() ([]string, error)
	// Read reads a whole file.
	Read(name string) ([]byte, error)
	// Create makes a file of a size, zeros throughout, and its name durable.
	Create(name string, size int64) (File, error)
	// Remove removes a file.
	Remove(name string) error
}
