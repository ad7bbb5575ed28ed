package certifier

import (
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func writePair(t *testing.T, a *Authority, folder string) {
	pair, err := a.Issue(time.Hour)
	require.NoError(t, err)
	require.NoError(t, pair.Write(folder))
}

func config(folder string) Config {
	return Config{
		Certificate: filepath.Join(folder, CertificateFile),
		Key:         filepath.Join(folder, KeyFile),
		Authority:   filepath.Join(folder, AuthorityFile),
	}
}

func serial(t *testing.T, x *Certifier) string {
	cert, _ := x.current()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.String()
}

func TestReload(t *testing.T) {
	a, err := NewAuthority()
	require.NoError(t, err)
	folder := t.TempDir()
	writePair(t, a, folder)
	x, err := Load(config(folder))
	require.NoError(t, err)
	old := serial(t, x)

	later := time.Now().Add(time.Minute)
	touch := func() {
		for _, name := range []string{CertificateFile, KeyFile, AuthorityFile} {
			require.NoError(t, os.Chtimes(filepath.Join(folder, name), later, later))
		}
		later = later.Add(time.Minute)
		x.lastCheck = time.Time{}
	}
	writePair(t, a, folder)
	touch()
	renewed := serial(t, x)
	assert.NotEqual(t, old, renewed, "a changed certificate is reloaded")

	require.NoError(t, os.WriteFile(filepath.Join(folder, CertificateFile), []byte("broken"), 0o600))
	touch()
	assert.Equal(t, renewed, serial(t, x), "an invalid certificate does not replace the old one")
}

func TestLoadFaults(t *testing.T) {
	_, err := Load(config(t.TempDir()))
	var file *FileError
	require.ErrorAs(t, err, &file)
}
