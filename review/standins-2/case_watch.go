package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// addedRoutes is how many routes one version adds, and additions how many such versions
	// there are.
	addedRoutes = 1400
	additions   = 2
	// gatewaysPerZone is the number of gateways in each zone.
	gatewaysPerZone = 5
	// A change of the configuration comes each stormInterval for stormTime.
	stormInterval = 60 * time.Millisecond
	stormTime     = 1500 * time.Millisecond
	// configApply is the bound of the settings.
	configApply = 4 * time.Second
	// checkMargin is how long after the bound the check begins, and checkTime its length.
	checkMargin = time.Second
	checkTime   = 5 * time.Second
)

// watchTooLarge changes a large configuration in quick succession, and then uses a key that
// the last change has taken away.
func watchTooLarge(e *env) error {
	c := newConfiguration(7)
	c.Tenants = append(c.Tenants, newTenant("halls", "key-halls", "key-halls-2"))
	if err := e.start(c); err != nil {
		return err
	}
	var servers []*server
	for i, z := range zones {
		s, err := newServer(e, fmt.Sprintf("i-cat%d", i), "catalogue", z[0], 24)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if _, err := newServer(e, "i-ord0", "orders", "nairobi-a", 6); err != nil {
		return err
	}
	var gateways []*gateway
	for i := range gatewaysPerZone {
		for _, z := range zones {
			g, err := e.startGateway(fmt.Sprintf("front-%s-%d", z[0], i+1), z[0])
			if err != nil {
				return err
			}
			gateways = append(gateways, g)
		}
	}
	time.Sleep(5 * time.Second)
	version := 7
	for range additions {
		version++
		addRoutes(c, addedRoutes)
		e.putConfig(c, version)
		time.Sleep(5 * time.Second)
	}
	// use sends a request with a key to each gateway and returns how many of them were run.
	use := func(key string) int {
		run := 0
		for _, g := range gateways {
			id, status := g.get("/read/kit", key)
			ran := 0
			for _, s := range servers {
				ran += s.ran(id)
			}
			e.record.add("client: %s with %s at %s got status %d, run %d times", id, key, g.name, status, ran)
			if ran > 0 {
				run++
			}
		}
		return run
	}
	if run := use("key-halls"); run == 0 {
		return errors.New("no gateway serves the key before the changes")
	}
	if e.trouble {
		for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormInterval) {
			version++
			c.Limits.IdleTimeout = fmt.Sprintf("%dms", 15000+version)
			e.putConfig(c, version)
		}
	}
	version++
	c.Tenants[1].Keys = []string{"key-halls-2"}
	acknowledged := e.putConfig(c, version)
	e.record.add("operator: version %d without key-halls is acknowledged", version)
	time.Sleep(time.Until(acknowledged.Add(configApply + checkMargin)))
	late := 0
	for end := time.Now().Add(checkTime); time.Now().Before(end); time.Sleep(time.Second) {
		e.record.add("client: begins to use key-halls, %v after the acknowledgement", time.Since(acknowledged).Round(time.Millisecond))
		late += use("key-halls")
	}
	if run := use("key-halls-2"); run == 0 {
		return errors.New("no gateway serves the other key after the changes")
	}
	e.record.add("%d requests were run with the key that was taken away", late)
	if late > 0 {
		return errBroken
	}
	return nil
}

// addRoutes adds a number of routes to a configuration.
func addRoutes(c *configuration, n int) {
	for range n {
		r := c.Routes[0]
		r.Name, r.PathPrefix = fmt.Sprintf("r-%05d", len(c.Routes)), fmt.Sprintf("/more%05d/", len(c.Routes))
		c.Routes = append(c.Routes, r)
	}
}

// putConfig writes a version of the configuration, and returns when the store had done so.
func (e *env) putConfig(c *configuration, version int) time.Time {
	c.Version, c.BaseVersion = version, version-1
	e.store.put(wire.Config, c)
	return time.Now()
}
