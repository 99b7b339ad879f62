package overload

// Budget are the shares of a node's limits that go to each of its concerns.
type Budget struct {
	Clients        int   // connections of clients, and requests open at once
	RejectionQueue int   // further connections, that are being refused
	Engines        int   // connections to engines
	BodyBytes      int64 // of requests' bodies
	HeapLimit      int64 // that the runtime keeps its heap within; the rest is for what it does not count
}

// Our starting values: parts of the descriptors and of the memory, and what is taken where no limit is told. What is left of
// the descriptors is for the listener, discovery and the runtime.
const (
	clientPart = 0.4
	lobbyPart  = 1.0 / 16
	leastLobby = 4
	enginePart = 0.45
	bodyPart   = 1.0 / 6
	heapPart   = 0.6
	files      = 1024
	memory     = 256 << 20
)

// DivideLimits divides the descriptors and the bytes of memory that a node may use; 0 = not told.
func DivideLimits(sockets int, bytes int64) Budget {
	if sockets <= 0 {
		sockets = files
	}
	if bytes <= 0 {
		bytes = memory
	}
	n := float64(sockets)
	return Budget{Clients: int(clientPart * n), RejectionQueue: max(leastLobby, int(lobbyPart*n)), Engines: int(enginePart * n),
		BodyBytes: int64(bodyPart * float64(bytes)), HeapLimit: int64(heapPart * float64(bytes))}
}
