// Package admin serves an edge node's HTTP API for operators, on the loopback address
// from the configuration.
//
//	GET  /status    the generation in force and the previous one, the last rejected file and
//	                its faults, and the state of the edge node
//	GET  /duty/NAME 200 if this edge node holds the duty now, 409 if not
//	POST /check     returns all faults of the configuration file in the body; changes nothing
//	POST /apply     puts the current configuration file in force
//	POST /rollback  returns to the previous generation; the file stays unchanged
//	POST /stay      cancels a shutdown
//
// The API serves only programs on the same machine: it listens on a loopback address and
// rejects requests from pages in a browser. It accepts at most maxConns connections,
// bounded bodies and bounded waits for clients, so it leaves almost all resources to the
// edge node's other work. The edge node also works while the address is unavailable.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/node"
)

const (
	maxConns       = 4       // these use file descriptors that clients and servers leave free
	maxHeaderBytes = 8 << 10 // bytes

	// minCheckedBytes is the size of a file that /check accepts with any memory limit.
	minCheckedBytes = 1 << 20
	// checkedFraction is the fraction of the memory limit that such a file may have.
	checkedFraction = 1.0 / 16

	headTimeout   = 2 * time.Second
	bodyTimeout   = 10 * time.Second
	answerTimeout = 30 * time.Second // a command may wait for a half-written file and other commands

	retryEvery = time.Second // between attempts to listen on an unavailable address
)

// EdgeNode is the edge node behind the API.
type EdgeNode interface {
	Status() node.Status
	Check(raw []byte) error
	Apply(ctx context.Context) error
	RollBack(ctx context.Context) error
	CancelShutdown(ctx context.Context) error
}

// Listen opens the listener, which must be on a loopback address.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	if !addr.Addr().IsLoopback() {
		return nil, fmt.Errorf("admin: %v is not a loopback address", addr)
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return &limitedListener{Listener: ln, slots: make(chan struct{}, maxConns)}, nil
}

// Open serves the API at addr in the background until ctx is done. It listens before it
// returns, if the address is available. Otherwise it retries in the background, since
// the edge node must serve its clients regardless.
func Open(ctx context.Context, addr netip.AddrPort, o EdgeNode) {
	ln, err := Listen(addr)
	if err != nil {
		slog.Error("operators' address is unavailable; retrying", "err", err)
	}
	go func() {
		for ; err != nil; ln, err = Listen(addr) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(retryEvery):
			}
		}
		if err := Serve(ctx, ln, o); err != nil {
			slog.Error("operators' listener failed", "err", err)
		}
	}()
}

// Serve serves the API until ctx is done.
func Serve(ctx context.Context, ln net.Listener, o EdgeNode) error {
	s := &http.Server{Handler: handler(o), ReadHeaderTimeout: headTimeout, ReadTimeout: bodyTimeout,
		WriteTimeout: answerTimeout, IdleTimeout: headTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// checkedBytes returns the largest size of a file that /check accepts, by the memory limit in force.
func checkedBytes(s node.Status) int64 {
	if s.Current == nil || s.Current.File == nil || s.Current.File.MemoryMB <= 0 {
		return config.MaxFileBytes
	}
	fraction := int64(checkedFraction * float64(s.Current.File.MemoryMB<<20))
	return min(config.MaxFileBytes, max(minCheckedBytes, fraction))
}

func handler(o EdgeNode) http.Handler {
	mux := http.NewServeMux()
	var checking sync.Mutex
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, statusOf(o.Status()))
	})
	mux.HandleFunc("GET /duty/{name}", func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("name")
		for _, d := range o.Status().Duties {
			if d.Name != name {
				continue
			}
			code := http.StatusOK
			if d.Token == 0 {
				code = http.StatusConflict
			}
			reply(w, code, dutyOf(d))
			return
		}
		fail(w, http.StatusNotFound, fmt.Errorf("no duty %q", name))
	})
	mux.HandleFunc("POST /check", func(w http.ResponseWriter, r *http.Request) {
		checking.Lock() // one file in memory at a time
		defer checking.Unlock()
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, checkedBytes(o.Status())))
		if err != nil {
			fail(w, http.StatusRequestEntityTooLarge, err)
			return
		}
		if err := o.Check(raw); err != nil {
			fail(w, http.StatusUnprocessableEntity, err)
			return
		}
		reply(w, http.StatusOK, map[string]any{"good": true, "digest": config.DigestOf(raw)})
	})
	change := func(what string, do func(context.Context) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			err := do(r.Context())
			slog.Info("operator's command", "what", what, "from", r.RemoteAddr, "err", err)
			switch {
			case err == nil, errors.Is(err, config.ErrUnchanged):
				reply(w, http.StatusOK, statusOf(o.Status()))
			case errors.Is(err, config.ErrNoPrevious), what == "stay":
				fail(w, http.StatusConflict, err)
			default:
				fail(w, http.StatusUnprocessableEntity, err)
			}
		}
	}
	mux.HandleFunc("POST /apply", change("apply", o.Apply))
	mux.HandleFunc("POST /rollback", change("rollback", o.RollBack))
	mux.HandleFunc("POST /stay", change("stay", o.CancelShutdown))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := checkLocal(r); err != nil {
			fail(w, http.StatusForbidden, err)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// checkLocal returns an error for a request that doesn't come from a program on this machine.
// A web page in a local browser can also send requests, for example under a host name
// that resolves to this address (DNS rebinding).
func checkLocal(r *http.Request) error {
	if from, err := netip.ParseAddrPort(r.RemoteAddr); err != nil || !from.Addr().Unmap().IsLoopback() {
		return errors.New("only for programs on this machine")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if a, err := netip.ParseAddr(host); host != "localhost" && (err != nil || !a.IsLoopback()) {
		return fmt.Errorf("host %q is not a loopback address", r.Host)
	}
	if r.Header.Get("Origin") != "" || r.Header.Get("Sec-Fetch-Site") != "" {
		return errors.New("not for pages in a browser")
	}
	return nil
}

// status is the body of /status.
type status struct {
	Name         string      `json:"name"`
	Ready        bool        `json:"ready"`
	Phase        string      `json:"phase"` // of a shutdown
	Generation   generation  `json:"generation"`
	Before       *generation `json:"before"`
	Refused      *refusal    `json:"refused"`
	Snapshots    *snapshots  `json:"snapshots"` // null: snapshots are disabled
	Duties       []duty      `json:"duties,omitempty"`
	Loop         loopLag     `json:"loop"`
	Disconnects  disconnects `json:"clients_left"`
	Requests     requests    `json:"requests"`
	IDsElsewhere int64       `json:"ids_claimed_elsewhere"`
	Unsolicited  unsolicited `json:"unsolicited_bytes"`
	Memory       messages    `json:"message_memory"`
}

// messages is the memory for messages that need more than the fixed memory of their connection.
type messages struct {
	Requests  pool `json:"requests"`
	Responses pool `json:"responses"`
}

// pool is the state of a memory.Pool in bytes.
type pool struct {
	Limit    int64 `json:"limit"`
	Reserved int64 `json:"reserved"`
	Peak     int64 `json:"peak"`    // since the start
	Refused  int64 `json:"refused"` // messages that found no memory
}

// unsolicited counts connections to servers that were closed because of bytes without a
// request, by where these were detected, and responses that could not be checked for them.
type unsolicited struct {
	Idle      int64 `json:"idle"`
	Write     int64 `json:"before_write"`
	Response  int64 `json:"as_answer"`
	Unchecked int64 `json:"unchecked_answers"`
}

// disconnects counts requests whose client disconnected before their first attempt, by where
// that was detected, and in Undetectable those that were refused because the client may have
// disconnected. None was sent to a server.
type disconnects struct {
	Waiting      int64 `json:"held"`
	Dialing      int64 `json:"dialing"`
	Writing      int64 `json:"before_write"`
	Undetectable int64 `json:"refused_unseen"`
}

// requests counts the requests since the start by how they ended, and the further attempts.
type requests struct {
	Served     int64 `json:"served"`
	Refused    int64 `json:"refused"`
	Failed     int64 `json:"failed"`
	Invalid    int64 `json:"invalid"`
	IDInUse    int64 `json:"id_in_use"`
	Unreadable int64 `json:"unreadable"`
	NoMemory   int64 `json:"no_memory"`
	Late       int64 `json:"late"`
	Incomplete int64 `json:"incomplete"`
	Crossed    int64 `json:"crossed_close"`
	Abandoned  int64 `json:"abandoned"`
	Retried    int64 `json:"retried"`
}

// loopLag is the delay of the event loop in milliseconds. It grows while the loop is
// blocked.
type loopLag struct {
	Now        float64 `json:"lag_ms"`
	Worst      float64 `json:"worst_lag_ms"` // over the last 30 to 60 seconds
	Heartbeats int64   `json:"looks"`        // heartbeats since the start; none while the loop is blocked
}

// duty is the state of a lease at this edge node.
type duty struct {
	Name   string `json:"name"`
	Voter  bool   `json:"voter"`
	Held   bool   `json:"held"`                   // by this edge node, when the answer is written
	Token  uint64 `json:"token,string,omitempty"` // the fencing token, if held
	Holder *int   `json:"holder"`                 // number of the edge node; null: unknown here
}

func dutyOf(s node.DutyStatus) duty {
	d := duty{Name: s.Name, Voter: s.Voter, Held: s.Token != 0, Token: s.Token}
	if s.Holder >= 0 {
		d.Holder = &s.Holder
	}
	return d
}

type snapshots struct {
	Written int       `json:"written"`
	Failed  int       `json:"failed"`
	Dropped int       `json:"dropped"`
	Bytes   int64     `json:"bytes"`
	Last    time.Time `json:"last"`
	Error   string    `json:"error,omitempty"`
}

type generation struct {
	Number uint64    `json:"number"`
	Digest string    `json:"digest"`
	Since  time.Time `json:"since"`
}

type refusal struct {
	Digest string    `json:"digest,omitempty"`
	At     time.Time `json:"at"`
	problem
}

type problem struct {
	Error  string         `json:"error"`
	Faults []config.Fault `json:"faults,omitempty"`
}

func statusOf(s node.Status) status {
	out := status{Name: s.Name, Ready: s.Ready, Phase: s.Phase,
		Generation:   generation{s.Current.Number, s.Current.Digest, s.Current.Time},
		Loop:         loopLag{milliseconds(s.Lag), milliseconds(s.MaxLag), s.Heartbeats},
		Disconnects:  disconnects(s.Disconnects),
		Requests:     requests(s.Ends),
		IDsElsewhere: s.IDsElsewhere,
		Unsolicited:  unsolicited(s.Unsolicited),
		Memory:       messages{pool(s.Requests), pool(s.Responses)}}
	if s.Previous != nil {
		out.Before = &generation{s.Previous.Number, s.Previous.Digest, s.Previous.Time}
	}
	for _, d := range s.Duties {
		out.Duties = append(out.Duties, dutyOf(d))
	}
	if counts := s.Snapshots; counts != nil {
		out.Snapshots = &snapshots{counts.Written, counts.Failed, counts.Dropped, counts.Bytes,
			counts.Last, counts.Error}
	}
	if s.Refused != nil {
		out.Refused = &refusal{s.Refused.Digest, s.Refused.Time, problemOf(s.Refused.Err)}
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func problemOf(err error) problem {
	var faults config.Faults
	errors.As(err, &faults)
	return problem{err.Error(), faults}
}

func fail(w http.ResponseWriter, code int, err error) { reply(w, code, problemOf(err)) }

func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // fails only if the client has disconnected
}

// limitedListener limits the number of open connections. Accept waits for a free slot.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (f *limitedListener) Accept() (net.Conn, error) {
	f.slots <- struct{}{}
	c, err := f.Listener.Accept()
	if err != nil {
		<-f.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-f.slots }}, nil
}

// limitedConn is a connection that frees its slot when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (p *limitedConn) Close() error {
	p.once.Do(p.release)
	return p.Conn.Close()
}
