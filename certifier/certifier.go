// Package certifier provides the certificates for mutual TLS between the
// system's own processes. They are read from files and reloaded when these
// change, or issued in memory for development and tests.
package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// protocol is the ALPN name of the protocol between processes.
	protocol = "briarspring/1"
	// peerName is the DNS name in every process's certificate. Processes are
	// identified by their addresses, and trusted because the authority signed
	// their certificates.
	peerName = "briarspring-peer"
	// reloadInterval is the least time between two checks for changed files.
	reloadInterval = time.Second
)

// Config holds the settings of a Certifier.
type Config struct {
	Certificate string // PEM file of the process's certificate.
	Key         string // PEM file of its private key.
	Authority   string // PEM file of the certificates that sign peers' certificates.
	Logger      hclog.Logger
}

// FileError reports a file that can't be used.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Certifier holds a process's certificate and the authority that signs its
// peers' certificates.
type Certifier struct {
	config Config

	mu        sync.Mutex
	cert      *tls.Certificate
	pool      *x509.CertPool
	modTime   time.Time // Latest modification time of the files.
	lastCheck time.Time
}

// Load returns a certifier that reads the files of c. Errors are *FileError.
func Load(c Config) (*Certifier, error) {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	x := &Certifier{config: c}
	if err := x.reload(); err != nil {
		return nil, err
	}
	return x, nil
}

func (x *Certifier) reload() error {
	cert, err := tls.LoadX509KeyPair(x.config.Certificate, x.config.Key)
	if err != nil {
		return &FileError{Path: x.config.Certificate, Cause: err}
	}
	data, err := os.ReadFile(x.config.Authority)
	if err != nil {
		return &FileError{Path: x.config.Authority, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return &FileError{Path: x.config.Authority, Cause: fmt.Errorf("file holds no certificate")}
	}
	x.cert, x.pool, x.modTime = &cert, pool, x.latestModTime()
	return nil
}

func (x *Certifier) latestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{x.config.Certificate, x.config.Key, x.config.Authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificate and authority. It reloads them if the files
// have changed, and keeps the old ones if the files can't be used.
func (x *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.config.Certificate != "" && time.Since(x.lastCheck) > reloadInterval {
		x.lastCheck = time.Now()
		if newest := x.latestModTime(); newest.After(x.modTime) {
			if err := x.reload(); err != nil {
				x.config.Logger.Error("can't reload certificate, keeping the old one", "error", err)
			} else {
				x.config.Logger.Info("certificate reloaded", "file", x.config.Certificate)
			}
		}
	}
	return x.cert, x.pool
}

// ServerTLS returns the settings for connections from peers.
func (x *Certifier) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := x.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: pool,
			}, nil
		},
	}
}

// ClientTLS returns the settings for connections to peers.
func (x *Certifier) ClientTLS() *tls.Config {
	cert, pool := x.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
		Certificates: []tls.Certificate{*cert}, RootCAs: pool, ServerName: peerName,
	}
}

// Authority is a certificate authority that signs processes' certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

const authorityLifetime = 365 * 24 * time.Hour

// NewAuthority returns a new authority with a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "briarspring authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(authorityLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, der: der}, nil
}

// Pair is a certificate, its key and the authority's certificate, in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
	Authority   []byte
}

// Issue issues a process's certificate that expires after lifetime.
func (a *Authority) Issue(lifetime time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 62))
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: peerName}, DNSNames: []string{peerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		Authority:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der}),
	}, nil
}

// FromPair returns a certifier for a pair in memory, which is never reloaded.
func FromPair(p Pair) (*Certifier, error) {
	cert, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(p.Authority)
	return &Certifier{config: Config{Logger: hclog.NewNullLogger()}, cert: &cert, pool: pool}, nil
}

// Names and modes of the files that Pair.Write writes.
const (
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"
	AuthorityFile   = "authority.pem"
	keyMode         = 0o600
	folderMode      = 0o755
)

// Write writes the pair's three files into a folder.
func (p Pair) Write(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	files := map[string][]byte{CertificateFile: p.Certificate, KeyFile: p.Key, AuthorityFile: p.Authority}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(folder, name), data, keyMode); err != nil {
			return err
		}
	}
	return nil
}
