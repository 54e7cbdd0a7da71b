package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/roster"
	"valvering.example/valvering/policy"
)

type (
	// serverList is the server list as discovery sends it.
	serverList = roster.List

	// target is one line of a serverList.
	target = roster.Target
)

const (
	watchPause = 50 * time.Millisecond // discovery continues a watch if the next call arrives within 200 ms
	minBackoff = 25 * time.Millisecond

	// Calls in a row that get a short timeout.
	maxHasty = 4

	// Fractions of the drain grace period, within which requests to a draining server must end; used where
	// discovery pushes the list.
	waitPart, slackPart, answerPart, backoffPart = 0.25, 0.125, 0.25, 0.125

	// Lower bounds of the times computed from these fractions.
	minWait   = 50 * time.Millisecond
	minAnswer = 100 * time.Millisecond

	// Selects the stream of random numbers for the timing of calls.
	pacingSeed = 0x64697363

	// Calls in flight at once that have no response yet.
	maxCalls = 8

	answerStep = 64 << 10         // bytes; a response that delivers this much counts as making progress
	maxAnswer  = 10 * time.Second // limit on a response that makes progress
)

// pacing holds the timeouts and pauses of calls to discovery. A watch that got lost looks like one
// without changes. A call that a silent agent dropped is never answered, although the agent may
// be back a moment later; from then on its changes count as announced to this edge node.
type pacing struct {
	wait    time.Duration // long-poll time: discovery answers a watch by then, with or without changes
	slack   time.Duration // a watch fails this much after its long-poll time
	answer  time.Duration // delay before a parallel call is made to an unanswered one; not for watches
	patient time.Duration // timeout of a call, except of watches
	hasty   time.Duration // shorter timeout of most calls that follow a failure; 0: not used

	// Upper bound of the random pause after a change, which discovery announces to all edge nodes at once.
	spread time.Duration

	calls   int           // limit on calls in flight at once
	backoff time.Duration // upper bound of the pause after a failed call

	// Fraction of a pause or a short timeout that is random, so that edge nodes don't call in lockstep.
	jitter float64
}

// asked is the pacing where the edge node must ask for the list: all edge nodes share one service,
// which many calls overload. A change that a silent watch misses counts as announced 6 s after the
// watch fell silent. The watch fails after 4 s, and the call that follows does not long-poll.
var asked = pacing{
	wait:    3 * time.Second,
	slack:   time.Second,
	answer:  2 * time.Second,
	patient: 2 * time.Second,
	hasty:   500 * time.Millisecond,
	spread:  150 * time.Millisecond,
	calls:   1,
	backoff: 400 * time.Millisecond,
	jitter:  0.5,
}

// shorten subtracts a random part of up to p.jitter from a duration.
func (p pacing) shorten(rng *rand.Rand, d time.Duration) time.Duration {
	return d - time.Duration(p.jitter*rng.Float64()*float64(d))
}

// paceFor returns the pacing for a configuration. Where discovery pushes the list, its agent answers
// at once and at no cost, and its changes count as announced from the moment that the agent is back.
// The sum of wait, slack, backoff and answer is therefore at most three quarters of the drain grace
// period, unless their lower bounds are longer. The last quarter is for network and processing
// delays.
func paceFor(f *config.File) pacing {
	if f.Settings.MustAsk {
		return asked
	}
	part := func(p float64, least time.Duration) time.Duration {
		return max(least, time.Duration(p*float64(f.DrainGrace)))
	}
	answer, calls := min(asked.answer, part(answerPart, minAnswer)), maxCalls
	if n, _ := usable(f); n > 0 {
		calls = callsFor(n)
	}
	return pacing{
		wait:    min(asked.wait, part(waitPart, minWait)),
		slack:   min(asked.slack, part(slackPart, minWait)),
		answer:  answer,
		patient: min(asked.patient, time.Duration(calls)*answer),
		calls:   calls,
		backoff: min(asked.backoff, part(backoffPart, minBackoff)),
	}
}

// discovery is a client of the discovery service that keeps the server list current.
type discovery struct {
	tell func(*serverList, policy.MembersKind) // receives lists and changes; a nil list reports a failed call
	http http.Client
	rng  *rand.Rand // used by run only

	mu     sync.Mutex
	addr   string
	pace   pacing
	limits roster.Limits
	moved  context.CancelFunc // ends the calls to the previous address
}

func newDiscovery(f *config.File, tell func(*serverList, policy.MembersKind)) *discovery {
	return &discovery{
		addr:   f.Discovery,
		pace:   paceFor(f),
		limits: roster.LimitsFor(f.MemoryMB),
		tell:   tell,
		moved:  func() {},
		rng:    rand.New(rand.NewPCG(f.Seed, pacingSeed)),
		http: http.Client{
			Transport: &http.Transport{
				DisableCompression: true,
				MaxIdleConns:       1,
				IdleConnTimeout:    asked.wait,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// apply applies a configuration. If it names another address, the calls to the old one are
// cancelled and run fetches the whole list from the new one.
func (d *discovery) apply(f *config.File) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pace, d.limits = paceFor(f), roster.LimitsFor(f.MemoryMB)
	if d.addr != f.Discovery {
		d.addr = f.Discovery
		d.moved()
	}
}

// run follows the list at the configured address until ctx is done.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		at, moved := context.WithCancel(ctx)
		d.mu.Lock()
		addr := d.addr
		d.moved = moved
		d.mu.Unlock()
		d.follow(at, addr)
		moved()
		d.http.CloseIdleConnections()
	}
}

// follow fetches the whole list and then watches it until ctx is done. It retries a failed call
// after a short backoff, without long-polling; the current list stays in force meanwhile.
func (d *discovery) follow(ctx context.Context, addr string) {
	f := &follower{d: d, url: "http://" + addr + "/v1/servers", backoff: minBackoff, heard: time.Now()}
	for ctx.Err() == nil {
		d.mu.Lock()
		f.pace = d.pace
		d.mu.Unlock()
		began := time.Now()
		l, err := f.call(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && l.Twice != nil && (l.All || !f.have) {
			err = l.Twice // a whole list must not repeat a server; among changes the last line counts
			f.failed(err)
		}
		if err != nil {
			f.failures++
			sleep(ctx, f.pace.shorten(d.rng, f.backoff))
			f.backoff = min(2*f.backoff, f.pace.backoff)
			continue
		}
		f.take(l)
		f.pauseBeforeWatch(ctx, began)
	}
}

// follower follows the list at one address of the discovery service.
type follower struct {
	d    *discovery
	url  string
	pace pacing

	rev  int64
	have bool // a list of version rev was received; the next call may ask for changes since
	news bool // the last response brought a new version of the list

	failures int // in a row
	backoff  time.Duration
	heard    time.Time // when discovery last answered or a failure was last reported
	warned   bool      // a failure was logged since the last response
	bad      int       // invalid lines of the last list
}

// call fetches the whole list if there is none. After a failure it fetches the changes at once;
// otherwise it long-polls for changes.
func (f *follower) call(ctx context.Context) (*serverList, error) {
	changes := fmt.Sprintf("%s?since=%d&timeout_ms=", f.url, f.rev)
	switch {
	case !f.have:
		return f.d.ask(ctx, f.url, f.patience(), f.failed)
	case f.failures > 0:
		return f.d.ask(ctx, changes+"0", f.patience(), f.failed)
	}
	wait := strconv.FormatInt(f.pace.wait.Milliseconds(), 10)
	l, err := f.d.get(ctx, changes+wait, f.pace.wait+f.pace.slack, new(atomic.Int64))
	if err != nil && ctx.Err() == nil {
		f.failed(err)
	}
	return l, err
}

// patience returns the pacing with the timeout of the next call. The timeout after a failure is
// short, since a dropped call is never answered. Every (maxHasty+1)th call in a row of failures has
// the full timeout, for a service that is slow.
func (f *follower) patience() pacing {
	pace := f.pace
	if pace.hasty > 0 && f.failures%(maxHasty+1) < maxHasty {
		pace.patient = pace.shorten(f.d.rng, pace.hasty)
	}
	return pace
}

// failed reports a failed call. A call with a short timeout says little about the service: its
// failure is reported only after a silence of half the full timeout.
func (f *follower) failed(err error) {
	var unanswered unansweredError
	if errors.As(err, &unanswered) && unanswered.limit < f.pace.patient &&
		time.Since(f.heard) < f.pace.patient/2 {
		return
	}
	if !f.warned {
		slog.Warn("discovery does not answer; the current server list stays in force", "err", err)
	}
	f.warned, f.heard = true, time.Now()
	f.d.tell(nil, policy.AskFailed)
}

// take delivers a list or changes and resets the state of failures.
func (f *follower) take(l *serverList) {
	if f.warned {
		slog.Info("discovery answers again", "rev", l.Rev)
	}
	f.warned, f.heard, f.backoff, f.failures = false, time.Now(), minBackoff, 0
	if l.Bad != f.bad && l.Bad > 0 {
		slog.Warn("invalid lines of discovery's list passed over", "lines", l.Bad, "first", l.BadWhy)
	}
	f.bad = l.Bad
	switch {
	case l.All || !f.have:
		f.d.tell(l, policy.Whole)
	case len(l.Targets) > 0:
		f.d.tell(l, policy.Changes)
	}
	f.news = !f.have || l.Rev != f.rev
	// A lower version comes from another instance of the service: versions known here mean nothing to it,
	// so the next call fetches the whole list.
	f.rev, f.have = l.Rev, l.All || !f.have || l.Rev >= f.rev
}

// pauseBeforeWatch pauses if discovery answered a watch early without changes, which would otherwise
// become a busy loop. It also pauses after a change, which reaches all edge nodes at once: most of
// their next calls would find the service busy.
func (f *follower) pauseBeforeWatch(ctx context.Context, began time.Time) {
	switch {
	case !f.news && time.Since(began) < watchPause:
		sleep(ctx, watchPause)
	case f.news && f.pace.spread > 0:
		sleep(ctx, time.Duration(f.d.rng.Int64N(int64(f.pace.spread))))
	}
}

// ask makes a call without long-polling. While the call is unanswered, ask makes further calls in
// parallel. The first one may have been dropped by an agent that is back by now, and if the agent is
// slow, cancelling the first call would lose its response. While a response is arriving, ask makes no
// further call. Each failed call is passed to failed; ask returns an error once no call is in flight.
func (d *discovery) ask(
	ctx context.Context, url string, pace pacing, failed func(error),
) (*serverList, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	type answer struct {
		l   *serverList
		err error
	}
	answers, out := make(chan answer, maxCalls), 0
	var steps atomic.Int64 // progress of the arriving responses
	seen := int64(0)
	call := func() {
		out++
		go func() {
			l, err := d.get(ctx, url, pace.patient, &steps)
			answers <- answer{l, err}
		}()
	}
	call()
	again := time.NewTicker(pace.answer)
	defer again.Stop()
	if pace.answer >= pace.patient { // parallel calls would load a shared service
		again.Stop()
	}
	for {
		select {
		case a := <-answers:
			if out--; a.err == nil {
				return a.l, nil
			}
			if ctx.Err() == nil {
				failed(a.err)
			}
			if out == 0 {
				return nil, a.err
			}
		case <-again.C:
			coming := steps.Load() > seen
			seen = steps.Load()
			if !coming && out < pace.calls && ctx.Err() == nil {
				call()
			}
		}
	}
}

// get makes one call. The call fails if it neither completes nor receives a full step of its response
// within limit. steps counts the full steps.
func (d *discovery) get(
	ctx context.Context, url string, limit time.Duration, steps *atomic.Int64,
) (*serverList, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	giveUp := time.AfterFunc(limit, func() { end(unansweredError{limit}) })
	defer giveUp.Stop()
	d.mu.Lock()
	limits := d.limits
	d.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	body := &answerReader{from: resp.Body, steps: steps, began: time.Now(), limit: limit, giveUp: giveUp}
	return roster.Decode(body, limits)
}

// unansweredError is the error of a call that timed out.
type unansweredError struct{ limit time.Duration }

func (e unansweredError) Error() string { return fmt.Sprintf("no response within %v", e.limit) }

// answerReader reads the body of a response. Each full step extends the timeout of the call, until
// maxAnswer has passed.
type answerReader struct {
	from   io.Reader
	steps  *atomic.Int64
	part   int // bytes since the last full step
	began  time.Time
	limit  time.Duration
	giveUp *time.Timer // cancels the call
}

func (r *answerReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if r.part += n; r.part < answerStep {
		return n, err
	}
	r.part = 0
	r.steps.Add(1)
	if time.Since(r.began) < maxAnswer {
		r.giveUp.Reset(r.limit)
	}
	return n, err
}
