// Package verifier holds the system tests of the guarantees. They start the real processes with stand-ins for platform
// and upstreams, inject faults and check what callers received and upstreams ran.
package verifier
