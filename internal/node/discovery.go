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
	maxShortCalls = 4

	// Fractions of the drain grace period, within which requests to a draining server must end; used where
	// discovery pushes the list.
	pollTimeoutFraction = 0.25
	pollSlackFraction   = 0.125
	hedgeDelayFraction  = 0.25
	maxBackoffFraction  = 0.125

	// Lower bounds of the times computed from these fractions.
	minPollTime   = 50 * time.Millisecond
	minHedgeDelay = 100 * time.Millisecond

	// Selects the stream of random numbers for the timing of calls.
	callTimingSeed = 0x64697363

	// Limit on calls in flight at once.
	maxDiscoveryCalls = 8

	progressStepBytes = 64 << 10         // a response makes progress with each such number of bytes
	maxResponseTime   = 10 * time.Second // limit on a response that makes progress
)

// callTiming holds the timeouts and pauses of calls to discovery. A lost watch looks like a watch without
// changes. A call that the agent dropped during an outage is never answered, even after the agent has
// recovered, but from the recovery on its changes count as announced to this edge node.
type callTiming struct {
	pollTimeout  time.Duration // long-poll time: discovery answers a watch by then, with or without changes
	pollSlack    time.Duration // a watch fails this much after its long-poll time
	hedgeDelay   time.Duration // an unanswered call gets a parallel one after this delay; not for watches
	callTimeout  time.Duration // timeout of a call, except of watches
	shortTimeout time.Duration // shorter timeout of most calls, except of watches; 0: not used

	// Upper bound of the random pause after a change, which discovery announces to all edge nodes at once.
	maxChangePause time.Duration

	maxCalls   int           // limit on calls in flight at once
	maxBackoff time.Duration // upper bound of the pause after a failed call

	// Fraction of a pause or a short timeout that is random, so that edge nodes don't call in lockstep.
	jitter float64
}

// pollTiming is the timing where the edge node must poll for the list: all edge nodes share one service,
// which many calls overload. A change that a lost watch misses counts as announced 6 s after the watch was
// lost. The watch fails after 4 s, and the call that follows does not long-poll.
var pollTiming = callTiming{pollTimeout: 3 * time.Second, pollSlack: time.Second,
	hedgeDelay: 2 * time.Second, callTimeout: 2 * time.Second, shortTimeout: 500 * time.Millisecond,
	maxChangePause: 150 * time.Millisecond, maxCalls: 1, maxBackoff: 400 * time.Millisecond, jitter: 0.5}

// subtractJitter subtracts a random part of a duration, up to the fraction jitter.
func (p callTiming) subtractJitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d - time.Duration(p.jitter*rng.Float64()*float64(d))
}

// timingFor returns the timing for a configuration. Where discovery pushes the list, its agent answers
// at once and at no cost, and its changes count as announced from the moment that the agent is back.
// The sum of pollTimeout, pollSlack, maxBackoff and hedgeDelay is therefore at most three quarters of
// the drain grace period, unless their lower bounds are longer. The last quarter is for network and
// processing delays.
func timingFor(f *config.File) callTiming {
	if f.Settings.MustWatch {
		return pollTiming
	}
	fractionOfGrace := func(fraction float64, minimum time.Duration) time.Duration {
		return max(minimum, time.Duration(fraction*float64(f.DrainGrace)))
	}
	hedgeDelay, maxCalls := min(pollTiming.hedgeDelay,
		fractionOfGrace(hedgeDelayFraction, minHedgeDelay)), maxDiscoveryCalls
	if n, _ := usableDescriptors(f); n > 0 {
		maxCalls = discoveryCalls(n)
	}
	return callTiming{pollTimeout: min(pollTiming.pollTimeout,
		fractionOfGrace(pollTimeoutFraction, minPollTime)),
		pollSlack:   min(pollTiming.pollSlack, fractionOfGrace(pollSlackFraction, minPollTime)),
		hedgeDelay:  hedgeDelay,
		callTimeout: min(pollTiming.callTimeout, time.Duration(maxCalls)*hedgeDelay),
		maxCalls:    maxCalls,
		maxBackoff:  min(pollTiming.maxBackoff, fractionOfGrace(maxBackoffFraction, minBackoff))}
}

// discovery is a client of the discovery service that keeps the server list current.
type discovery struct {
	deliver func(*serverList, policy.UpdateKind) // a nil list reports a failed call
	client  http.Client
	rng     *rand.Rand // used by run only

	limits roster.Limits // of each list; the lists of parallel calls share the memory

	mu           sync.Mutex
	addr         string
	timing       callTiming
	cancelFollow context.CancelFunc // ends the calls to the previous address
}

func newDiscovery(f *config.File, deliver func(*serverList, policy.UpdateKind)) *discovery {
	return &discovery{addr: f.Discovery, timing: timingFor(f), limits: roster.LimitsFor(f.MemoryMB),
		deliver: deliver, cancelFollow: func() {},
		rng: rand.New(rand.NewPCG(f.Seed, callTimingSeed)), client: http.Client{
			Transport: &http.Transport{DisableCompression: true, MaxIdleConns: 1,
				MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: pollTiming.pollTimeout},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
}

// applyConfig applies a configuration. If it names another address, the calls to the old one are
// cancelled and run fetches the whole list from the new one.
func (d *discovery) applyConfig(f *config.File) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timing = timingFor(f)
	if d.addr != f.Discovery {
		d.addr = f.Discovery
		d.cancelFollow()
	}
}

// run follows the list at the configured address until ctx is done.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		followCtx, cancel := context.WithCancel(ctx)
		d.mu.Lock()
		addr := d.addr
		d.cancelFollow = cancel
		d.mu.Unlock()
		d.follow(followCtx, addr)
		cancel()
		d.client.CloseIdleConnections()
	}
}

// follow fetches the whole list and then watches it until ctx is done. It retries a failed call
// after a short backoff, without long-polling; the current list stays in force meanwhile.
func (d *discovery) follow(ctx context.Context, addr string) {
	f := &follower{d: d, url: "http://" + addr + "/v1/servers", backoff: minBackoff, silentSince: time.Now()}
	for ctx.Err() == nil {
		d.mu.Lock()
		f.timing = d.timing
		d.mu.Unlock()
		began := time.Now()
		l, err := f.next(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil && l.DuplicateErr != nil && (l.All || !f.hasList) {
			err = l.DuplicateErr // a whole list must not repeat a server; among changes the last line counts
			f.reportFailure(err)
			d.release(l)
		}
		if err != nil {
			f.failures++
			sleep(ctx, f.timing.subtractJitter(d.rng, f.backoff))
			f.backoff = min(2*f.backoff, f.timing.maxBackoff)
			continue
		}
		f.accept(l)
		d.release(l)
		f.pauseBeforeWatch(ctx, began)
	}
}

// release returns the memory of a list that has been delivered or is not needed.
func (d *discovery) release(l *serverList) {
	if l != nil {
		d.limits.Memory.Release(l.Reserved)
	}
}

// follower follows the list at one address of the discovery service.
type follower struct {
	d      *discovery
	url    string
	timing callTiming

	rev     int64
	hasList bool // a list of version rev was received; the next call may ask for changes since
	changed bool // the last response brought a new version of the list

	failures    int // in a row
	backoff     time.Duration
	silentSince time.Time // when discovery last answered or a failure was last reported
	warned      bool      // a failure was logged since the last response
	badLines    int       // invalid lines of the last list
}

// next fetches the whole list if there is none. After a failure it fetches the changes at once;
// otherwise it long-polls for changes.
func (f *follower) next(ctx context.Context) (*serverList, error) {
	changes := fmt.Sprintf("%s?since=%d&timeout_ms=", f.url, f.rev)
	switch {
	case !f.hasList:
		return f.d.fetch(ctx, f.url, f.nextTiming(), f.reportFailure)
	case f.failures > 0:
		return f.d.fetch(ctx, changes+"0", f.nextTiming(), f.reportFailure)
	}
	wait := strconv.FormatInt(f.timing.pollTimeout.Milliseconds(), 10)
	l, err := f.d.fetchOnce(ctx, changes+wait, f.timing.pollTimeout+f.timing.pollSlack, new(atomic.Int64))
	if err != nil && ctx.Err() == nil {
		f.reportFailure(err)
	}
	return l, err
}

// nextTiming returns the timing with the timeout of the next call, which does not long-poll. The timeout is
// short where the list is polled: a dropped call is never answered, while the service may well answer the
// other edge nodes. Every (maxShortCalls+1)th call in a row of failures has the full timeout, for a service
// that is slow.
func (f *follower) nextTiming() callTiming {
	timing := f.timing
	if timing.shortTimeout > 0 && f.failures%(maxShortCalls+1) < maxShortCalls {
		timing.callTimeout = timing.subtractJitter(f.d.rng, timing.shortTimeout)
	}
	return timing
}

// reportFailure reports a failed call. A call with a short timeout says little about the service: its
// failure is reported only after a silence of half the full timeout.
func (f *follower) reportFailure(err error) {
	var timedOut callTimeoutError
	if errors.As(err, &timedOut) && timedOut.timeout < f.timing.callTimeout &&
		time.Since(f.silentSince) < f.timing.callTimeout/2 {
		return
	}
	if !f.warned {
		slog.Warn("discovery does not answer; the current server list stays in force", "err", err)
	}
	f.warned, f.silentSince = true, time.Now()
	f.d.deliver(nil, policy.WatchFailed)
}

// accept delivers a list or changes and resets the state of failures.
func (f *follower) accept(l *serverList) {
	if f.warned {
		slog.Info("discovery answers again", "rev", l.Rev)
	}
	f.warned, f.silentSince, f.backoff, f.failures = false, time.Now(), minBackoff, 0
	if l.Invalid != f.badLines && l.Invalid > 0 {
		slog.Warn("invalid lines of discovery's list passed over", "lines", l.Invalid, "first", l.InvalidErr)
	}
	f.badLines = l.Invalid
	switch {
	case l.All || !f.hasList:
		f.d.deliver(l, policy.FullList)
	case len(l.Targets) > 0:
		f.d.deliver(l, policy.Changes)
	}
	f.changed = !f.hasList || l.Rev != f.rev
	// A lower version comes from another instance of the service: versions known here mean nothing to it,
	// so the next call fetches the whole list.
	f.rev, f.hasList = l.Rev, l.All || !f.hasList || l.Rev >= f.rev
}

// pauseBeforeWatch pauses if discovery answered a watch early without changes, which would otherwise
// become a busy loop. It also pauses after a change, which reaches all edge nodes at once: most of
// their next calls would find the service busy.
func (f *follower) pauseBeforeWatch(ctx context.Context, began time.Time) {
	switch {
	case !f.changed && time.Since(began) < watchPause:
		sleep(ctx, watchPause)
	case f.changed && f.timing.maxChangePause > 0:
		sleep(ctx, time.Duration(f.d.rng.Int64N(int64(f.timing.maxChangePause))))
	}
}

// fetch makes a call without long-polling. While the call is unanswered, fetch makes further calls in
// parallel. The first one may have been dropped by an agent that is back by now, and if the agent is
// slow, cancelling the first call would lose its response. While a response is arriving, fetch makes no
// further call. Each failed call is passed to onFailure; fetch returns an error once no call is in flight or ctx is done.
func (d *discovery) fetch(ctx context.Context, url string, timing callTiming,
	onFailure func(error)) (*serverList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type response struct {
		l   *serverList
		err error
	}
	responses, inFlight := make(chan response), 0
	var steps atomic.Int64 // progress of the arriving responses
	lastSteps := int64(0)
	startCall := func() {
		inFlight++
		go func() {
			l, err := d.fetchOnce(ctx, url, timing.callTimeout, &steps)
			select {
			case responses <- response{l, err}:
			case <-ctx.Done(): // another call was first
				d.release(l)
			}
		}()
	}
	startCall()
	hedgeTicker := time.NewTicker(timing.hedgeDelay)
	defer hedgeTicker.Stop()
	if timing.hedgeDelay >= timing.callTimeout { // parallel calls would load a shared service
		hedgeTicker.Stop()
	}
	for {
		select {
		case r := <-responses:
			if inFlight--; r.err == nil {
				return r.l, nil
			}
			if ctx.Err() == nil {
				onFailure(r.err)
			}
			if inFlight == 0 {
				return nil, r.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-hedgeTicker.C:
			progressed := steps.Load() > lastSteps
			lastSteps = steps.Load()
			if !progressed && inFlight < timing.maxCalls && ctx.Err() == nil {
				startCall()
			}
		}
	}
}

// fetchOnce makes one call. The call fails if it neither completes nor receives a full step of its
// response within timeout. steps counts the full steps.
func (d *discovery) fetchOnce(ctx context.Context, url string, timeout time.Duration,
	steps *atomic.Int64) (*serverList, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeout, func() { cancel(callTimeoutError{timeout}) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	body := &progressReader{body: resp.Body, steps: steps, began: time.Now(), timeout: timeout, timer: timer}
	return roster.Decode(body, d.limits)
}

// callTimeoutError is the error of a call that timed out.
type callTimeoutError struct{ timeout time.Duration }

func (e callTimeoutError) Error() string { return fmt.Sprintf("no response within %v", e.timeout) }

// progressReader reads the body of a response. Each full step extends the timeout of the call, until
// maxResponseTime has passed.
type progressReader struct {
	body        io.Reader
	steps       *atomic.Int64
	partialStep int // bytes since the last full step
	began       time.Time
	timeout     time.Duration
	timer       *time.Timer // cancels the call
}

func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if r.partialStep += n; r.partialStep < progressStepBytes {
		return n, err
	}
	r.partialStep = 0
	r.steps.Add(1)
	if time.Since(r.began) < maxResponseTime {
		r.timer.Reset(r.timeout)
	}
	return n, err
}
