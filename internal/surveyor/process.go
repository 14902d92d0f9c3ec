package surveyor

import (
	"bytes"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// clockTick is the unit in which the kernel reports processor time to user space.
const clockTick = 10 * time.Millisecond

// Usage is the processor time that a process has used so far, and its present resident
// memory.
type Usage struct {
	ProcessorTime time.Duration
	ResidentBytes int64
}

// ReadUsage reads the usage of a process on this machine.
func ReadUsage(pid int) (Usage, error) {
	const op = "read-usage"
	dir := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, &Error{Op: op, Kind: KindProcess, Err: err}
	}
	statm, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return Usage{}, &Error{Op: op, Kind: KindProcess, Err: err}
	}
	return parseUsage(stat, statm)
}

// parseUsage parses the contents of the files stat and statm of a process.
func parseUsage(stat, statm []byte) (Usage, error) {
	// The command's name is in parentheses and may contain spaces and parentheses.
	end := bytes.LastIndexByte(stat, ')')
	fields := bytes.Fields(stat[end+1:])
	pages := bytes.Fields(statm)
	const userTime, systemTime, resident = 11, 12, 1
	if end < 0 || len(fields) <= systemTime || len(pages) <= resident {
		return Usage{}, &Error{Op: "parse-usage", Kind: KindProcess, Err: errors.New("too few fields")}
	}
	var numbers [3]int64
	for i, field := range [][]byte{fields[userTime], fields[systemTime], pages[resident]} {
		n, err := strconv.ParseInt(string(field), 10, 64)
		if err != nil {
			return Usage{}, &Error{Op: "parse-usage", Kind: KindProcess, Err: err}
		}
		numbers[i] = n
	}
	return Usage{
		ProcessorTime: time.Duration(numbers[0]+numbers[1]) * clockTick,
		ResidentBytes: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
