package declarer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/declarer"
)

const (
	groupText    = `{"name": "g", "models": [{"name": "m", "version": "1", "adapters": ["a"]}], "failureDomains": ["d"], "ranks": 2, "experts": 4, "expertBytes": 10}`
	upstreamText = `{"name": "u", "address": "127.0.0.1:1", "failureDomain": "d", "modelGroup": "g", "rank": 1, "coldLimit": 1, "warmLimit": 8, "warmAfter": 5}`
	customerText = `{"name": "c", "share": 1, "keyDigests": ["%s"], "maxWaiting": 5}`
)

var digest = strings.Repeat("0a", 32)

// Guards against a field that is lost when a resource is decoded or encoded, and against a missing default.
func TestDecode(t *testing.T) {
	t.Parallel()
	cases := []struct {
		kind declarer.Kind
		text string
		want declarer.Resource
	}{
		{declarer.KindModelGroups, groupText, declarer.ModelGroup{
			Name: "g", Models: []declarer.Model{{Name: "m", Version: "1", Adapters: []string{"a"}}},
			FailureDomains: []identifier.FailureDomain{"d"}, Ranks: 2, Experts: 4, ExpertBytes: 10,
		}},
		{declarer.KindFailureDomains, `{"name": "d", /* comment */ "region": "r",}`, declarer.FailureDomain{Name: "d", Region: "r", State: declarer.DomainIn}},
		{declarer.KindUpstreams, upstreamText, declarer.Upstream{
			Name: "u", Address: "127.0.0.1:1", FailureDomain: "d", ModelGroup: "g", Rank: 1, ColdLimit: 1, WarmLimit: 8,
			WarmAfter: 5, State: declarer.UpstreamActive,
		}},
		{declarer.KindCustomers, fmt.Sprintf(customerText, digest), declarer.Customer{
			Name: "c", Share: 1, KeyDigests: []identifier.Digest{identifier.Digest(digest)}, MaxWaiting: 5,
		}},
		{declarer.KindServices, `{"name": "s", "idempotentPaths": ["/a", "/b/*"]}`, declarer.Service{Name: "s", IdempotentPaths: []string{"/a", "/b/*"}}},
	}
	for _, c := range cases {
		got, err := declarer.Decode(c.kind, "file", []byte(c.text))
		require.NoError(t, err)
		require.Equal(t, c.want, got)
		again, err := declarer.Decode(c.kind, "file", declarer.Encode(got))
		require.NoError(t, err)
		require.Equal(t, string(declarer.Encode(got)), string(declarer.Encode(again)))
	}
}

// Guards against invalid values that are accepted, and against problems without position, value or remedy.
func TestDecodeRejectsInvalidText(t *testing.T) {
	t.Parallel()
	edit := func(text, from, to string) string {
		require.Contains(t, text, from)
		return strings.Replace(text, from, to, 1)
	}
	cases := []struct {
		kind  declarer.Kind
		text  string
		field string
		value string
	}{
		{declarer.KindFailureDomains, `{"name": "d", "region": "r", "state": "off"}`, "state", `"off"`},
		{declarer.KindFailureDomains, `{"name": "a/b", "region": "r"}`, "name", `"a/b"`},
		{declarer.KindFailureDomains, `{"name": "..", "region": "r"}`, "name", `".."`},
		{declarer.KindFailureDomains, `{"name": "d"}`, "region", ""},
		{declarer.KindFailureDomains, `{"name": "d", "region": "r", "name": "e"}`, "name", ""},
		{declarer.KindFailureDomains, `{"name": "d", "region": "r", "Name": "e"}`, "Name", "(a text of 1 characters)"},
		{declarer.KindFailureDomains, `{"name": "d", "region": null}`, "region", "null"},
		{declarer.KindFailureDomains, `[]`, "", ""},
		{declarer.KindFailureDomains, `{"name": }`, "", ""},
		{declarer.KindModelGroups, edit(groupText, `"ranks": 2`, `"ranks": 0`), "ranks", "0"},
		{declarer.KindModelGroups, edit(groupText, `"ranks": 2`, `"ranks": 2.5`), "ranks", "2.5"},
		{declarer.KindModelGroups, edit(groupText, `["d"]`, `["d", "d"]`), "failureDomains[1]", `"d"`},
		{declarer.KindModelGroups, edit(groupText, `"version": "1"`, `"version": "1", "extra": 1`), "models[0].extra", "(a number)"},
		{declarer.KindModelGroups, edit(groupText, `["d"]`, `[]`), "failureDomains", "(an array)"},
		{declarer.KindUpstreams, edit(upstreamText, `"127.0.0.1:1"`, `"localhost:1"`), "address", `"localhost:1"`},
		{declarer.KindUpstreams, edit(upstreamText, `"127.0.0.1:1"`, `"0.0.0.0:1"`), "address", `"0.0.0.0:1"`},
		{declarer.KindUpstreams, edit(upstreamText, `"127.0.0.1:1"`, `"127.0.0.1:0"`), "address", `"127.0.0.1:0"`},
		{declarer.KindUpstreams, edit(upstreamText, `"warmLimit": 8`, `"warmLimit": 0`), "warmLimit", "0"},
		{declarer.KindUpstreams, edit(upstreamText, `"coldLimit": 1`, `"coldLimit": 9`), "warmLimit", ""},
		{declarer.KindUpstreams, edit(upstreamText, `"modelGroup"`, `"service": "s", "modelGroup"`), "service", ""},
		{declarer.KindUpstreams, edit(upstreamText, `"modelGroup"`, `"service"`), "rank", ""},
		{declarer.KindUpstreams, edit(upstreamText, `"modelGroup": "g", "rank": 1,`, ``), "modelGroup", ""},
		{declarer.KindUpstreams, edit(upstreamText, `"rank": 1,`, ``), "rank", ""},
		{declarer.KindCustomers, edit(fmt.Sprintf(customerText, digest), `"share": 1`, `"share": 0`), "share", "0"},
		{declarer.KindCustomers, edit(fmt.Sprintf(customerText, digest), `"share": 1`, `"share": "1"`), "share", `"1"`},
		{declarer.KindServices, `{"name": "s", "idempotentPaths": ["a"]}`, "idempotentPaths[0]", `"a"`},
		{declarer.KindServices, `{"name": "s", "idempotentPaths": ["/a/../b"]}`, "idempotentPaths[0]", `"/a/../b"`},
		{declarer.KindServices, `{"name": "s", "idempotentPaths": ["/*/b"]}`, "idempotentPaths[0]", `"/*/b"`},
	}
	for _, c := range cases {
		_, err := declarer.Decode(c.kind, "file", []byte(c.text))
		var invalid *declarer.InvalidError
		require.ErrorAs(t, err, &invalid, c.text)
		problems := invalid.Problems()
		require.Len(t, problems, 1, "%s: %v", c.text, err)
		require.Equal(t, c.field, problems[0].Field, c.text)
		require.Equal(t, c.value, problems[0].Value, c.text)
		require.Equal(t, "file", problems[0].File)
		require.Equal(t, 1, problems[0].Line)
		require.Positive(t, problems[0].Column)
		require.NotEmpty(t, problems[0].Remedy)
	}
}

// Guards against an error that contains only the first problem, and against wrong positions.
func TestDecodeReportsAllProblems(t *testing.T) {
	t.Parallel()
	text := "{\n  // é comment\n  \"name\": \"\",\n  \"région\": \"r\", \"state\": 1\n}"
	_, err := declarer.Decode(declarer.KindFailureDomains, "d.hujson", []byte(text))
	require.EqualError(t, err, strings.Join([]string{
		`d.hujson:1:1: field region: the field is missing; add it`,
		`d.hujson:3:11: field name has the value "": write 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit`,
		`d.hujson:4:3: field région has the value (a text of 1 characters): the field is unknown; remove it or correct its name`,
		`d.hujson:4:27: field state has the value 1: write a text in double quotes`,
	}, "\n"))
}

// Guards against an error that contains a key which an operator wrote instead of its digest.
func TestDecodeNeverRepeatsKeys(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		fmt.Sprintf(customerText, "secret-key"),
		`{"name": "c", "share": 1, "keyDigests": [], "maxWaiting": 5, "key": "secret-key"}`,
		`{"name": "c", "share": 1, "keyDigests": "secret-key", "maxWaiting": 5}`,
	} {
		_, err := declarer.Decode(declarer.KindCustomers, "file", []byte(text))
		require.Error(t, err)
		require.NotContains(t, err.Error(), "secret")
	}
}

// Guards against references to missing resources, duplicate ranks and addresses, and a key that two customers share.
func TestDecodeFileChecksReferences(t *testing.T) {
	t.Parallel()
	text := `{
  "failureDomains": [{"name": "d", "region": "r"}],
  "modelGroups": [` + groupText + `],
  "upstreams": [
    ` + upstreamText + `,
    ` + strings.Replace(upstreamText, `"u"`, `"v"`, 1) + `,
    {"name": "w", "address": "127.0.0.1:3", "failureDomain": "x", "service": "s", "coldLimit": 1, "warmLimit": 1, "warmAfter": 1},
    ` + strings.NewReplacer(`"u"`, `"y"`, `127.0.0.1:1`, `127.0.0.1:4`, `"rank": 1`, `"rank": 2`).Replace(upstreamText) + `,
    ` + strings.NewReplacer(`"u"`, `"z"`, `127.0.0.1:1`, `127.0.0.1:5`, `}`, `, "state": "leaving"}`).Replace(upstreamText) + `,
  ],
  "customers": [` + fmt.Sprintf(customerText, digest) + `, ` + strings.Replace(fmt.Sprintf(customerText, digest), `"c"`, `"c2"`, 1) + `],
}`
	_, err := declarer.DecodeFile("file", []byte(text))
	var invalid *declarer.InvalidError
	require.ErrorAs(t, err, &invalid)
	var fields []string
	for _, p := range invalid.Problems() {
		require.Positive(t, p.Line)
		fields = append(fields, p.Field)
	}
	require.ElementsMatch(t, []string{
		"upstreams[1].address", "upstreams[1].rank", "upstreams[2].failureDomain", "upstreams[2].service",
		"upstreams[3].rank", "customers[1].keyDigests[0]",
	}, fields, err.Error())
	require.NotContains(t, err.Error(), digest)
}

// Guards against a path that matches an idempotent pattern, but that the service resolves to a non-idempotent operation.
func TestServiceIdempotent(t *testing.T) {
	t.Parallel()
	s := declarer.Service{IdempotentPaths: []string{"/stock", "/jobs/*"}}
	for path, want := range map[string]bool{
		"/stock": true, "/jobs/1": true, "/jobs/1/status": true,
		"/stock/1": false, "/jobs": false, "/jobsx": false, "/jobs/../orders": false, "/jobs/%2e%2e/orders": false, "/jobs//1": false,
		"/jobs/..\\orders": false, "jobs/1": false, "/jobs/1;x": false,
	} {
		require.Equal(t, want, s.Idempotent(path), path)
	}
}

// Guards against an invalid text that crashes the decoder.
func TestDecodeAnyText(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom(declarer.Kinds()).Draw(t, "kind")
		parts := rapid.SliceOf(rapid.SampledFrom([]string{
			"{", "}", "[", "]", ",", ":", `"name"`, `"models"`, `"rank"`, `"x"`, "1", "-1e9", "null", "true", "//\n", "é",
		})).Draw(t, "parts")
		r, err := declarer.Decode(kind, "file", []byte(strings.Join(parts, "")))
		if err != nil {
			require.Nil(t, r)
		}
	})
}

// Guards against a stack overflow of the decoder, which recurses for each level of a deeply nested text.
func TestDecodeDeepNesting(t *testing.T) {
	t.Parallel()
	for _, opening := range []string{"[", `{"a":`, "\"]\"[", "/*]*/[", "//]\n[", `"\"]"[`} {
		text := strings.Repeat(opening, (1<<20)/len(opening))
		_, err := declarer.Decode(declarer.KindServices, "file", []byte(text))
		require.Error(t, err)
	}
	_, err := declarer.Decode(declarer.KindServices, "file", []byte(strings.Repeat("[", 100)))
	require.EqualError(t, err, "file:1:65: the text nests more than 64 levels; use fewer")
	_, err = declarer.Decode(declarer.KindServices, "file", []byte(strings.Repeat("[", 1<<20+1)))
	require.ErrorContains(t, err, "shorten")
}
