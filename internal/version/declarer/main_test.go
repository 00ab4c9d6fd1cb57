package declarer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random sequences, which the command line can still set.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
