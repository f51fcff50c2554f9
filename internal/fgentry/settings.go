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

// RawSettings are an entry's settings as given by flags and environment
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
	// The certificate and key files of the listeners, in PEM. Empty means no
	// TLS.
	CallerTLSCertFile   string
	CallerTLSKeyFile    string
	OperatorTLSCertFile string
	OperatorTLSKeyFile  string
	DrainWait           time.Duration
	DrainTimeout        time.Duration
}

// Settings are settings that Check has accepted.
type Settings struct {
	raw           RawSettings
	fleetSecret   fgpeer.Secret
	operatorToken string
	callerTLS     *tls.Config
	operatorTLS   *tls.Config
}

// Check checks all settings and reports all invalid ones in one error.
func (r RawSettings) Check() (Settings, error) {
	s := Settings{raw: r}
	errs := []error{
		checkRequired("vm", r.VM),
		checkRequired("region", r.Region),
		checkRequired("availability-zone", r.AvailabilityZone),
		checkRequired("platform", r.Platform),
		checkAddress("caller-listen", r.CallerListen),
		checkAddress("peer-listen", r.PeerListen),
		checkAddress("operator-listen", r.OperatorListen),
		checkAddress("metrics-listen", r.MetricsListen),
		checkOptionalAddress("caller-advertise", r.CallerAdvertise),
		checkOptionalAddress("peer-advertise", r.PeerAdvertise),
		checkNotNegative("drain-wait", r.DrainWait),
		checkNotNegative("drain-timeout", r.DrainTimeout),
	}
	if r.OperatorTLSCertFile == "" {
		errs = append(errs, checkLoopback("operator-listen", r.OperatorListen))
	}
	var err error
	s.callerTLS, err = readTLS("caller", r.CallerTLSCertFile, r.CallerTLSKeyFile)
	errs = append(errs, err)
	s.operatorTLS, err = readTLS("operator", r.OperatorTLSCertFile, r.OperatorTLSKeyFile)
	errs = append(errs, err)
	for _, seed := range r.PeerSeeds {
		errs = append(errs, checkAddress("peer-seeds", seed))
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

func checkRequired(flag, value string) error {
	if value == "" {
		return fmt.Errorf("--%s is not set", flag)
	}
	return nil
}

func checkAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("--%s is %q; accepted is an IP address and port, for example 10.0.0.5:8080", flag, value)
	}
	return nil
}

func checkOptionalAddress(flag, value string) error {
	if value == "" {
		return nil
	}
	return checkAddress(flag, value)
}

func checkLoopback(flag, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsLoopback() {
		return nil
	}
	return fmt.Errorf("--%s is %q; without TLS, accepted is a loopback address", flag, value)
}

func checkNotNegative(flag string, value time.Duration) error {
	if value >= 0 {
		return nil
	}
	return fmt.Errorf("--%s is %s; accepted is 0s or more", flag, value)
}

func readSecretFile(flag, path string) (string, error) {
	if err := checkRequired(flag, path); err != nil {
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
