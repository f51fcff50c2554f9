package main

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// addedRoutes is how many routes one version adds, and additions how many such versions
	// there are.
	addedRoutes = 1400
	additions   = 2
	// The store takes slowFactor times its 4 ms for an answer, for slowTime.
	slowFactor = 60
	storeTime  = 4 * time.Millisecond
	slowTime   = 4500 * time.Millisecond
	// A change of the configuration comes each stormInterval for stormTime.
	stormInterval = 60 * time.Millisecond
	stormTime     = 1500 * time.Millisecond
	// The bounds of the settings.
	contactTime = 4 * time.Second
	configApply = 2500 * time.Millisecond
	maxStretch  = 6 * time.Second
	// checkTime is how long requests with the key that was taken away are sent.
	checkTime = 5 * time.Second
)

// watchTooLarge changes a large configuration in quick succession while the store is slow,
// and then uses a key that the last change has taken away.
func watchTooLarge(e *env) error {
	c := config(7)
	c["tenants"] = append(c["tenants"].([]map[string]any), map[string]any{
		"name": "halls", "api_keys": []string{"key-halls", "key-halls-2"}, "priority": 0, "rate_per_s": 474, "burst": 474, "home_regions": []string{},
	})
	if err := e.start(c); err != nil {
		return err
	}
	var servers []*server
	for i, zone := range []string{"nairobi-a", "kisumu-a", "mombasa-a"} {
		s, err := newServer(e, fmt.Sprintf("i-cat%d", i), "catalogue", zone, 24)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if _, err := newServer(e, "i-ord0", "orders", "nairobi-a", 6); err != nil {
		return err
	}
	var gateways []*gateway
	for _, zone := range []string{"nairobi-a", "kisumu-a", "mombasa-a"} {
		g, err := e.startGateway("front-"+zone+"-1", zone)
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(3 * time.Second)
	version := 7
	for range additions {
		version++
		addRoutes(c, addedRoutes)
		e.putConfig(c, version)
		time.Sleep(4 * time.Second)
	}
	for _, g := range gateways {
		id, status := g.get("/read/kit", "key-halls")
		e.record.add("client: %s with the key at %s got status %d", id, g.name, status)
	}
	slowEnd := time.Now()
	if e.trouble {
		slowEnd = e.store.slow(slowFactor*storeTime, slowTime)
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormInterval) {
		version++
		c["limits"].(map[string]any)["idle_timeout"] = fmt.Sprintf("%dms", 15000+version)
		e.putConfig(c, version)
	}
	version++
	tenants := c["tenants"].([]map[string]any)
	tenants[1]["api_keys"] = []string{"key-halls-2"}
	acknowledged := e.putConfig(c, version)
	e.record.add("operator: version %d without key-halls is acknowledged", version)
	// Machines are in touch again and the bound of the configuration has passed.
	from := acknowledged.Add(configApply + maxStretch)
	if inTouch := slowEnd.Add(contactTime); inTouch.After(from) {
		from = inTouch
	}
	time.Sleep(time.Until(from))
	late := 0
	for end := time.Now().Add(checkTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, g := range gateways {
			after := time.Since(acknowledged)
			id, status := g.get("/read/kit", "key-halls")
			ran := 0
			for _, s := range servers {
				ran += s.ran(id)
			}
			_, other := g.get("/read/kit", "key-halls-2")
			e.record.add("client: %s with the key that was taken away %v ago at %s got status %d, run %d times; with another key: %d", id, after.Round(time.Millisecond), g.name, status, ran, other)
			if ran > 0 {
				late++
			}
		}
	}
	e.record.add("%d requests were run with the key that was taken away", late)
	if late > 0 {
		return errBroken
	}
	return nil
}

// addRoutes adds a number of routes to a configuration.
func addRoutes(c map[string]any, n int) {
	routes := slices.Clone(c["routes"].([]map[string]any))
	for range n {
		r := maps.Clone(routes[0])
		r["name"], r["path_prefix"] = fmt.Sprintf("r-%05d", len(routes)), fmt.Sprintf("/more%05d/", len(routes))
		routes = append(routes, r)
	}
	c["routes"] = routes
}

// putConfig writes a version of the configuration, and returns when the store had done so.
func (e *env) putConfig(c map[string]any, version int) time.Time {
	c["version"], c["base_version"] = version, version-1
	e.store.put("op/config", c)
	return time.Now()
}
