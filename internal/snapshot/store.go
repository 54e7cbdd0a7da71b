package snapshot

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the directory of the snapshots.
type FS interface {
	Read(name string) ([]byte, error) // fs.ErrNotExist if there is no such file
	Create(name string) (File, error) // truncates an existing file
	Rename(from, to string) error     // replaces an existing file
	Sync() error                      // makes earlier renames durable; before, a crash may undo them
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error // makes earlier writes durable; before, a crash may cut them off anywhere
}

// tempFile is the file that a snapshot is written to before it is renamed to its slot.
const tempFile = "snapshot.tmp"

// slotFile returns the file of a snapshot. Snapshots alternate between two slots, so the
// previous one stays intact while the next one is written.
func slotFile(sequence uint64) string { return fmt.Sprintf("snapshot-%d", sequence%2) }

// ErrInUse is returned for a directory that another process writes to.
var ErrInUse = errors.New("another process keeps its snapshots there")

// Store reads and writes the snapshots of one edge node in one directory. It is not safe
// for concurrent use.
type Store struct {
	fs          FS
	name        string
	incarnation uint64
	sequence    uint64
}

// Found is the content of a directory.
type Found struct {
	State    *State   // the newest valid snapshot, or nil
	Complete bool     // State is the last one written: no later one is lost or damaged
	Problems []string // ignored files and the reasons
}

// Open reads the snapshots in a directory. It ignores invalid ones and reports them in
// Found.Problems.
func Open(dir FS, name string) (*Store, Found) {
	s, f := &Store{fs: dir, name: name}, Found{}
	absent := 0
	for i := range uint64(2) {
		b, err := dir.Read(slotFile(i))
		var st *State
		if err == nil {
			st, err = Decode(b, name)
		}
		switch {
		case errors.Is(err, fs.ErrNotExist):
			absent++
		case err != nil:
			f.Problems = append(f.Problems, fmt.Sprintf("%s: %v", slotFile(i), err))
		case f.State == nil || st.Sequence > f.State.Sequence:
			f.State = st
		}
	}
	if f.State != nil {
		// The second slot is still empty after the first snapshot.
		f.Complete = len(f.Problems) == 0 && (absent == 0 || f.State.Sequence == 1)
		s.sequence, s.incarnation = f.State.Sequence, f.State.Incarnation
	}
	s.incarnation++
	return s, f
}

// Write writes a snapshot into the slot of the last but one and returns its size. After
// success a start finds this snapshot, even after a power loss. After an error or a crash
// at any point, a start finds this snapshot or the previous one.
func (s *Store) Write(st *State) (int, error) {
	out := *st
	out.Name, out.Incarnation, out.Sequence = s.name, s.incarnation, s.sequence+1
	b, err := Encode(&out)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	f, err := s.fs.Create(tempFile)
	if err != nil {
		return 0, fmt.Errorf("create: %w", err)
	}
	if _, err := f.Write(b); err != nil {
		f.Close()
		return 0, fmt.Errorf("write: %w", err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return 0, fmt.Errorf("sync: %w", err)
	}
	if err := f.Close(); err != nil {
		return 0, fmt.Errorf("close: %w", err)
	}
	if err := s.fs.Rename(tempFile, slotFile(out.Sequence)); err != nil {
		return 0, fmt.Errorf("rename: %w", err)
	}
	// If this fails, the rename may be durable or not. The sequence isn't advanced, so
	// the next snapshot reuses this slot and the last durable one stays intact.
	if err := s.fs.Sync(); err != nil {
		return 0, fmt.Errorf("sync directory: %w", err)
	}
	s.sequence = out.Sequence
	return len(b), nil
}

// Dir is a directory of the operating system, locked for this process.
type Dir struct {
	path string
	dir  *os.File
	lock *os.File
}

// OpenDir creates the directory if necessary and locks it. The kernel releases the lock
// when the process ends. The error is ErrInUse while another process has the lock.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	dir, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		dir.Close()
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		dir.Close()
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrInUse
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Dir{path, dir, lock}, nil
}

// Close releases the lock.
func (d *Dir) Close() error { return errors.Join(d.dir.Close(), d.lock.Close()) }

// Read reads a file of bounded size.
func (d *Dir) Read(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%w: not a regular file", ErrDamaged)
	}
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(b) > maxFileBytes {
		err = fmt.Errorf("%w: more than %d bytes", ErrDamaged, maxFileBytes)
	}
	return b, err
}

// Create opens a file for writing and truncates it.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file and replaces an existing one.
func (d *Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Sync makes the directory's entries durable.
func (d *Dir) Sync() error { return d.dir.Sync() }
