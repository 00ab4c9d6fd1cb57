// Package authenticator creates the certificates and keys of a fleet and the TLS configurations with which its processes
// authenticate each other.
package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// Protocol is the ALPN name of the protocol between processes.
	Protocol = "currantledge/1"
	// fleetName is the DNS name in every node certificate, so that a dialling node needs to know only an address.
	fleetName         = "fleet.currantledge.internal"
	authorityLifetime = 20 * 365 * 24 * time.Hour
	nodeLifetime      = 5 * 365 * 24 * time.Hour
	// clockSkew is how far the clock of a node may be behind the clock of the host that issues its certificate.
	clockSkew = time.Hour
	// serialBits is the length of the random serial number of a certificate.
	serialBits = 120
)

// KeyError reports that a certificate or key file cannot be used.
type KeyError struct {
	Path  string
	Cause error
}

// Error returns a message with the file, the cause and the remedy.
func (e *KeyError) Error() string {
	return "key file " + e.Path + ": " + e.Cause.Error() + "; create the fleet's keys with currantledge keygen"
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// IdentityError reports that a peer's certificate does not prove the identity that the peer claims.
type IdentityError struct{ Cause string }

// Error returns a message with the cause and the remedy.
func (e *IdentityError) Error() string {
	return "peer certificate: " + e.Cause + "; issue the node's key with currantledge keygen from the fleet's authority"
}

// KeyPair is a certificate and its private key in PEM form.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// Identity is the node name and role that a node certificate certifies.
type Identity struct {
	Node identifier.Node
	Role identifier.Role
}

// NewAuthority creates the certificate authority of a fleet, a self-signed certificate and its key.
func NewAuthority(now time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "currantledge fleet authority"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(template, nil, nil)
}

// IssueKeyPair creates the key of a node and a certificate for it that the authority signs.
func IssueKeyPair(authority KeyPair, id Identity, now time.Time) (KeyPair, error) {
	pair, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "read authority")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(id.Node), OrganizationalUnit: []string{string(id.Role)}},
		DNSNames:    []string{fleetName},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(nodeLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return sign(template, pair.Leaf, pair.PrivateKey)
}

// sign creates a key and signs the template with the key of the parent, or with the new key itself if there is no parent.
func sign(template, parent *x509.Certificate, parentKey any) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate serial number")
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// Paths names the PEM files of a node.
type Paths struct {
	Authority   string
	Certificate string
	Key         string
}

// Credentials are a node's certificate and key, and the authority that it trusts.
type Credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Load reads a node's credentials from its files. The error is *KeyError.
func Load(paths Paths) (*Credentials, error) {
	authority, err := readFile(paths.Authority)
	if err != nil {
		return nil, err
	}
	certificate, err := readFile(paths.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := readFile(paths.Key)
	if err != nil {
		return nil, err
	}
	credentials, err := New(authority, KeyPair{Certificate: certificate, Key: key})
	if err != nil {
		return nil, &KeyError{Path: paths.Certificate, Cause: err}
	}
	return credentials, nil
}

func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &KeyError{Path: path, Cause: err}
	}
	return raw, nil
}

// New returns the credentials of a node from PEM text.
func New(authority []byte, pair KeyPair) (*Credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.New("the authority file contains no certificate")
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read node key")
	}
	return &Credentials{certificate: certificate, authority: pool}, nil
}

// ServerTLS returns the configuration of the accepting side.
func (c *Credentials) ServerTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		ClientCAs:    c.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
	}
}

// ClientTLS returns the configuration of the dialling side.
func (c *Credentials) ClientTLS() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.authority,
		ServerName:   fleetName,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
	}
}

// PeerIdentity returns the identity in the peer's verified certificate. The error is *IdentityError.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.VerifiedChains) == 0 {
		return Identity{}, &IdentityError{Cause: "not verified"}
	}
	subject := state.PeerCertificates[0].Subject
	if subject.CommonName == "" || len(subject.OrganizationalUnit) != 1 {
		return Identity{}, &IdentityError{Cause: "names no node and role"}
	}
	return Identity{
		Node: identifier.Node(subject.CommonName),
		Role: identifier.Role(subject.OrganizationalUnit[0]),
	}, nil
}
