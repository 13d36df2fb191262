package process

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/operate"
	"pollensail.dev/host/settings"
	"pollensail.dev/host/store"
	"pollensail.dev/host/telemetry"
	"pollensail.dev/host/treefile"
	"pollensail.dev/standin/kv"
	"pollensail.dev/standin/server"
)

// stateTimeout bounds each wait until a host serves requests or responds.
const stateTimeout = 30 * time.Second

// untrustedWait is how long a host with a certificate of another CA is watched
// for tokens that it must not get. A trusted host has one within a second.
const untrustedWait = 3 * time.Second

// testCA is a certificate authority that writes certificates and keys to its own
// directory.
type testCA struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(c *qt.C) testCA {
	a := testCA{dir: c.TempDir()}
	a.cert = &x509.Certificate{Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true}
	a.key = a.sign(c, "authority", a.cert)
	return a
}

// sign issues a certificate and writes NAME.pem and NAME.key. Without a key of
// its own yet, the CA signs its certificate itself.
func (a testCA) sign(c *qt.C, name string, cert *x509.Certificate) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	signer := a.key
	if signer == nil {
		signer = key
	}
	cert.SerialNumber, cert.NotAfter = big.NewInt(1), time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, signer)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	a.write(c, name+".pem", "CERTIFICATE", der)
	a.write(c, name+".key", "PRIVATE KEY", private)
	return key
}

func (a testCA) write(c *qt.C, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	c.Assert(os.WriteFile(a.file(name), data, 0o600), qt.IsNil)
}

func (a testCA) file(name string) string { return filepath.Join(a.dir, name) }

// settings issues a certificate for the host and returns the TOML settings that
// use it.
func (a testCA) settings(c *qt.C, host, domain, store string) string {
	a.sign(c, host, &x509.Certificate{DNSNames: []string{host}})
	return fmt.Sprintf(`host = %q
domain = %q
listen = {caller = "127.0.0.1:0", peer = "127.0.0.1:0", operator = "127.0.0.1:0"}
store = {address = %q}
tls = {certificate = %q, key = %q, authority = %q}
stop = {balancer_delay = "1ms"}
`, host, domain, store, a.file(host+".pem"), a.file(host+".key"), a.file("authority.pem"))
}

func newProcess(c *qt.C, text string) (*Process, error) {
	s, err := settings.Parse("host.toml", []byte(text))
	c.Assert(err, qt.IsNil)
	logger := telemetry.NewLogger(io.Discard, "error")
	c.Cleanup(func() { logger.Close() })
	return New(s, DefaultEnvironment(s), logger)
}

// testPlatform is a stand-in store with a configuration tree of one account. The
// account's burst is so small that all its tokens are in one slot, which one
// host owns.
type testPlatform struct {
	address, key string
}

func startTestPlatform(c *qt.C) testPlatform {
	httpServer := httptest.NewServer(kv.New())
	c.Cleanup(httpServer.Close)
	p := testPlatform{address: httpServer.Listener.Addr().String()}
	backend := server.New(server.Config{Kind: server.Lookup, Concurrency: 6})
	workAddress, err := backend.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { backend.Close() })
	file, err := treefile.Decode("tree.toml", fmt.Appendf(nil, `
domains = ["a", "b", "c"]
slots_per_domain = 1
["accounts/field"]
rate = "100/s"
burst = 7
["routes/birds"]
path = "/birds"
service = "lookup"
["services/lookup"]
servers = [%q]
`, workAddress))
	c.Assert(err, qt.IsNil)
	repository := operate.NewRepository(store.NewHTTP(p.address))
	_, err = repository.Apply(context.Background(), operate.Edit{Tree: file.Tree})
	c.Assert(err, qt.IsNil)
	grant, err := repository.GrantKey(context.Background(), "field", "test")
	c.Assert(err, qt.IsNil)
	p.key = grant.Key
	return p
}

// runProcess runs a process until the test ends, and expects it to be
// interrupted.
func runProcess(c *qt.C, p *Process) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx, ctx) }()
	c.Cleanup(func() { cancel(); c.Check(<-done, qt.Equals, ErrStopIncomplete) })
}

// startHost runs a host until the test ends and adds it to the host list.
func (p testPlatform) startHost(c *qt.C, a testCA, host, domain string) *Process {
	process, err := newProcess(c, a.settings(c, host, domain, p.address))
	c.Assert(err, qt.IsNil)
	runProcess(c, process)
	entry := fmt.Sprintf(`{"id":%q,"role":"entry","domain":%q,"peer":%q}`, host, domain, process.listeners.peer.Addr())
	p.do(c, http.MethodPut, "http://"+p.address+"/v1/hosts/"+host, entry)
	return process
}

func (p testPlatform) do(c *qt.C, method, url, body string) string {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("X-Api-Key", p.key)
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return string(data)
}

func (p testPlatform) sendRequest(c *qt.C, host *Process) string {
	return p.do(c, http.MethodGet, "http://"+host.listeners.caller.Addr().String()+"/birds/1", "")
}

// awaitServed sends requests to a host until a backend server responds to one.
func (p testPlatform) awaitServed(c *qt.C, host *Process) {
	end := time.Now().Add(stateTimeout)
	for answer := ""; !strings.Contains(answer, `"server"`); time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", answer))
		answer = p.sendRequest(c, host)
	}
}

// TestMutualTLS guards against hosts that cannot communicate with the
// certificates of their settings, and against giving tokens of a client account
// to a host with a certificate of another CA.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	p := startTestPlatform(c)
	ourCA := newTestCA(c)
	var hosts []*Process
	for _, domain := range []string{"a", "b", "c"} {
		hosts = append(hosts, p.startHost(c, ourCA, "host-"+domain, domain))
	}
	for _, host := range hosts {
		p.awaitServed(c, host) // two of them get their tokens from the third
	}
	untrusted := p.startHost(c, newTestCA(c), "host-d", "a")
	for end := time.Now().Add(untrustedWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.Assert(p.sendRequest(c, untrusted), qt.Not(qt.Contains), `"server"`)
	}
	c.Assert(p.sendRequest(c, untrusted), qt.Contains, string(model.ReasonTokensUnavailable))
	for _, host := range hosts {
		p.awaitServed(c, host)
	}
}

// TestCertificateChecked guards against a host that starts with a certificate
// that other hosts reject.
func TestCertificateChecked(t *testing.T) {
	c := qt.New(t)
	ourCA, otherCA := newTestCA(c), newTestCA(c)
	text := ourCA.settings(c, "h1", "a", "127.0.0.1:1")
	for _, tc := range []struct{ old, new, want string }{
		{`host = "h1"`, `host = "h2"`, `tls.certificate .*h1.pem: x509: certificate is valid for h1, not h2`},
		{ourCA.file("authority.pem"), otherCA.file("authority.pem"), `tls.certificate .*h1.pem: x509: certificate signed by unknown authority.*`},
	} {
		_, err := newProcess(c, strings.Replace(text, tc.old, tc.new, 1))
		c.Check(err, qt.ErrorMatches, tc.want)
	}
}

// TestConnectionsLimited guards against a process that does not apply the limit
// of caller connections.
func TestConnectionsLimited(t *testing.T) {
	c := qt.New(t)
	text := newTestCA(c).settings(c, "h1", "a", "127.0.0.1:1") + "limits = {connections = 1}\n"
	host, err := newProcess(c, text)
	c.Assert(err, qt.IsNil)
	runProcess(c, host)
	first, second := dial(c, host), dial(c, host)
	c.Assert(readStatus(first, stateTimeout), qt.Contains, "503") // no configuration is in force
	c.Assert(readStatus(second, 200*time.Millisecond), qt.Equals, "")
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(readStatus(second, stateTimeout), qt.Contains, "503")
}

// dial opens a connection to the caller listener and sends a request.
func dial(c *qt.C, host *Process) net.Conn {
	conn, err := net.Dial("tcp", host.listeners.caller.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	return conn
}

// readStatus returns the status line of a response, or an empty string if none
// arrives in time.
func readStatus(conn net.Conn, timeout time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}
