package overhead

import (
	"bufio"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// clockTicksPerSecond is the unit of CPU times in /proc (sysconf(_SC_CLK_TCK) on Linux).
const clockTicksPerSecond = 100

// Indexes of fields of /proc/PID/stat, counted from the field after the command name (proc_pid_stat(5)).
const (
	userTimeField   = 11
	systemTimeField = 12
)

// cpuSeconds returns the user and system CPU time of a process, or 0 if it cannot be read.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[userTimeField], 64)
	system, _ := strconv.ParseFloat(fields[systemTimeField], 64)
	return (user + system) / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process, or 0 if it cannot be read.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// decideCounts reads the node's histogram of the duration of scheduler steps. It returns cumulative counts by upper bound (s), or nil if
// the metrics cannot be read.
func decideCounts(admin string) map[float64]float64 {
	if admin == "" {
		return nil
	}
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	counts := map[float64]float64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		rest, found := strings.CutPrefix(lines.Text(), `dillroute_scheduler_step_seconds_bucket{le="`)
		if !found {
			continue
		}
		boundText, countText, _ := strings.Cut(rest, `"} `)
		bound, err := strconv.ParseFloat(boundText, 64)
		if err != nil {
			continue
		}
		counts[bound], _ = strconv.ParseFloat(countText, 64)
	}
	return counts
}

// quantile returns the upper bound of the bucket that contains the q-quantile of the values counted between two readings.
func quantile(before, after map[float64]float64, q float64) float64 {
	total := 0.0
	for bound, count := range after {
		total = max(total, count-before[bound])
	}
	lowest := 0.0
	for bound, count := range after {
		if count-before[bound] >= q*total && (lowest == 0 || bound < lowest) {
			lowest = bound
		}
	}
	return lowest
}
