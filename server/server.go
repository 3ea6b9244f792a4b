// Package server carries out what the reducer asks for: it is all of a node that touches sockets and clocks.
// Other programs embed it by Run; it handles no signals and never exits the process.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"topazpost/internal/node"
	"topazpost/internal/nodeconfig"
	"topazpost/internal/resultcache"
	"topazpost/internal/resultcache/cacheconfig"
)

const (
	maxQueuedDispatcherInputs = 512                   // inputs of dispatchers that may wait for the reducer; then their readers wait
	maxQueuedInputs           = 256                   // the same of the node's own peers
	maxInputsPerStep          = 256                   // inputs of each taken in one step, so that effects of the first are not held up
	memoryLimitShare          = 0.6                   // of the memory limit that the runtime aims at; the rest is for stacks and the kernel
	inServiceGCPercent        = 40                    // % that the heap may grow between collections, of some ms, where the configuration is taken in service
	reservedDescriptors       = 14                    // descriptors of the node itself: files, listening socket, executor link, two reports
	linkDescriptorDivisor     = 8                     // part of the descriptors for links to the catalogue: one for each call in hand
	minLinkDescriptors        = 4                     // of them where the limit is low
	closingDescriptorDivisor  = 16                    // part of the descriptors for connections that wait for their peer's end
	minClosingDescriptors     = 4                     // of them where the limit is low
	listenTimeout             = 25 * time.Second      // for the last life of the node to give its address up: 30 s are given to be ready
	listenBackoff             = 50 * time.Millisecond // between tries at it
	pauseThreshold            = 20 * time.Millisecond // past its time, a timer tells of a process that did not run
	pauseGracePeriod          = 2 * time.Millisecond  // for the readers to bring what came meanwhile, before time-outs count
	consensusSeed             = 0x636f756e63696c      // told apart from the node's other sources of chance
	maxLogLinesPerSecond      = 100                   // lines logged in a second of what peers cause; more are dropped
)

// Server is one node.
type Server struct {
	config           *Config
	log              zerolog.Logger
	limitedLog       zerolog.Logger // for what peers can cause any number of times
	clock            Clock
	state            *node.StateMachine
	dispatcherInputs chan node.Input // of dispatchers
	inputs           chan node.Input // of the node's own peers; they never wait behind dispatchers
	drainRequests    chan struct{}
	abortRequests    chan struct{}
	reloadRequests   chan *Config
	ctx              context.Context
	group            *errgroup.Group

	fleet       *fleetSockets   // nil without a fleet
	resultStore *resultStore    // nil without a store
	replica     *replicaStorage // nil without a seat that keeps what it knows
	listener    *net.TCPListener

	configStorage *configStorage // nil where no version is kept
	longestStep   int64          // ns of the longest step of the reducer since a version came into force, by the clock

	conns          *connections
	links          map[int]*link // only the loop's
	reportClient   http.Client
	catalogueSlots chan struct{} // one for each descriptor that a link to the catalogue may have
	cancelReport   context.CancelFunc
}

// New makes a node that Run starts. What a logger and a clock are handed in for is the embedder's to choose.
func New(config *Config, log zerolog.Logger, clock Clock) *Server {
	limited := log.Sample(&zerolog.BurstSampler{Burst: maxLogLinesPerSecond, Period: time.Second})
	maxQueued := maxQueuedDispatcherInputs
	if config.Hollow != nil { // it listens to no dispatcher
		maxQueued = 0
	}
	s := &Server{config: config, log: log, limitedLog: limited, clock: clock, dispatcherInputs: make(chan node.Input, maxQueued),
		inputs: make(chan node.Input, maxQueuedInputs), drainRequests: make(chan struct{}, 1), abortRequests: make(chan struct{}, 1),
		reloadRequests: make(chan *Config, 1), links: make(map[int]*link), cancelReport: func() {}, reportClient: newReportClient()}
	connections, closing, links := config.descriptorShares()
	s.catalogueSlots = make(chan struct{}, links)
	s.state = node.NewStateMachine(config.Settings, config.addresses(), int64(config.StopMS*1e6), connections, links)
	s.state.SpareConnections = closing - 1 // the last place is for the next one to be accepted
	if h := config.Hollow; h != nil {
		s.state.MakeHollow(h.Counters, h.OnlySeat)
	}
	if config.Fleet != nil {
		s.joinFleet(config.Fleet)
	}
	if config.Keep == nil && config.Hollow == nil {
		config.Keep = cacheconfig.Default(config.Settings.Node.Operations, config.MemoryMB)
	}
	hasConsensus := config.Fleet != nil && config.Fleet.Council != nil
	if k := config.Keep; k != nil {
		rules := k.Cache
		if hasConsensus { // what the council agrees on takes the place of the disk
			rules.Durability, rules.OnStoreFailure = resultcache.OnDisk, resultcache.RejectOnStoreFailure
		}
		s.state.EnableResultCache(rules, k.Field, k.Folder != "")
	}
	if hasConsensus {
		now, _ := s.clock.Now()
		c := config.Fleet.Council
		s.state.EnableConsensus(c.Seats, c.Bytes, now, config.Settings.Node.Seed^consensusSeed)
		if c.Calls != nil {
			s.state.EnableQuota(*c.Calls, c.Version)
		}
	}
	return s
}

// Drain is the notice to drain: Run returns once the drain is over. Only this drains.
func (s *Server) Drain() {
	select {
	case s.drainRequests <- struct{}{}:
	default:
	}
}

// Abort ends a drain early, and starts one where none is: what is in hand is aborted and answered, then Run returns.
func (s *Server) Abort() {
	select {
	case s.abortRequests <- struct{}{}:
	default:
	}
}

// Reload goes on with the peers' addresses and the levels of another config, at any time of the node's life. All
// else in it takes a new start; what differs there is logged.
func (s *Server) Reload(next *Config) {
	reduced := *next
	reduced.Settings = nil // by far the most of it, and not taken
	for {
		select {
		case s.reloadRequests <- &reduced:
			return
		case <-s.reloadRequests: // an older one that was not taken yet
		}
	}
}

// Amend brings a version of the configuration into force, between two steps; what comes of it is in the log. An error names
// the item that is unsound by itself, and nothing is changed.
func (s *Server) Amend(version uint64, items []nodeconfig.Item) error {
	change, err := nodeconfig.Parse(items)
	if err == nil && !s.enqueueInput(node.Input{Kind: node.VersionReceived, Version: version, Change: change}) {
		err = errDrained
	}
	return err
}

// Listen opens the listening socket, for programs that want to know its address before Run. An address that is
// still in use is tried again for a while: the node's last life may not have ended to the full.
func (s *Server) Listen() error { return s.listen(context.Background()) }

// listen waits no longer than ctx and the notice to drain: a node that nobody could reach owes nothing.
func (s *Server) listen(ctx context.Context) error {
	for end := time.Now().Add(listenTimeout); ; {
		listener, err := net.Listen("tcp", s.config.Listen)
		if err == nil {
			s.listener = listener.(*net.TCPListener)
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return fmt.Errorf("server: %w", err)
		}
		select {
		case <-time.After(listenBackoff):
		case <-s.drainRequests:
			return errDrained
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run serves until the drain is over, which is no error, or until ctx ends, which stops at once.
func (s *Server) Run(ctx context.Context) error {
	if s.config.Hollow != nil {
		return s.runHollow(ctx)
	}
	if s.listener == nil {
		if err := s.listen(ctx); errors.Is(err, errDrained) {
			return nil
		} else if err != nil {
			return err
		}
	}
	if k := s.config.Keep; k != nil && k.Folder != "" {
		if s.config.Fleet != nil && s.config.Fleet.Council != nil {
			s.listener.Close()
			return errors.New("keep: a folder and the fleet's council can't both keep results; leave out durability and folder, or the council")
		}
		var err error
		if s.resultStore, err = openResultStore(s, k); err != nil {
			s.listener.Close()
			return err
		}
	}
	if err := s.openStorage(); err != nil {
		s.listener.Close()
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	s.group, s.ctx = group, ctx
	s.conns = newConnections(s)
	context.AfterFunc(ctx, s.closeSockets)
	s.log.Info().Str("name", s.config.Name).Stringer("listen", s.Addr()).Msg("listening")
	group.Go(func() error { return s.conns.accept() })
	if s.fleet != nil {
		if err := s.fleet.start(); err != nil {
			s.listener.Close()
			s.closeStorage()
			return err
		}
	}
	s.runStorage()
	if s.resultStore != nil {
		group.Go(func() error { s.resultStore.run(); return nil })
	}
	group.Go(func() error { return s.loop() })
	if err := group.Wait(); !errors.Is(err, errDrained) {
		return err
	}
	return nil
}

// Addr is where dispatchers connect, once the node listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

func (s *Server) closeSockets() {
	s.listener.Close()
	s.conns.closeAll()
}
