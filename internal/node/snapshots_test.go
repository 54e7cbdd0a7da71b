package node

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"valvering.example/valvering/internal/lease"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/internal/snapshot"
	"valvering.example/valvering/internal/testkit"
	"valvering.example/valvering/policy"
)

// kept opens a state directory as a start does; let go of it with close.
func kept(t *testing.T, path string) (k *Snapshots, letGo func()) {
	t.Helper()
	dir, err := snapshot.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	store, found := snapshot.Open(dir, "n0")
	return &Snapshots{store, found}, func() { dir.Close() }
}

// rated is testSettings with a plan that shows what its store holds.
const ratedPlan = `{"name":"rated","rate":0.01,"store_size":4}`

// units spends a customer's store until it is refused.
func units(t *testing.T, n *running) (spent int) {
	t.Helper()
	for range 10 {
		r := request(n.url, "loan", patience)
		r.Header.Set("X-Tier", "rated")
		r.Header.Set("X-Call-Terms", "units=1,spread=1,first=0")
		resp, _ := ask(t, r)
		if resp.StatusCode != 200 {
			return spent
		}
		spent++
	}
	return spent
}

// After a planned stop a customer's store goes on where it was, once; after a
// crash it grants nothing that may have been let in before.
func TestStoresOverRestarts(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "a"))
	path := filepath.Join(t.TempDir(), "state")
	settings := ratedSettings()
	g := newRegistry(t, serving("s-00000001", a.addr()))
	open := func() (*running, func()) {
		k, letGo := kept(t, path)
		return startFrom(t, fileConfig(t, g.addr, "", settings), k), letGo
	}
	planned := func(n *running, letGo func()) {
		t.Helper()
		n.stop()
		if err := <-n.done; err != nil {
			t.Fatal(err)
		}
		letGo()
	}
	n, letGo := open()
	spend := func(n *running, want int) {
		t.Helper()
		for range want {
			r := request(n.url, "loan", patience)
			r.Header.Set("X-Tier", "rated")
			r.Header.Set("X-Call-Terms", "units=1,spread=1,first=0")
			if resp, _ := ask(t, r); resp.StatusCode != 200 {
				t.Fatalf("%d", resp.StatusCode)
			}
		}
	}
	spend(n, 1)
	planned(n, letGo)

	k, close := kept(t, path)
	if st := k.Found.State; st == nil || !st.Clean || !k.Found.Complete || len(st.Memory.Tokens) != 1 {
		t.Fatalf("%+v after a planned stop", k.Found)
	}
	close()
	n, letGo = open()
	spend(n, 1) // of the three that were left
	n.cancel()  // as a crash does: the process is not heard of again
	<-n.loop.done
	letGo()
	n, letGo = open()
	if got := units(t, n); got != 0 {
		t.Errorf("%d units at once after a crash", got)
	}
	planned(n, letGo)
	n, letGo = open()
	if got := units(t, n); got != 0 {
		t.Errorf("%d units at once after a planned stop after a crash", got)
	}
	planned(n, letGo)
}

func ratedSettings() string {
	return `{"me":0,"balancers":1,"tick_ms":1,"family_info":{"largest":6},"caps":{"max_attempts":3},
	 "classes":[{"name":"loan","aim_ms":1000,"hard_limit_ms":10000,"semantics":"by_key","window_ms":20000}],
	 "plans":[` + ratedPlan + `,{"name":"town"}]}`
}

// An edge node that was killed knows its servers without discovery, and is ready
// at once where its list is fresh.
func TestListOverCrash(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "a"))
	path := filepath.Join(t.TempDir(), "state")
	g := newRegistry(t, serving("s-00000001", a.addr()))
	k, letGo := kept(t, path)
	n := startFrom(t, fileConfig(t, g.addr, "", testSettings), k)
	testkit.Eventually(t, "a snapshot with the list", func() bool {
		dir := snapshotsAt(path)
		_, found := snapshot.Open(dir, "n0")
		return found.State != nil && found.State.List != nil && len(found.State.List.Targets) == 1
	})
	n.cancel() // the loop ends where it stands
	letGo()
	k, letGo = kept(t, path)
	defer letGo()
	if k.Found.State.Clean {
		t.Error("a crash passes for a planned stop")
	}
	n = startFrom(t, fileConfig(t, silent(t), "", testSettings), k)
	if resp, body := ask(t, request(n.url, "loan", patience)); resp.StatusCode != 200 || body != "a" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
}

// snapshotsAt reads a directory that another has locked.
type snapshotsAt string

func (s snapshotsAt) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(s), name))
}
func (snapshotsAt) Create(string) (snapshot.File, error) { return nil, fs.ErrPermission }
func (snapshotsAt) Rename(string, string) error          { return fs.ErrPermission }
func (snapshotsAt) Sync() error                          { return fs.ErrPermission }

// silent is a discovery that takes calls and answers none.
func silent(t *testing.T) string {
	t.Helper()
	return newApp(t, deaf).addr()
}

// A disk that can't be written costs freshness and a count, never a request: the
// edge node serves, and what it found counts as after a crash.
func TestDiskOutOfUse(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "a"))
	g := newRegistry(t, serving("s-00000001", a.addr()))
	store, _ := snapshot.Open(snapshotsAt(t.TempDir()), "n0")
	found := snapshot.Found{Complete: true, State: &snapshot.State{Clean: true, Taken: snapshot.Now(),
		Memory: policy.SavedState{Tokens: map[uint64]float64{}}}}
	n := startFrom(t, fileConfig(t, g.addr, "", ratedSettings()), &Snapshots{store, found})
	other := request(n.url, "loan", patience)
	other.Header.Set("Cookie", "key=0000000000000007")
	if resp, _ := ask(t, other); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	if got := units(t, n); got != 0 {
		t.Errorf("%d units at once from stores that the next start would find again", got)
	}
	testkit.Eventually(t, "failures counted", func() bool { return n.Status().Snapshots.Failed > 1 })
	n.stop()
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}

// A list older than its limit, or older than the configuration's, is passed over,
// and so are a server's faults.
func TestOldPiecesArePassedOver(t *testing.T) {
	long := snapshot.Now()
	long.Wall = long.Wall.Add(-2 * maxListAge)
	a, b := newApp(t, answer("200 OK", "", "a")), newApp(t, answer("200 OK", "", "b"))
	older := &serverList{Rev: 3, Targets: []target{serving("s-00000001", a.addr())}}
	newer := &serverList{Rev: 4, Targets: []target{serving("s-00000002", b.addr())}}
	for _, c := range []struct {
		name        string
		kept, known *serverList
		taken       snapshot.Moment
		want        string
	}{
		{"kept", newer, older, snapshot.Now(), "b"},
		{"configuration's is newer", older, newer, snapshot.Now(), "b"},
		{"too old", newer, older, long, "a"},
	} {
		store, _ := snapshot.Open(snapshotsAt(t.TempDir()), "n0")
		cfg := fileConfig(t, refusing(t), "", testSettings)
		cfg.Current().File.KnownServers = c.known
		n := startFrom(t, cfg, &Snapshots{store, snapshot.Found{State: &snapshot.State{Taken: c.taken, List: c.kept}}})
		if _, body := ask(t, request(n.url, "loan", patience)); body != c.want {
			t.Errorf("%s: served by %q, want %q", c.name, body, c.want)
		}
	}
}

// Where discovery refuses at once the list held has to do, without a wait.
func TestReadyWhereDiscoveryRefuses(t *testing.T) {
	a := newApp(t, answer("200 OK", "", "a"))
	cfg := testConfig(t, refusing(t))
	cfg.Current().File.KnownServers = &serverList{Rev: 4, Targets: []target{serving("s-00000001", a.addr())}}
	n, err := New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	ready := func(kind policy.UpdateKind) bool {
		n.loop.onServerList(kind)
		return n.server.ready.Load()
	}
	if ready(policy.WatchFailed) {
		t.Error("ready without any list")
	}
	if ready(policy.StoredList) {
		t.Error("ready before discovery was asked")
	}
	if !ready(policy.WatchFailed) {
		t.Error("not ready though discovery refuses")
	}
	n.listener.Close()
	n.cancel()
}

// Where the configuration names no duty no message of one is sent or heard; where it
// does, garbage is passed over and the module hears nothing of them.
func TestDutiesOnlyWhereNamed(t *testing.T) {
	var told int
	d := newDuties([]string{"a", "b"}, 0, 1, 1, clock{time.Now()}, func(int, []byte) { told++ })
	if !d.receive(0, []byte{lease.Version, 1, 2}) || d.receive(0, []byte{3, 0}) || d.receive(0, nil) || len(d.incoming) != 0 {
		t.Error("garbage was taken for a message, or a message for garbage")
	}
	for range 2 * dutyQueueLength {
		d.receive(0, lease.Message{Kind: lease.Prepare, Duty: lease.Digest("a"), Ballot: 1 << 40}.Append(nil))
	}
	if len(d.incoming) != dutyQueueLength {
		t.Errorf("%d messages wait", len(d.incoming))
	}
	if s := d.status(); len(s) != 2 || !s[0].Voter || s[0].Token != 0 || told != 0 {
		t.Errorf("%+v, told %d times", s, told)
	}
	if n := nodeWith(t, refusing(t)); n.duties != nil || n.Status().Duties != nil {
		t.Error("duties though none is named")
	}
}

// Of servers only what is known is kept, and the list whether or not anything is.
func TestKeepsWhatIsKnownOfServers(t *testing.T) {
	k, letGo := kept(t, filepath.Join(t.TempDir(), "state"))
	defer letGo()
	n, err := New(testConfig(t, refusing(t)), k)
	if err != nil {
		t.Fatal(err)
	}
	defer n.cancel()
	defer n.listener.Close()
	n.loop.handle(listUpdate{list: largeFleet(3, 1), kind: policy.FullList, listKind: policy.FullList})
	n.loop.handle(policy.Restore{SavedState: policy.SavedState{Servers: []policy.SavedServer{{ID: 2, RelativeLatency: 2, MonitoredLatency: 2}}}})
	st := n.snapshots.nextState(n.loop, false)
	if st == nil || len(st.Memory.Servers) != 1 || st.Memory.Servers[0].ID != 2 {
		t.Fatalf("%+v", st)
	}
	if l, err := roster.ParseBinary(st.EncodedList()); err != nil || len(l.Targets) != 3 {
		t.Errorf("%+v, %v", l, err)
	}
	if n.snapshots.nextState(n.loop, false) != nil {
		t.Error("kept again at once, though nothing has changed")
	}
}
