package membership

const ms = int64(1_000_000) // ns in a millisecond

// Topology of the links between nodes.
const (
	ringCount        = 4         // rings, each with its own order of the members; a node probes its neighbours on both sides of each
	maxSkippedSilent = 4         // silent members skipped on one side of a ring
	maxLinks         = 32        // links of a node, in both directions
	maxTableSize     = 1<<16 - 1 // members; adjacency stores indices as uint16
)

// Bounds of what one message or record holds.
const (
	maxRecordsPerDatagram = 6
	maxGossipBytes        = 1_000 // bytes of records in one datagram; the rest of its 1,200 bytes is for the other fields
	maxNameBytes          = 64
	maxAddressBytes       = 64
	maxFactBytes          = 32
	retainedEffects       = 64 // capacity up to which the effects slice is reused by the next step
)

// Probes of links.
const (
	pingHistory         = 32         // last pings of a link whose answers are accepted
	maxPingsPerProbe    = 4          // pings in a probe interval while no answer comes
	silentProbeFactor   = 4          // probe intervals between the probes of a silent link
	roundTripSmoothing  = 8          // inverse weight of a new sample in the smoothed round trip
	unwantedLinkTimeout = 4_000 * ms // ns that a link is kept open after the rings no longer need it
	reconnectSeqBit     = 1 << 31    // set in the sequence numbers of pings to lost members
	minPause            = 150 * ms   // ns by which a step must be late for the process to count as paused
)

// Gossip of records and publication of this node's links.
const (
	gossipInterval          = 100 * ms   // ns between datagrams of records on one link
	publishInterval         = 200 * ms   // ns between publications of this node's links
	regainedPublishInterval = 100 * ms   // ns between them if a lost link is up again
	gainedPublishInterval   = 500 * ms   // ns between them if links were only added
	closedPublishInterval   = 1_500 * ms // ns before links that neither end needs are published as closed
)

// Updates of rings, reachability and the view.
const (
	ringsInterval     = 100 * ms    // ns between updates of the watched members
	traversalInterval = 50 * ms     // ns between traversals of the links
	viewInterval      = 1_000 * ms  // ns after which the view is updated even if nothing changed
	maxFlaps          = 5           // losses of a member up to which its damping grows
	flapDecayTime     = 60_000 * ms // ns in the view after which the count of flaps is reset
	digestRetention   = 30_000 * ms // ns after which the record of a lost member leaves the table's digest
)

// Joining, reconnecting and synchronization of tables.
const (
	maxReconnects     = 8           // last pings to lost members whose answers are accepted
	reconnectInterval = 1_000 * ms  // ns between pings to lost members
	joinInterval      = 500 * ms    // ns between requests to seeds; doubles with each pass over the seeds, up to maxJoinBackoff
	maxJoinBackoff    = 4_000 * ms  // ns
	syncDelay         = 1_500 * ms  // ns that a neighbour's digest must differ before a table exchange
	syncInterval      = 3_000 * ms  // ns between table exchanges
	syncQuietTime     = 500 * ms    // ns without gossip before a table exchange
	maxSyncDeferral   = 10_000 * ms // ns for which gossip can defer a table exchange
)

// Config holds the settings of one node. Times are nanoseconds.
type Config struct {
	Name, Address, Zone, Version string
	Seeds                        []string // addresses contacted to join and, at intervals, to find parts of the fleet that formed separately
	ProbeInterval                int64    // between pings on a link
	LinkTimeout                  int64    // without an answer before a link is down
	SuspicionTimeout             int64    // that a member is unreachable before it leaves the view
	ForgetTimeout                int64    // outside the view before a member is removed from the table
	MaxMembers                   int
}
