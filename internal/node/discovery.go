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

// serverList is discovery's form of the list of app servers, target a line of it.
type (
	serverList = roster.List
	target     = roster.Target
)

const (
	watchPause = 50 * time.Millisecond // a watch goes on if the next call comes within 200 ms
	minBackoff = 25 * time.Millisecond
	maxHasty   = 4 // calls in a row that are given up early

	// Of the grace in which sends to a draining server must end, where lists are pushed.
	waitPart, slackPart, answerPart, backoffPart = 0.25, 0.125, 0.25, 0.125
	minWait                                      = 50 * time.Millisecond
	minAnswer                                    = 100 * time.Millisecond

	pacingSeed = 0x64697363 // the stream of random numbers that pacing draws from

	maxCalls = 8 // beside one another, of those that are not answered

	answerStep = 64 << 10         // bytes of an answer after which it counts as coming
	maxAnswer  = 10 * time.Second // and then it may go on so long
)

// pacing is for how long discovery is waited for. A call that is not answered can't be
// told from one that has nothing to tell, and a call swallowed by a silent agent is never
// answered, though the agent may be back a moment later and what it has counts as told.
type pacing struct {
	wait    time.Duration // a watch is answered by then, with or without news
	slack   time.Duration // and is held to be broken so much later
	answer  time.Duration // all other calls are answered by then, or another is made beside them
	patient time.Duration // and given up so long after they were made
	hasty   time.Duration // most of those behind a failure so long; 0: none is
	spread  time.Duration // the longest pause behind news, drawn at random: edge nodes get them at once
	calls   int           // most of them beside one another
	backoff time.Duration // the longest pause behind a call that failed
	jitter  float64       // part of a pause and of some patience that is drawn at random: edge nodes must not call in step
}

// asked is the pacing where lists are asked for: the service is one for all edge nodes
// and overrun by many calls. What a silent watch misses counts as told 6 s after it fell
// silent; it is found out after 4 s, and the call that follows does not wait.
var asked = pacing{wait: 3 * time.Second, slack: time.Second, answer: 2 * time.Second, patient: 2 * time.Second,
	hasty: 500 * time.Millisecond, spread: 150 * time.Millisecond, calls: 1, backoff: 400 * time.Millisecond, jitter: 0.5}

// shorten takes a random part off a time.
func (p pacing) shorten(rng *rand.Rand, d time.Duration) time.Duration {
	return d - time.Duration(p.jitter*rng.Float64()*float64(d))
}

// paceFor finds the pacing by a file. Where lists are pushed the agent answers at once and at
// no cost, and what it has counts as told from the moment it is back. So nothing is waited for
// longer than the grace bears: the sum of wait, slack, backoff and answer is at most three
// quarters of it (where that leaves the least of each), and the rest is for the way.
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
	return pacing{wait: min(asked.wait, part(waitPart, minWait)), slack: min(asked.slack, part(slackPart, minWait)),
		answer: answer, patient: min(asked.patient, time.Duration(calls)*answer), calls: calls,
		backoff: min(asked.backoff, part(backoffPart, minBackoff))}
}

// discovery follows the list of app servers.
type discovery struct {
	tell func(*serverList, policy.MembersKind)
	http http.Client
	rng  *rand.Rand // of run alone

	mu     sync.Mutex
	addr   string
	pace   pacing
	limits roster.Limits
	moved  context.CancelFunc // ends the watch at the address before
}

func newDiscovery(f *config.File, tell func(*serverList, policy.MembersKind)) *discovery {
	return &discovery{addr: f.Discovery, pace: paceFor(f), limits: roster.LimitsFor(f.MemoryMB), tell: tell, moved: func() {},
		rng: rand.New(rand.NewPCG(f.Seed, pacingSeed)), http: http.Client{
			Transport:     &http.Transport{DisableCompression: true, MaxIdleConns: 1, IdleConnTimeout: asked.wait},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
}

// apply takes over a file. Where it names another address, the open watch ends and
// another begins there, with the whole list.
func (d *discovery) apply(f *config.File) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pace, d.limits = paceFor(f), roster.LimitsFor(f.MemoryMB)
	if d.addr != f.Discovery {
		d.addr = f.Discovery
		d.moved()
	}
}

// run follows the list, at whatever address is in force, until ctx ends.
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

// follow fetches the whole list, then watches it, until ctx ends. What can't be
// had is asked for again soon, without waiting for news; the list held stays in force
// meanwhile.
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
			err = l.Twice // it contradicts itself; among changes the last line counts
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

// follower follows the list at one address.
type follower struct {
	d    *discovery
	url  string
	pace pacing

	rev  int64
	have bool // a list of version rev, which changes can be asked for of
	news bool // the last answer brought changes to a list that was there

	failures int // in a row
	backoff  time.Duration
	heard    time.Time // when discovery last answered, or a failure was told of
	warned   bool      // since the last answer
	bad      int       // lines passed over in the last list
}

// call asks for the whole list, for changes, or waits for changes.
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

// patience is the pacing with the time that the next call is given. A call that was swallowed is
// given up early, by an edge node that was unlucky among many; each maxHasty+1st has all the time,
// for a service that needs it.
func (f *follower) patience() pacing {
	pace := f.pace
	if pace.hasty > 0 && f.failures%(maxHasty+1) < maxHasty {
		pace.patient = pace.shorten(f.d.rng, pace.hasty)
	}
	return pace
}

// failed tells of a call that failed. One that was given up early says little: it is told of once
// nothing was heard for half of the time that a patient call has.
func (f *follower) failed(err error) {
	var unanswered unansweredError
	if errors.As(err, &unanswered) && unanswered.limit < f.pace.patient && time.Since(f.heard) < f.pace.patient/2 {
		return
	}
	if !f.warned {
		slog.Warn("discovery does not answer; the list held stays in force", "err", err)
	}
	f.warned, f.heard = true, time.Now()
	f.d.tell(nil, policy.AskFailed)
}

// take hands on a list.
func (f *follower) take(l *serverList) {
	if f.warned {
		slog.Info("discovery answers again", "rev", l.Rev)
	}
	f.warned, f.heard, f.backoff, f.failures = false, time.Now(), minBackoff, 0
	if l.Bad != f.bad && l.Bad > 0 {
		slog.Warn("lines of discovery's list passed over", "lines", l.Bad, "first", l.BadWhy)
	}
	f.bad = l.Bad
	switch {
	case l.All || !f.have:
		f.d.tell(l, policy.Whole)
	case len(l.Targets) > 0:
		f.d.tell(l, policy.Changes)
	}
	f.news = !f.have || l.Rev != f.rev
	// A version that goes back is another's: what changed since is not known of it.
	f.rev, f.have = l.Rev, l.All || !f.have || l.Rev >= f.rev
}

// pauseBeforeWatch waits where the service does not, and where it has just answered all edge
// nodes at once: most calls of all of them together would find it busy.
func (f *follower) pauseBeforeWatch(ctx context.Context, began time.Time) {
	switch {
	case !f.news && time.Since(began) < watchPause:
		sleep(ctx, watchPause)
	case f.news && f.pace.spread > 0:
		sleep(ctx, time.Duration(f.d.rng.Int64N(int64(f.pace.spread))))
	}
}

// ask makes a call that does not wait for news. While it is not answered others are made
// beside it: it may have been swallowed, and the agent back; or the agent is slow, and to
// give it up would be to hear nothing. While an answer is coming none is made. Each call that fails is told of; the error comes
// when none is out any more.
func (d *discovery) ask(ctx context.Context, url string, pace pacing, failed func(error)) (*serverList, error) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	type answer struct {
		l   *serverList
		err error
	}
	answers, out := make(chan answer, maxCalls), 0
	var steps atomic.Int64 // of the answers that are coming
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
	if pace.answer >= pace.patient { // where calls cost
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

// get makes one call. It is given up where nothing comes for the limit; steps counts the
// full steps of its answer.
func (d *discovery) get(ctx context.Context, url string, limit time.Duration, steps *atomic.Int64) (*serverList, error) {
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

// unansweredError is the end of a call that was given up.
type unansweredError struct{ limit time.Duration }

func (e unansweredError) Error() string { return fmt.Sprintf("no answer within %v", e.limit) }

// answerReader reads an answer that may be large. Whoever sends it without a stop is
// given more time, within a bound.
type answerReader struct {
	from   io.Reader
	steps  *atomic.Int64
	part   int // bytes since the last step
	began  time.Time
	limit  time.Duration
	giveUp *time.Timer
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
