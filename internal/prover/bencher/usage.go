package bencher

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// usage holds the processor time and the memory, in bytes, that a process uses.
type usage struct {
	cpu time.Duration
	// resident is the resident memory, anonymous the part of it that is not backed by a file such as the binary.
	resident, anonymous int64
}

const (
	// clockTick is the unit of processor times in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the indexes of the user and system time among the fields of /proc/PID/stat after
	// the closing parenthesis of the command.
	userField   = 11
	systemField = 12
	kibibyte    = 1024
)

// usageOf returns the usage of a running process.
func usageOf(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "read processor time")
	}
	// The command may contain spaces and parentheses. The last parenthesis closes it.
	line := string(raw)
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) <= systemField {
		return usage{}, errors.Newf("read processor time: %d fields in /proc/%d/stat", len(fields), pid)
	}
	var u usage
	for _, i := range []int{userField, systemField} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return usage{}, errors.Wrap(err, "read processor time")
		}
		u.cpu += time.Duration(ticks) * clockTick
	}
	return u, u.readMemory(pid)
}

func (u *usage) readMemory(pid int) error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return errors.Wrap(err, "read memory")
	}
	sizes := map[string]*int64{"VmRSS:": &u.resident, "RssAnon:": &u.anonymous}
	for line := range strings.SplitSeq(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || sizes[fields[0]] == nil {
			continue
		}
		size, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return errors.Wrap(err, "read memory")
		}
		*sizes[fields[0]] = size * kibibyte
	}
	return nil
}
