package snapshot

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Moment is a point in time by clocks that outlast a process.
type Moment struct {
	Wall time.Time
	Boot string        // the kernel's boot ID; empty: unknown
	Up   time.Duration // uptime since that boot, in steps of uptimeStep
}

// uptimeStep is the resolution of the kernel's uptime.
const uptimeStep = 10 * time.Millisecond

// Now reads the clocks.
func Now() Moment {
	m := Moment{Wall: time.Now()}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return m
	}
	up, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return m
	}
	first, _, _ := strings.Cut(string(up), " ")
	if s, err := strconv.ParseFloat(first, 64); err == nil && s >= 0 && s < 1e9 {
		m.Boot, m.Up = strings.TrimSpace(string(boot)), time.Duration(s*float64(time.Second))
	}
	return m
}

// Since returns a lower bound of the time since an earlier moment. The wall clock may
// have been set, so the uptime bounds it: by the difference of the uptimes within one
// boot, and by the uptime itself after a reboot. The result is 0 if a clock went
// backwards.
func (m Moment) Since(then Moment) time.Duration {
	d := m.Wall.Round(0).Sub(then.Wall.Round(0))
	switch {
	case m.Boot == "" || then.Boot == "":
	case m.Boot == then.Boot:
		d = min(d, m.Up-then.Up-uptimeStep)
	default:
		d = min(d, m.Up-uptimeStep)
	}
	return max(0, d)
}
