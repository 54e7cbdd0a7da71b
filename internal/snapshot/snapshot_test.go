package snapshot

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

func sampleState() *State {
	return &State{Name: "n3", Incarnation: 4, Sequence: 9, Clean: true,
		Taken: Moment{Wall: time.Unix(1e9, 5), Boot: "b-1", Up: 77 * time.Second},
		List: &roster.List{Rev: 41, All: true, Targets: []roster.Target{
			{UID: "s-00000001", Endpoint: "127.0.0.1:80", State: "SERVING", Weight: 1, BootMS: 5}}},
		Current:          Generation{Number: 3, Digest: "d3", Time: time.Unix(7, 0), Raw: []byte(`{"name":"n3"}`)},
		Previous:         Generation{Number: 2, Digest: "d2", Time: time.Unix(6, 0), Raw: []byte(`{}`)},
		RolledBackDigest: "d4",
		Memory: policy.SavedState{
			Servers: []policy.SavedServer{
				{ID: 1, HasStart: true, Start: 5, RelativeLatency: 1.5, MonitoredLatency: 2, Health: []policy.SavedHealth{{Class: "loan", FailureAverage: 0.5, OutOfUseFor: time.Second}}},
				{ID: 2, RelativeLatency: 1, MonitoredLatency: 1}},
			Tokens: map[uint64]float64{7: 1.25, 1 << 60: 0}}}
}

func encoded(t testing.TB, s *State) []byte {
	t.Helper()
	b, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// withChecksum replaces the checksum by the correct one after a test has changed the data.
func withChecksum(b []byte) []byte {
	b = append([]byte(nil), b[:len(b)-trailerBytes]...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func TestRoundTrip(t *testing.T) {
	empty := &State{Name: "x", Taken: Moment{Wall: time.Unix(0, 0)}, Current: Generation{Number: 1, Digest: "d", Time: time.Unix(1, 0), Raw: []byte{1}}}
	for _, s := range []*State{sampleState(), empty} {
		got, err := Decode(encoded(t, s), s.Name)
		if err != nil || !reflect.DeepEqual(got, s) {
			t.Errorf("%v\n got %+v\nwant %+v", err, got, s)
		}
	}
	if _, err := Encode(&State{Name: strings.Repeat("n", 300)}); err == nil {
		t.Error("an oversize name was accepted")
	}
}

// Decode detects a file that is truncated at any byte or has any bit flipped.
func TestDamage(t *testing.T) {
	b := encoded(t, sampleState())
	for n := range b {
		if _, err := Decode(b[:n], "n3"); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for i := range len(b) * 8 {
		b[i/8] ^= 1 << (i % 8)
		if _, err := Decode(b, "n3"); !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Fatalf("bit %d flipped: %v", i, err)
		}
		b[i/8] ^= 1 << (i % 8)
	}
	if _, err := Decode(append(b, 0), "n3"); !errors.Is(err, ErrDamaged) {
		t.Errorf("an additional byte: %v", err)
	}
}

func TestForeignAndNewer(t *testing.T) {
	b := encoded(t, sampleState())
	if _, err := Decode(b, "n4"); !errors.Is(err, ErrForeign) {
		t.Error(err)
	}
	newer := append([]byte(nil), b...)
	newer[len(magic)+1] = version + 1
	if _, err := Decode(withChecksum(newer), "n3"); !errors.Is(err, ErrNewer) {
		t.Error(err)
	}
	older := append([]byte(nil), b...)
	older[len(magic)+1] = 0
	if _, err := Decode(withChecksum(older), "n3"); !errors.Is(err, ErrDamaged) {
		t.Error(err)
	}
}

// Decode ignores a section that a later version of this program adds.
func TestUnknownSection(t *testing.T) {
	w := encoder{b: []byte(magic)}
	w.u16(version)
	w.text("n3")
	w.u64(1)
	w.u64(2)
	w.sized(func() {
		w.section(999, func() { w.text("what is to come") })
		w.section(sectionRolledBack, func() { w.text("d") })
	})
	if s, err := Decode(withChecksum(append(w.b, 0, 0, 0, 0)), "n3"); err != nil ||
		s.RolledBackDigest != "d" || s.Sequence != 2 {
		t.Error(s, err)
	}
}

// Lengths far beyond the end of the file cost neither memory nor time, even if the
// checksum is correct.
func TestOversizeLengths(t *testing.T) {
	b := encoded(t, sampleState())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	refused := 0
	for i := len(magic); i+4 <= len(b)-trailerBytes; i++ {
		c := append([]byte(nil), b...)
		binary.BigEndian.PutUint32(c[i:], math.MaxUint32)
		if s, err := Decode(withChecksum(c), "n3"); err != nil {
			refused++
		} else if len(s.Memory.Servers) > 100 || len(s.Memory.Tokens) > 100 {
			t.Fatalf("length at %d accepted", i)
		}
	}
	runtime.ReadMemStats(&after)
	if mb := (after.TotalAlloc - before.TotalAlloc) >> 20; refused == 0 || mb > 64 {
		t.Errorf("%d lengths rejected, %d MB allocated", refused, mb)
	}
}

func FuzzDecode(f *testing.F) {
	b := encoded(f, sampleState())
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < trailerBytes {
			b = append(b, 0, 0, 0, 0)
		}
		for _, c := range [][]byte{b, withChecksum(b)} { // with a correct checksum too
			s, err := Decode(c, "n3")
			if err != nil {
				if !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) && !errors.Is(err, ErrForeign) {
					t.Fatal(err)
				}
				continue
			}
			again, err := Decode(encoded(t, s), "n3")
			if err != nil || again.Sequence != s.Sequence || len(again.Memory.Tokens) != len(s.Memory.Tokens) {
				t.Fatalf("not decoded again after encoding: %v", err)
			}
		}
	})
}

func TestSince(t *testing.T) {
	at := func(wall, up time.Duration, boot string) Moment {
		return Moment{Wall: time.Unix(1e9, 0).Add(wall), Up: up, Boot: boot}
	}
	then := at(0, time.Minute, "b")
	for _, c := range []struct {
		name string
		now  Moment
		want time.Duration
	}{
		{"a second", at(time.Second, 61*time.Second+uptimeStep, "b"), time.Second},
		{"wall clock set back", at(-time.Hour, 61*time.Second, "b"), 0},
		{"wall clock set ahead", at(time.Hour, 61*time.Second+uptimeStep, "b"), time.Second},
		{"kernel's clock back", at(time.Second, 0, "b"), 0},
		{"after a power loss", at(time.Hour, 20*time.Second+uptimeStep, "c"), 20 * time.Second},
		{"no kernel's clock", at(3*time.Second, 0, ""), 3 * time.Second},
	} {
		if got := c.now.Since(then); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	a := Now()
	if b := Now(); a.Boot == "" || b.Boot != a.Boot || b.Up < a.Up || b.Since(a) > time.Minute {
		t.Errorf("%+v then %+v", a, b)
	}
}

// disk models a directory in which a crash may lose everything that was not synced: any
// part of a file after its synced size, and any changes of names since the last sync.
type disk struct {
	rng     *rand.Rand
	names   map[string]*inode
	durable map[string]*inode         // names that survive a crash
	pending []func(map[string]*inode) // changes of names since the last sync

	steps    int    // calls so far
	failAt   int    // the call that fails; 0: none
	crashed  bool   // all calls after failAt fail too
	skipSync string // injected fault: "file" or "names" are not synced
}

type inode struct {
	data   []byte
	synced int
}

var errDisk = errors.New("no space left")

// step counts a call and returns an error if this call should fail.
func (d *disk) step() error {
	d.steps++
	if d.failAt > 0 && (d.steps == d.failAt || d.crashed && d.steps > d.failAt) {
		return errDisk
	}
	return nil
}

func (d *disk) changeNames(change func(map[string]*inode)) {
	change(d.names)
	d.pending = append(d.pending, change)
}

func (d *disk) Read(name string) ([]byte, error) {
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return n.data, nil
}

func (d *disk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		n = &inode{}
		d.changeNames(func(m map[string]*inode) { m[name] = n })
	}
	n.data, n.synced = nil, 0
	return &handle{d, n}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	n := d.names[from]
	d.changeNames(func(m map[string]*inode) {
		if m[from] == n {
			delete(m, from)
		}
		m[to] = n
	})
	return nil
}

func (d *disk) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	if d.skipSync != "names" {
		d.commitNames(func() bool { return true })
	}
	return nil
}

// commitNames makes the pending changes of names durable that selected chooses.
func (d *disk) commitNames(selected func() bool) {
	for _, change := range d.pending {
		if selected() {
			change(d.durable)
		}
	}
	d.pending = nil
}

type handle struct {
	d *disk
	n *inode
}

func (h *handle) Write(b []byte) (int, error) {
	if err := h.d.step(); err != nil {
		half := len(b) / 2 // a full disk accepts a part
		h.n.data = append(h.n.data, b[:half]...)
		return half, err
	}
	h.n.data = append(h.n.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	if h.d.skipSync != "file" {
		h.n.synced = len(h.n.data)
	}
	return nil
}

func (h *handle) Close() error { return h.d.step() }

// crash returns the disk as the next start finds it.
func (d *disk) crash() *disk {
	d.commitNames(func() bool { return d.rng.IntN(2) == 0 })
	next := &disk{rng: d.rng, names: map[string]*inode{}, durable: map[string]*inode{}, skipSync: d.skipSync}
	kept := map[*inode]*inode{}
	for name, n := range d.durable {
		if kept[n] == nil {
			size := n.synced + d.rng.IntN(len(n.data)-n.synced+1)
			kept[n] = &inode{data: append([]byte(nil), n.data[:size]...), synced: size}
		}
		next.names[name], next.durable[name] = kept[n], kept[n]
	}
	return next
}

func newDisk(seed uint64, skipSync string) *disk {
	return &disk{rng: rand.New(rand.NewPCG(seed, 1)), names: map[string]*inode{},
		durable: map[string]*inode{}, skipSync: skipSync}
}

// simulateOutages writes snapshots to a disk that crashes or returns an error at a random step,
// over several starts. At each start it checks that the directory holds the last
// acknowledged state or the one that was being written.
func simulateOutages(seed uint64, skipSync string) error {
	d := newDisk(seed, skipSync)
	acknowledged, attempted := uint64(0), uint64(0) // numbers of the states
	for start := range 6 {
		s, found := Open(d, "n3")
		got := uint64(0)
		if found.State != nil {
			got = found.State.Current.Number
			if want := fmt.Sprint(got); string(found.State.Current.Raw) != want {
				return fmt.Errorf("start %d: state %d holds %q", start, got, found.State.Current.Raw)
			}
		}
		if got != acknowledged && got != attempted {
			return fmt.Errorf("start %d: found %d, acknowledged %d, being written %d (%v)",
				start, got, acknowledged, attempted, found.Problems)
		}
		if found.Complete && got < acknowledged {
			return fmt.Errorf("start %d: %d is reported as the last, %d was acknowledged",
				start, got, acknowledged)
		}
		acknowledged = got
		if attempted < got {
			attempted = got
		}
		next := max(acknowledged, attempted)
		d.failAt, d.crashed = d.steps+1+d.rng.IntN(30), d.rng.IntN(2) == 0
		for range 6 {
			next++
			attempted = next
			_, err := s.Write(&State{Current: Generation{Number: next, Time: time.Unix(1, 0), Raw: fmt.Append(nil, next)}})
			if err == nil {
				acknowledged = next
			} else if d.crashed {
				break
			}
		}
		d = d.crash()
	}
	return nil
}

func TestCrashAtEveryStep(t *testing.T) {
	for seed := range uint64(5000) {
		if err := simulateOutages(seed, ""); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The disk model detects a Store that omits a sync.
func TestModelCatchesMissingSyncs(t *testing.T) {
	for _, skipSync := range []string{"file", "names"} {
		caught := false
		for seed := range uint64(2000) {
			caught = caught || simulateOutages(seed, skipSync) != nil
		}
		if !caught {
			t.Errorf("the missing sync of %s was not detected", skipSync)
		}
	}
}

// Found.Complete is false if a later snapshot may be lost or damaged.
func TestComplete(t *testing.T) {
	d := newDisk(1, "")
	s, found := Open(d, "n3")
	if found.State != nil || found.Complete {
		t.Fatalf("%+v in an empty directory", found)
	}
	state := func(n uint64) *State {
		return &State{Clean: true, Current: Generation{Number: n, Time: time.Unix(1, 0)}}
	}
	for n := range uint64(3) {
		if _, err := s.Write(state(n + 1)); err != nil {
			t.Fatal(err)
		}
		if _, found := Open(d, "n3"); !found.Complete || found.State.Current.Number != n+1 {
			t.Errorf("after %d: %+v", n+1, found)
		}
	}
	newest, other := slotFile(3), slotFile(2)
	intact := d.names[newest].data
	for why, damage := range map[string]func(){
		"the newest damaged": func() { d.names[newest] = &inode{data: intact[:9]} },
		"the newest lost":    func() { delete(d.names, newest) },
		"the other damaged": func() {
			d.names[newest], d.names[other] = &inode{data: intact},
				&inode{data: []byte("x")}
		},
	} {
		original := map[string]*inode{newest: d.names[newest], other: d.names[other]}
		damage()
		if _, found := Open(d, "n3"); found.Complete || found.State == nil {
			t.Errorf("%s: %+v", why, found)
		}
		d.names[newest], d.names[other] = original[newest], original[other]
	}
	if _, found := Open(d, "other"); found.State != nil || len(found.Problems) != 2 {
		t.Errorf("%+v for another edge node", found)
	}
}

// If any step of a write fails, the previous snapshot stays intact and the next write
// succeeds.
func TestNoSpace(t *testing.T) {
	for at := 1; at <= 6; at++ {
		d := newDisk(1, "")
		s, _ := Open(d, "n3")
		state := func(n uint64) *State { return &State{Current: Generation{Number: n, Time: time.Unix(1, 0)}} }
		if _, err := s.Write(state(1)); err != nil {
			t.Fatal(err)
		}
		d.failAt = d.steps + at
		if _, err := s.Write(state(2)); !errors.Is(err, errDisk) {
			t.Fatalf("step %d: %v", at, err)
		}
		if _, found := Open(d, "n3"); found.State == nil || found.State.Current.Number > 2 {
			t.Errorf("step %d: %+v", at, found)
		}
		if _, err := s.Write(state(3)); err != nil {
			t.Fatal(err)
		}
		if _, found := Open(d, "n3"); found.State.Current.Number != 3 {
			t.Errorf("step %d: %+v", at, found.State)
		}
	}
}

// blockedDisk is a disk that blocks each write until the test closes a channel.
type blockedDisk struct {
	*disk
	release chan struct{}
}

func (g blockedDisk) Create(name string) (File, error) {
	<-g.release
	return g.disk.Create(name)
}

// Offer doesn't block on a slow disk: the newest state is written, and dropped states are
// counted. Failed writes are counted too.
func TestWriterNeverWaits(t *testing.T) {
	g := blockedDisk{newDisk(1, ""), make(chan struct{})}
	s, _ := Open(g, "n3")
	w := NewWriter(s)
	const n = 100
	for i := range uint64(n) {
		w.Offer(&State{Current: Generation{Number: i + 1, Time: time.Unix(1, 0)}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if w.Close(ctx) {
		t.Error("Close reports success while the disk blocks")
	}
	close(g.release)
	<-w.done
	c := w.Counts()
	if _, found := Open(g.disk, "n3"); found.State.Current.Number != n || c.Dropped < n-3 || c.Written+c.Dropped != n {
		t.Errorf("%d found, %+v", found.State.Current.Number, c)
	}
	d := newDisk(1, "")
	d.failAt, d.crashed = 1, true
	s, _ = Open(d, "n3")
	w = NewWriter(s)
	w.Offer(&State{})
	if w.Close(context.Background()) || w.Counts().Failed != 1 || w.Counts().Error == "" {
		t.Errorf("%+v", w.Counts())
	}
}

// Only one process can use a directory. The lock is released even if that process is
// killed.
func TestOneWriter(t *testing.T) {
	if path := os.Getenv("SNAPSHOT_DIR"); path != "" {
		if _, err := OpenDir(path); err != nil {
			fmt.Println(err)
			os.Exit(3)
		}
		fmt.Println("locked")
		select {}
	}
	path := filepath.Join(t.TempDir(), "state")
	child := exec.Command(os.Args[0], "-test.run=^TestOneWriter$")
	child.Env = append(os.Environ(), "SNAPSHOT_DIR="+path)
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := out.Read(make([]byte, 6)); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenDir(path); !errors.Is(err, ErrInUse) {
		t.Errorf("%v while another process writes there", err)
	}
	if err := child.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = child.Wait()
	d, err := OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	s, found := Open(d, "n3")
	if found.State != nil || len(found.Problems) > 0 {
		t.Errorf("%+v", found)
	}
	if _, err := s.Write(sampleState()); err != nil {
		t.Fatal(err)
	}
	_, found = Open(d, "n3")
	if found.State == nil || found.State.Current.Number != 3 || found.State.Sequence != 1 || found.State.Incarnation != 1 {
		t.Errorf("%+v", found)
	}
	if err := os.Mkdir(filepath.Join(path, slotFile(0)), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, found := Open(d, "n3"); found.State == nil || found.Complete || len(found.Problems) != 1 {
		t.Errorf("%+v with a folder in a slot's place", found)
	}
}

// A directory that can't be used is an error, not a crash.
func TestUnusableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{file, filepath.Join(file, "below"), "/proc/none"} {
		if d, err := OpenDir(path); err == nil {
			d.Close()
			t.Errorf("%s was accepted", path)
		}
	}
}

// Decode still reads the list as JSON, as earlier versions wrote it. A list that is passed
// in its binary format is decoded unchanged.
func TestListFormats(t *testing.T) {
	want := sampleState().List
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	w := encoder{b: []byte(magic)}
	w.u16(version)
	w.text("n3")
	w.u64(1)
	w.u64(2)
	w.sized(func() { w.section(sectionJSONList, func() { w.b = append(w.b, raw...) }) })
	lines, err := want.AppendBinary(nil)
	if err != nil {
		t.Fatal(err)
	}
	fromBytes := &State{Name: "n3", EncodedList: func() []byte { return lines }}
	for name, b := range map[string][]byte{"JSON": withChecksum(append(w.b, 0, 0, 0, 0)),
		"binary": encoded(t, fromBytes)} {
		if s, err := Decode(b, "n3"); err != nil || !reflect.DeepEqual(s.List, want) {
			t.Errorf("%s: %+v, %v", name, s, err)
		}
	}
	none := &State{Name: "n3", List: want, EncodedList: func() []byte { return nil }}
	if s, err := Decode(encoded(t, none), "n3"); err != nil || s.List != nil {
		t.Errorf("%+v, %v: a list although EncodedList returned none", s, err)
	}
}
