// Command casetool runs the scripted cases of the second review: it starts gateways as separate processes on loopback
// addresses beside small stand-ins of the platform's store, runners and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// The exit statuses of a case.
const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

// scenario is a case: it runs with or without its disruption and returns an exit status.
type scenario func(program, folder string, rec *record, trouble bool) (int, error)

var scenarios = map[string]scenario{
	"drill":       drill,
	"shortCounts": shortCounts,
	"spoiledList": spoiledList,
	"staleLeader": staleLeader,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: casetool SCENARIO PROGRAM RECORD; TROUBLE=0 leaves the disruption out")
		return statusNotRun
	}
	play, found := scenarios[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "casetool: no scenario", os.Args[1])
		return statusNotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "casetool:", err)
		return statusNotRun
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "casetool:", err)
		return statusNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("kept:", folder)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "casetool:", err)
		return statusNotRun
	}
	status, err := play(program, folder, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.conclude("the case could not run: %v", err)
		return statusNotRun
	}
	return status
}

// panicText returns the lines of a log that tell of a panic: its message and the first frames.
func panicText(log string) string {
	const frames = 40
	lines := strings.Split(log, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.Join(withoutPaths(lines[i:min(len(lines), i+frames)]), "\n")
		}
	}
	return "no panic"
}

// withoutPaths leaves out the lines of a trace that name source files.
func withoutPaths(lines []string) []string {
	return slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, "\t") })
}
