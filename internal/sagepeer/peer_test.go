package sagepeer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// echo is a mounted service that answers 204.
type echo struct{}

func (echo) PathPrefix() string                               { return "/twirp/echo/" }
func (echo) ServeHTTP(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// serve runs a server with the echo service and returns its address.
func serve(t *testing.T, key string, cfg *tls.Config) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Listener: l, Key: key, TLS: cfg}
	s.Mount(echo{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

func status(t *testing.T, c *Client, addr string) (int, error) {
	t.Helper()
	res, err := c.HTTP().Get(c.URL(addr) + "/twirp/echo/x")
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, nil
}

func TestSharedKey(t *testing.T) {
	addr := serve(t, "secret", nil)
	good := &Client{Key: "secret"}
	code, err := status(t, good, addr)
	require.NoError(t, err)
	assert.Equal(t, http.StatusNoContent, code)
	assert.Positive(t, good.Bytes())
	for _, key := range []string{"", "Secret", "secret1"} {
		code, err = status(t, &Client{Key: key}, addr)
		require.NoError(t, err)
		assert.Equal(t, http.StatusUnauthorized, code, "key %q", key)
	}
}

// A stranger in the network holds the shared key but no certificate of the project's authority. The
// handshake must fail, in both directions.
func TestTLSNeedsOwnAuthority(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	addr := serve(t, "secret", ours)
	code, err := status(t, &Client{Key: "secret", TLS: ours}, addr)
	require.NoError(t, err)
	assert.Equal(t, http.StatusNoContent, code)
	_, err = status(t, &Client{Key: "secret", TLS: theirs}, addr)
	require.Error(t, err)
	bare := &tls.Config{RootCAs: ours.RootCAs}
	_, err = status(t, &Client{Key: "secret", TLS: bare}, addr)
	require.Error(t, err)
}

// authority makes an authority and a certificate of it, and loads them from files.
func authority(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "sagestand"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	cfg, err := LoadTLS(certFile, keyFile, certFile)
	require.NoError(t, err)
	return cfg
}

func TestTrafficOfRequestsIsCountedApart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Listener: l, Key: "secret"}
	s.MountRequestService(echo{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	_, err = status(t, &Client{Key: "secret"}, l.Addr().String())
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-done)
	assert.Zero(t, s.Bytes())
	assert.Positive(t, s.RequestBytes())
}
