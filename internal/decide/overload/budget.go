package overload

// Budget is the share of a node's limits that each of its concerns gets.
type Budget struct {
	Clients        int   // connections of clients, and requests open at once
	RejectionQueue int   // further connections whose requests are being rejected
	Engines        int   // connections to engines
	BodyBytes      int64 // of requests' bodies
	HeapLimit      int64 // bytes that the runtime keeps its heap within; the rest is for memory that it does not count
}

// Shares of the descriptors and of the memory, starting values that no page prescribes. The rest of the descriptors is for the
// listener, discovery and the runtime.
const (
	clientShare         = 0.4
	rejectionQueueShare = 1.0 / 16
	minRejectionQueue   = 4 // connections
	engineShare         = 0.45
	bodyShare           = 1.0 / 6
	heapShare           = 0.6
)

// Limits that a node without stated ones takes.
const (
	defaultDescriptors = 1024
	defaultMemory      = 256 << 20 // bytes
)

// DivideLimits divides the descriptors and the bytes of memory that a node may use; 0 = not stated.
func DivideLimits(descriptors int, memory int64) Budget {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	if memory <= 0 {
		memory = defaultMemory
	}
	total := float64(descriptors)
	return Budget{
		Clients:        int(clientShare * total),
		RejectionQueue: max(minRejectionQueue, int(rejectionQueueShare*total)),
		Engines:        int(engineShare * total),
		BodyBytes:      int64(bodyShare * float64(memory)),
		HeapLimit:      int64(heapShare * float64(memory)),
	}
}
