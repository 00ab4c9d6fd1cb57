package declarer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed default seed for the random sequences. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
