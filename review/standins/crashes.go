package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crashInterval is the time between its tries.
	crashInterval = time.Second
	// maxCrashRetries is how many retries may reach servers later than contact after the
	// third crash.
	maxCrashRetries = 3
	poisonBody      = "the order that crashes servers"
	// key is a key of the tenant.
	key = "tnfzs989anu6wsjnbanf"
)

// crashCase is a request of a tenant with one home region that crashes each server that
// runs it. The servers are back after three seconds, and the request comes again.
type crashCase struct {
	// home is the region of the tenant and its clients, who use these gateways.
	home     string
	gateways []string
	// phase is how long the request comes again.
	phase time.Duration
	// distinct counts only the first crash at each address for the third one.
	distinct bool
}

// twoServers has the two servers of the service that nairobi has in the site file.
var twoServers = crashCase{home: "nairobi", gateways: []string{"nairobi-a-1", "nairobi-a-2", "nairobi-b-1"}, phase: 40 * time.Second}

// fourServers has the four that kisumu has.
var fourServers = crashCase{home: "kisumu", gateways: []string{"kisumu-a-1", "kisumu-b-1"}, phase: 95 * time.Second, distinct: true}

func (c crashCase) run(r *record) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return notRun, err
	}
	defer f.stop()
	f.store.put(wire.Config, message("config.tmpl", map[string]any{"Key": key, "Home": c.home}))
	for _, zone := range []string{"nairobi-a", "nairobi-b", "kisumu-a", "kisumu-a", "kisumu-b", "kisumu-b", "mombasa-a", "mombasa-b"} {
		s := &server{service: "orders-svc", zone: zone, slots: 3, queue: 9, work: 204 * time.Millisecond, downTime: 3 * time.Second}
		s.crashOn = func(body string) bool { return trouble() && body == poisonBody }
		if err := f.addServer(s); err != nil {
			return notRun, err
		}
	}
	for _, name := range c.gateways {
		if err := f.addGateway("front-"+name, name[:len(name)-2]); err != nil {
			return notRun, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return notRun, err
	}

	var done sync.WaitGroup
	var mu sync.Mutex
	served, lost := 0, 0
	end := time.Now().Add(c.phase)
	done.Go(func() {
		// Other orders of the tenant, six a second.
		for i := 0; time.Now().Before(end); i++ {
			g := f.gateways[i%len(f.gateways)]
			done.Go(func() {
				o := sendNew(r, g, "POST", fmt.Sprintf("/orders/%d", i), key, fmt.Sprintf("order %d", i), time.Second)
				mu.Lock()
				defer mu.Unlock()
				switch o.status {
				case 200:
					served++
				case 502, 0:
					lost++
				}
			})
			time.Sleep(time.Second / 6)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		sendNew(r, f.gateways[i%len(f.gateways)], "POST", "/orders/always-the-same", key, poisonBody, time.Second)
		time.Sleep(crashInterval)
	}
	done.Wait()
	f.quiet()

	r.mu.Lock()
	defer r.mu.Unlock()
	retries := 0
	if third, ok := c.third(r.crash); ok {
		for _, e := range r.arrival {
			if e.body == poisonBody && e.at.After(third.Add(contact)) {
				retries++
			}
		}
	}
	verdict := held
	if retries > maxCrashRetries {
		verdict = broken
	}
	r.line("other orders: %d were answered with 200, %d ended with 502 or a closed connection", served, lost)
	r.line("%d servers crashed; %d retries of the request that crashes them reached servers later than %s after the third crash (%d are allowed); verdict %d", len(r.crash), retries, contact, maxCrashRetries, verdict)
	return verdict, nil
}

// third returns when the request crashed the third server.
func (c crashCase) third(crashes []event) (time.Time, bool) {
	addresses := map[string]bool{}
	n := 0
	for _, e := range crashes {
		if c.distinct && addresses[e.address] {
			continue
		}
		addresses[e.address] = true
		if n++; n == 3 {
			return e.at, true
		}
	}
	return time.Time{}, false
}
