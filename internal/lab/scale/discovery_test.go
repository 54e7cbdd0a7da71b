package scale

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

// TestDiscovery checks that the stub serves the whole list and its changes, and that a watch
// shows which version its edge node has applied.
func TestDiscovery(t *testing.T) {
	c := &Config{Servers: 100}
	d := newDiscovery(drawList(c, nil), newAppliedVersions())
	defer d.close()
	const no = 7
	addr, err := d.listen(no)
	if err != nil {
		t.Fatal(err)
	}
	get := func(query string) *decodedList {
		t.Helper()
		resp, err := http.Get("http://" + addr + "/v1/servers" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		l, err := decodeList(body)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	if l := get(""); !l.all || l.rev != firstRev || len(l.servers) != c.Servers {
		t.Errorf("whole list: %d lines, version %d", len(l.servers), l.rev)
	}
	if l := get("?since=1&timeout_ms=0"); l.all || len(l.servers) != 0 || l.rev != firstRev {
		t.Errorf("watch without changes: %d lines, version %d", len(l.servers), l.rev)
	}
	watched := make(chan *decodedList, 1)
	go func() {
		resp, err := http.Get("http://" + addr + "/v1/servers?since=1&timeout_ms=60000")
		if err != nil {
			watched <- nil
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		l, _ := decodeList(body)
		watched <- l
	}()
	rev := d.change([]int{3, 4}, markRemoved)
	if l := <-watched; l == nil || l.all || l.rev != rev || len(l.servers) != 2 ||
		l.servers[0].State != policy.Removed {
		t.Errorf("watch: %+v", l)
	}
	if latencies := d.applied.latencies(rev); len(latencies) != 0 {
		t.Errorf("applied before a watch from this version: %v", latencies)
	}
	get("?since=2&timeout_ms=0")
	if latencies := d.applied.latencies(rev); len(latencies) != 1 || latencies[no] <= 0 {
		t.Errorf("applied: %v", latencies)
	}
	if l := get(""); len(l.servers) != c.Servers-2 {
		t.Errorf("whole list without removed servers: %d lines", len(l.servers))
	}
	if rev = d.change([]int{3}, markRestarted(time.Now())); rev != 3 {
		t.Errorf("version %d, want 3", rev)
	}
	if l := get("?since=1&timeout_ms=0"); len(l.servers) != 2 ||
		!l.servers[0].HasStart && !l.servers[1].HasStart {
		t.Errorf("two changes: %+v", l.servers)
	}
}

// TestAppliedVersions checks that an edge node that has applied a version has applied all earlier
// ones, and that the first report of a version counts.
func TestAppliedVersions(t *testing.T) {
	applied, now := newAppliedVersions(), time.Now()
	applied.start(2, now)
	applied.start(3, now.Add(time.Second))
	applied.record(1, 1, now.Add(2*time.Second))
	if len(applied.latencies(2)) != 0 {
		t.Error("a version counts as applied after a report of an older one")
	}
	applied.record(1, 3, now.Add(3*time.Second))
	applied.record(1, 3, now.Add(9*time.Second))
	if applied.latencies(2)[1] != 3*time.Second || applied.latencies(3)[1] != 2*time.Second {
		t.Errorf("%v, %v", applied.latencies(2), applied.latencies(3))
	}
}

// TestDecodeList checks that a list with an unusable line is an error, since the stub makes none.
func TestDecodeList(t *testing.T) {
	if _, err := decodeList([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s-00000001","endpoint":"127.0.0.1:1","az":"a","state":"SERVING"},{"uid":""}]}`)); !errors.Is(err, errBadLines) {
		t.Error(err)
	}
	if _, err := decodeList([]byte("nothing")); err == nil {
		t.Error("text that is no list was decoded without an error")
	}
}

// TestDecoderSharesLists checks that equal responses are decoded once.
func TestDecoderSharesLists(t *testing.T) {
	var d decoder
	body := []byte(`{"rev":1,"all":true,"targets":[{"uid":"s-00000001","endpoint":"127.0.0.1:1","az":"a","state":"SERVING"}]}`)
	first, err := d.decode(body)
	if err != nil {
		t.Fatal(err)
	}
	if second, err := d.decode(append([]byte(nil), body...)); err != nil || second != first {
		t.Errorf("decoded twice: %v", err)
	}
	if cost := d.cost(); cost.Bytes != len(body) {
		t.Errorf("%+v", cost)
	}
	d.dropCache()
	if second, err := d.decode(body); err != nil || second == first {
		t.Errorf("list still cached after the cache was dropped: %v", err)
	}
}

// TestDrawList checks that all servers have distinct names, and that each zone has its share of
// them.
func TestDrawList(t *testing.T) {
	l := drawList(&Config{Servers: 56_000}, []string{"127.0.0.1:1"})
	ids, perZone := map[policy.ServerID]bool{}, map[string]int{}
	for i := range l.lines {
		ids[roster.ID(l.lines[i].UID)] = true
		perZone[l.lines[i].Zone]++
	}
	if len(ids) != 56_000 || len(perZone) != zones || perZone["zone-a"] < 3100 {
		t.Errorf("%d servers, %d zones, %d in the first", len(ids), len(perZone), perZone["zone-a"])
	}
}
