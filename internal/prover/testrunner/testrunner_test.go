package testrunner_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/prover/testrunner"
)

// Guards against a package that counts as passed because the only test that failed is listed, although a crash kept its
// other tests from running.
func TestKnownFailureHidesNoCrash(t *testing.T) {
	for name, tt := range map[string]struct {
		body   string
		passes bool
	}{
		"failure": {body: `t.Fail()`, passes: true},
		"panic":   {body: `panic("x")`},
		"exit":    {body: `t.Fail(); os.Exit(3)`},
	} {
		t.Run(name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			t.Setenv("GOFLAGS", "")
			write := func(file, text string) {
				require.NoError(t, os.WriteFile(filepath.Join(".", file), []byte(text), 0o600))
			}
			write("go.mod", "module example.com/m\n")
			write("m_test.go", "package m\n\nimport (\n\t\"os\"\n\t\"testing\"\n)\n\nvar _ = os.Exit\n\n"+
				"func TestListed(t *testing.T) { "+tt.body+" }\n\nfunc TestOther(*testing.T) {}\n")
			write("KNOWN-RED.txt", "test: example.com/m TestListed\n")
			var output bytes.Buffer
			err := testrunner.Run(t.Context(), testrunner.Config{Args: []string{"./..."}, KnownRed: "KNOWN-RED.txt", Output: &output})
			require.Equal(t, tt.passes, err == nil, "%v: %s", err, output.String())
		})
	}
}
