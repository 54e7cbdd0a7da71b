package node

import (
	"log/slog"
	"syscall"

	"valvering.example/valvering/internal/config"
)

// Parts of the file descriptors: a request needs one for its client and one for its
// app server; the rest is for the listeners, discovery and files.
const (
	clientPart, serverPart = 0.5, 0.35
	ownDescriptors         = 19 // of the runtime, log, listeners, snapshots, the file; four of operators

	minCalls, descriptorsPerCall = 2, 16 // for calls to discovery beside one another
)

// descriptors tells how many a file leaves to clients and to app servers.
func descriptors(f *config.File) (clients, servers int) {
	n, allowed := usable(f)
	if n < f.Sockets {
		slog.Warn("fewer descriptors than the configuration says", "allowed", allowed, "limits.sockets", f.Sockets)
	}
	return parts(n)
}

// usable tells how many descriptors there are. The system may allow the process fewer than
// the file says: by the file alone, clients would then take those that their requests need on
// the way on, and nothing would be served.
func usable(f *config.File) (n int, allowed uint64) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(f.Sockets) {
		return int(limit.Cur), limit.Cur
	}
	return f.Sockets, limit.Cur
}

// callsFor is how many calls to discovery may be out beside one another with so many
// descriptors.
func callsFor(n int) int { return min(maxCalls, max(minCalls, n/descriptorsPerCall)) }

// parts deals out so many descriptors; each side has one at least.
func parts(n int) (clients, servers int) {
	room := min(float64(n), float64(n-ownDescriptors-callsFor(n))/(clientPart+serverPart))
	return max(1, int(clientPart*room)), max(1, int(serverPart*room))
}
