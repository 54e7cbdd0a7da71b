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
	ownDescriptors         = 18 // of the runtime, log, listeners, discovery, snapshots, operators
)

// descriptors tells how many a file leaves to clients and to app servers. The system may
// allow the process fewer than the file says: by the file alone, clients would then
// take those that their requests need on the way on, and nothing would be served.
func descriptors(f *config.File) (clients, servers int) {
	n := f.Sockets
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err == nil && allowed.Cur < uint64(n) {
		slog.Warn("fewer descriptors than the configuration says", "allowed", allowed.Cur, "limits.sockets", n)
		n = int(allowed.Cur)
	}
	return parts(n)
}

// parts deals out so many descriptors; each side has one at least.
func parts(n int) (clients, servers int) {
	room := min(float64(n), float64(n-ownDescriptors)/(clientPart+serverPart))
	return max(1, int(clientPart*room)), max(1, int(serverPart*room))
}
