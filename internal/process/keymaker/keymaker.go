// Package keymaker creates the PEM files with which the nodes of a fleet authenticate each other: a certificate authority
// and a certificate and private key for each node.
package keymaker

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/authenticator"
)

const (
	// authorityName is the file name of the certificate authority, without suffix.
	authorityName     = "authority"
	privateMode       = 0o600
	publicMode        = 0o644
	directoryMode     = 0o700
	certificateSuffix = ".pem"
	keySuffix         = "-key.pem"
)

// Config lists the files to create.
type Config struct {
	// Directory receives the files. The certificate authority in it is used, or created if there is none.
	Directory string
	Nodes     []authenticator.Identity
	// Now is the time at which new certificates are issued.
	Now time.Time
}

// Make writes the certificate NAME.pem and the private key NAME-key.pem of each node. It replaces existing files of these
// nodes.
func Make(cfg Config) error {
	if err := os.MkdirAll(cfg.Directory, directoryMode); err != nil {
		return errors.Wrapf(err, "create directory %s", cfg.Directory)
	}
	authority, err := loadOrCreateAuthority(cfg)
	if err != nil {
		return err
	}
	for _, node := range cfg.Nodes {
		if err := checkName(string(node.Node)); err != nil {
			return err
		}
		pair, err := authenticator.IssueKeyPair(authority, node, cfg.Now)
		if err != nil {
			return errors.Wrapf(err, "issue key of %s", node.Node)
		}
		if err := writeKeyPair(cfg.Directory, string(node.Node), pair); err != nil {
			return err
		}
	}
	return nil
}

// checkName rejects names whose files would be outside the directory or would overwrite the certificate authority.
func checkName(name string) error {
	if name == "" || name == authorityName || name != filepath.Base(name) {
		return errors.Newf("node name %q cannot be a file name; use letters, digits, dots and dashes", name)
	}
	return nil
}

// loadOrCreateAuthority returns the certificate authority in the directory. It creates one if there is no certificate.
func loadOrCreateAuthority(cfg Config) (authenticator.KeyPair, error) {
	base := filepath.Join(cfg.Directory, authorityName)
	certificate, err := os.ReadFile(base + certificateSuffix)
	if errors.Is(err, os.ErrNotExist) {
		pair, err := authenticator.NewAuthority(cfg.Now)
		if err != nil {
			return pair, err
		}
		return pair, writeKeyPair(cfg.Directory, authorityName, pair)
	}
	if err != nil {
		return authenticator.KeyPair{}, errors.Wrap(err, "read authority")
	}
	key, err := os.ReadFile(base + keySuffix)
	if err != nil {
		return authenticator.KeyPair{}, errors.Wrap(err, "read authority key; restore it beside the certificate")
	}
	return authenticator.KeyPair{Certificate: certificate, Key: key}, nil
}

// writeKeyPair writes the files of a key pair. The private key is written first and is readable only by its owner.
func writeKeyPair(directory, name string, pair authenticator.KeyPair) error {
	base := filepath.Join(directory, name)
	if err := os.WriteFile(base+keySuffix, pair.Key, privateMode); err != nil {
		return errors.Wrap(err, "write key")
	}
	return errors.Wrap(os.WriteFile(base+certificateSuffix, pair.Certificate, publicMode), "write certificate")
}
