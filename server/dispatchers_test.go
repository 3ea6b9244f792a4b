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

// testTimeout ends a test that hangs; no verdict rests on it.
const testTimeout = 10 * time.Second

// testConnection is a connection whose two ends the test holds: what the node does comes about only as the test lets it.
type testConnection struct {
	t      *testing.T
	server *Server
	conn   *connection
	peer   *net.TCPConn
}

func newTestConnection(t *testing.T) *testConnection {
	s := newTestServer(t)
	s.ctx, s.conns, s.group = t.Context(), newConnections(s), newTestGroup(t) // it is waited for after the connections are closed
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	own, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close(); own.Close() })
	peer.SetDeadline(time.Now().Add(testTimeout))
	k := &connection{link: 1, conn: own.(*net.TCPConn), queuedFrames: make(chan struct{}, maxQueuedFrames)}
	s.conns.open[1] = k
	s.conns.slots <- struct{}{}
	return &testConnection{t, s, k, peer.(*net.TCPConn)}
}

func (h *testConnection) write(b []byte) {
	_, err := h.peer.Write(b)
	require.NoError(h.t, err)
}

// awaitUnread waits until so many bytes lie unread at the node.
func (h *testConnection) awaitUnread(n int) {
	raw, err := h.conn.conn.(*net.TCPConn).SyscallConn()
	require.NoError(h.t, err)
	require.Eventually(h.t, func() bool {
		got := 0
		err := raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return err == nil && got == n
	}, testTimeout, time.Millisecond)
}

func (h *testConnection) input() node.Input {
	select {
	case in := <-h.server.dispatcherInputs:
		return in
	case <-time.After(testTimeout):
		require.Fail(h.t, "no input came")
		return node.Input{}
	}
}

// answer plays the reducer: it takes a frame and has it answer.
func (h *testConnection) answer(in node.Input) {
	require.Equal(h.t, node.FrameReceived, in.Kind)
	h.server.conns.send(1, frame.Append(nil, frame.Answer, in.Frame.Stream, []byte{frame.Throttled, 0}))
	h.server.conns.releaseFrames([]node.Input{in})
	h.server.conns.flush()
}

// nextStream is the stream of the nextStream frame that the peer reads; it fails on anything but a frame or a clean end.
func (h *testConnection) nextStream() (stream uint32, ended bool) {
	var p frame.Parser
	one := make([]byte, 1)
	for {
		f, ok, err := p.Next()
		require.NoError(h.t, err)
		if ok {
			return f.Stream, false
		}
		n, err := h.peer.Read(one)
		if errors.Is(err, io.EOF) {
			return 0, true
		}
		require.NoError(h.t, err, "a reset takes what is owed with it")
		p.Wrote(copy(p.Space(), one[:n]))
	}
}

func checkFrame(stream uint32) []byte { return frame.Append(nil, frame.Check, stream, []byte{0}) }

// What lies unread when a connection is to end was sent in time: it is handed on, and its answer comes before the end.
func TestUnreadFrameIsAnsweredBeforeClose(t *testing.T) {
	for what, brief := range map[string]bool{"finish": false, "evict": true} {
		h := newTestConnection(t)
		h.write(checkFrame(1))
		h.awaitUnread(len(checkFrame(1)))
		h.server.conns.closeAfterFlush(1, brief)
		h.server.conns.flush()
		h.server.conns.startReader(1)
		h.answer(h.input())
		stream, ended := h.nextStream()
		assert.Equal(t, []any{uint32(1), false}, []any{stream, ended}, what)
		_, ended = h.nextStream()
		assert.True(t, ended, what)
		h.peer.Close()
		assert.Equal(t, node.ConnectionClosed, h.input().Kind, what)
	}
}

// A frame that was read and waits for the reducer keeps its connection open, however often the reader looks.
func TestQueuedFrameDelaysClose(t *testing.T) {
	h := newTestConnection(t)
	h.server.conns.startReader(1)
	h.write(checkFrame(1))
	in := h.input()
	h.server.conns.closeAfterFlush(1, false)
	assert.False(t, h.conn.tryCloseWrite(), "its turn is not over")
	h.server.conns.resume(1) // it opened a stream
	h.server.conns.releaseFrames([]node.Input{in})
	assert.False(t, h.conn.tryCloseWrite(), "and it is not answered")
	h.write(checkFrame(2))
	h.answer(h.input())
	stream, ended := h.nextStream()
	assert.Equal(t, []any{uint32(2), false}, []any{stream, ended})
	h.server.conns.closeAfterFlush(1, false)
	_, ended = h.nextStream()
	assert.True(t, ended)
}

// One that is being sent slowly when its connection is to end comes to its own end first.
func TestPartialFrameDelaysClose(t *testing.T) {
	h := newTestConnection(t)
	h.server.conns.startReader(1)
	h.write(append(checkFrame(1), checkFrame(2)[:6]...))
	in := h.input()
	require.Equal(t, uint32(1), in.Frame.Stream)
	h.server.conns.releaseFrames([]node.Input{in})
	h.server.conns.closeAfterFlush(1, false)
	h.write(checkFrame(2)[6:])
	h.answer(h.input())
	stream, ended := h.nextStream()
	assert.Equal(t, []any{uint32(2), false}, []any{stream, ended})
	_, ended = h.nextStream()
	assert.True(t, ended)
}

// A sender that is slow and goes on is heard to its end.
func TestSlowFrameIsDelivered(t *testing.T) {
	h := newTestConnection(t)
	h.server.conns.maxClientTimeout.Store(int64(testTimeout))
	h.server.conns.startReader(1)
	for piece := range 5 {
		h.write(checkFrame(1)[2*piece : 2*piece+2])
		time.Sleep(partialFrameTimeout / 3)
	}
	h.answer(h.input())
	stream, ended := h.nextStream()
	assert.Equal(t, []any{uint32(1), false}, []any{stream, ended})
}

// Where its place is wanted the rest of a frame is not waited for.
func TestPartialFrameDoesNotDelayEviction(t *testing.T) {
	h := newTestConnection(t)
	h.server.conns.startReader(1)
	h.write(checkFrame(1)[:6])
	h.server.conns.closeAfterFlush(1, false)
	h.server.conns.closeAfterFlush(1, true)
	assert.Equal(t, node.FrameMalformed, h.input().Kind)
	assert.Equal(t, node.ConnectionClosed, h.input().Kind)
}

// Half a frame without a rest ends as what can't be understood, and its connection then.
func TestPartialFrameTimesOut(t *testing.T) {
	h := newTestConnection(t)
	h.server.conns.startReader(1)
	h.write(checkFrame(1)[:6])
	h.server.conns.closeAfterFlush(1, false)
	assert.Equal(t, node.FrameMalformed, h.input().Kind)
	_, ended := h.nextStream()
	assert.True(t, ended)
}

// What is sent after this side was closed could not be answered: it must not be handed on.
func TestFrameAfterCloseIsDiscarded(t *testing.T) {
	h := newTestConnection(t)
	h.server.conns.startReader(1)
	h.server.conns.closeAfterFlush(1, false)
	_, ended := h.nextStream()
	require.True(t, ended)
	h.write(checkFrame(1))
	h.peer.CloseWrite()
	assert.Equal(t, node.ConnectionClosed, h.input().Kind)
	assert.Empty(t, h.server.dispatcherInputs)
}

// A peer that reads slowly has all that it is owed before the end.
func TestSlowReaderReceivesAllResponses(t *testing.T) {
	h := newTestConnection(t)
	require.NoError(t, h.conn.conn.(*net.TCPConn).SetWriteBuffer(4<<10))
	h.server.conns.startReader(1)
	h.write(checkFrame(1))
	in := h.input()
	body := make([]byte, 200<<10)
	h.server.conns.send(1, frame.Append(nil, frame.Answer, 1, body))
	h.server.conns.releaseFrames([]node.Input{in})
	h.server.conns.flush()
	h.server.conns.closeAfterFlush(1, false)
	h.write(checkFrame(2)) // and one that crosses
	h.answer(h.input())
	got, err := io.ReadAll(h.peer)
	require.NoError(t, err)
	assert.Len(t, got, len(frame.Append(nil, frame.Answer, 1, body))+len(frame.Append(nil, frame.Answer, 2, []byte{frame.Throttled, 0})))
}

// What the system has accepted when intake ends is taken on, also where all places are taken at that moment.
func TestStopAcceptingAcceptsBacklogFirst(t *testing.T) {
	s := newTestServer(t)
	require.NoError(t, s.Listen())
	s.ctx, s.conns, s.group = t.Context(), newConnections(s), newTestGroup(t)
	for range cap(s.conns.slots) - 1 {
		s.conns.slots <- struct{}{}
	}
	accepted := make(chan error, 1)
	go func() { accepted <- s.conns.accept() }()
	var peers []net.Conn
	for range 4 { // one takes the last place
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
			require.Fail(t, "no input came")
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

// countDescriptors are those of this process.
func countDescriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(list)
}

// A node that has ended leaves no descriptor behind, whoever was connected.
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
