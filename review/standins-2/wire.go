package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireData []byte

// wire holds the names of the platform's messages. They are data, since only the adapter's
// code may contain them.
var wire = readWire()

// wireNames are the names of header fields, keys, query parameters and paths.
type wireNames struct {
	// Header fields.
	Attempt, Deadline, Signature, Tenant, Expected, NotRun string
	// Keys of the store.
	Config, Operator, Servers string
	// Query parameters of the store.
	Prefix, Wait string
	// Paths of the store.
	Range, Watch, Txn, Lease, Keep, LeaseEnd string
	// Paths of a gateway.
	Resolve, Ready string
}

func readWire() wireNames {
	var n wireNames
	if err := json.Unmarshal(wireData, &n); err != nil {
		panic(fmt.Sprintf("wire.json: %v", err))
	}
	return n
}

// configuration is the operator's configuration.
type configuration struct {
	Version     int       `json:"version"`
	Routes      []route   `json:"routes"`
	Services    []service `json:"services"`
	Limits      limits    `json:"limits"`
	Tenants     []tenant  `json:"tenants"`
	BaseVersion int       `json:"base_version"`
}

type route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	PathPrefix  string   `json:"path_prefix"`
	Kind        string   `json:"kind"`
	Timeout     string   `json:"timeout"`
	Objective   string   `json:"latency_target"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	MaxAttempts int      `json:"max_attempts"`
	Public      bool     `json:"public"`
	Sticky      bool     `json:"sticky"`
	Homes       []string `json:"home_regions"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_conns"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStart      string  `json:"cold_start"`
	ColdRate       float64 `json:"cold_per_s"`
}

type limits struct {
	MaxHeaderBytes int    `json:"max_header_bytes"`
	MaxBodyBytes   int    `json:"max_body_bytes"`
	HeaderTimeout  string `json:"header_timeout"`
	IdleTimeout    string `json:"idle_timeout"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
	Homes    []string `json:"home_regions"`
}

// serverEntry is the entry of a server in the store.
type serverEntry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft string `json:"cold_left"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// rangeAnswer, watchAnswer, txnAnswer, conflictAnswer and leaseBody are bodies of the store.
type rangeAnswer struct {
	Items    []item `json:"items"`
	More     bool   `json:"has_more"`
	Revision uint64 `json:"store_revision"`
}

type watchAnswer struct {
	Events   []item `json:"events"`
	Revision uint64 `json:"store_revision"`
}

type txnAnswer struct {
	Revision uint64 `json:"revision"`
}

type conflictAnswer struct {
	Items []item `json:"items"`
}

type leaseBody struct {
	Lease int64  `json:"lease,omitempty"`
	TTL   string `json:"ttl_time"`
}

// newConfiguration returns a configuration with a safe and an unsafe route and one tenant.
func newConfiguration(version int) *configuration {
	r := route{
		Name: "r-read", Host: "kits.example", PathPrefix: "/read/", Kind: "safe", Timeout: "5000ms", Objective: "1000ms",
		Priority: 2, Service: "catalogue", MaxAttempts: 2, Sticky: true, Homes: []string{},
	}
	order := r
	order.Name, order.PathPrefix, order.Kind, order.Priority, order.Service = "r-order", "/order/", "unsafe", 1, "orders"
	s := service{Name: "catalogue", HealthPath: "/health", MaxConnections: 390, Protocol: "h1", ColdStart: "3s", ColdRate: 16}
	orders := s
	orders.Name = "orders"
	return &configuration{
		Version: version, BaseVersion: version - 1, Routes: []route{r, order}, Services: []service{s, orders},
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"},
		Tenants: []tenant{newTenant("schools", "key-schools")},
	}
}

func newTenant(name string, keys ...string) tenant {
	return tenant{Name: name, Keys: keys, Rate: 474, Burst: 474, Homes: []string{}}
}
