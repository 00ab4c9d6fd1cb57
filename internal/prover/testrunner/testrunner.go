// Package testrunner runs go test and separates unexpected failures from the known failures listed in KNOWN-RED.txt.
package testrunner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds a line of the output of go test -json.
const maxLineBytes = 1 << 20

// Config configures a run.
type Config struct {
	// Args are the arguments of go test.
	Args []string
	// KnownRed is the path of the list of known failures, which may be missing.
	KnownRed string
	Output   io.Writer
}

// testName identifies a test by package and name.
type testName struct {
	Package string
	Test    string
}

// event is a line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// Run runs the tests and prints the output of failed tests and a summary. It returns an error if a test fails that is
// not a known failure.
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
	results := newCollector(known, cfg.Output)
	readErr := results.read(stdout)
	waitErr := command.Wait()
	if readErr != nil {
		return readErr
	}
	return results.finish(waitErr)
}

// readKnownRed returns the tests in lines of the form "test: PACKAGE NAME", none if the file is missing.
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

// collector counts the results of tests and holds the output of tests that are running or have failed.
type collector struct {
	known   map[testName]bool
	out     io.Writer
	output  map[testName][]string
	passed  int
	skipped int
	failed  []testName
}

func newCollector(known map[testName]bool, out io.Writer) *collector {
	return &collector{known: known, out: out, output: map[testName][]string{}}
}

// read adds the events of a run. It prints lines that are not events.
func (c *collector) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Fprintln(c.out, scanner.Text())
			continue
		}
		c.add(e)
	}
	return errors.Wrap(scanner.Err(), "read output of go test")
}

func (c *collector) add(e event) {
	name := testName{Package: e.Package, Test: e.Test}
	switch e.Action {
	case "build-output":
		fmt.Fprint(c.out, e.Output)
	case "output":
		c.output[name] = append(c.output[name], e.Output)
	case "pass":
		if e.Test == "" {
			fmt.Fprintln(c.out, "ok  ", e.Package)
		} else {
			c.passed++
		}
		delete(c.output, name)
	case "skip":
		if e.Test != "" {
			c.skipped++
		}
		delete(c.output, name)
	case "fail":
		c.failed = append(c.failed, name)
	}
}

// finish prints the failures and a summary, and returns an error if a failure was unexpected or go test failed for
// another reason. A package fails when one of its tests fails, so the failure of a package counts only if none of its
// tests failed, as after a build error, or if it did not run to its end, as after a panic.
func (c *collector) finish(waitErr error) error {
	hasFailedTest := map[string]bool{}
	for _, name := range c.failed {
		if name.Test != "" {
			hasFailedTest[name.Package] = true
		}
	}
	sort.Slice(c.failed, func(i, j int) bool {
		return c.failed[i].Package+c.failed[i].Test < c.failed[j].Package+c.failed[j].Test
	})
	unexpected := 0
	for _, name := range c.failed {
		if name.Test == "" && hasFailedTest[name.Package] && c.hasEnded(name.Package) {
			continue
		}
		fmt.Fprint(c.out, strings.Join(c.output[name], ""))
		if c.isKnown(name) {
			fmt.Fprintf(c.out, "known red: %s %s\n", name.Package, name.Test)
			continue
		}
		fmt.Fprintf(c.out, "FAIL: %s %s\n", name.Package, name.Test)
		unexpected++
	}
	if waitErr != nil && len(c.failed) == 0 {
		return errors.Wrap(waitErr, "go test")
	}
	fmt.Fprintf(c.out, "%d passed, %d failed, %d skipped\n", c.passed, unexpected, c.skipped)
	if unexpected > 0 {
		return errors.Newf("%d tests failed; see the output above", unexpected)
	}
	return nil
}

// hasEnded reports whether a package with failed tests ran all of them: the testing package then prints a line, which is
// missing after a panic, an exit or the timeout of go test.
func (c *collector) hasEnded(name string) bool {
	return slices.Contains(c.output[testName{Package: name}], "FAIL\n")
}

// isKnown reports whether a failure is listed. A test whose failed subtests are all listed is known too, since it fails
// with them.
func (c *collector) isKnown(name testName) bool {
	if c.known[name] {
		return true
	}
	subtests, knownSubtests := 0, 0
	for _, failed := range c.failed {
		if failed.Package == name.Package && strings.HasPrefix(failed.Test, name.Test+"/") {
			subtests++
			if c.known[failed] {
				knownSubtests++
			}
		}
	}
	return name.Test != "" && subtests > 0 && subtests == knownSubtests
}
