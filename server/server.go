// Package server runs a node: it feeds the state machine of package node with what sockets, disks and clocks deliver, and
// carries out its effects. It is the only part of a node that does I/O.
//
// Programs embed it with New and Run. It handles no signals and never exits the process.
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
	maxQueuedDispatcherInputs = 512 // then the connections' readers wait
	maxQueuedInputs           = 256 // of the node's own peers
	maxLogLinesPerSecond      = 100 // of what peers cause; more are dropped

	listenTimeout = 25 * time.Second // less than the 30 s in which a node must become ready
	listenBackoff = 50 * time.Millisecond

	consensusSeed = 0x636f756e63696c // keeps this random sequence apart from the node's others
)

// Server is one node. New makes it, and Run serves until it is drained or stopped.
type Server struct {
	config     *Config
	log        zerolog.Logger
	limitedLog zerolog.Logger // for events that peers can cause any number of times
	clock      Clock
	state      *node.StateMachine

	dispatcherInputs chan node.Input // from dispatchers
	inputs           chan node.Input // from the node's own peers and disks; these never wait behind dispatchers
	drainRequests    chan struct{}
	abortRequests    chan struct{}
	reloadRequests   chan *Config

	ctx   context.Context // ends when the node does
	group *errgroup.Group // of all goroutines; Run waits for it

	listener       *net.TCPListener
	conns          *connections
	links          map[int]*link // used by the event loop only
	catalogueSlots chan struct{} // one for each descriptor that a catalogue link may use
	reportClient   http.Client
	cancelReport   context.CancelFunc
	fleet          *fleetSockets // nil without a fleet

	resultStore   *resultStore    // nil where results aren't stored on disk
	replica       *replicaStorage // nil without a replica that has a folder
	configStorage *configStorage  // nil where configuration versions aren't stored on disk

	longestStep int64 // ns, of the state machine since the last configuration version came into force
}

// New makes a node that Run starts. The embedder chooses the logger and the clock.
func New(config *Config, log zerolog.Logger, clock Clock) *Server {
	maxQueued := maxQueuedDispatcherInputs
	if config.Hollow != nil { // it listens to no dispatcher
		maxQueued = 0
	}
	s := &Server{
		config:           config,
		log:              log,
		limitedLog:       log.Sample(&zerolog.BurstSampler{Burst: maxLogLinesPerSecond, Period: time.Second}),
		clock:            clock,
		dispatcherInputs: make(chan node.Input, maxQueued),
		inputs:           make(chan node.Input, maxQueuedInputs),
		drainRequests:    make(chan struct{}, 1),
		abortRequests:    make(chan struct{}, 1),
		reloadRequests:   make(chan *Config, 1),
		links:            make(map[int]*link),
		reportClient:     newReportClient(),
		cancelReport:     func() {},
	}
	s.initState()
	return s
}

// initState makes the state machine with the subsystems that the config names.
func (s *Server) initState() {
	config := s.config
	connections, closing, links := config.descriptorShares()
	s.catalogueSlots = make(chan struct{}, links)
	s.state = node.NewStateMachine(config.Settings, config.addresses(), int64(config.StopMS*1e6), connections, links)
	s.state.ExtraClosingConnections = closing - 1 // one slot is for the next connection to be accepted
	if h := config.Hollow; h != nil {
		s.state.MakeHollow(h.Counters, h.OnlySeat)
	}
	if config.Fleet != nil {
		s.joinFleet(config.Fleet)
	}
	s.initResultCache()
	if config.hasConsensus() {
		now, _ := s.clock.Now()
		c := config.Fleet.ConsensusGroup
		s.state.EnableConsensus(c.Replicas, c.MaxTableBytes, now, config.Settings.Node.Seed^consensusSeed)
		if c.CallQuota != nil {
			s.state.EnableQuota(*c.CallQuota, c.CallQuotaVersion)
		}
	}
}

// initResultCache enables the result cache of a node whose own file has an operation that takes a token, or that has a file for the
// cache. Other nodes enable it once a configuration version brings such an operation.
func (s *Server) initResultCache() {
	config := s.config
	operations := config.Settings.Node.Operations
	cache := config.Keep
	if cache == nil {
		if config.Hollow != nil {
			return
		}
		cache = cacheconfig.Default(operations, config.MemoryMB)
	}
	rules := cache.Cache
	if config.hasConsensus() { // the consensus group stores results in place of the disk
		rules.Durability = resultcache.OnDisk
		rules.OnStoreFailure = resultcache.RejectOnStoreFailure
	}
	if config.Keep == nil && !cacheconfig.TakesTokens(operations) {
		s.state.PrepareResultCache(rules, cache.Field)
		return
	}
	config.Keep = cache
	s.state.EnableResultCache(rules, cache.Field, cache.Folder != "")
}

// Drain starts a graceful shutdown: Run returns once it is complete. Nothing else starts one but Abort.
func (s *Server) Drain() {
	select {
	case s.drainRequests <- struct{}{}:
	default:
	}
}

// Abort cuts a drain short, and starts one where none is under way: calls in flight are aborted and answered, then Run returns.
func (s *Server) Abort() {
	select {
	case s.abortRequests <- struct{}{}:
	default:
	}
}

// Reload takes the peers' addresses and the degradation plan of another config, at any time while the node runs. Everything
// else in it needs a restart; fields that differ there are logged.
func (s *Server) Reload(next *Config) {
	reduced := *next
	reduced.Settings = nil // the largest part, and not taken
	for {
		select {
		case s.reloadRequests <- &reduced:
			return
		case <-s.reloadRequests: // an older one that is still queued
		}
	}
}

// Amend applies a version of the configuration between two steps; the result is logged. An error names the item that is
// invalid by itself, and then nothing is changed.
func (s *Server) Amend(version uint64, items []nodeconfig.Item) error {
	change, err := nodeconfig.Parse(items)
	if err != nil {
		return err
	}
	if !s.enqueueInput(node.Input{Kind: node.VersionReceived, Version: version, Amendment: change}) {
		return errDrained
	}
	return nil
}

// Listen opens the listening socket, for programs that need its address before Run. An address that is still in use is
// retried for a while, as the process before this one may not have exited yet.
func (s *Server) Listen() error { return s.listen(context.Background()) }

// listen gives up when ctx ends or a drain is requested: a node that nobody could reach owes no answers.
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

// Run serves until the drain is complete, which is no error, or until ctx ends, which stops the node at once.
func (s *Server) Run(ctx context.Context) error {
	if s.config.Hollow != nil {
		return s.runHollow(ctx)
	}
	err := s.open(ctx)
	if err == nil {
		err = s.serve(ctx)
	}
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// open opens the listening socket and the node's storage, or neither.
func (s *Server) open(ctx context.Context) error {
	if s.listener == nil {
		if err := s.listen(ctx); err != nil {
			return err
		}
	}
	if err := s.openStorage(); err != nil {
		s.listener.Close()
		return err
	}
	return nil
}

// serve starts the node's goroutines and waits for all of them.
func (s *Server) serve(ctx context.Context) error {
	s.group, s.ctx = errgroup.WithContext(ctx)
	s.conns = newConnections(s)
	context.AfterFunc(s.ctx, s.closeSockets)
	s.log.Info().Str("name", s.config.Name).Stringer("listen", s.Addr()).Msg("listening")
	s.group.Go(s.conns.accept)
	if s.fleet != nil {
		if err := s.fleet.start(); err != nil {
			s.group.Go(func() error { return err }) // ends the context, and so the other goroutines
			_ = s.group.Wait()                      // returns err
			s.closeStorage()
			return err
		}
	}
	s.runStorage()
	s.group.Go(s.loop)
	return s.group.Wait()
}

// Addr is the address that dispatchers connect to, once the node listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// closeSockets closes the listening socket and all dispatchers' connections.
func (s *Server) closeSockets() {
	s.listener.Close()
	s.conns.closeAll()
}
