// Package flooder holds the tests that send what misbehaving clients send to processes of the built program: unfinished
// requests, heads of very many fields, requests whose responses nobody reads, and crowds of connections.
package flooder
