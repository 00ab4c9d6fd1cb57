package switcher_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of sequences; the command line takes precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
