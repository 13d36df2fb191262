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

// handshakeTimeout bounds a TLS handshake, and then the wait for the first Hello
// of an incoming link.
const handshakeTimeout = 5 * time.Second

// Identity holds a host's certificate and the certificate authority of its peers,
// for mutual TLS. The zero value disables TLS: peers are not authenticated.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadIdentity reads the PEM files named in the settings. It returns the zero
// Identity if the settings are insecure.
func LoadIdentity(s settings.TLS) (Identity, error) {
	if s.Insecure {
		return Identity{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
	if err != nil {
		return Identity{}, fmt.Errorf("tls.certificate %s, tls.key %s: %w", s.CertificateFile, s.KeyFile, err)
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return Identity{}, fmt.Errorf("tls.authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Identity{}, fmt.Errorf("tls.authority %s: no certificate in PEM form", s.CAFile)
	}
	return Identity{certificate: certificate, authority: pool}, nil
}

// Insecure reports whether TLS is disabled.
func (i Identity) Insecure() bool { return i.authority == nil }

// VerifyHost returns an error if peers would reject the certificate as that of
// the given host, because of its name, authority, validity period or key usage.
// It returns nil for the zero Identity.
func (i Identity) VerifyHost(host model.HostID) error {
	if i.Insecure() {
		return nil
	}
	intermediates := x509.NewCertPool()
	for _, der := range i.certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(c)
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := i.certificate.Leaf.Verify(x509.VerifyOptions{
			DNSName:       string(host),
			Roots:         i.authority,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// clientConn performs the client's side of the TLS handshake. The server's
// certificate must be valid for the given host.
func (i Identity) clientConn(ctx context.Context, conn net.Conn, host model.HostID) (net.Conn, error) {
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

// verifyFunc returns an error unless the peer's certificate is valid for a host.
type verifyFunc func(model.HostID) error

// serverConn performs the server's side of the TLS handshake. The client's
// certificate must be signed by the authority.
func (i Identity) serverConn(ctx context.Context, conn net.Conn) (net.Conn, verifyFunc, error) {
	if i.Insecure() {
		return conn, func(model.HostID) error { return nil }, nil
	}
	c := tls.Server(conn, &tls.Config{
		Certificates:           []tls.Certificate{i.certificate},
		ClientCAs:              i.authority,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // no resumption: each link verifies the certificates
	})
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	chain := c.ConnectionState().PeerCertificates
	if len(chain) == 0 {
		return nil, nil, errors.New("peer sent no certificate")
	}
	return c, func(id model.HostID) error { return chain[0].VerifyHostname(string(id)) }, nil
}
