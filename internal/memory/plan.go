// Package memory divides the memory limit of an edge node among everything that clients, servers and
// other edge nodes can make it keep, so that the sum fits the limit.
//
// A Plan is fixed at the start. It limits the number of connections, the size of messages that are held at
// the same time, the server list and the customers. Each Pool counts the message bytes that are held, and
// makes further messages wait or fail when its limit is reached.
package memory

const (
	bytesPerMB = 1 << 20

	// defaultMB is planned with if the configuration gives no memory limit.
	defaultMB = 512

	// goShare is the share of the limit for memory that the Go runtime manages. The rest is for the program's
	// text, the C library and memory that the runtime hasn't returned to the system yet.
	goShare = 0.7

	// liveShare is the share of the runtime's memory that may be in use. The rest is for garbage between two
	// collections.
	liveShare = 0.75

	// programBytes is the memory of an edge node without connections, servers and customers: runtime,
	// queues, timers, the goroutines that always run, discovery's calls and the log.
	programBytes = 6 << 20

	// minLiveBytes is divided if the memory limit is too low for the program.
	minLiveBytes = 4 << 20
)

// Shares of the memory that the program itself doesn't need. Their sum is 1.
const (
	connectionShare = 0.25
	requestShare    = 0.14
	responseShare   = 0.14
	serverListShare = 0.31
	customerShare   = 0.16
)

// Memory of one connection or one entry, in bytes. What a message needs beyond it is reserved from a Pool.
const (
	// ClientConnBytes is for a client connection: goroutine, read buffer, header fields and write buffer.
	ClientConnBytes = 19 << 10

	// ServerConnBytes is for a connection to a server: read buffer and header fields.
	ServerConnBytes = 7 << 10

	// ServerLineBytes is for a server of the list: its entries in the directory and in package policy, and its
	// line in a new list that is being decoded.
	ServerLineBytes = 500

	// DecodedLineBytes is the part of ServerLineBytes for the line that is being decoded.
	DecodedLineBytes = 256

	// Further memory of a server of which package policy keeps state, and of each class in that state.
	TrackedServerBytes = 384
	TrackedClassBytes  = 64

	// CustomerBytes is for a customer's counts, with what other edge nodes report of it or, in a fleet with
	// roots, with a request that one of them has asked for and a server's state that one of them has sent.
	CustomerBytes = 1536
)

// Plan is the division of a memory limit.
type Plan struct {
	ConnectionBytes int64 // for the fixed memory of connections
	RequestBytes    int64 // for requests that are larger than a connection's read buffer
	ResponseBytes   int64 // for such responses of servers
	ServerListBytes int64 // for the server list, with a new list that replaces it
	CustomerBytes   int64 // for customers
}

// NewPlan divides a limit in MiB. 0 means that there is no limit; the plan is then that of a large one.
func NewPlan(limitMB int) Plan {
	if limitMB <= 0 {
		limitMB = defaultMB
	}
	live := max(minLiveBytes, liveShare*float64(GoLimit(limitMB))-programBytes)
	return Plan{
		ConnectionBytes: int64(connectionShare * live),
		RequestBytes:    int64(requestShare * live),
		ResponseBytes:   int64(responseShare * live),
		ServerListBytes: int64(serverListShare * live),
		CustomerBytes:   int64(customerShare * live),
	}
}

// GoLimit returns the limit for the Go runtime in bytes, above which the garbage collector works harder.
func GoLimit(limitMB int) int64 { return int64(goShare * float64(limitMB) * bytesPerMB) }

// Connections reduces the numbers of client and server connections in proportion, so that their fixed memory
// fits the plan. Each stays at least 1.
func (p Plan) Connections(clients, servers int) (maxClients, maxServers int) {
	needed := int64(clients)*ClientConnBytes + int64(servers)*ServerConnBytes
	if needed <= p.ConnectionBytes {
		return clients, servers
	}
	fraction := float64(p.ConnectionBytes) / float64(needed)
	return max(1, int(fraction*float64(clients))), max(1, int(fraction*float64(servers)))
}

// MaxCustomers returns the number of customers that may be known at the same time.
func (p Plan) MaxCustomers() int { return max(1, int(p.CustomerBytes/CustomerBytes)) }

// MaxServerLines returns the number of lines that a server list may have.
func (p Plan) MaxServerLines() int { return max(1, int(p.ServerListBytes/ServerLineBytes)) }

// MaxServers returns the number of servers that may be known, each with the given memory beside that of its
// line.
func (p Plan) MaxServers(stateBytes int) int {
	const knownBytes = ServerLineBytes - DecodedLineBytes
	return max(1, p.MaxServerLines()*knownBytes/(knownBytes+stateBytes))
}

// Fits reports whether a limit in MiB is high enough for the program itself.
func Fits(limitMB int) bool {
	return limitMB <= 0 || liveShare*float64(GoLimit(limitMB)) >= programBytes+minLiveBytes
}
