package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/loader"
)

var digest = strings.Repeat("0a", 32)

var entryText = `{
  // An entry.
  "node": "e1", "failureDomain": "d", "callers": "0.0.0.0:80", "operators": "127.0.0.1:81",
  "fleet": "127.0.0.1:82", "platform": "http://127.0.0.1:83",
  "keys": {"authority": "a.pem", "certificate": "c.pem", "key": "k.pem"},
  "operatorKeyDigests": ["` + digest + `"],
}`

const agentText = `{
  "node": "a1", "failureDomain": "d", "upstream": "u", "upstreamURL": "http://127.0.0.1:90", "upstreamKind": "engine",
  "fleet": "0.0.0.0:91", "advertise": "127.0.0.1:91", "peers": ["127.0.0.1:82"], "platform": "http://127.0.0.1:83",
  "keys": {"authority": "a.pem", "certificate": "c.pem", "key": "k.pem"}, "logLevel": "debug", "metrics": "127.0.0.1:92"
}`

func keys() loader.Keys {
	return loader.Keys{Authority: "a.pem", Certificate: "c.pem", Key: "k.pem"}
}

// Guards against a setting that is lost when it is decoded or encoded, and against a missing default.
func TestParseAndEncode(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "entry.hujson")
	require.NoError(t, os.WriteFile(path, []byte(entryText), 0o600))
	entry, err := loader.LoadEntry(path)
	require.NoError(t, err)
	require.Equal(t, loader.Entry{
		Node: "e1", FailureDomain: "d", Callers: "0.0.0.0:80", Operators: "127.0.0.1:81", Fleet: "127.0.0.1:82",
		Advertise: "127.0.0.1:82", Platform: "http://127.0.0.1:83", Keys: keys(),
		OperatorKeyDigests: []identifier.Digest{identifier.Digest(digest)}, LogLevel: zerolog.InfoLevel, Routing: loader.RoutingBalanced,
	}, entry)
	again, err := loader.ParseEntry("again", loader.EncodeEntry(entry))
	require.NoError(t, err)
	require.Equal(t, entry, again)

	path = filepath.Join(t.TempDir(), "agent.hujson")
	require.NoError(t, os.WriteFile(path, []byte(agentText), 0o600))
	agent, err := loader.LoadAgent(path)
	require.NoError(t, err)
	require.Equal(t, loader.Agent{
		Node: "a1", FailureDomain: "d", Upstream: "u", UpstreamURL: "http://127.0.0.1:90", UpstreamKind: loader.UpstreamEngine,
		Fleet: "0.0.0.0:91", Advertise: "127.0.0.1:91", Peers: []string{"127.0.0.1:82"}, Platform: "http://127.0.0.1:83",
		Keys: keys(), LogLevel: zerolog.DebugLevel, Metrics: "127.0.0.1:92",
	}, agent)
	agentAgain, err := loader.ParseAgent("again", loader.EncodeAgent(agent))
	require.NoError(t, err)
	require.Equal(t, agent, agentAgain)
}

// Guards against invalid settings that are accepted, so that they are noticed only once the process runs.
func TestParseRejectsInvalidSettings(t *testing.T) {
	t.Parallel()
	cases := []struct{ from, to, field string }{
		{`"127.0.0.1:82"`, `"0.0.0.0:82"`, "fleet"},
		{`"127.0.0.1:82"`, `"127.0.0.1:0"`, "fleet"},
		{`"127.0.0.1:82"`, `"entry.example:82"`, "fleet"},
		{`"0.0.0.0:80"`, `"127.0.0.1:81"`, "operators"},
		{`"http://127.0.0.1:83"`, `"ftp://127.0.0.1:83"`, "platform"},
		{`"http://127.0.0.1:83"`, `"http://u:p@127.0.0.1:83"`, "platform"},
		{`"key": "k.pem"`, `"key": ""`, "keys.key"},
		{`"key": "k.pem"`, `"kez": "k.pem", "key": "k"`, "keys.kez"},
		{`["` + digest, `["` + strings.ToUpper(digest), "operatorKeyDigests[0]"},
		{`["` + digest + `"]`, `[]`, "operatorKeyDigests"},
		{`// An entry.`, `"logLevel": "loud",`, "logLevel"},
		{`// An entry.`, `"routing": "random",`, "routing"},
		{`// An entry.`, `"peers": ["127.0.0.1"],`, "peers[0]"},
		{`// An entry.`, `"upstream": "u",`, "upstream"},
		{`"node": "e1",`, ``, "node"},
	}
	for _, c := range cases {
		require.Contains(t, entryText, c.from)
		_, err := loader.ParseEntry("entry.hujson", []byte(strings.Replace(entryText, c.from, c.to, 1)))
		var invalid *loader.InvalidError
		require.ErrorAs(t, err, &invalid, c.to)
		require.Len(t, invalid.Problems(), 1, "%v", err)
		require.Equal(t, c.field, invalid.Problems()[0].Field)
		require.Regexp(t, `^entry\.hujson:\d+:\d+: field `, err.Error())
	}
	_, err := loader.ParseAgent("agent.hujson", []byte(strings.Replace(agentText, `["127.0.0.1:82"]`, `[]`, 1)))
	require.ErrorContains(t, err, "agent.hujson:3:64: field peers")
	_, err = loader.LoadAgent(filepath.Join(t.TempDir(), "absent"))
	require.ErrorContains(t, err, "give the path of a readable file")
}

// Guards against a common setting that overrides a node's own, and against problems that are reported at the position of
// another object.
func TestExpandEntries(t *testing.T) {
	t.Parallel()
	common := strings.NewReplacer(`"node": "e1", `, ``, `"127.0.0.1:82"`, `"127.0.0.1:99"`).Replace(entryText)
	text := `{"common": ` + common + `, "nodes": [
    {"node": "e1", "fleet": "127.0.0.1:82"},
    {"node": "e2", "logLevel": "warn"}]}`
	entries, err := loader.ParseEntries("entries", []byte(text))
	require.NoError(t, err)
	require.Len(t, entries, 2)
	require.Equal(t, "127.0.0.1:82", entries[0].Fleet)
	require.Equal(t, "127.0.0.1:99", entries[1].Advertise)
	require.Equal(t, zerolog.WarnLevel, entries[1].LogLevel)

	_, err = loader.ParseEntries("entries", []byte(strings.Replace(text, `"e2"`, `"e1"`, 1)))
	require.ErrorContains(t, err, "entries:9:14: field nodes[1].node")
	_, err = loader.ParseEntries("entries", []byte(strings.Replace(text, `"c.pem"`, `"c.pem", "extra": 1`, 1)))
	require.EqualError(t, err, `entries:5:58: field common.keys.extra has the value (a number): the field is unknown; remove it or correct its name`)
	_, err = loader.ParseEntries("entries", []byte(strings.Replace(text, `"warn"`, `"loud"`, 1)))
	require.ErrorContains(t, err, "entries:9:32: field nodes[1].logLevel")
}
