package switcher_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed and the number of random sequences. The flags -rapid.seed and -rapid.checks
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
