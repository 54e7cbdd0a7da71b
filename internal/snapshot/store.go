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

// FS is the directory that snapshots are kept in.
type FS interface {
	Read(name string) ([]byte, error) // fs.ErrNotExist: there is no such file
	Create(name string) (File, error) // empties one that is there
	Rename(from, to string) error     // to is replaced
	Sync() error                      // of the directory: until then renames may be lost
}

// File is one that is being written.
type File interface {
	io.WriteCloser
	Sync() error // until then what was written may be lost from some place on
}

// The files. Snapshots take the two slots in turn, so the one before is never
// touched while the next is written.
const temporary = "snapshot.tmp"

func slot(sequence uint64) string { return fmt.Sprintf("snapshot-%d", sequence%2) }

// ErrInUse is a directory that another process writes to.
var ErrInUse = errors.New("another process keeps its snapshots there")

// Store is the snapshots of one edge node in one directory. It is not safe for
// concurrent use.
type Store struct {
	fs          FS
	name        string
	incarnation uint64
	sequence    uint64
}

// Found is what a directory held.
type Found struct {
	State    *State   // nil: nothing that can be used
	Complete bool     // State is the last that was written: no later one is lost or damaged
	Problems []string // what was passed over, and why
}

// Open reads what is there. What can't be used is told and passed over.
func Open(dir FS, name string) (*Store, Found) {
	s, f := &Store{fs: dir, name: name}, Found{}
	absent := 0
	for i := range uint64(2) {
		b, err := dir.Read(slot(i))
		var st *State
		if err == nil {
			st, err = Decode(b, name)
		}
		switch {
		case errors.Is(err, fs.ErrNotExist):
			absent++
		case err != nil:
			f.Problems = append(f.Problems, fmt.Sprintf("%s: %v", slot(i), err))
		case f.State == nil || st.Sequence > f.State.Sequence:
			f.State = st
		}
	}
	if f.State != nil {
		// The first snapshot has none before it.
		f.Complete = len(f.Problems) == 0 && (absent == 0 || f.State.Sequence == 1)
		s.sequence, s.incarnation = f.State.Sequence, f.State.Incarnation
	}
	s.incarnation++
	return s, f
}

// Write puts a state in place of the snapshot before the last, and tells its size.
// Once it returns without an error the state is what a start finds, also after a power loss; at an
// error, or when it is cut off anywhere, a start finds this one or the last.
func (s *Store) Write(st *State) (int, error) {
	out := *st
	out.Name, out.Incarnation, out.Sequence = s.name, s.incarnation, s.sequence+1
	b, err := Encode(&out)
	if err != nil {
		return 0, fmt.Errorf("encode: %w", err)
	}
	f, err := s.fs.Create(temporary)
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
	if err := s.fs.Rename(temporary, slot(out.Sequence)); err != nil {
		return 0, fmt.Errorf("rename: %w", err)
	}
	// At an error here the name may be in place or not: the next snapshot takes
	// this slot again, never that of the last one that surely is there.
	if err := s.fs.Sync(); err != nil {
		return 0, fmt.Errorf("sync the directory: %w", err)
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

// OpenDir makes the directory if it is not there and takes its lock, which ends
// with the process; it is ErrInUse while another process has it.
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

// Close lets go of the lock.
func (d *Dir) Close() error { return errors.Join(d.dir.Close(), d.lock.Close()) }

// Read reads a file of bounded size.
func (d *Dir) Read(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(d.path, name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil && !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%w: not a plain file", ErrDamaged)
	}
	b, err := io.ReadAll(io.LimitReader(f, mostFile+1))
	if err == nil && len(b) > mostFile {
		err = fmt.Errorf("%w: over %d bytes", ErrDamaged, mostFile)
	}
	return b, err
}

// Create opens a file to be written.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename gives a file another name.
func (d *Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

// Sync makes the names in the directory last.
func (d *Dir) Sync() error { return d.dir.Sync() }
