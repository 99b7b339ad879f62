package overload

// Parts are the shares of a node's limits that go to each of its concerns.
type Parts struct {
	Clients  int   // connections of clients, and requests open at once
	Lobby    int   // further connections, that are being refused
	Engines  int   // connections to engines
	Bytes    int64 // of requests' bodies
	HeapMost int64 // that the runtime keeps its heap within; the rest is for what it does not count
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

// Divide divides the descriptors and the bytes of memory that a node may use; 0 = not told.
func Divide(sockets int, bytes int64) Parts {
	if sockets <= 0 {
		sockets = files
	}
	if bytes <= 0 {
		bytes = memory
	}
	n := float64(sockets)
	return Parts{Clients: int(clientPart * n), Lobby: max(leastLobby, int(lobbyPart*n)), Engines: int(enginePart * n),
		Bytes: int64(bodyPart * float64(bytes)), HeapMost: int64(heapPart * float64(bytes))}
}
