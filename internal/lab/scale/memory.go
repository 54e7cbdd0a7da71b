package scale

import (
	"bufio"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"

	"valvering.example/valvering/policy"
)

// Estimates in bytes of the memory that is not measured before the run. The estimates for a real
// edge node are higher than the memory that its process holds.
const (
	labBase       = 64 << 20
	labPerServer  = 3 << 10 // lines, their encoded form, and the decoding of a whole list
	labPerNode    = 8 << 10 // a sink socket and its reader
	realBase      = 24 << 20
	realPerServer = 5 << 10
	hollowBase    = 512 << 10
)

// memoryNeed is the estimated memory of a run in bytes.
type memoryNeed struct {
	lab, real, hollow float64 // real and hollow: for one edge node
}

// memoryNeed estimates the memory of the run. It builds the module's state of one hollow edge node
// to measure it.
func (f *fleet) memoryNeed() (memoryNeed, error) {
	state, err := f.hollowState()
	if err != nil {
		return memoryNeed{}, err
	}
	gcFactor := 1 + gcPercent/100.0
	return memoryNeed{
		lab:    labBase + labPerServer*float64(f.Servers) + labPerNode*float64(f.Nodes),
		real:   realBase + realPerServer*float64(f.Servers),
		hollow: (hollowBase + state) * gcFactor,
	}, nil
}

// hollowState returns the memory of the module's state with the whole list, in bytes.
func (f *fleet) hollowState() (float64, error) {
	settings, err := f.world.Settings(0)
	if err != nil {
		return 0, err
	}
	servers := f.list.policyServers()
	before := heapLive()
	g, err := policy.New(settings, f.Seed)
	if err != nil {
		return 0, fmt.Errorf("invalid settings: %w", err)
	}
	g.Handle(unixNow(), policy.ServerListUpdate{Kind: policy.FullList, Servers: servers}, nil)
	after := heapLive()
	runtime.KeepAlive(g)
	runtime.KeepAlive(servers)
	return max(0, after-before), nil
}

// heapLive returns the live heap of this process in bytes.
func heapLive() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// check returns a Problem for a run that needs more than half of the machine's memory. The Problem
// names the number of hollow edge nodes that fit.
func (n memoryNeed) check(c *Config) error {
	machine, err := machineMemory()
	if err != nil {
		return err
	}
	fixed := n.lab + n.real*float64(c.Real)
	need, limit := fixed+n.hollow*float64(c.Hollow), machine/2
	if need <= limit {
		return nil
	}
	field, fit := "hollow", max(0, int((limit-fixed)/n.hollow))
	if fixed > limit {
		field = "real"
	}
	return Problem{field, fmt.Sprintf("%d real and %d hollow edge nodes are reckoned to need %.0f MB, %.0f MB is half of the machine's memory: %d hollow ones fit beside %d real ones",
		c.Real, c.Hollow, need/megabyte, limit/megabyte, fit, c.Real)}
}

const megabyte = 1 << 20

// machineMemory returns the machine's memory in bytes.
func machineMemory() (float64, error) {
	kilobytes, err := procFigure("/proc/meminfo", "MemTotal:")
	return kilobytes * 1024, err
}

// procFigure reads the figure after a name from a file with lines such as "VmRSS: 12 kB".
func procFigure(path, name string) (float64, error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) >= 2 && words[0] == name {
			return strconv.ParseFloat(words[1], 64)
		}
	}
	return 0, fmt.Errorf("%s has no line %s", path, name)
}

// File descriptors of the lab besides the sink sockets.
const (
	descriptorsPerNode = 4   // sockets and connections of an edge node
	descriptorsPerReal = 128 // connections of clients and servers
	descriptorsSpare   = 64
)

// checkDescriptors returns a Problem for a run that needs more open files than this process may
// have.
func (c *Config) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit of open files: %w", err)
	}
	need := uint64(c.Nodes + descriptorsPerNode*c.existing() + descriptorsPerReal*c.Real + descriptorsSpare)
	if need > limit.Cur {
		return Problem{"nodes", fmt.Sprintf("%d sockets are needed, %d may be open", need, limit.Cur)}
	}
	return nil
}
