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

// generous ends a test that hangs; no verdict rests on it.
const generous = 10 * time.Second

// held is a connection whose two ends the test holds: what the node does comes about only as the test lets it.
type held struct {
	t    *testing.T
	s    *Server
	k    *connection
	peer *net.TCPConn
}

func hold(t *testing.T) *held {
	s := server(t)
	s.ctx, s.conns, s.group = t.Context(), newConnections(s), groupOf(t) // it is waited for after the connections are closed
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	own, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { peer.Close(); own.Close() })
	peer.SetDeadline(time.Now().Add(generous))
	k := &connection{link: 1, net: own.(*net.TCPConn), turns: make(chan struct{}, turnsMost)}
	s.conns.open[1] = k
	s.conns.slots <- struct{}{}
	return &held{t, s, k, peer.(*net.TCPConn)}
}

func (h *held) write(b []byte) {
	_, err := h.peer.Write(b)
	require.NoError(h.t, err)
}

// arrives waits until so many bytes lie unread at the node.
func (h *held) arrives(n int) {
	raw, err := h.k.net.(*net.TCPConn).SyscallConn()
	require.NoError(h.t, err)
	require.Eventually(h.t, func() bool {
		got := 0
		err := raw.Control(func(fd uintptr) {
			got, _, _ = syscall.Recvfrom(int(fd), make([]byte, n), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return err == nil && got == n
	}, generous, time.Millisecond)
}

func (h *held) input() node.Input {
	select {
	case in := <-h.s.inputs:
		return in
	case <-time.After(generous):
		require.Fail(h.t, "no input came")
		return node.Input{}
	}
}

// answered plays the reducer: it takes a frame and has it answered.
func (h *held) answered(in node.Input) {
	require.Equal(h.t, node.FrameReceived, in.Kind)
	h.s.conns.send(1, frame.Append(nil, frame.Answer, in.Frame.Stream, []byte{frame.Throttled, 0}))
	h.s.conns.taken([]node.Input{in})
	h.s.conns.flush()
}

// next is the stream of the next frame that the peer reads; it fails on anything but a frame or a clean end.
func (h *held) next() (stream uint32, ended bool) {
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

func check(stream uint32) []byte { return frame.Append(nil, frame.Check, stream, []byte{0}) }

// What lies unread when a connection is to end was sent in time: it is handed on, and its answer comes before the end.
func TestWhatLiesUnreadAtAnEndIsAnsweredFirst(t *testing.T) {
	for what, brief := range map[string]bool{"finish": false, "evict": true} {
		h := hold(t)
		h.write(check(1))
		h.arrives(len(check(1)))
		h.s.conns.closeAfterFlush(1, brief)
		h.s.conns.flush()
		h.s.conns.receive(1)
		h.answered(h.input())
		stream, ended := h.next()
		assert.Equal(t, []any{uint32(1), false}, []any{stream, ended}, what)
		_, ended = h.next()
		assert.True(t, ended, what)
		h.peer.Close()
		assert.Equal(t, node.ConnectionClosed, h.input().Kind, what)
	}
}

// A frame that was read and waits for the reducer keeps its connection open, however often the reader looks.
func TestAFrameThatWaitsForTheReducerHoldsUpTheEnd(t *testing.T) {
	h := hold(t)
	h.s.conns.receive(1)
	h.write(check(1))
	in := h.input()
	h.s.conns.closeAfterFlush(1, false)
	assert.False(t, h.k.end(), "its turn is not over")
	h.s.conns.resume(1) // it opened a stream
	h.s.conns.taken([]node.Input{in})
	assert.False(t, h.k.end(), "and it is not answered")
	h.write(check(2))
	h.answered(h.input())
	stream, ended := h.next()
	assert.Equal(t, []any{uint32(2), false}, []any{stream, ended})
	h.s.conns.closeAfterFlush(1, false)
	_, ended = h.next()
	assert.True(t, ended)
}

// One that is being sent slowly when its connection is to end comes to its own end first.
func TestHalfAFrameHoldsUpTheEnd(t *testing.T) {
	h := hold(t)
	h.s.conns.receive(1)
	h.write(append(check(1), check(2)[:6]...))
	in := h.input()
	require.Equal(t, uint32(1), in.Frame.Stream)
	h.s.conns.taken([]node.Input{in})
	h.s.conns.closeAfterFlush(1, false)
	h.write(check(2)[6:])
	h.answered(h.input())
	stream, ended := h.next()
	assert.Equal(t, []any{uint32(2), false}, []any{stream, ended})
	_, ended = h.next()
	assert.True(t, ended)
}

// A sender that is slow and goes on is heard to its end.
func TestAFrameThatComesSlowlyIsHandedOn(t *testing.T) {
	h := hold(t)
	h.s.conns.slowest.Store(int64(generous))
	h.s.conns.receive(1)
	for piece := range 5 {
		h.write(check(1)[2*piece : 2*piece+2])
		time.Sleep(halfWait / 3)
	}
	h.answered(h.input())
	stream, ended := h.next()
	assert.Equal(t, []any{uint32(1), false}, []any{stream, ended})
}

// Where its place is wanted the rest of a frame is not waited for.
func TestHalfAFrameDoesNotHoldUpAnEviction(t *testing.T) {
	h := hold(t)
	h.s.conns.receive(1)
	h.write(check(1)[:6])
	h.s.conns.closeAfterFlush(1, false)
	h.s.conns.closeAfterFlush(1, true)
	assert.Equal(t, node.FrameMalformed, h.input().Kind)
	assert.Equal(t, node.ConnectionClosed, h.input().Kind)
}

// Half a frame without a rest ends as what can't be understood, and its connection then.
func TestHalfAFrameWithoutARestEnds(t *testing.T) {
	h := hold(t)
	h.s.conns.receive(1)
	h.write(check(1)[:6])
	h.s.conns.closeAfterFlush(1, false)
	assert.Equal(t, node.FrameMalformed, h.input().Kind)
	_, ended := h.next()
	assert.True(t, ended)
}

// What is sent after this side was closed could not be answered: it must not be handed on.
func TestNothingThatIsReadAfterTheEndIsHandedOn(t *testing.T) {
	h := hold(t)
	h.s.conns.receive(1)
	h.s.conns.closeAfterFlush(1, false)
	_, ended := h.next()
	require.True(t, ended)
	h.write(check(1))
	h.peer.CloseWrite()
	assert.Equal(t, node.ConnectionClosed, h.input().Kind)
	assert.Empty(t, h.s.inputs)
}

// A peer that reads slowly has all that it is owed before the end.
func TestAPeerThatReadsLateLosesNothing(t *testing.T) {
	h := hold(t)
	require.NoError(t, h.k.net.(*net.TCPConn).SetWriteBuffer(4<<10))
	h.s.conns.receive(1)
	h.write(check(1))
	in := h.input()
	body := make([]byte, 200<<10)
	h.s.conns.send(1, frame.Append(nil, frame.Answer, 1, body))
	h.s.conns.taken([]node.Input{in})
	h.s.conns.flush()
	h.s.conns.closeAfterFlush(1, false)
	h.write(check(2)) // and one that crosses
	h.answered(h.input())
	got, err := io.ReadAll(h.peer)
	require.NoError(t, err)
	assert.Len(t, got, len(frame.Append(nil, frame.Answer, 1, body))+len(frame.Append(nil, frame.Answer, 2, []byte{frame.Throttled, 0})))
}

// What the system has accepted when intake ends is taken on, also where all places are taken at that moment.
func TestWhatWaitsToBeAcceptedAtTheEndOfIntakeIsTakenOn(t *testing.T) {
	s := server(t)
	require.NoError(t, s.Listen())
	s.ctx, s.conns, s.group = t.Context(), newConnections(s), groupOf(t)
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
		_, err = peer.Write(check(1))
		require.NoError(t, err)
		peers = append(peers, peer)
	}
	input := func() node.Input {
		select {
		case in := <-s.inputs:
			return in
		case <-time.After(generous):
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
		s.conns.receive(link + 1)
		in := input()
		assert.Equal(t, node.FrameReceived, in.Kind)
		s.conns.send(in.Link, check(9))
		s.conns.taken([]node.Input{in})
		s.conns.flush()
		peer.SetDeadline(time.Now().Add(generous))
		_, err := io.ReadFull(peer, make([]byte, len(check(9))))
		assert.NoError(t, err)
	}
}

// descriptors are those of this process.
func descriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(list)
}

// A node that has ended leaves no descriptor behind, whoever was connected.
func TestANodeThatEndedLeavesNoDescriptor(t *testing.T) {
	before := descriptors(t)
	for range 2 {
		s := server(t)
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
				sent = check(1)
			case 1:
				sent = check(1)[:5]
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
	require.Eventually(t, func() bool { return descriptors(t) <= before }, generous, 10*time.Millisecond)
}
