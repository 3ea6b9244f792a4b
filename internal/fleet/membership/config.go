package membership

const ms = int64(1_000_000) // ns in a millisecond

// Topology of the links between nodes.
const (
	ringCount        = 4         // rings, each with its own order of the members; a node probes its neighbours on both sides of each
	maxSkippedSilent = 4         // members with a silent link that are skipped on one side of a ring
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
	downProbeFactor     = 4          // probe intervals between the probes of a link without an answer for the link timeout
	roundTripSmoothing  = 8          // inverse weight of a new sample in the smoothed round trip
	unwantedLinkTimeout = 4_000 * ms // ns that a link is kept open after the rings no longer need it
	reconnectSeqBit     = 1 << 31    // set in the sequence numbers of pings to lost members
	minPause            = 150 * ms   // ns by which a step must be late for the process to count as paused
)

// Gossip of records and publication of this node's links.
const (
	gossipInterval          = 100 * ms   // ns between datagrams of records on one link, a quarter of it with many queued
	publishInterval         = 200 * ms   // ns between publications of this node's links
	regainedPublishInterval = 100 * ms   // ns between them if a lost link is up again
	gainedPublishInterval   = 500 * ms   // ns between them if links were only added
	closedPublishDelay      = 1_500 * ms // ns for which the publication of a closed link waits for others
)

// Updates of rings, reachability and the view.
const (
	ringsInterval     = 100 * ms    // ns between updates of the watched members
	traversalInterval = 50 * ms     // ns between traversals of the links
	viewInterval      = 1_000 * ms  // ns after which the view is updated even if nothing changed
	maxFlaps          = 5           // losses of a member after which its damping no longer grows
	flapDecayTime     = 60_000 * ms // ns in the view after which the count of flaps is reset
	digestRetention   = 30_000 * ms // ns after which the record of a lost member leaves the table's digest
)

// Joining, reconnecting and synchronization of tables.
const (
	maxReconnects     = 8           // last pings to lost members whose answers are accepted
	reconnectInterval = 1_000 * ms  // ns between pings to lost members; also the damping of a second loss and the longest sleep
	joinInterval      = 500 * ms    // ns between requests to seeds; doubles with each pass over the seeds, up to maxJoinBackoff
	maxJoinBackoff    = 4_000 * ms  // ns; also the time outside the fleet after a name conflict
	syncDelay         = 1_500 * ms  // ns that a peer's digest must differ before a table exchange
	syncInterval      = 3_000 * ms  // ns between table exchanges
	syncQuietTime     = 500 * ms    // ns without gossip before a table exchange
	maxSyncDeferral   = 10_000 * ms // ns for which gossip can defer a table exchange
)

// Config holds the settings of one node.
type Config struct {
	Name, Address, Zone, Version string
	Seeds                        []string // addresses contacted to join and, at intervals, to find parts of the fleet that formed separately
	ProbeInterval                int64    // ns between probes of a link
	LinkTimeout                  int64    // ns without an answer after which a link is down
	SuspicionTimeout             int64    // ns for which an unreachable member stays in the view
	ForgetTimeout                int64    // ns for which a member outside the view stays in the table
	MaxMembers                   int      // of the table, with this node and lost members
}
