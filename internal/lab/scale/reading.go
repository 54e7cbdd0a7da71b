package scale

import (
	"context"
	"sync/atomic"
	"time"
)

// reading is the processor time used until a moment.
type reading struct {
	at     time.Time
	lab    time.Duration
	real   []time.Duration
	hollow []spending
}

// span is the processor time used during an interval.
type span struct {
	length time.Duration
	lab    time.Duration
	real   []time.Duration
	hollow []spending
}

func (f *fleet) read() reading {
	r := reading{at: time.Now(), lab: ownTime()}
	for _, p := range f.reals {
		r.real = append(r.real, p.time())
	}
	for _, h := range f.hollows {
		spent, _, _ := h.reading()
		r.hollow = append(r.hollow, spent)
	}
	return r
}

func (r reading) since(before reading) *span {
	s := &span{length: r.at.Sub(before.at), lab: r.lab - before.lab}
	for i := range r.real {
		s.real = append(s.real, r.real[i]-before.real[i])
	}
	for i := range r.hollow {
		s.hollow = append(s.hollow, r.hollow[i].minus(before.hollow[i]))
	}
	return s
}

// realTime returns the sum of all real edge nodes.
func (s *span) realTime() (sum time.Duration) {
	for _, t := range s.real {
		sum += t
	}
	return sum
}

// hollowTime returns the sum of the modules of all hollow edge nodes.
func (s *span) hollowTime() (sum time.Duration) {
	for i := range s.hollow {
		sum += s.hollow[i].total()
	}
	return sum
}

// byCause sums the usage of all hollow edge nodes by cause.
func (s *span) byCause() (sum spending) {
	for i := range s.hollow {
		for c := range sum.count {
			sum.count[c] += s.hollow[i].count[c]
			sum.time[c] += s.hollow[i].time[c]
		}
	}
	return sum
}

// traffic holds the datagrams of an interval by kind of edge node.
type traffic struct {
	length time.Duration
	flows  [sorts][directions][len(kindNames)]flow
	peak   [sorts]int
	sunk   flow
}

func (f *fleet) readTraffic(length time.Duration) *traffic {
	t := &traffic{length: length}
	sunk, _ := f.network.sunk.read()
	for _, kind := range sunk[directionIn] {
		t.sunk.datagrams += kind.datagrams
		t.sunk.bytes += kind.bytes
	}
	for no, l := range f.network.ledgers {
		sort := sortHollow
		if f.isReal(no) {
			sort = sortReal
		}
		flows, peak := l.read()
		t.peak[sort] = max(t.peak[sort], peak)
		for d := range flows {
			for k := range flows[d] {
				t.flows[sort][d][k].datagrams += flows[d][k].datagrams
				t.flows[sort][d][k].bytes += flows[d][k].bytes
			}
		}
	}
	return t
}

// sampleSeconds appends a window each second until ctx ends.
func (f *fleet) sampleSeconds(ctx context.Context, phase *atomic.Value) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	before, first := f.read(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		now := f.read()
		s := now.since(before)
		before = now
		w := Window{Second: time.Since(first).Seconds(), Phase: phase.Load().(Phase)}
		w.Real = window(f.realLoad.takeSecond(), s.realTime(), s.length, f.Real)
		w.Hollow = window(f.hollowLoad.takeSecond(), s.hollowTime(), s.length, f.Hollow)
		f.measured.windows = append(f.measured.windows, w)
	}
}

func window(c loadCount, spent, length time.Duration, nodes int) WindowOf {
	if nodes == 0 {
		return WindowOf{}
	}
	return WindowOf{Requests: c.asked, CPUPercent: 100 * spent.Seconds() / length.Seconds() / float64(nodes), P50MS: c.addedMS(50), P99MS: c.addedMS(99)}
}
