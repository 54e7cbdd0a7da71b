package policy

import "time"

// RequestID identifies one try of a client at one gateway. An ID is never reused.
type RequestID uint64

// ServerID identifies a server; it is the same at every gateway.
type ServerID uint32

// Effect is the effect of running a request more than once.
type Effect int

// Effects of a repeated request.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // a group of servers drops repetitions for a time
	Unsafe               // must not run twice
)

// Group is the set of servers that drop repetitions of a keyed request.
type Group int

// Groups of servers.
const (
	GroupAll  Group = iota // all servers
	GroupZone              // the servers of one zone
	GroupCell              // the servers of one cell
)

// Class holds the settings of a class of requests.
type Class struct {
	Name          string
	LatencyTarget time.Duration // latency up to which an answer has its full value
	Deadline      time.Duration // how long a client waits, over all its tries
	Effect        Effect
	Group         Group         // for Keyed
	Window        time.Duration // for Keyed: how long servers remember a request to drop its repetitions
	Stream        bool          // the answer is a stream, announced by Started
}

// Plan holds the quotas that each customer of a plan has over all gateways.
type Plan struct {
	Name               string
	Rate               float64 // units a second; 0: no rate quota
	Burst              float64 // size of the quota's token bucket in units
	MaxInFlight        int     // cap on attempts in flight; 0: no cap
	EarnedBeyondQuota  float64 // share of a request's value that is earned beyond the quota
	ChargedBeyondQuota float64 // share of a request's value that is charged beyond the quota
	HardRate           float64 // units a second of the hard ceiling; 0: none
	HardBurst          float64 // size of the ceiling's token bucket in units
}

// Settings are the settings of a gateway.
type Settings struct {
	Self     int // number of this gateway, from 0
	Gateways int // number of gateways

	// MaxCustomers is the number of customers whose state may be kept at the same time; 0: no limit. It is
	// fixed at the start.
	MaxCustomers int

	Zone    string
	Classes []Class
	Plans   []Plan

	Resolution         time.Duration // minimum time between two successive events
	MaxAttempts        int           // maximum attempts of one request; 0: no limit
	CanCancel          bool          // the Cancel action may be used
	CanSendMessages    bool          // the SendMessage action may be used
	DatagramsPerSecond float64       // messages from other gateways that a gateway can receive in a second
	MaxUnits           float64       // maximum units of one request
	MaxRetryAfter      time.Duration // longest advice that clients follow; 0: no advice
	MustWatch          bool          // changes of the server list arrive only after a Watch action
	SizeKnown          bool          // Server.Weight is the size of the machine
	CrossZoneCost      float64       // cost of an attempt to a server in another zone
	ReportNames        []string      // names of the values in Outcome.Load

	AnswerSlack       time.Duration // a final answer still counts as in time this long after the deadline
	MinWarmUpFraction float64       // minimum share of its capacity that a starting server has
	WarmUpTime        time.Duration // time after its start at which a server has its full capacity
	OverloadMultiple  float64       // a cold server fails under this multiple of its capacity
	OverloadTime      time.Duration // when the overload lasts this long
}

// Names of load report values that the package knows.
const (
	LoadActive  = "active"  // requests in progress
	LoadWaiting = "waiting" // requests queued
)

// Code is the result of an attempt.
type Code int

// Results of an attempt. NeverRan reports which of them prove that the attempt never ran.
const (
	OK Code = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// NeverRan reports whether the code proves that the attempt never ran.
func (c Code) NeverRan() bool { return c == Full || c == ConnectFailed || c == NotSent }

// Event is an input to Gateway.Handle.
type Event interface{ event() }

// Request is a client's try. It must get exactly one final answer.
type Request struct {
	ID        RequestID
	Customer  string
	Plan      string
	Class     string
	Units     float64
	Remaining time.Duration // until the client gives up this try
	First     int           // the first of the gateways that the customer uses
	Spread    int           // number of these gateways, at least 1: First and the next ones, wrapping round
	Retry     bool          // the client marked it as a retry
}

// Started reports that the answer to a request of a streamed class has begun.
type Started struct {
	ID      RequestID
	Attempt int
	Server  ServerID
}

// Outcome reports the end of an attempt; there is one for each Send.
type Outcome struct {
	ID          RequestID
	Attempt     int // numbered from 0 for each request
	Server      ServerID
	Code        Code
	Latency     time.Duration
	Answered    bool      // the request already has its final answer
	ActualUnits float64   // actual units, where they are known only afterwards; else 0
	Load        []float64 // values of the load report in the order of Settings.ReportNames; or nil
}

// ClientDisconnected reports that the client disconnected; its request needs no answer.
type ClientDisconnected struct{ ID RequestID }

// Timer reports that a timer set by SetTimer has expired.
type Timer struct{ Token string }

// PeerMessage is a message that another gateway sent with SendMessage.
type PeerMessage struct {
	From int
	Data []byte
}

// State is the state of a server in the server list.
type State int

// States of a server.
const (
	Running State = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID       ServerID
	Zone     string
	Cell     int
	State    State
	HasStart bool
	Start    time.Duration // time of its last start, where HasStart
	Weight   float64
}

// UpdateKind is the kind of content of a ServerListUpdate event.
type UpdateKind int

// Kinds of ServerListUpdate events.
const (
	Changes     UpdateKind = iota // only servers that changed
	FullList                      // the whole list; a server not in it has been removed
	StoredList                    // a stored copy of the whole list; may be out of date
	WatchFailed                   // Watch failed; the list stays as it is
)

// ServerListUpdate delivers the server list or changes to it.
type ServerListUpdate struct {
	Kind    UpdateKind
	Servers []Server
}

// Reconfigure replaces the settings. Self, Gateways, Zone, Resolution, CanSendMessages, MustWatch and
// DatagramsPerSecond must not change.
type Reconfigure struct{ Settings Settings }

// Shutdown starts the gateway's shutdown, which ends with the ShutdownDone action.
type Shutdown struct{}

// Action is an output of Gateway.Handle, for the caller to carry out.
type Action interface{ action() }

// Send starts an attempt. With Timeout 0 it lasts until the client gives up.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration
}

// Cancel stops waiting for an attempt; its Outcome still follows.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse sends the final answer that declares a retry harmless.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration // advice to the client; 0: none
}

// Fail sends the final answer that doesn't say whether the request ran.
type Fail struct{ ID RequestID }

// SetTimer requests a Timer event after a time.
type SetTimer struct {
	Token string
	After time.Duration
}

// SendMessage sends a message of at most 256 bytes to another gateway, or to all if To is -1. It may be lost.
type SendMessage struct {
	To   int
	Data []byte
}

// Watch subscribes to the server list and its changes.
type Watch struct{}

// ShutdownDone reports that a gateway that shuts down has no more messages to send.
type ShutdownDone struct{}

// Log writes a line to the operators' log.
type Log struct{ Text string }

func (Request) event()            {}
func (Started) event()            {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (Timer) event()              {}
func (PeerMessage) event()        {}
func (ServerListUpdate) event()   {}
func (Reconfigure) event()        {}
func (Restore) event()            {}
func (Shutdown) event()           {}

func (Send) action()         {}
func (Cancel) action()       {}
func (Refuse) action()       {}
func (Fail) action()         {}
func (SetTimer) action()     {}
func (SendMessage) action()  {}
func (Watch) action()        {}
func (Log) action()          {}
func (ShutdownDone) action() {}
