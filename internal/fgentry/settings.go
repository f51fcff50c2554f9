// Package fgentry assembles one entry process: it serves callers, peers,
// operators and metrics on one VM.
package fgentry

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/filbertgap/filbertgap/internal/transport/fgpeer"
)

// RawSettings are an entry's settings as written in flags and environment
// variables, before they are checked.
type RawSettings struct {
	VM                string
	Region            string
	AvailabilityZone  string
	CallerListen      string
	CallerAdvertise   string
	PeerListen        string
	PeerAdvertise     string
	PeerSeeds         []string
	OperatorListen    string
	MetricsListen     string
	Platform          string
	FleetSecretFile   string
	OperatorTokenFile string
	// The certificate and key files of a listener, in PEM. Empty means no TLS.
	CallerTLSCertFile   string
	CallerTLSKeyFile    string
	OperatorTLSCertFile string
	OperatorTLSKeyFile  string
	DrainWait           time.Duration
	DrainTimeout        time.Duration
}

// Settings are checked settings.
type Settings struct {
	raw           RawSettings
	fleetSecret   fgpeer.Secret
	operatorToken string
	callerTLS     *tls.Config
	operatorTLS   *tls.Config
}

// Check checks all settings and reports all faults at once.
func (r RawSettings) Check() (Settings, error) {
	s := Settings{raw: r}
	errs := []error{
		required("vm", r.VM),
		required("region", r.Region),
		required("availability-zone", r.AvailabilityZone),
		required("platform", r.Platform),
		address("caller-listen", r.CallerListen),
		address("peer-listen", r.PeerListen),
		address("operator-listen", r.OperatorListen),
		address("metrics-listen", r.MetricsListen),
		optionalAddress("caller-advertise", r.CallerAdvertise),
		optionalAddress("peer-advertise", r.PeerAdvertise),
		notNegative("drain-wait", r.DrainWait),
		notNegative("drain-timeout", r.DrainTimeout),
	}
	if r.OperatorTLSCertFile == "" {
		errs = append(errs, loopback("operator-listen", r.OperatorListen))
	}
	var err error
	s.callerTLS, err = readTLS("caller", r.CallerTLSCertFile, r.CallerTLSKeyFile)
	errs = append(errs, err)
	s.operatorTLS, err = readTLS("operator", r.OperatorTLSCertFile, r.OperatorTLSKeyFile)
	errs = append(errs, err)
	for _, seed := range r.PeerSeeds {
		errs = append(errs, address("peer-seeds", seed))
	}
	secret, err := readSecretFile("fleet-secret-file", r.FleetSecretFile)
	if err == nil {
		s.fleetSecret, err = fgpeer.NewSecret([]byte(secret))
	}
	errs = append(errs, err)
	s.operatorToken, err = readSecretFile("operator-token-file", r.OperatorTokenFile)
	errs = append(errs, err)
	return s, errors.Join(errs...)
}

func required(flag, value string) error {
	if value == "" {
		return fmt.Errorf("--%s is not set", flag)
	}
	return nil
}

func address(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("--%s is %q; accepted is an IP address and port, for example 10.0.0.5:8080", flag, value)
	}
	return nil
}

func optionalAddress(flag, value string) error {
	if value == "" {
		return nil
	}
	return address(flag, value)
}

func loopback(flag, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsLoopback() {
		return nil
	}
	return fmt.Errorf("--%s is %q; without TLS, accepted is a loopback address", flag, value)
}

func notNegative(flag string, value time.Duration) error {
	if value >= 0 {
		return nil
	}
	return fmt.Errorf("--%s is %s; accepted is 0s or more", flag, value)
}

func readSecretFile(flag, path string) (string, error) {
	if err := required(flag, path); err != nil {
		return "", err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("--%s: %w", flag, err)
	}
	text := strings.TrimSpace(string(data))
	if text == "" {
		return "", fmt.Errorf("--%s: %s is empty", flag, path)
	}
	return text, nil
}
