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

// patience bounds each wait for a state of the fleet.
const patience = 30 * time.Second

// strangerTime is how long a stranger must get no token. A host of the fleet
// has one within a second.
const strangerTime = 3 * time.Second

// authority signs certificates in a folder of its own.
type authority struct {
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

func newAuthority(c *qt.C) authority {
	a := authority{folder: c.TempDir()}
	a.cert = &x509.Certificate{Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true}
	a.key = a.sign(c, "authority", a.cert)
	return a
}

// sign writes NAME.pem and NAME.key; an authority without a key signs itself.
func (a authority) sign(c *qt.C, name string, cert *x509.Certificate) *ecdsa.PrivateKey {
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

func (a authority) write(c *qt.C, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	c.Assert(os.WriteFile(a.file(name), data, 0o600), qt.IsNil)
}

func (a authority) file(name string) string { return filepath.Join(a.folder, name) }

// settings returns settings text of a host whose certificate names the host.
func (a authority) settings(c *qt.C, host, domain, store string) string {
	a.sign(c, host, &x509.Certificate{DNSNames: []string{host}})
	return fmt.Sprintf(`host = %q
domain = %q
listen = {caller = "127.0.0.1:0", peer = "127.0.0.1:0", operator = "127.0.0.1:0"}
store = {address = %q}
tls = {certificate = %q, key = %q, authority = %q}
stop = {balancer_delay = "1ms"}
`, host, domain, store, a.file(host+".pem"), a.file(host+".key"), a.file("authority.pem"))
}

func create(c *qt.C, text string) (*Process, error) {
	s, err := settings.Parse("host.toml", []byte(text))
	c.Assert(err, qt.IsNil)
	logger := telemetry.NewLogger(io.Discard, "error")
	c.Cleanup(func() { logger.Close() })
	return New(s, Own(s), logger)
}

// platform is a stand-in store with a tree of one account whose few tokens are
// a single share, so that one host owns them.
type platform struct {
	address, key string
}

func startPlatform(c *qt.C) platform {
	httpServer := httptest.NewServer(kv.New())
	c.Cleanup(httpServer.Close)
	p := platform{address: httpServer.Listener.Addr().String()}
	backend := server.New(server.Config{Kind: server.Lookup, Slots: 6})
	work, err := backend.Listen("127.0.0.1:0")
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
`, work))
	c.Assert(err, qt.IsNil)
	repository := operate.NewRepository(store.NewHTTP(p.address))
	_, err = repository.Apply(context.Background(), operate.Edit{Tree: file.Tree})
	c.Assert(err, qt.IsNil)
	grant, err := repository.GrantKey(context.Background(), "field", "test")
	c.Assert(err, qt.IsNil)
	p.key = grant.Key
	return p
}

// run runs a process until the test ends.
func run(c *qt.C, p *Process) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx, ctx) }()
	c.Cleanup(func() { cancel(); c.Check(<-done, qt.Equals, ErrCutShort) })
}

// start runs a host until the test ends and has the platform list it.
func (p platform) start(c *qt.C, a authority, host, domain string) *Process {
	process, err := create(c, a.settings(c, host, domain, p.address))
	c.Assert(err, qt.IsNil)
	run(c, process)
	entry := fmt.Sprintf(`{"id":%q,"role":"entry","domain":%q,"peer":%q}`, host, domain, process.listeners.peer.Addr())
	p.send(c, http.MethodPut, "http://"+p.address+"/v1/hosts/"+host, entry)
	return process
}

func (p platform) send(c *qt.C, method, url, body string) string {
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

func (p platform) ask(c *qt.C, host *Process) string {
	return p.send(c, http.MethodGet, "http://"+host.listeners.caller.Addr().String()+"/birds/1", "")
}

// await sends requests to a host until one is answered by a backend server.
func (p platform) await(c *qt.C, host *Process) {
	end := time.Now().Add(patience)
	for answer := ""; !strings.Contains(answer, `"server"`); time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", answer))
		answer = p.ask(c, host)
	}
}

// TestMutualTLS guards against hosts that cannot work together with
// certificates from their settings, and against a host of another authority
// that gets tokens of a client account.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	p := startPlatform(c)
	ours := newAuthority(c)
	var hosts []*Process
	for _, domain := range []string{"a", "b", "c"} {
		hosts = append(hosts, p.start(c, ours, "host-"+domain, domain))
	}
	for _, host := range hosts {
		p.await(c, host) // two of them have their token from the third
	}
	stranger := p.start(c, newAuthority(c), "host-d", "a")
	for end := time.Now().Add(strangerTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c.Assert(p.ask(c, stranger), qt.Not(qt.Contains), `"server"`)
	}
	c.Assert(p.ask(c, stranger), qt.Contains, string(model.ReasonTokensUnavailable))
	for _, host := range hosts {
		p.await(c, host)
	}
}

// TestCertificateChecked guards against a host that starts with a certificate
// that no other host takes.
func TestCertificateChecked(t *testing.T) {
	c := qt.New(t)
	ours, other := newAuthority(c), newAuthority(c)
	text := ours.settings(c, "h1", "a", "127.0.0.1:1")
	for _, tc := range []struct{ old, new, want string }{
		{`host = "h1"`, `host = "h2"`, `tls.certificate .*h1.pem: x509: certificate is valid for h1, not h2`},
		{ours.file("authority.pem"), other.file("authority.pem"), `tls.certificate .*h1.pem: x509: certificate signed by unknown authority.*`},
	} {
		_, err := create(c, strings.Replace(text, tc.old, tc.new, 1))
		c.Check(err, qt.ErrorMatches, tc.want)
	}
}

// TestConnectionsLimited guards against a limit of callers' connections that
// the process does not apply.
func TestConnectionsLimited(t *testing.T) {
	c := qt.New(t)
	text := newAuthority(c).settings(c, "h1", "a", "127.0.0.1:1") + "limits = {connections = 1}\n"
	host, err := create(c, text)
	c.Assert(err, qt.IsNil)
	run(c, host)
	first, second := dial(c, host), dial(c, host)
	c.Assert(readStatus(first, patience), qt.Contains, "503") // no configuration is in force
	c.Assert(readStatus(second, 200*time.Millisecond), qt.Equals, "")
	c.Assert(first.Close(), qt.IsNil)
	c.Assert(readStatus(second, patience), qt.Contains, "503")
}

// dial opens a caller's connection and sends a request.
func dial(c *qt.C, host *Process) net.Conn {
	conn, err := net.Dial("tcp", host.listeners.caller.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	return conn
}

// readStatus returns the first line of an answer, empty when it does not come
// in time.
func readStatus(conn net.Conn, timeout time.Duration) string {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}
