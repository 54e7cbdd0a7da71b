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

// openSnapshots opens a state directory as the start of the process does, until closeDir is called.
func openSnapshots(t *testing.T, path string) (k *Snapshots, closeDir func()) {
	t.Helper()
	dir, err := snapshot.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	store, found := snapshot.Open(dir, "n0")
	return &Snapshots{store, found}, func() { dir.Close() }
}

// ratedPlan is a plan whose token bucket is small enough to show its content.
const ratedPlan = `{"name":"rated","rate":0.01,"store_size":4}`

// spendUntilRefused sends requests until a customer's token bucket is empty, and returns how many were
// served.
func spendUntilRefused(t *testing.T, n *testNode) (spent int) {
	t.Helper()
	for range 10 {
		r := newRequest(n.url, "loan", clientTimeout)
		r.Header.Set("X-Tier", "rated")
		r.Header.Set("X-Call-Terms", "units=1,spread=1,first=0")
		resp, _ := doRequest(t, r)
		if resp.StatusCode != 200 {
			return spent
		}
		spent++
	}
	return spent
}

// After a shutdown the tokens of a customer are restored, but only once. After a crash no tokens are
// granted that may have been spent before.
func TestTokensAcrossRestarts(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "a"))
	path := filepath.Join(t.TempDir(), "state")
	settings := ratedSettings()
	g := newDiscoveryServer(t, servingTarget("s-00000001", a.addr()))
	open := func() (*testNode, func()) {
		k, closeDir := openSnapshots(t, path)
		return startNodeFromSnapshots(t, fileConfig(t, g.addr, "", settings), k), closeDir
	}
	shutDown := func(n *testNode, closeDir func()) {
		t.Helper()
		n.requestShutdown()
		if err := <-n.done; err != nil {
			t.Fatal(err)
		}
		closeDir()
	}
	n, closeDir := open()
	spend := func(n *testNode, want int) {
		t.Helper()
		for range want {
			r := newRequest(n.url, "loan", clientTimeout)
			r.Header.Set("X-Tier", "rated")
			r.Header.Set("X-Call-Terms", "units=1,spread=1,first=0")
			if resp, _ := doRequest(t, r); resp.StatusCode != 200 {
				t.Fatalf("%d", resp.StatusCode)
			}
		}
	}
	spend(n, 1)
	shutDown(n, closeDir)

	k, close := openSnapshots(t, path)
	if st := k.Found.State; st == nil || !st.Clean || !k.Found.Complete || len(st.Memory.Tokens) != 1 {
		t.Fatalf("%+v after a shutdown", k.Found)
	}
	close()
	n, closeDir = open()
	spend(n, 1) // one of the three units left
	n.cancel()  // as in a crash: no final snapshot, no messages
	<-n.loop.done
	closeDir()
	n, closeDir = open()
	if got := spendUntilRefused(t, n); got != 0 {
		t.Errorf("%d units served after a crash", got)
	}
	shutDown(n, closeDir)
	n, closeDir = open()
	if got := spendUntilRefused(t, n); got != 0 {
		t.Errorf("%d units served after a crash and a later shutdown", got)
	}
	shutDown(n, closeDir)
}

func ratedSettings() string {
	return `{"me":0,"balancers":1,"tick_ms":1,"family_info":{"largest":6},"caps":{"max_attempts":3},
	 "classes":[{"name":"loan","aim_ms":1000,"hard_limit_ms":10000,"semantics":"by_key","window_ms":20000}],
	 "plans":[` + ratedPlan + `,{"name":"town"}]}`
}

// After a crash the edge node knows its servers without discovery, and is ready at once if its list is
// recent.
func TestListAfterCrash(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "a"))
	path := filepath.Join(t.TempDir(), "state")
	g := newDiscoveryServer(t, servingTarget("s-00000001", a.addr()))
	k, closeDir := openSnapshots(t, path)
	n := startNodeFromSnapshots(t, fileConfig(t, g.addr, "", testSettings), k)
	testkit.Eventually(t, "a snapshot with the list", func() bool {
		dir := readOnlyDir(path)
		_, found := snapshot.Open(dir, "n0")
		return found.State != nil && found.State.List != nil && len(found.State.List.Targets) == 1
	})
	n.cancel() // ends the loop without a shutdown
	closeDir()
	k, closeDir = openSnapshots(t, path)
	defer closeDir()
	if k.Found.State.Clean {
		t.Error("a crash counts as a shutdown")
	}
	n = startNodeFromSnapshots(t, fileConfig(t, newSilentDiscovery(t), "", testSettings), k)
	if resp, body := doRequest(t, newRequest(n.url, "loan", clientTimeout)); resp.StatusCode != 200 ||
		body != "a" {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
}

// readOnlyDir reads a directory that another process has locked.
type readOnlyDir string

func (s readOnlyDir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(s), name))
}
func (readOnlyDir) Create(string) (snapshot.File, error) { return nil, fs.ErrPermission }
func (readOnlyDir) Rename(string, string) error          { return fs.ErrPermission }
func (readOnlyDir) Sync() error                          { return fs.ErrPermission }

// newSilentDiscovery returns the address of a discovery service that never responds.
func newSilentDiscovery(t *testing.T) string {
	t.Helper()
	return newTestServer(t, neverRespond).addr()
}

// If the disk can't be written, the edge node still serves, failures are counted, and the state that it
// found is treated as after a crash.
func TestUnwritableDisk(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "a"))
	g := newDiscoveryServer(t, servingTarget("s-00000001", a.addr()))
	store, _ := snapshot.Open(readOnlyDir(t.TempDir()), "n0")
	found := snapshot.Found{Complete: true, State: &snapshot.State{Clean: true, Taken: snapshot.Now(),
		Memory: policy.SavedState{Tokens: map[uint64]float64{}}}}
	n := startNodeFromSnapshots(t, fileConfig(t, g.addr, "", ratedSettings()), &Snapshots{store, found})
	other := newRequest(n.url, "loan", clientTimeout)
	other.Header.Set("Cookie", "key=0000000000000007")
	if resp, _ := doRequest(t, other); resp.StatusCode != 200 {
		t.Errorf("%d", resp.StatusCode)
	}
	if got := spendUntilRefused(t, n); got != 0 {
		t.Errorf("%d units served from stored tokens that the next start would restore again", got)
	}
	testkit.Eventually(t, "failures counted", func() bool { return n.Status().Snapshots.Failed > 1 })
	n.requestShutdown()
	if err := <-n.done; err != nil {
		t.Error(err)
	}
}

// A stored list is ignored if it is too old or older than the list of the configuration. A stored server
// state that is too old is ignored as well.
func TestOutdatedStateIsIgnored(t *testing.T) {
	outdated := snapshot.Now()
	outdated.Wall = outdated.Wall.Add(-2 * maxListAge)
	a, b := newTestServer(t, respondWith("200 OK", "", "a")), newTestServer(t, respondWith("200 OK", "", "b"))
	older := &serverList{Rev: 3, Targets: []target{servingTarget("s-00000001", a.addr())}}
	newer := &serverList{Rev: 4, Targets: []target{servingTarget("s-00000002", b.addr())}}
	for _, c := range []struct {
		name          string
		stored, known *serverList
		taken         snapshot.Moment
		want          string
	}{
		{"stored", newer, older, snapshot.Now(), "b"},
		{"configuration's is newer", older, newer, snapshot.Now(), "b"},
		{"too old", newer, older, outdated, "a"},
	} {
		store, _ := snapshot.Open(readOnlyDir(t.TempDir()), "n0")
		cfg := fileConfig(t, unusedAddr(t), "", testSettings)
		cfg.Current().File.KnownServers = c.known
		n := startNodeFromSnapshots(t, cfg, &Snapshots{store,
			snapshot.Found{State: &snapshot.State{Taken: c.taken, List: c.stored}}})
		if _, body := doRequest(t, newRequest(n.url, "loan", clientTimeout)); body != c.want {
			t.Errorf("%s: served by %q, want %q", c.name, body, c.want)
		}
	}
}

// If discovery refuses a call, the remembered list is used without a further wait.
func TestReadyWhereDiscoveryRefuses(t *testing.T) {
	a := newTestServer(t, respondWith("200 OK", "", "a"))
	cfg := testConfig(t, unusedAddr(t))
	cfg.Current().File.KnownServers = &serverList{Rev: 4,
		Targets: []target{servingTarget("s-00000001", a.addr())}}
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
		t.Error("ready before the call to discovery")
	}
	if !ready(policy.WatchFailed) {
		t.Error("not ready though discovery refuses")
	}
	n.listener.Close()
	n.cancel()
}

// Without duties in the configuration, messages of the lease protocol are neither sent nor received. With
// duties, invalid messages of the protocol are consumed and not passed to policy.
func TestDutiesOnlyWhereNamed(t *testing.T) {
	var sent int
	d := newDuties([]string{"a", "b"}, 0, 1, 1, clock{time.Now()}, func(int, []byte) { sent++ })
	if !d.receive(0, []byte{lease.Version, 1, 2}) || d.receive(0, []byte{3, 0}) || d.receive(0, nil) ||
		len(d.incoming) != 0 {
		t.Error("an invalid datagram was queued, or a datagram was attributed to the wrong protocol")
	}
	for range 2 * dutyQueueLength {
		d.receive(0, lease.Message{Kind: lease.Prepare, Duty: lease.Digest("a"), Ballot: 1 << 40}.Append(nil))
	}
	if len(d.incoming) != dutyQueueLength {
		t.Errorf("%d messages queued", len(d.incoming))
	}
	if s := d.status(); len(s) != 2 || !s[0].Voter || s[0].Token != 0 || sent != 0 {
		t.Errorf("%+v, %d messages sent", s, sent)
	}
	if n := startNodeWithServers(t, unusedAddr(t)); n.duties != nil || n.Status().Duties != nil {
		t.Error("duties without any in the configuration")
	}
}

// A snapshot holds only servers whose state differs from the default. It always holds the list.
func TestSnapshotOmitsDefaultServerState(t *testing.T) {
	k, closeDir := openSnapshots(t, filepath.Join(t.TempDir(), "state"))
	defer closeDir()
	n, err := New(testConfig(t, unusedAddr(t)), k)
	if err != nil {
		t.Fatal(err)
	}
	defer n.cancel()
	defer n.listener.Close()
	n.loop.handle(listUpdate{list: largeFleet(3, 1), kind: policy.FullList, listKind: policy.FullList})
	n.loop.handle(policy.Restore{SavedState: policy.SavedState{Servers: []policy.SavedServer{{ID: 2,
		RelativeLatency: 2, MonitoredLatency: 2}}}})
	st := n.snapshots.nextState(n.loop, false)
	if st == nil || len(st.Memory.Servers) != 1 || st.Memory.Servers[0].ID != 2 {
		t.Fatalf("%+v", st)
	}
	if l, err := roster.ParseBinary(st.EncodedList()); err != nil || len(l.Targets) != 3 {
		t.Errorf("%+v, %v", l, err)
	}
	if n.snapshots.nextState(n.loop, false) != nil {
		t.Error("a second snapshot is due though nothing has changed")
	}
}
