package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/node"
	"valvering.example/valvering/internal/testkit"
)

// fakeNode is a fake edge node with preset results.
type fakeNode struct {
	status node.Status
	err    error
	calls  []string
}

func (o *fakeNode) Status() node.Status { return o.status }
func (o *fakeNode) Check(raw []byte) error {
	o.calls = append(o.calls, "check "+string(raw))
	return o.err
}
func (o *fakeNode) Apply(context.Context) error {
	o.calls = append(o.calls, "apply")
	return o.err
}
func (o *fakeNode) CancelShutdown(context.Context) error {
	o.calls = append(o.calls, "stay")
	return o.err
}
func (o *fakeNode) RollBack(context.Context) error {
	o.calls = append(o.calls, "rollback")
	return o.err
}

func startAPI(t *testing.T) (*fakeNode, string) {
	t.Helper()
	o := &fakeNode{status: node.Status{Name: "n3", Ready: true, Phase: "serving",
		Current:  &config.Generation{Number: 4, Digest: "d4", Time: time.Unix(4, 0)},
		Previous: &config.Generation{Number: 3, Digest: "d3", Time: time.Unix(3, 0)},
		Refused:  &config.Refusal{Digest: "d5", Time: time.Unix(5, 0), Err: config.Faults{{Field: "listen", What: "no port"}}}}}
	o.status.Disconnects = node.Disconnects{Waiting: 1, Dialing: 2, Writing: 3, Undetectable: 4}
	o.status.Ends = node.RequestCounts{Served: 9, Refused: 10, Failed: 11, Invalid: 12, IDInUse: 13, Unreadable: 14,
		NoMemory: 15, Late: 20, Incomplete: 16, Crossed: 17, Abandoned: 18, Retried: 19}
	o.status.Unsolicited = node.Unsolicited{Idle: 5, Write: 6, Response: 7, Unchecked: 8}
	o.status.IDsElsewhere = 21
	o.status.Lag, o.status.MaxLag, o.status.Heartbeats = 1500*time.Microsecond, 2*time.Second, 7
	ln, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, ln, o) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return o, "http://" + ln.Addr().String()
}

func call(t *testing.T, method, url, body string, change func(*http.Request)) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	if change != nil {
		change(r)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

func TestStatus(t *testing.T) {
	_, url := startAPI(t)
	code, body := call(t, "GET", url+"/status", "", nil)
	var s status
	if err := json.Unmarshal([]byte(body), &s); err != nil || code != 200 {
		t.Fatal(code, body, err)
	}
	if s.Requests != (requests{9, 10, 11, 12, 13, 14, 15, 20, 16, 17, 18, 19}) || !strings.Contains(body, `"id_in_use": 13`) {
		t.Errorf("requests: %+v in %s", s.Requests, body)
	}
	if s.IDsElsewhere != 21 || !strings.Contains(body, `"ids_claimed_elsewhere": 21`) {
		t.Errorf("ids claimed elsewhere: %s", body)
	}
	if s.Unsolicited != (unsolicited{5, 6, 7, 8}) || !strings.Contains(body, `"unsolicited_bytes"`) {
		t.Errorf("unsolicited bytes: %+v in %s", s.Unsolicited, body)
	}
	if s.Name != "n3" || !s.Ready || s.Generation.Number != 4 || s.Before.Digest != "d3" || s.Refused.Digest != "d5" ||
		s.Loop != (loopLag{1.5, 2000, 7}) || s.Disconnects != (disconnects{1, 2, 3, 4}) ||
		len(s.Refused.Faults) != 1 || s.Refused.Faults[0].Field != "listen" {
		t.Errorf("%s", body)
	}
}

func TestDuty(t *testing.T) {
	o, url := startAPI(t)
	o.status.Duties = []node.DutyStatus{{Name: "here", Voter: true, Token: 9, Holder: 3}, {Name: "there", Voter: true, Holder: 4},
		{Name: "unknown", Holder: -1}}
	for name, want := range map[string]struct {
		code int
		body string
	}{"here": {200, `"token": "9"`}, "there": {409, `"holder": 4`}, "unknown": {409, `"holder": null`}, "none": {404, "no duty"}} {
		if code, body := call(t, "GET", url+"/duty/"+name, "", nil); code != want.code || !strings.Contains(body, want.body) {
			t.Errorf("%s: %d %s", name, code, body)
		}
	}
}

func TestCommands(t *testing.T) {
	o, url := startAPI(t)
	for _, c := range []struct {
		method, path string
		err          error
		code         int
		did, body    string
	}{
		{"POST", "/check", nil, 200, "check {}", `"good": true`},
		{"POST", "/check", config.Faults{{Field: "name", What: "x"}}, 422, "check {}", `"field": "name"`},
		{"POST", "/apply", nil, 200, "apply", `"number": 4`},
		{"POST", "/apply", config.ErrUnchanged, 200, "apply", `"number": 4`},
		{"POST", "/apply", config.ErrUnreadable, 422, "apply", "not readable"},
		{"POST", "/rollback", nil, 200, "rollback", `"number": 4`},
		{"POST", "/rollback", config.ErrNoPrevious, 409, "rollback", "no generation"},
		{"POST", "/stay", nil, 200, "stay", `"phase": "serving"`},
		{"POST", "/stay", io.ErrClosedPipe, 409, "stay", "closed"},
		{"GET", "/stay", nil, 405, "", ""},
		{"GET", "/apply", nil, 405, "", ""},
		{"GET", "/rollback", nil, 405, "", ""},
		{"GET", "/", nil, 404, "", ""},
	} {
		o.err, o.calls = c.err, nil
		code, body := call(t, c.method, url+c.path, "{}", nil)
		if code != c.code || strings.Join(o.calls, ",") != c.did || !strings.Contains(body, c.body) {
			t.Errorf("%s %s: %d %v %s", c.method, c.path, code, o.calls, body)
		}
	}
}

// Requests that don't come from a program on this machine are rejected.
func TestNonLocalRequestsAreRejected(t *testing.T) {
	o, url := startAPI(t)
	for why, change := range map[string]func(*http.Request){
		"a name led here":   func(r *http.Request) { r.Host = "evil.example" },
		"another's address": func(r *http.Request) { r.Host = "10.0.0.1:80" },
		"a page":            func(r *http.Request) { r.Header.Set("Origin", "http://127.0.0.1") },
		"a page's form":     func(r *http.Request) { r.Header.Set("Sec-Fetch-Site", "cross-site") },
	} {
		for _, path := range []string{"/rollback", "/apply", "/check"} {
			if code, _ := call(t, "POST", url+path, "{}", change); code != 403 || len(o.calls) > 0 {
				t.Errorf("%s: %d, did %v", why, code, o.calls)
			}
		}
	}
	r := &http.Request{RemoteAddr: "10.1.2.3:4", Host: "127.0.0.1"}
	if checkLocal(r) == nil {
		t.Error("a remote address was accepted")
	}
	for _, host := range []string{"localhost:1", "127.0.0.1", "[::1]:80", "127.8.0.3:1"} {
		if err := checkLocal(&http.Request{RemoteAddr: "127.0.0.1:4", Host: host}); err != nil {
			t.Error(err)
		}
	}
	for _, addr := range []string{"0.0.0.0:0", "[::]:0", "10.0.0.1:0"} {
		if ln, err := Listen(netip.MustParseAddrPort(addr)); err == nil {
			ln.Close()
			t.Errorf("listens on %s", addr)
		}
	}
}

// If the address is in use at first, Open listens on it once it is free.
func TestAddressInUse(t *testing.T) {
	addr := testkit.FreeAddr(t)
	other, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	o := &fakeNode{status: node.Status{Current: &config.Generation{}}}
	Open(ctx, netip.MustParseAddrPort(addr), o)
	other.Close()
	testkit.Eventually(t, "the operators' listener", func() bool {
		resp, err := http.Get("http://" + addr + "/status")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

// Idle connections use few descriptors and are closed after a time-out, so others get through.
func TestSilentConnections(t *testing.T) {
	_, url := startAPI(t)
	for range 3 * maxConns {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	if code, _ := call(t, "GET", url+"/status", "", nil); code != 200 {
		t.Errorf("%d", code)
	}
}

func TestOversizeBody(t *testing.T) {
	o, url := startAPI(t)
	code, body := call(t, "POST", url+"/check", strings.Repeat(" ", config.MaxFileBytes+1), nil)
	if code != 413 || len(o.calls) > 0 {
		t.Errorf("%d %s", code, body)
	}
	var e problem
	if json.Unmarshal([]byte(body), &e) != nil || e.Error == "" {
		t.Errorf("%s", body)
	}
}
