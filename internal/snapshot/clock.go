package snapshot

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Moment is a time by the clocks that outlast a process.
type Moment struct {
	Wall time.Time
	Boot string        // names the run of the machine's kernel; empty: not known
	Up   time.Duration // since that began, to a hundredth of a second
}

// upStep is how coarsely the kernel tells its age.
const upStep = 10 * time.Millisecond

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

// Since is how long ago another moment was, at the least. No single clock is
// believed: the wall's may have been set, so the kernel's bounds it, within one run
// of the machine by its difference, and after a restart by its age. A clock that
// went backwards counts as no time.
func (m Moment) Since(then Moment) time.Duration {
	d := m.Wall.Round(0).Sub(then.Wall.Round(0))
	switch {
	case m.Boot == "" || then.Boot == "":
	case m.Boot == then.Boot:
		d = min(d, m.Up-then.Up-upStep)
	default:
		d = min(d, m.Up-upStep)
	}
	return max(0, d)
}
