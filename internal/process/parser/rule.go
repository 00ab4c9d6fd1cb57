package parser

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"regexp"
)

const (
	digestBytes  = 32
	maxNameBytes = 63
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Name accepts names of nodes and resources. Their characters are restricted because URLs and table keys contain them.
func Name() Rule {
	return Rule{Check: func(value string) string {
		if len(value) <= maxNameBytes && namePattern.MatchString(value) {
			return ""
		}
		return "write 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
	}}
}

// NotEmpty accepts any text that is not empty.
func NotEmpty() Rule {
	return Rule{Check: func(value string) string {
		if value != "" {
			return ""
		}
		return "write a text that is not empty"
	}}
}

// Digest accepts SHA-256 digests. Its values are secret, because an operator may paste the key itself by mistake.
func Digest() Rule {
	return Rule{Secret: true, Check: func(value string) string {
		raw, err := hex.DecodeString(value)
		if err == nil && len(raw) == digestBytes && value == hex.EncodeToString(raw) {
			return ""
		}
		return "write the SHA-256 digest of the key as 64 lower-case hexadecimal digits, never the key itself"
	}}
}

// ListenAddress accepts an IP address with a port. The address may be unspecified, as in 0.0.0.0:7400.
func ListenAddress() Rule {
	return Rule{Check: func(value string) string {
		address, err := netip.ParseAddrPort(value)
		if err == nil && address.Port() != 0 {
			return ""
		}
		return "write an IP address and a port from 1 to 65535, for example 127.0.0.1:7400"
	}}
}

// PeerAddress accepts an IP address with a port to which other nodes can connect.
func PeerAddress() Rule {
	return Rule{Check: func(value string) string {
		address, err := netip.ParseAddrPort(value)
		if err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast() {
			return ""
		}
		return "write an IP address that other nodes can reach and a port from 1 to 65535, for example 127.0.0.1:7400"
	}}
}

// URL accepts http and https URLs without user information, query or fragment.
func URL() Rule {
	return Rule{Check: func(value string) string {
		u, err := url.Parse(value)
		if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
			u.User == nil && u.RawQuery == "" && u.Fragment == "" {
			return ""
		}
		return "write an http or https URL without user, query and fragment, for example http://127.0.0.1:7300"
	}}
}
