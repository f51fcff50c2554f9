package fgcommand

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/fgentry"
	"github.com/filbertgap/filbertgap/internal/fgstandin"
	"github.com/filbertgap/filbertgap/internal/protocol/fgkey"
	"github.com/filbertgap/filbertgap/internal/protocol/fgrequest"
	"github.com/filbertgap/filbertgap/internal/transport/fgplatform"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
	"github.com/filbertgap/filbertgap/pkg/fgclient"
)

const (
	freeLoopbackAddress = "127.0.0.1:0"
	// devStartTimeout limits the time until the sample resources are applied and a
	// request is served.
	devStartTimeout = 20 * time.Second
	// devDrainTimeout is how long requests in flight may run after a stop signal.
	devDrainTimeout = time.Second
	// devStopTimeout limits a stop, which must take less than 2 s. Entries that still
	// run after it end with the process.
	devStopTimeout = 1800 * time.Millisecond
	devWorkspace   = "committee"
	devPath        = "/catalogue/frames"
)

// devVMs lists the VMs of the development system, each of which runs one entry.
var devVMs = []struct{ name, region, zone string }{
	{"vm-1", "nairobi", "nairobi-a"},
	{"vm-2", "kisumu", "kisumu-a"},
}

// devUpstreams lists the stand-in upstreams of the development system.
var devUpstreams = []struct{ name, group, region, zone string }{
	{"catalogue-1", "catalogue", "nairobi", "nairobi-a"},
	{"catalogue-2", "catalogue", "kisumu", "kisumu-a"},
	{"reservations-1", "reservations", "nairobi", "nairobi-b"},
	{"reservations-2", "reservations", "kisumu", "kisumu-a"},
}

// devResources holds the sample resources except for the upstreams, whose
// addresses are known only once they listen.
const devResources = `
apiVersion: filbertgap/v1
kind: Region
metadata: {name: nairobi}
spec: {availabilityZones: [nairobi-a, nairobi-b], clientBlocks: [127.0.0.0/8]}
---
apiVersion: filbertgap/v1
kind: Region
metadata: {name: kisumu}
spec: {availabilityZones: [kisumu-a], clientBlocks: [10.2.0.0/16]}
---
apiVersion: filbertgap/v1
kind: RegionalCap
metadata: {name: nairobi-kisumu}
spec: {from: nairobi, to: kisumu, requestsPerSecond: 200, bitsPerSecond: 300Mbit}
---
apiVersion: filbertgap/v1
kind: RegionalCap
metadata: {name: kisumu-nairobi}
spec: {from: kisumu, to: nairobi, requestsPerSecond: 200, bitsPerSecond: 300Mbit}
---
apiVersion: filbertgap/v1
kind: Workspace
metadata: {name: committee}
spec: {requestsPerSecond: 200, burst: 200}
---
apiVersion: filbertgap/v1
kind: Route
metadata: {name: catalogue}
spec: {pathPrefix: /catalogue, methods: [GET, HEAD], access: keyed, idempotent: true, deadline: 5s, upstreamGroup: catalogue}
---
apiVersion: filbertgap/v1
kind: Route
metadata: {name: reservations}
spec: {pathPrefix: /reservations, methods: [POST], access: keyed, idempotent: false, deadline: 5s, upstreamGroup: reservations}
`

func newDev() *cobra.Command {
	var verbose bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete system on loopback, to try it out",
		Long: "Run two entries in two regions, a stand-in platform and stand-in upstreams with sample resources in one process, on\n" +
			"free loopback ports. It prints curl commands to paste and stops at SIGINT; no state is kept.",
		Example: "  filbertgap dev",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level := slog.LevelError
			if verbose {
				level = slog.LevelInfo
			}
			logger := logr.FromSlogHandler(slog.NewJSONHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: level}))
			d := &devSystem{logger: logger, out: cmd.OutOrStdout(), failed: make(chan error, len(devVMs)+len(devUpstreams)+1)}
			return d.run(cmd.Context())
		},
	}
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log each decision to standard error")
	return cmd
}

// devSystem is a complete system in one process.
type devSystem struct {
	logger            logr.Logger
	out               io.Writer
	directory         string // holds the secrets, removed at the end
	platform          fgstandin.Platform
	platformAddress   string
	entries           []*fgentry.Entry
	upstreamAddresses []string
	servers           []*http.Server
	running           conc.WaitGroup
	failed            chan error // receives errors of entries and servers
}

func (d *devSystem) run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "filbertgap-dev-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	d.directory = directory
	ctx, cancel := context.WithCancel(ctx)
	defer d.stop(cancel)
	if err := d.start(ctx); err != nil {
		return err
	}
	key, err := d.configure(ctx)
	if err != nil {
		return err
	}
	d.printInstructions(key)
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failed:
		return err
	}
}

// stop cancels the entries, waits up to devStopTimeout for them, and then closes
// the servers that they use.
func (d *devSystem) stop(cancel context.CancelFunc) {
	cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.running.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(devStopTimeout):
		_, _ = fmt.Fprintln(d.out, "some entries did not stop in time")
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func (d *devSystem) start(ctx context.Context) error {
	var vms []fgstore.VM
	for _, vm := range devVMs {
		vms = append(vms, fgstore.VM{Name: vm.name, State: fgstore.VMLive})
	}
	d.platform.SetVMs(vms)
	var err error
	if d.platformAddress, err = d.serve(d.platform.Handler()); err != nil {
		return err
	}
	for range devUpstreams {
		address, err := d.serve(&fgstandin.Upstream{})
		if err != nil {
			return err
		}
		d.upstreamAddresses = append(d.upstreamAddresses, address)
	}
	for _, secret := range []string{"fleet.secret", "operator.token"} {
		if err := os.WriteFile(filepath.Join(d.directory, secret), []byte(rand.Text()+rand.Text()), 0o600); err != nil {
			return err
		}
	}
	for i := range devVMs {
		if err := d.startEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// serve starts an HTTP server on a free port and returns its address. The server
// runs until the system stops.
func (d *devSystem) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", freeLoopbackAddress)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.failed <- err
		}
	}()
	return l.Addr().String(), nil
}

func (d *devSystem) startEntry(ctx context.Context, i int) error {
	raw := fgentry.RawSettings{
		VM: devVMs[i].name, Region: devVMs[i].region, AvailabilityZone: devVMs[i].zone,
		CallerListen: freeLoopbackAddress, PeerListen: freeLoopbackAddress, OperatorListen: freeLoopbackAddress, MetricsListen: freeLoopbackAddress,
		Platform: "http://" + d.platformAddress, FleetSecretFile: filepath.Join(d.directory, "fleet.secret"),
		OperatorTokenFile: d.tokenFile(), DrainTimeout: devDrainTimeout,
	}
	settings, err := raw.Check()
	if err != nil {
		return err
	}
	client, err := fgplatform.New(raw.Platform)
	if err != nil {
		return err
	}
	e := fgentry.New(settings, client, client, d.logger)
	if err := e.Listen(); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	d.running.Go(func() {
		if err := e.Run(ctx); err != nil && ctx.Err() == nil {
			d.failed <- err
		}
	})
	return nil
}

func (d *devSystem) tokenFile() string { return filepath.Join(d.directory, "operator.token") }

// configure applies the sample resources with a new key, and waits until a request
// with the key is served.
func (d *devSystem) configure(ctx context.Context) (fgkey.Key, error) {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	key := fgkey.New()
	resources, err := fgapi.Decode("sample resources", []byte(devResources))
	if err != nil {
		return key, err
	}
	for i, u := range devUpstreams {
		resources = append(resources, newResource(fgapi.KindUpstream, u.name, &fgapi.UpstreamSpec{
			Address: d.upstreamAddresses[i], Group: u.group, Region: u.region, AvailabilityZone: u.zone, Slots: 8,
		}))
	}
	resources = append(resources, newResource(fgapi.KindKey, key.ID(), &fgapi.KeySpec{Workspace: devWorkspace, Digest: key.Digest()}))
	flags := operatorFlags{addresses: []string{"http://" + d.entries[0].OperatorAddress()}, tokenFile: d.tokenFile()}
	client, err := flags.client()
	if err != nil {
		return key, err
	}
	s := &session{ctx: ctx, client: client}
	if err := s.waitMembers(len(devVMs)); err != nil {
		return key, err
	}
	change := changeFlags{wait: true}
	if _, err := change.submit(s, fgclient.Change{Put: resources}); err != nil {
		return key, err
	}
	return key, d.waitUntilServed(s, key)
}

// waitUntilServed waits until the first VM serves a request, so that the printed
// commands work immediately. A new process holds no units of rates and slots, and
// refuses requests until it has received some.
func (d *devSystem) waitUntilServed(s *session, key fgkey.Key) error {
	client, err := fgclient.NewClient(fgclient.ClientOptions{Addresses: []string{d.callerURL(0)}, Key: key.Reveal()})
	if err != nil {
		return err
	}
	status := "no response"
	for {
		req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, d.callerURL(0)+devPath, nil)
		if err != nil {
			return err
		}
		if res, err := client.Do(req); err == nil {
			status = res.Status
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := s.pause(); err != nil {
			return fmt.Errorf("%s is not served, last status: %s: %w", devPath, status, err)
		}
	}
}

func (d *devSystem) callerURL(i int) string { return "http://" + d.entries[i].CallerAddress() }

func newResource(kind fgapi.Kind, name string, spec fgapi.Spec) fgapi.Resource {
	return fgapi.Resource{APIVersion: fgapi.Version, Kind: kind, Metadata: fgapi.Metadata{Name: name}, Spec: spec}
}

// waitMembers waits until at least count VMs have registered.
func (s *session) waitMembers(count int) error {
	registered := 0
	for {
		status, err := s.client.Status(s.ctx, 0)
		if err == nil {
			if registered = len(status.Members); registered >= count {
				return nil
			}
			err = s.pause()
		}
		if err != nil {
			return fmt.Errorf("%d of %d VMs have registered: %w", registered, count, err)
		}
	}
}

func (d *devSystem) printInstructions(key fgkey.Key) {
	var b strings.Builder
	rows := table{{"VM", "REGION", "CALLERS", "OPERATORS", "METRICS"}}
	for i, e := range d.entries {
		rows = append(rows, []string{devVMs[i].name, devVMs[i].region, d.callerURL(i), "http://" + e.OperatorAddress(), "http://" + e.MetricsAddress() + "/metrics"})
	}
	_ = rows.print(&b)
	fmt.Fprintf(&b, "\nstand-in platform http://%s, upstreams %s\n", d.platformAddress, strings.Join(d.upstreamAddresses, " "))
	fmt.Fprintf(&b, "\nsample key, shown once, of workspace %s:\n  %s\n", devWorkspace, key.Reveal())
	caller := d.callerURL(0)
	fmt.Fprintf(&b, "\ntry:\n  curl -i -H 'Authorization: Bearer %s' %s%s\n", key.Reveal(), caller, devPath)
	fmt.Fprintf(&b, "  curl -i -X POST -H 'Authorization: Bearer %s' -H 'Idempotency-Key: %s' -d 'frames=2' %s/reservations\n", key.Reveal(), fgrequest.NewTraceID(), caller)
	fmt.Fprintf(&b, "  go run ./cmd/filbertgap get routes --operator http://%s --operator-token-file %s\n", d.entries[0].OperatorAddress(), d.tokenFile())
	fmt.Fprintf(&b, "\npress Ctrl-C to stop\n")
	_, _ = io.WriteString(d.out, b.String())
}
