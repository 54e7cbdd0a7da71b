package node

import (
	"log/slog"
	"syscall"

	"valvering.example/valvering/internal/config"
	"valvering.example/valvering/internal/memory"
)

const (
	// Shares of the file descriptors. A request needs one for its client and one for its server. The rest is
	// for listeners, discovery and files.
	clientShare = 0.5
	serverShare = 0.35

	// Descriptors of the runtime, the log, the listeners, snapshots and the configuration file, and four for
	// connections of operators.
	reservedDescriptors = 19

	// Limit on concurrent calls to discovery: one per descriptorsPerDiscoveryCall, but at least
	// minDiscoveryCalls and at most maxDiscoveryCalls.
	minDiscoveryCalls           = 2
	descriptorsPerDiscoveryCall = 16
)

// connLimits returns the limits on client connections and on server connections for a configuration file:
// those of the descriptors, or lower ones whose connections fit the memory.
func connLimits(f *config.File, plan memory.Plan) (clients, servers int) {
	n, allowed := usableDescriptors(f)
	if n < f.Sockets {
		slog.Warn("fewer descriptors than the configuration says", "allowed", allowed,
			"limits.sockets", f.Sockets)
	}
	return plan.Connections(splitDescriptors(n))
}

// usableDescriptors returns the number of descriptors that the process can use, and the limit of the
// system. The system may allow fewer than the file says. With the larger number of the file, client
// connections would use up the descriptors that their requests need for server connections, and no request
// would be served.
func usableDescriptors(f *config.File) (n int, allowed uint64) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(f.Sockets) {
		return int(limit.Cur), limit.Cur
	}
	return f.Sockets, limit.Cur
}

// discoveryCalls returns the limit on concurrent calls to discovery with n descriptors.
func discoveryCalls(n int) int {
	return min(maxDiscoveryCalls, max(minDiscoveryCalls, n/descriptorsPerDiscoveryCall))
}

// splitDescriptors divides n descriptors between clients and servers. Each gets at least one.
func splitDescriptors(n int) (clients, servers int) {
	available := min(float64(n), float64(n-reservedDescriptors-discoveryCalls(n))/(clientShare+serverShare))
	return max(1, int(clientShare*available)), max(1, int(serverShare*available))
}
