package directory

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// tableFile stores the servers and routers known to a node, so that a site whose control nodes
// were all down serves again before every server has sent a heartbeat. It is only a hint:
// servers in it become missing like others, an attempt names the instance that it is meant for,
// and departures are in the log.
const tableFile = "servers.json"

// restoreTable loads the servers of the file as if they had just been reported.
func (n *Node) restoreTable() {
	data, err := os.ReadFile(filepath.Join(n.config.Folder, tableFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var saved shareMessage
	if err == nil {
		err = json.Unmarshal(data, &saved)
	}
	if err != nil {
		n.logger.WithError(err).Warn("server_table_not_read")
		return
	}
	for index := range saved.Instances {
		saved.Instances[index].Age, saved.Instances[index].Restored = 0, true
	}
	for index := range saved.Routers {
		// They count among those that share the servers, but get no requests before they call.
		saved.Routers[index].Age = routerLiveness
	}
	n.mergeShare(saved)
	n.logger.WithField("instances", len(saved.Instances)).WithField("routers", len(saved.Routers)).Info("server_table_restored")
}

// runTableFile writes the table when it has changed.
func (n *Node) runTableFile(ctx context.Context) {
	var written uint64
	var routers int
	runEvery(ctx, tableWriteInterval, func() {
		n.mutex.Lock()
		revision, live := n.registry.Revision(), len(n.routers.activeWithin(steadyclock.Now(), routerLifetime))
		n.mutex.Unlock()
		if revision == written && live == routers {
			return
		}
		data, err := json.Marshal(n.tableSince(tablePosition{}).shareMessage)
		if err == nil {
			err = replaceFile(n.config.Folder, tableFile, data)
		}
		if err != nil {
			n.logger.WithError(err).Debug("server_table_not_written")
			return
		}
		written, routers = revision, live
	})
}
