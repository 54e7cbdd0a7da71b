package node

import "time"

const (
	// maxBusyTime is the time for which a client connection may be served without waiting for the network.
	maxBusyTime = 250 * time.Microsecond

	// A connection pauses after maxBusyTime: for minPause, and from the burstPauses-th pause in a row on for
	// twice as long each time, up to maxPause.
	minPause    = time.Millisecond
	maxPause    = 32 * time.Millisecond
	burstPauses = 8

	// waitedTime is the minimum duration of a read that waited for the client.
	waitedTime = 100 * time.Microsecond
)

// pacer makes the connection of a client that sends at full speed give way to others. The program runs on one
// core. A goroutine that finds its next request already received never waits, and the runtime looks for bytes of
// other connections only every 10 ms while any goroutine can run.
type pacer struct {
	busySince time.Time // when the connection last waited or paused
	pauses    int       // in a row, without waiting for the network in between
}

// waited records that the connection has just waited for the network.
func (p *pacer) waited() { p.busySince, p.pauses = time.Now(), 0 }

// giveWay pauses if the connection has not waited for maxBusyTime.
func (p *pacer) giveWay() {
	if time.Since(p.busySince) < maxBusyTime {
		return
	}
	time.Sleep(p.nextPause())
	p.busySince = time.Now()
}

// nextPause counts a pause and returns its length.
func (p *pacer) nextPause() time.Duration {
	p.pauses++
	pause := minPause
	for i := burstPauses; i <= p.pauses && pause < maxPause; i++ {
		pause *= 2
	}
	return pause
}

// read calls f, which reads from the network. If it did not wait, the connection gives way before the bytes are
// used; a connection that waits for its client never pauses.
func (p *pacer) read(f func([]byte) (int, error), b []byte) (int, error) {
	began := time.Now()
	n, err := f(b)
	if time.Since(began) >= waitedTime {
		p.waited()
	} else {
		p.giveWay()
	}
	return n, err
}
