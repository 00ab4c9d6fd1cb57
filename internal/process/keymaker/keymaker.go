// Package keymaker writes the key files of a fleet.
package keymaker

import (
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/authenticator"
)

const (
	authorityName  = "authority"
	privateMode    = 0o600
	publicMode     = 0o644
	directoryMode  = 0o700
	certificateEnd = ".pem"
	keyEnd         = "-key.pem"
)

// Config holds what is to be made.
type Config struct {
	// Directory receives the files. The authority in it is used, or made if there is none.
	Directory string
	Nodes     []authenticator.Identity
	Now       time.Time
}

// Make writes NAME.pem and NAME-key.pem for each node.
func Make(cfg Config) error {
	if err := os.MkdirAll(cfg.Directory, directoryMode); err != nil {
		return errors.Wrapf(err, "make directory %s", cfg.Directory)
	}
	authority, err := authorityOf(cfg)
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
		if err := write(cfg.Directory, string(node.Node), pair); err != nil {
			return err
		}
	}
	return nil
}

// checkName refuses names that would write outside the directory or over the authority.
func checkName(name string) error {
	if name == "" || name == authorityName || name != filepath.Base(name) {
		return errors.Newf("node name %q cannot be a file name; use letters, digits, dots and dashes", name)
	}
	return nil
}

func authorityOf(cfg Config) (authenticator.KeyPair, error) {
	base := filepath.Join(cfg.Directory, authorityName)
	certificate, err := os.ReadFile(base + certificateEnd)
	if errors.Is(err, os.ErrNotExist) {
		pair, err := authenticator.NewAuthority(cfg.Now)
		if err != nil {
			return pair, err
		}
		return pair, write(cfg.Directory, authorityName, pair)
	}
	if err != nil {
		return authenticator.KeyPair{}, errors.Wrap(err, "read authority")
	}
	key, err := os.ReadFile(base + keyEnd)
	if err != nil {
		return authenticator.KeyPair{}, errors.Wrap(err, "read authority key; restore it beside the certificate")
	}
	return authenticator.KeyPair{Certificate: certificate, Key: key}, nil
}

func write(directory, name string, pair authenticator.KeyPair) error {
	base := filepath.Join(directory, name)
	if err := os.WriteFile(base+keyEnd, pair.Key, privateMode); err != nil {
		return errors.Wrap(err, "write key")
	}
	return errors.Wrap(os.WriteFile(base+certificateEnd, pair.Certificate, publicMode), "write certificate")
}
