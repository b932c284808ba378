package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// establishedState is the state of an open connection in Linux's table.
const establishedState = "01"

// crossings counts the open connections between processes of two regions, as
// the machine's table of connections has them. Processes that are gone have none.
func crossings(processes []Process) (int, error) {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return 0, err
	}
	owners := make(map[string]int)
	for _, process := range processes {
		for _, inode := range socketInodes(process.PID) {
			owners[inode] = process.Region
		}
	}
	return countCrossings(string(table), owners), nil
}

// socketInodes lists the sockets of a process.
func socketInodes(pid int) []string {
	const begin, end = "socket:[", "]"
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil
	}
	var inodes []string
	for _, file := range files {
		target, err := os.Readlink(file)
		if err != nil || !strings.HasPrefix(target, begin) {
			continue
		}
		inodes = append(inodes, strings.TrimSuffix(strings.TrimPrefix(target, begin), end))
	}
	return inodes
}

// countCrossings counts the connections of a table in Linux's form whose two
// ends belong to different regions; owners gives the region of a socket.
func countCrossings(table string, owners map[string]int) int {
	const fieldLocal, fieldRemote, fieldState, fieldInode, fields = 1, 2, 3, 9, 10
	regions := make(map[[2]string]int)
	for line := range strings.Lines(table) {
		columns := strings.Fields(line)
		if len(columns) < fields || columns[fieldState] != establishedState {
			continue
		}
		if region, known := owners[columns[fieldInode]]; known {
			regions[[2]string{columns[fieldLocal], columns[fieldRemote]}] = region
		}
	}
	ends := 0
	for connection, region := range regions {
		other, known := regions[[2]string{connection[1], connection[0]}]
		if known && other != region {
			ends++
		}
	}
	return ends / 2
}
