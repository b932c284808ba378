package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Role of a measured process.
type Role string

// Roles.
const (
	RoleControl Role = "control"
	RoleRelay   Role = "relay"
	// RoleHollow is a process of hollow followers.
	RoleHollow Role = "hollow"
	// RoleSingle is a process of one hollow follower, which shares its memory
	// with no other. It is not counted among the followers.
	RoleSingle Role = "single"
	// RoleRouter is a real router beside the hollow ones.
	RoleRouter Role = "router"
)

// Process is a running process as the script that started it describes it.
type Process struct {
	Role Role   `json:"role"`
	Name string `json:"name"`
	// Region that it belongs to; 0 when there is one only.
	Region int `json:"region"`
	// Zone of a voter or relay; empty when the run doesn't need it.
	Zone string `json:"zone"`
	// PID on this machine, for the bytes that it reads and writes.
	PID int `json:"pid"`
	// Metrics is the address of its metrics page.
	Metrics string `json:"metrics"`
	// Address of the role's own listener.
	Address string `json:"address"`
	// Followers is how many hollow followers it runs.
	Followers int `json:"followers"`
}

// ReadProcesses reads one JSON object for each line.
func ReadProcesses(path string) ([]Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "list of processes")
	}
	var processes []Process
	for number, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
		var process Process
		if err := json.Unmarshal(line, &process); err != nil {
			return nil, errors.Wrapf(err, "%s:%d", path, number+1)
		}
		processes = append(processes, process)
	}
	return processes, nil
}

// sample is what a process has used up to a moment.
type sample struct {
	// cpu is processor time in seconds.
	cpu float64
	// resident memory in bytes.
	resident float64
	// read and written are bytes of all system calls: sockets, and for control
	// also the data folder.
	read, written float64
	// stored are bytes that the process caused to be written to a disk.
	stored float64
	// received and sent are bytes of the followers' connections, of hollow
	// processes only.
	received, sent float64
}

// sampler reads the state of processes.
type sampler struct {
	client *http.Client
}

func newSampler() *sampler {
	const timeout = 10 * time.Second
	return &sampler{client: &http.Client{Timeout: timeout}}
}

// take samples one process.
func (s *sampler) take(ctx context.Context, process Process) (sample, error) {
	values, err := s.metrics(ctx, process)
	if err != nil {
		return sample{}, err
	}
	taken, err := transferred(process.PID)
	if err != nil {
		return sample{}, errors.Wrapf(err, "process %s", process.Name)
	}
	taken.cpu, taken.resident = values["process_cpu_seconds_total"], values["process_resident_memory_bytes"]
	taken.received, taken.sent = values[metricReceived], values[metricSent]
	return taken, nil
}

// metrics reads the samples without labels of a metrics page.
func (s *sampler) metrics(ctx context.Context, process Process) (map[string]float64, error) {
	body, err := s.get(ctx, "http://"+process.Metrics+pathMetrics)
	if err != nil {
		return nil, errors.Wrapf(err, "metrics of %s", process.Name)
	}
	values := make(map[string]float64)
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values, lines.Err()
}

func (s *sampler) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return s.do(request)
}

// post sends a JSON value and decodes the answer.
func (s *sampler) post(ctx context.Context, url string, value, answer any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.do(request)
	if err != nil {
		return err
	}
	return json.Unmarshal(response, answer)
}

func (s *sampler) do(request *http.Request) ([]byte, error) {
	response, err := s.client.Do(request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	err = errors.CombineErrors(err, response.Body.Close())
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("%s answered %s", request.URL, response.Status)
	}
	return body, err
}

// transferred returns a sample with the bytes that a process has moved in all,
// as Linux counts them: sockets and files alike, and what went to a disk.
func transferred(pid int) (sample, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return sample{}, err
	}
	var taken sample
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "rchar":
			taken.read = number
		case "wchar":
			taken.written = number
		case "write_bytes":
			taken.stored = number
		}
	}
	return taken, nil
}
