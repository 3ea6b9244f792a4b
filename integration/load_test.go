package integration

import (
	"net"
	"sync"
	"testing"
	"time"
)

// load is a number of dispatchers that offer invocations which each make a call, until it is stopped.
type load struct {
	open          int           // invocations open at a time on one connection
	answerTimeout time.Duration // after which a dispatcher reconnects
	retryInterval time.Duration // between two connections

	stopped chan struct{}
	running sync.WaitGroup
}

// newLoad returns a load without dispatchers.
func newLoad(open int, answerTimeout, retryInterval time.Duration) *load {
	return &load{open: open, answerTimeout: answerTimeout, retryInterval: retryInterval, stopped: make(chan struct{})}
}

// add starts a dispatcher of a node.
func (l *load) add(t *testing.T, address string) {
	l.running.Go(func() {
		for !l.isStopped() {
			l.offer(t, address)
			time.Sleep(l.retryInterval)
		}
	})
}

// stop ends all dispatchers and waits for them.
func (l *load) stop() {
	close(l.stopped)
	l.running.Wait()
}

func (l *load) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// offer sends an invocation for each answer on one connection, until the connection or the load ends or no answer comes in
// time.
func (l *load) offer(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-l.stopped:
			conn.Close()
		case <-ended:
		}
	}()
	d := &dispatcher{t: t, conn: conn}
	stream := uint32(0)
	send := func() error {
		stream++
		_, err := conn.Write(invocation("catalogue", newCallID(stream), stream, "call"))
		return err
	}
	for range l.open {
		if send() != nil {
			return
		}
	}
	for !l.isStopped() {
		conn.SetReadDeadline(time.Now().Add(l.answerTimeout))
		if _, ok := d.next(); !ok || send() != nil {
			return
		}
	}
}
