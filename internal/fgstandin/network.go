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

// Network is an in-memory network of hosts, named by IP address. It carries
// the real connections of a test within one process, so that testing/synctest
// can pause time. The zero value is a network without delays or faults.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memoryListener
	conns     map[*memoryConn]struct{}
	cut       map[link]bool
	delay     func(from, to netip.Addr) time.Duration
	changed   chan struct{}
	nextPort  uint16
}

// link is the direction from one host to another.
type link struct{ from, to netip.Addr }

// SetDelay sets the one-way delay between hosts.
func (n *Network) SetDelay(delay func(from, to netip.Addr) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// SetCut makes the network lose, or carry again, everything between two
// hosts. What was sent meanwhile arrives when the cut ends.
func (n *Network) SetCut(a, b netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[link]bool{}
	}
	n.cut[link{a, b}] = cut
	n.cut[link{b, a}] = cut
	n.notify()
}

// SilenceConns makes the open connections between two hosts carry nothing for
// good, while new ones work.
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

// CloseHost ends all connections and listeners of a host, as the kernel does
// when a process dies.
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

// Host returns a host's view of the network.
func (n *Network) Host(a netip.Addr) *Host { return &Host{network: n, address: a} }

func (n *Network) isCut(l link) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.cut[l], n.changed
}

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

// DialContext connects to a listener.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	there := link{h.address, a.Addr()}
	if err := h.network.passLink(ctx, there); err != nil {
		return nil, fmt.Errorf("dial %s: %w", a, err)
	}
	if err := h.network.passLink(ctx, link{a.Addr(), h.address}); err != nil {
		return nil, fmt.Errorf("dial %s: %w", a, err)
	}
	return h.network.connect(there, a)
}

// passLink waits for the time that a packet needs on a link.
func (n *Network) passLink(ctx context.Context, l link) error {
	if err := fgtimer.Wait(ctx, n.delayOf(l)); err != nil {
		return err
	}
	for {
		cut, changed := n.isCut(l)
		if !cut {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

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

func (n *Network) forget(c *memoryConn) {
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

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener; further connections are refused.
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
