package fgstandin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/filbertgap/filbertgap/internal/state/fgtimer"
)

// listenBacklog is the number of connections that wait to be accepted.
const listenBacklog = 128

// Network is an in-memory network of hosts, identified by IP address. It replaces
// TCP in tests, so that the code under test can run with the simulated time of
// testing/synctest. The zero value is a network without delays or faults.
type Network struct {
	mu          sync.Mutex
	listeners   map[netip.AddrPort]*memoryListener
	conns       map[*memoryConn]struct{}
	partitioned map[link]bool
	delay       func(from, to netip.Addr) time.Duration
	// changed is closed when a partition begins or ends.
	changed  chan struct{}
	nextPort uint16
}

// link is one direction between two hosts.
type link struct{ from, to netip.Addr }

// SetDelay sets a function that returns the one-way delay between two hosts. It
// must not call methods of the network.
func (n *Network) SetDelay(delay func(from, to netip.Addr) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetPartitioned begins or ends a partition between two hosts. Data that was sent
// during the partition arrives when it ends, also if its sender has closed the
// connection meanwhile, but not if the sender has reset it.
func (n *Network) SetPartitioned(a, b netip.Addr, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned == nil {
		n.partitioned = map[link]bool{}
	}
	n.partitioned[link{a, b}] = partitioned
	n.partitioned[link{b, a}] = partitioned
	n.notify()
}

// SilenceConns makes the open connections between two hosts deliver nothing more,
// neither data nor a close, without an error at either end. New connections work.
func (n *Network) SilenceConns(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		l := c.out.link
		if l == (link{a, b}) || l == (link{b, a}) {
			c.out.setSilent()
			c.in.setSilent()
		}
	}
}

// CloseHost closes all connections and listeners of a host, as the kernel does
// when a process ends.
func (n *Network) CloseHost(a netip.Addr) {
	n.mu.Lock()
	var conns []*memoryConn
	for c := range n.conns {
		if c.out.link.from == a {
			conns = append(conns, c)
		}
	}
	var listeners []*memoryListener
	for address, l := range n.listeners {
		if address.Addr() == a {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
}

// Host returns the host with address a.
func (n *Network) Host(a netip.Addr) *Host { return &Host{network: n, address: a} }

// isPartitioned reports whether a link is partitioned, and returns a channel that
// is closed when that may have changed.
func (n *Network) isPartitioned(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.partitioned[l], n.changed
}

// notify wakes those that wait for the end of a partition. The caller holds mu.
func (n *Network) notify() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

func (n *Network) delayOf(l link) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delay == nil {
		return 0
	}
	return n.delay(l.from, l.to)
}

// Host opens listeners and connections on a Network.
type Host struct {
	network *Network
	address netip.Addr
}

// Listen opens a listener. Port 0 selects a free port.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Port() == 0 {
		n.nextPort++
		a = netip.AddrPortFrom(a.Addr(), 20000+n.nextPort)
	}
	if _, ok := n.listeners[a]; ok {
		return nil, fmt.Errorf("listen %s: %w", a, syscall.EADDRINUSE)
	}
	l := &memoryListener{network: n, address: a, backlog: make(chan net.Conn, listenBacklog), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = map[netip.AddrPort]*memoryListener{}
	}
	n.listeners[a] = l
	return l, nil
}

// DialContext connects to a listener after one round trip.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	forward := link{h.address, a.Addr()}
	if err := h.network.waitLink(ctx, forward); err != nil {
		return nil, fmt.Errorf("dial %s: %w", a, err)
	}
	if err := h.network.waitLink(ctx, link{a.Addr(), h.address}); err != nil {
		return nil, fmt.Errorf("dial %s: %w", a, err)
	}
	return h.network.connect(forward, a)
}

// waitLink waits for the delay of a link, and while the link is partitioned.
func (n *Network) waitLink(ctx context.Context, l link) error {
	if err := fgtimer.Wait(ctx, n.delayOf(l)); err != nil {
		return err
	}
	for {
		partitioned, changed := n.isPartitioned(l)
		if !partitioned {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// connect queues a new connection at the listener and returns the end of the
// client.
func (n *Network) connect(l link, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener, ok := n.listeners[to]
	if !ok {
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
	n.nextPort++
	from := netip.AddrPortFrom(l.from, 40000+n.nextPort)
	forward := &stream{network: n, link: l}
	backward := &stream{network: n, link: link{l.to, l.from}}
	client := &memoryConn{network: n, local: from, remote: to, in: backward, out: forward}
	server := &memoryConn{network: n, local: to, remote: from, in: forward, out: backward}
	select {
	case listener.backlog <- server:
	default:
		return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
	}
	if n.conns == nil {
		n.conns = map[*memoryConn]struct{}{}
	}
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, nil
}

func (n *Network) removeConn(c *memoryConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type memoryListener struct {
	network *Network
	address netip.AddrPort
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Further connections to its address are refused.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr returns the listening address.
func (l *memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
