package membership

const ms = int64(1_000_000) // ns in a millisecond

// Topology of the links between nodes.
const (
	ringCount        = 4         // orders of the fleet; a node watches its neighbours on both sides of each
	maxSkippedSilent = 4         // silent members skipped on one side of a ring
	maxLinks         = 32        // links of a node, in both directions
	maxTableSize     = 1<<16 - 1 // members: adjacency holds indices of two bytes
)

// Bounds of what one message or record holds.
const (
	maxRecordsPerDatagram = 6
	maxGossipBytes        = 1_000 // bytes of records in one datagram; its head takes the rest of 1,200
	maxNameBytes          = 64
	maxAddressBytes       = 64
	maxFactBytes          = 32
	retainedEffects       = 64 // capacity of the effects slice that is kept between steps
)

// Probes of links.
const (
	pingHistory         = 32         // pings of a link whose answers still count
	maxPingsPerProbe    = 4          // resends of a probe while it is unanswered
	silentProbeFactor   = 4          // times the probe interval at which a silent link is probed
	roundTripSmoothing  = 8          // weight of the smoothed round trip against a new sample
	unwantedLinkTimeout = 4_000 * ms // ns that a link is kept after no ring wants it
	reconnectSeqBit     = 1 << 31    // set in the sequence numbers of reconnect pings
	minPause            = 150 * ms   // ns past a wakeup from which this process counts as paused
)

// Gossip of records and publication of this node's links.
const (
	gossipInterval          = 100 * ms   // ns between datagrams of records on one link
	publishInterval         = 200 * ms   // ns between new versions of the links of this node's record
	regainedPublishInterval = 100 * ms   // ns between them where a lost link is up again
	gainedPublishInterval   = 500 * ms   // ns between them where links were only added
	closedPublishInterval   = 1_500 * ms // ns between them where links were closed that neither end wants
)

// Updates of rings, reachability and the view.
const (
	ringsInterval     = 100 * ms
	traversalInterval = 50 * ms
	viewInterval      = 1_000 * ms
	maxFlaps          = 5           // losses of a member that still lengthen its damping
	flapDecayTime     = 60_000 * ms // ns in the view after which flaps are forgotten
	digestRetention   = 30_000 * ms // ns after which the record of a lost member leaves the table's digest
)

// Joining, reconnecting and synchronization of tables.
const (
	maxReconnects     = 8           // reconnect pings whose answers still count
	reconnectInterval = 1_000 * ms  // ns between pings to lost members
	joinInterval      = 500 * ms    // ns between requests to seeds, doubled up to maxJoinBackoff
	maxJoinBackoff    = 4_000 * ms  // ns
	syncDelay         = 1_500 * ms  // ns that a neighbour's digest differs before its table is asked for
	syncInterval      = 3_000 * ms  // ns between table exchanges
	syncQuietTime     = 500 * ms    // ns without gossip before a table exchange
	maxSyncDeferral   = 10_000 * ms // ns for which gossip may put off a table exchange
)

// Config holds the settings of one node. Times are nanoseconds.
type Config struct {
	Name, Address, Zone, Version string
	Seeds                        []string // addresses that are asked at the start and now and then
	ProbeInterval                int64    // between pings on a link
	LinkTimeout                  int64    // without an answer after which a link is down
	SuspicionTimeout             int64    // that a member must be unreachable before it leaves the view
	ForgetTimeout                int64    // after which a lost member is dropped from the table
	MaxMembers                   int
}
