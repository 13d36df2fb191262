package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/settings"
)

// handshakeTimeout bounds a TLS handshake.
const handshakeTimeout = 5 * time.Second

// Identity proves who a host is and checks others. The zero value proves and
// checks nothing: any sender is believed.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadIdentity reads the files of the settings. It returns the zero Identity
// for insecure settings.
func LoadIdentity(s settings.TLS) (Identity, error) {
	if s.Insecure {
		return Identity{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return Identity{}, fmt.Errorf("tls.certificate %s, tls.key %s: %w", s.Certificate, s.Key, err)
	}
	pem, err := os.ReadFile(s.Authority)
	if err != nil {
		return Identity{}, fmt.Errorf("tls.authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Identity{}, fmt.Errorf("tls.authority %s: no certificate in PEM form", s.Authority)
	}
	return Identity{certificate: certificate, authority: pool}, nil
}

// Insecure reports whether the identity proves nothing.
func (i Identity) Insecure() bool { return i.authority == nil }

// Check reports why other hosts would not take the identity for the given
// host: its name, its authority, its time or its use. The zero Identity passes.
func (i Identity) Check(host model.HostID) error {
	if i.Insecure() {
		return nil
	}
	others := x509.NewCertPool()
	for _, der := range i.certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			others.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := i.certificate.Leaf.Verify(x509.VerifyOptions{
			DNSName:       string(host),
			Roots:         i.authority,
			Intermediates: others,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// client turns a connection into one to the given host, whose certificate must
// name it.
func (i Identity) client(ctx context.Context, conn net.Conn, host model.HostID) (net.Conn, error) {
	if i.Insecure() {
		return conn, nil
	}
	c := tls.Client(conn, &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		RootCAs:      i.authority,
		ServerName:   string(host),
		MinVersion:   tls.VersionTLS13,
	})
	return c, c.HandshakeContext(ctx)
}

// checkFunc checks that a connection belongs to a host.
type checkFunc func(model.HostID) error

// server turns a connection into one from a host that the authority knows.
func (i Identity) server(ctx context.Context, conn net.Conn) (net.Conn, checkFunc, error) {
	if i.Insecure() {
		return conn, func(model.HostID) error { return nil }, nil
	}
	c := tls.Server(conn, &tls.Config{
		Certificates:           []tls.Certificate{i.certificate},
		ClientCAs:              i.authority,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // every link proves its identity anew
	})
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	chain := c.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return nil, nil, errors.New("no certificate")
	}
	return c, func(id model.HostID) error { return chain[0].VerifyHostname(string(id)) }, nil
}
