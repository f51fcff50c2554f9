package fgentry

import (
	"crypto/tls"
	"fmt"
	"net"
)

// readTLS loads the certificate of a listener. Either both files are given or
// none.
func readTLS(listener, certFile, keyFile string) (*tls.Config, error) {
	switch {
	case certFile == "" && keyFile == "":
		return nil, nil
	case certFile == "":
		return nil, fmt.Errorf("--%s-tls-key-file is set without --%s-tls-cert-file", listener, listener)
	case keyFile == "":
		return nil, fmt.Errorf("--%s-tls-cert-file is set without --%s-tls-key-file", listener, listener)
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("--%s-tls-cert-file and --%s-tls-key-file: %w", listener, listener, err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

// addTLS adds TLS to the listeners that have a certificate.
func (e *Entry) addTLS() {
	e.listeners.caller = withTLS(e.listeners.caller, e.settings.callerTLS)
	e.listeners.operator = withTLS(e.listeners.operator, e.settings.operatorTLS)
}

func withTLS(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}
