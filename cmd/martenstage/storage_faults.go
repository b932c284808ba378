//go:build storagefaults

package main

import (
	"os"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/proof/faultydisk"
	"github.com/martenstage/martenstage/internal/voter"
)

// Builds with the tag storagefaults stall, slow or fill the disk of a directory node as the file
// that storageFaultsFile names says: "stall", "slow DURATION", "full", or nothing.
const (
	storageFaultsFile     = "MARTENSTAGE_STORAGE_FAULTS"
	storageFaultsInterval = 10 * time.Millisecond
)

func init() {
	path := os.Getenv(storageFaultsFile)
	if path == "" {
		return
	}
	disk := &faultydisk.Disk{}
	wrapStore = func(log voter.Store) voter.Store { return disk.Wrap(log) }
	go followStorageFaults(path, disk)
}

// followStorageFaults carries out what the file says, until the process ends.
func followStorageFaults(path string, disk *faultydisk.Disk) {
	release := func() {}
	for last := ""; ; time.Sleep(storageFaultsInterval) {
		text, err := os.ReadFile(path)
		if err != nil || string(text) == last {
			continue // A file that is not there says nothing.
		}
		last = string(text)
		release()
		release = func() {}
		kind, length, _ := strings.Cut(last, " ")
		delay, err := time.ParseDuration(length)
		if err != nil {
			delay = 0
		}
		disk.Slow(delay)
		disk.Fill(kind == "full")
		if kind == "stall" {
			release = disk.Stall()
		}
	}
}
