package overload

// Budget divides a node's limits among its uses of descriptors and memory.
type Budget struct {
	Clients        int   // client connections, and requests open at the same time
	RejectionQueue int   // further connections whose requests are being rejected
	Engines        int   // connections to engines
	BodyBytes      int64 // bytes of request bodies in memory
	HeapLimit      int64 // bytes; heap limit of the Go runtime. The rest is for memory that the runtime does not count
}

// Shares of the descriptors and of the memory. The rest of the descriptors is for the listener, discovery and the runtime.
const (
	clientShare         = 0.4
	rejectionQueueShare = 1.0 / 16
	minRejectionQueue   = 4 // connections
	engineShare         = 0.45
	bodyShare           = 1.0 / 6
	heapShare           = 0.6
)

// Defaults for limits that are not stated.
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
