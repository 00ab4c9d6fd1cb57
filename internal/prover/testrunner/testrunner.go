// Package testrunner runs go test and separates new failures from those listed in KNOWN-RED.txt.
package testrunner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

const maxLineBytes = 1 << 20

// Config holds what a run needs.
type Config struct {
	// Args are passed on to go test.
	Args []string
	// KnownRed is the path of the list of known failures.
	KnownRed string
	Output   io.Writer
}

// testName identifies a test by package and name.
type testName struct {
	Package string
	Test    string
}

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Run runs the tests, prints the output of failed ones and a closing count. It fails if a test fails
// that is not listed as known.
func Run(ctx context.Context, cfg Config) error {
	known, err := readKnownRed(cfg.KnownRed)
	if err != nil {
		return err
	}
	command := exec.CommandContext(ctx, "go", append([]string{"test", "-json"}, cfg.Args...)...)
	command.Stderr = cfg.Output
	stdout, err := command.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "open output of go test")
	}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start go test")
	}
	tally := newTally(known, cfg.Output)
	readErr := tally.read(stdout)
	waitErr := command.Wait()
	if readErr != nil {
		return readErr
	}
	return tally.close(waitErr)
}

// readKnownRed reads the tests named in lines "test: PACKAGE NAME".
func readKnownRed(path string) (map[testName]bool, error) {
	known := map[testName]bool{}
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read known failures")
	}
	for _, line := range strings.Split(string(raw), "\n") {
		rest, found := strings.CutPrefix(line, "test: ")
		if !found {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) != 2 {
			return nil, errors.Newf("%s: line %q: write \"test: PACKAGE NAME\"", path, line)
		}
		known[testName{Package: fields[0], Test: fields[1]}] = true
	}
	return known, nil
}

// tally counts results and keeps the output of running tests.
type tally struct {
	known   map[testName]bool
	out     io.Writer
	output  map[testName][]string
	passed  int
	skipped int
	failed  []testName
}

func newTally(known map[testName]bool, out io.Writer) *tally {
	return &tally{known: known, out: out, output: map[testName][]string{}}
}

func (t *tally) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Fprintln(t.out, scanner.Text())
			continue
		}
		t.add(e)
	}
	return errors.Wrap(scanner.Err(), "read output of go test")
}

func (t *tally) add(e event) {
	name := testName{Package: e.Package, Test: e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(t.out, e.Output)
	case "output":
		t.output[name] = append(t.output[name], e.Output)
	case "pass":
		if e.Test == "" {
			fmt.Fprintln(t.out, "ok  ", e.Package)
		} else {
			t.passed++
		}
		delete(t.output, name)
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
		delete(t.output, name)
	case "fail":
		t.failed = append(t.failed, name)
	}
}

// close prints failures and the count, and decides whether the run is acceptable. A package fails with its
// tests; such a package failure counts only if none of its tests failed, as after a build error or a crash.
func (t *tally) close(waitErr error) error {
	inPackage := map[string]bool{}
	for _, name := range t.failed {
		if name.Test != "" {
			inPackage[name.Package] = true
		}
	}
	sort.Slice(t.failed, func(i, j int) bool {
		return t.failed[i].Package+t.failed[i].Test < t.failed[j].Package+t.failed[j].Test
	})
	unexpected := 0
	for _, name := range t.failed {
		if name.Test == "" && inPackage[name.Package] {
			continue
		}
		fmt.Fprint(t.out, strings.Join(t.output[name], ""))
		if t.isKnown(name) {
			fmt.Fprintf(t.out, "known red: %s %s\n", name.Package, name.Test)
			continue
		}
		fmt.Fprintf(t.out, "FAIL: %s %s\n", name.Package, name.Test)
		unexpected++
	}
	if waitErr != nil && len(t.failed) == 0 {
		return errors.Wrap(waitErr, "go test")
	}
	fmt.Fprintf(t.out, "%d passed, %d failed, %d skipped\n", t.passed, unexpected, t.skipped)
	if unexpected > 0 {
		return errors.Newf("%d tests failed; see the output above", unexpected)
	}
	return nil
}

// isKnown also accepts the parents of listed subtests, which fail with them.
func (t *tally) isKnown(name testName) bool {
	if t.known[name] {
		return true
	}
	children, listed := 0, 0
	for _, failed := range t.failed {
		if failed.Package == name.Package && strings.HasPrefix(failed.Test, name.Test+"/") {
			children++
			if t.known[failed] {
				listed++
			}
		}
	}
	return name.Test != "" && children > 0 && children == listed
}
