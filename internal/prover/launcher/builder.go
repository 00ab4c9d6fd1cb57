package launcher

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Binaries holds the paths of the binaries of a deployment: currantledge and its stand-ins.
type Binaries struct {
	Product string
	Standin string
}

// FindBinaries returns the binaries in a folder, or an error if one is missing.
func FindBinaries(folder string) (Binaries, error) {
	b := Binaries{Product: filepath.Join(folder, "currantledge"), Standin: filepath.Join(folder, "standin")}
	for _, path := range []string{b.Product, b.Standin} {
		if _, err := os.Stat(path); err != nil {
			return Binaries{}, errors.Wrap(err, "find binaries; run make build")
		}
	}
	return b, nil
}

// BuildBinaries builds the binaries of the module that contains the current folder, and writes them to a folder.
func BuildBinaries(ctx context.Context, folder string) (Binaries, error) {
	modFile, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	if err != nil {
		return Binaries{}, errors.Wrap(err, "find the module")
	}
	root := filepath.Dir(strings.TrimSpace(string(modFile)))
	build := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), ".", "./cmd/...")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return Binaries{}, errors.Wrapf(err, "build the binaries: %s", output)
	}
	return FindBinaries(folder)
}
