package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is one process of the deploy file's role.
type gateway struct {
	name, region, zone, ip  string
	front, ready, directory string
	process                 *exec.Cmd
	ended                   chan struct{}
}

// fleet is a small deployment with the settings that the pages show.
type fleet struct {
	record   *record
	dir      string
	store    *store
	gateways []*gateway
	servers  []*server
}

var zones = map[string]string{
	"nairobi-a": "nairobi", "nairobi-b": "nairobi", "kisumu-a": "kisumu", "kisumu-b": "kisumu", "mombasa-a": "mombasa", "mombasa-b": "mombasa",
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore("127.0.0.1")
	return &fleet{record: r, dir: dir, store: s}, err
}

// freePort returns the first of n ports in a row that are free at an address.
func freePort(ip string, n int) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := port+n < 65536
		for i := 0; free && i < n; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// addServer starts a server.
func (f *fleet) addServer(s *server) error {
	s.record, s.store = f.record, f.store
	f.servers = append(f.servers, s)
	return s.start("127.0.0.1")
}

// addGateway starts a gateway with the command of the deploy file.
func (f *fleet) addGateway(name, zone string) error {
	ip := fmt.Sprintf("127.0.0.%d", 10+len(f.gateways))
	port, err := freePort(ip, 20)
	if err != nil {
		return err
	}
	g := &gateway{name: name, region: zones[zone], zone: zone, ip: ip, ended: make(chan struct{})}
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, port+i) }
	g.front, g.ready, g.directory = address(16), address(17), address(18)
	data := message("settings.tmpl", map[string]any{
		"Name": name, "IP": ip, "Zone": zone, "Region": g.region, "Zones": zones,
		"Front": g.front, "Ready": g.ready, "Directory": g.directory, "Control": address(19),
		"FirstPort": port, "LastPort": port + 15, "Store": f.store.address,
	})
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.process = exec.Command("target/filbertgap", "gateway")
	g.process.Env = append(os.Environ(), wire.Settings+"="+path)
	g.process.Stdout, g.process.Stderr = log, log
	if err := g.process.Start(); err != nil {
		return err
	}
	go func() { _ = g.process.Wait(); close(g.ended) }()
	f.record.add("gateway %s starts, clients use %s", name, g.front)
	f.gateways = append(f.gateways, g)
	return nil
}

// isReady asks a gateway as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + g.ready + wire.Ready)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready, and then for the time after which the
// rules count them as in touch.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(10 * time.Second)
	for _, g := range f.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("gateway %s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.add("all gateways are ready")
	time.Sleep(contact + 500*time.Millisecond)
	return nil
}

// contact is the bound of that name.
const contact = 4 * time.Second

// stop ends all processes.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		_ = g.process.Process.Signal(syscall.SIGTERM)
	}
	for _, g := range f.gateways {
		select {
		case <-g.ended:
		case <-time.After(7 * time.Second):
			_ = g.process.Process.Kill()
			<-g.ended
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}

// quiet ends the record.
func (f *fleet) quiet() {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	f.record.quiet = true
}
