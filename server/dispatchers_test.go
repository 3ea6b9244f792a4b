package server

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpost/internal/node"
	"topazpost/internal/protocol/frame"
)

// testTimeout ends a test that hangs; no assertion depends on its length.
const testTimeout = 10 * time.Second

// testConnection is a connection of which the test controls both ends, and the event loop's part too.
type testConnection struct {
	t      *testing.T
	server *Server
	conn   *connection
	peer   *net.TCPConn
}

func newTestConnection(t *testing.T) *testConnection {
	s := newTestServer(t)
	s.ctx = t.Context()
	s.conns = newConnections(s)
	s.group = newTestGroup(t) // its cleanup runs after the connections are closed
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close(); accepted.Close() })
	peer.SetDeadline(time.Now().Add(testTimeout))
	conn := &connection{link: 1, socket: accepted.(*net.TCPConn), queuedFrames: make(chan struct{}, maxQueuedFrames)}
	s.conns.open[1] = conn
	s.conns.slots <- struct{}{}
	return &testConnection{t, s, conn, peer.(*net.TCPConn)}
}

func (c *testConnection) write(b []byte) {
	_, err := c.peer.Write(b)
	require.NoError(c.t, err)
}

// awaitUnread waits until n bytes lie unread at the node.
func (c *testConnection) awaitUnread(n int) {
	raw, err := c.conn.socket.(*net.TCPConn).SyscallConn()
	require.NoError(c.t, err)
	require.Eventually(c.t, func() bool {
		got := 0
		err := raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return err == nil && got == n
	}, testTimeout, time.Millisecond)
}

func (c *testConnection) input() node.Input {
	select {
	case in := <-c.server.dispatcherInputs:
		return in
	case <-time.After(testTimeout):
		require.Fail(c.t, "no input received")
		return node.Input{}
	}
}

// answer takes the place of the state machine: it takes a frame and answers it.
func (c *testConnection) answer(in node.Input) {
	require.Equal(c.t, node.FrameReceived, in.Kind)
	c.server.conns.send(1, frame.Append(nil, frame.Answer, in.Frame.Stream, []byte{frame.Throttled, 0}))
	c.server.conns.releaseFrames([]node.Input{in})
	c.server.conns.flush()
}

// nextStream is the stream id of the next frame that the peer reads. It fails the test on anything but a frame or a clean close.
func (c *testConnection) nextStream() (stream uint32, ended bool) {
	var p frame.Parser
	one := make([]byte, 1)
	for {
		f, ok, err := p.Next()
		require.NoError(c.t, err)
		if ok {
			return f.Stream, false
		}
		n, err := c.peer.Read(one)
		if errors.Is(err, io.EOF) {
			return 0, true
		}
		require.NoError(c.t, err, "the connection must not be reset")
		p.Wrote(copy(p.Space(), one[:n]))
	}
}

func checkFrame(stream uint32) []byte { return frame.Append(nil, frame.HealthCheck, stream, []byte{0}) }

// Bytes that lie unread when a connection is to be closed were sent in time: their frames are passed on and answered first.
func TestUnreadFrameIsAnsweredBeforeClose(t *testing.T) {
	for name, noLinger := range map[string]bool{"close": false, "evict": true} {
		c := newTestConnection(t)
		c.write(checkFrame(1))
		c.awaitUnread(len(checkFrame(1)))
		c.server.conns.closeAfterFlush(1, noLinger)
		c.server.conns.flush()
		c.server.conns.startReader(1)
		c.answer(c.input())
		stream, ended := c.nextStream()
		assert.Equal(t, []any{uint32(1), false}, []any{stream, ended}, name)
		_, ended = c.nextStream()
		assert.True(t, ended, name)
		c.peer.Close()
		assert.Equal(t, node.ConnectionClosed, c.input().Kind, name)
	}
}

// A frame that is queued for the state machine keeps its connection open.
func TestQueuedFrameDelaysClose(t *testing.T) {
	c := newTestConnection(t)
	c.server.conns.startReader(1)
	c.write(checkFrame(1))
	in := c.input()
	c.server.conns.closeAfterFlush(1, false)
	assert.False(t, c.conn.tryCloseWrite(), "the frame is still queued")
	c.server.conns.resume(1) // the frame opened a stream
	c.server.conns.releaseFrames([]node.Input{in})
	assert.False(t, c.conn.tryCloseWrite(), "the frame is not answered")
	c.write(checkFrame(2))
	c.answer(c.input())
	stream, ended := c.nextStream()
	assert.Equal(t, []any{uint32(2), false}, []any{stream, ended})
	c.server.conns.closeAfterFlush(1, false)
	_, ended = c.nextStream()
	assert.True(t, ended)
}

// A frame that is partly received when its connection is to be closed is completed and answered first.
func TestPartialFrameDelaysClose(t *testing.T) {
	c := newTestConnection(t)
	c.server.conns.startReader(1)
	c.write(append(checkFrame(1), checkFrame(2)[:6]...))
	in := c.input()
	require.Equal(t, uint32(1), in.Frame.Stream)
	c.server.conns.releaseFrames([]node.Input{in})
	c.server.conns.closeAfterFlush(1, false)
	c.write(checkFrame(2)[6:])
	c.answer(c.input())
	stream, ended := c.nextStream()
	assert.Equal(t, []any{uint32(2), false}, []any{stream, ended})
	_, ended = c.nextStream()
	assert.True(t, ended)
}

// A frame whose bytes keep arriving slowly is passed on.
func TestSlowFrameIsDelivered(t *testing.T) {
	c := newTestConnection(t)
	c.server.conns.maxClientTimeout.Store(int64(testTimeout))
	c.server.conns.startReader(1)
	for piece := range 5 {
		c.write(checkFrame(1)[2*piece : 2*piece+2])
		time.Sleep(partialFrameTimeout / 3)
	}
	c.answer(c.input())
	stream, ended := c.nextStream()
	assert.Equal(t, []any{uint32(1), false}, []any{stream, ended})
}

// An eviction does not wait for the rest of a frame.
func TestPartialFrameDoesNotDelayEviction(t *testing.T) {
	c := newTestConnection(t)
	c.server.conns.startReader(1)
	c.write(checkFrame(1)[:6])
	c.server.conns.closeAfterFlush(1, false)
	c.server.conns.closeAfterFlush(1, true)
	assert.Equal(t, node.FrameMalformed, c.input().Kind)
	assert.Equal(t, node.ConnectionClosed, c.input().Kind)
}

// A frame that is not completed is reported as malformed, and its connection is closed.
func TestPartialFrameTimesOut(t *testing.T) {
	c := newTestConnection(t)
	c.server.conns.startReader(1)
	c.write(checkFrame(1)[:6])
	c.server.conns.closeAfterFlush(1, false)
	assert.Equal(t, node.FrameMalformed, c.input().Kind)
	_, ended := c.nextStream()
	assert.True(t, ended)
}

// A frame that arrives after this side was closed could not be answered, and must not be passed on.
func TestFrameAfterCloseIsDiscarded(t *testing.T) {
	c := newTestConnection(t)
	c.server.conns.startReader(1)
	c.server.conns.closeAfterFlush(1, false)
	_, ended := c.nextStream()
	require.True(t, ended)
	c.write(checkFrame(1))
	c.peer.CloseWrite()
	assert.Equal(t, node.ConnectionClosed, c.input().Kind)
	assert.Empty(t, c.server.dispatcherInputs)
}

// A peer that reads slowly receives all responses before the close.
func TestSlowReaderReceivesAllResponses(t *testing.T) {
	c := newTestConnection(t)
	require.NoError(t, c.conn.socket.(*net.TCPConn).SetWriteBuffer(4<<10))
	c.server.conns.startReader(1)
	c.write(checkFrame(1))
	in := c.input()
	body := make([]byte, 200<<10)
	c.server.conns.send(1, frame.Append(nil, frame.Answer, 1, body))
	c.server.conns.releaseFrames([]node.Input{in})
	c.server.conns.flush()
	c.server.conns.closeAfterFlush(1, false)
	c.write(checkFrame(2)) // a frame that crosses the close
	c.answer(c.input())
	got, err := io.ReadAll(c.peer)
	require.NoError(t, err)
	assert.Len(t, got, len(frame.Append(nil, frame.Answer, 1, body))+len(frame.Append(nil, frame.Answer, 2, []byte{frame.Throttled, 0})))
}

// Connections that the kernel has accepted by stopAccepting are still accepted, also when all slots are taken at that time.
func TestStopAcceptingAcceptsBacklogFirst(t *testing.T) {
	s := newTestServer(t)
	require.NoError(t, s.Listen())
	s.ctx = t.Context()
	s.conns = newConnections(s)
	s.group = newTestGroup(t)
	for range cap(s.conns.slots) - 1 {
		s.conns.slots <- struct{}{}
	}
	accepted := make(chan error, 1)
	go func() { accepted <- s.conns.accept() }()
	var peers []net.Conn
	for range 4 { // one takes the last slot
		peer, err := net.Dial("tcp", s.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { peer.Close() })
		_, err = peer.Write(checkFrame(1))
		require.NoError(t, err)
		peers = append(peers, peer)
	}
	input := func() node.Input {
		select {
		case in := <-s.dispatcherInputs:
			return in
		case <-time.After(testTimeout):
			require.Fail(t, "no input received")
			return node.Input{}
		}
	}
	assert.Equal(t, node.ConnectionOpened, input().Kind)
	s.conns.stopAccepting()
	for range 3 {
		<-s.conns.slots
		assert.Equal(t, node.ConnectionOpened, input().Kind)
	}
	<-s.conns.slots
	assert.Equal(t, node.ListenerClosed, input().Kind)
	require.NoError(t, <-accepted)
	_, err := net.Dial("tcp", s.Addr().String())
	assert.Error(t, err)
	for link, peer := range peers {
		s.conns.startReader(link + 1)
		in := input()
		assert.Equal(t, node.FrameReceived, in.Kind)
		s.conns.send(in.Link, checkFrame(9))
		s.conns.releaseFrames([]node.Input{in})
		s.conns.flush()
		peer.SetDeadline(time.Now().Add(testTimeout))
		_, err := io.ReadFull(peer, make([]byte, len(checkFrame(9))))
		assert.NoError(t, err)
	}
}

// countDescriptors counts the open descriptors of this process.
func countDescriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(list)
}

// A node that has ended leaves no descriptor open, whatever its peers have sent.
func TestRunLeaksNoDescriptors(t *testing.T) {
	before := countDescriptors(t)
	for range 2 {
		s := newTestServer(t)
		require.NoError(t, s.Listen())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(context.Background()) }()
		var peers []net.Conn
		for n := range 20 {
			peer, err := net.Dial("tcp", s.Addr().String())
			require.NoError(t, err)
			peers = append(peers, peer)
			var sent []byte
			switch n % 4 {
			case 0:
				sent = checkFrame(1)
			case 1:
				sent = checkFrame(1)[:5]
			case 2:
				sent = []byte("no frame at all, " + strconv.Itoa(n))
			}
			_, err = peer.Write(sent)
			require.NoError(t, err)
		}
		s.Drain()
		assert.NoError(t, <-ended)
		for _, peer := range peers {
			peer.Close()
		}
	}
	require.Eventually(t, func() bool { return countDescriptors(t) <= before }, testTimeout, 10*time.Millisecond)
}
