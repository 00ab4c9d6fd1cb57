// Package verifier holds the integration tests of the guarantees, with real processes behind fault proxies.
package verifier
