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
	hollow []moduleUsage
}

// span is the processor time used during an interval.
type span struct {
	length time.Duration
	lab    time.Duration
	real   []time.Duration
	hollow []moduleUsage
}

func (f *fleet) readCPU() reading {
	r := reading{at: time.Now(), lab: ownTime()}
	for _, p := range f.reals {
		r.real = append(r.real, p.cpuTime())
	}
	for _, h := range f.hollows {
		spent, _, _ := h.stats()
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
func (s *span) byCause() (sum moduleUsage) {
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
	flows  [nodeKinds][directions][len(kindNames)]flow
	peak   [nodeKinds]int
	sink   flow
}

func (f *fleet) readTraffic(length time.Duration) *traffic {
	t := &traffic{length: length}
	sinkFlows, _ := f.network.sinkCounter.read()
	for _, kind := range sinkFlows[directionIn] {
		t.sink.datagrams += kind.datagrams
		t.sink.bytes += kind.bytes
	}
	for no, l := range f.network.counters {
		nodeKind := hollowNode
		if f.isReal(no) {
			nodeKind = realNode
		}
		flows, peak := l.read()
		t.peak[nodeKind] = max(t.peak[nodeKind], peak)
		for d := range flows {
			for k := range flows[d] {
				t.flows[nodeKind][d][k].datagrams += flows[d][k].datagrams
				t.flows[nodeKind][d][k].bytes += flows[d][k].bytes
			}
		}
	}
	return t
}

// sampleSeconds appends a window each second until ctx ends.
func (f *fleet) sampleSeconds(ctx context.Context, phase *atomic.Value) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	before, first := f.readCPU(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := f.readCPU()
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
	return WindowOf{Requests: c.asked, CPUPercent: 100 * spent.Seconds() / length.Seconds() / float64(nodes),
		P50MS: c.addedMS(50), P99MS: c.addedMS(99)}
}
