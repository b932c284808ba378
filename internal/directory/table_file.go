package directory

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// tableFile keeps the servers and routers that a node knew, so that a site whose
// control nodes were all down serves again before every server has announced
// itself anew. It is a hint: servers in it become missing like others, an attempt
// names the instance that it is meant for, and who left is in the log.
const tableFile = "servers.json"

// restoreTable takes the servers of the file in as if they were heard of now.
func (n *Node) restoreTable() {
	data, err := os.ReadFile(filepath.Join(n.config.Folder, tableFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var kept shareMessage
	if err == nil {
		err = json.Unmarshal(data, &kept)
	}
	if err != nil {
		n.logger.WithError(err).Warn("server_table_not_read")
		return
	}
	for index := range kept.Instances {
		kept.Instances[index].Age, kept.Instances[index].Restored = 0, true
	}
	for index := range kept.Routers {
		// They count among those that share the servers, but are not asked before
		// they called.
		kept.Routers[index].Age = routerLiveness
	}
	n.takeIn(kept)
	n.logger.WithField("instances", len(kept.Instances)).WithField("routers", len(kept.Routers)).Info("server_table_restored")
}

// runTableFile writes the table when it has changed.
func (n *Node) runTableFile(ctx context.Context) {
	var written uint64
	var routers int
	every(ctx, tableInterval, func() {
		n.mutex.Lock()
		revision, live := n.registry.Revision(), len(n.routers.within(steadyclock.Now(), routerLifetime))
		n.mutex.Unlock()
		if revision == written && live == routers {
			return
		}
		data, err := json.Marshal(n.table(tablePosition{}).shareMessage)
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
