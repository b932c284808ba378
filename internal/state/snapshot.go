package state

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// A snapshot consists of snapshotMagic, a version byte and an encoded
// StateSnapshot. The version changes only if the new encoding is not compatible
// with the older one at the level of fields; all older versions stay readable.
const (
	snapshotMagic = "martenstage-state"
	// snapshotVersion is the newest version. The version equals the state format,
	// so that a program that supports only the first format reads snapshots until
	// the format is raised to allow deltas, and rejects them from then on.
	snapshotVersion = LatestFormat
)

// Snapshot encodes the entire state. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &v1.StateSnapshot{
		TimeUnixMs:     m.now,
		Revisions:      lo.Map(m.config.revisions, storeRevision),
		CompressedPlan: m.config.plan,
		Changes:        lo.Map(m.changes.order, storeChange),
		Claims:         m.storeClaims(),
		Tombstones:     storeTombstones(m.claims.tombstones),
		Drains:         lo.Map(m.drains.sorted(), storeDrain),
		DrainsVersion:  m.drains.version,
		Events:         m.journal.all(),
		EventsDropped:  m.journal.dropped,
		PlanDeltas:     m.config.planDeltas,
	}
	if m.format > formatFullText {
		snapshot.Format = m.format
	}
	header := append([]byte(snapshotMagic), byte(m.format))
	encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(header, snapshot)
	return encoded, errors.Wrap(err, "encode state snapshot")
}

// Restore replaces the entire state with a snapshot. On an error the state is
// unchanged.
func (m *Machine) Restore(data []byte) error {
	headerSize := len(snapshotMagic) + 1
	if len(data) < headerSize || !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		return errors.New("not a state snapshot")
	}
	if version := uint32(data[headerSize-1]); version > snapshotVersion {
		return errors.Newf("state snapshot has version %d, this program reads up to %d", version, snapshotVersion)
	}
	snapshot := &v1.StateSnapshot{}
	if err := proto.Unmarshal(data[headerSize:], snapshot); err != nil {
		return errors.Wrap(err, "decode state snapshot")
	}
	restored := New(m.limits)
	if err := restored.load(snapshot); err != nil {
		return err
	}
	*m = *restored
	return nil
}

func (m *Machine) load(snapshot *v1.StateSnapshot) error {
	m.now = snapshot.GetTimeUnixMs()
	if m.format = max(formatFullText, snapshot.GetFormat()); m.format > LatestFormat {
		return errors.Newf("state snapshot has format %d, this program supports up to %d", m.format, LatestFormat)
	}
	for index, stored := range snapshot.GetRevisions() {
		if index > 0 && stored.GetNumber() != m.config.latest().Number+1 {
			return errors.Newf("state snapshot skips from revision %d to %d", m.config.latest().Number, stored.GetNumber())
		}
		if err := m.config.restore(loadRevision(stored)); err != nil {
			return err
		}
	}
	m.config.plan, m.config.planDeltas = snapshot.GetCompressedPlan(), snapshot.GetPlanDeltas()
	for _, stored := range snapshot.GetChanges() {
		m.changes.add(loadChange(stored))
	}
	for _, stored := range snapshot.GetClaims() {
		m.claims.put(loadClaim(stored))
	}
	if err := m.claims.loadTombstones(snapshot.GetTombstones()); err != nil {
		return err
	}
	for _, stored := range snapshot.GetDrains() {
		m.drains.byAddress[stored.GetAddress()] = loadDrain(stored)
	}
	m.drains.version = snapshot.GetDrainsVersion()
	for _, event := range snapshot.GetEvents() {
		m.journal.insert(event, m.limits)
	}
	m.journal.dropped += snapshot.GetEventsDropped()
	return nil
}

// restore appends a revision from a snapshot without applying limits.
func (c *configuration) restore(revision Revision) error {
	if revision.isDelta() && (c.textCount == 0 || c.latest().TextDropped) {
		return errors.Newf("state snapshot holds revision %d as the difference from a text that it does not hold", revision.Number)
	}
	c.revisions = append(c.revisions, revision)
	if !revision.TextDropped {
		c.textCount++
		c.textBytes += revision.textSize()
	}
	return nil
}

func (m *Machine) storeClaims() []*v1.StoredClaim {
	sorted := slices.SortedFunc(slices.Values(m.claims.expiries), func(left, right *claim) int {
		return cmp.Compare(left.id, right.id)
	})
	return lo.Map(sorted, func(value *claim, _ int) *v1.StoredClaim {
		return &v1.StoredClaim{
			RequestId:     value.id,
			Digest:        value.digest,
			Holder:        value.holder,
			Call:          value.call,
			ExpiresUnixMs: value.expires,
			Stage:         value.stage,
			Absolute:      value.absolute,
		}
	})
}

func loadClaim(stored *v1.StoredClaim) *claim {
	return &claim{
		id:       stored.GetRequestId(),
		digest:   stored.GetDigest(),
		holder:   stored.GetHolder(),
		call:     stored.GetCall(),
		expires:  stored.GetExpiresUnixMs(),
		stage:    stored.GetStage(),
		absolute: stored.GetAbsolute(),
	}
}

func storeRevision(revision Revision, _ int) *v1.StoredRevision {
	return &v1.StoredRevision{
		Number:         revision.Number,
		ChangeId:       revision.ChangeID,
		Author:         revision.Author,
		Comment:        revision.Comment,
		AcceptedUnixMs: revision.Accepted.UnixMilli(),
		CompressedText: revision.CompressedText,
		RollbackOf:     revision.RollbackOf,
		TextDropped:    revision.TextDropped,
		TextDelta:      revision.TextDelta,
	}
}

func loadRevision(stored *v1.StoredRevision) Revision {
	return Revision{
		Number:         stored.GetNumber(),
		ChangeID:       stored.GetChangeId(),
		Author:         stored.GetAuthor(),
		Comment:        stored.GetComment(),
		Accepted:       time.UnixMilli(stored.GetAcceptedUnixMs()),
		CompressedText: stored.GetCompressedText(),
		TextDelta:      stored.GetTextDelta(),
		TextDropped:    stored.GetTextDropped(),
		RollbackOf:     stored.GetRollbackOf(),
	}
}

func storeChange(result *changeResult, _ int) *v1.StoredChange {
	return &v1.StoredChange{
		ChangeId:     result.id,
		RequestHash:  result.hash,
		TimeUnixMs:   result.time,
		Result:       result.Result,
		Revision:     result.Revision,
		WinnerAuthor: result.WinnerAuthor,
		Detail:       result.Detail,
	}
}

func loadChange(stored *v1.StoredChange) *changeResult {
	return &changeResult{
		id:   stored.GetChangeId(),
		hash: stored.GetRequestHash(),
		time: stored.GetTimeUnixMs(),
		ChangeResult: ChangeResult{
			Result:       stored.GetResult(),
			Revision:     stored.GetRevision(),
			WinnerAuthor: stored.GetWinnerAuthor(),
			Detail:       stored.GetDetail(),
		},
	}
}

func storeTombstones(tombstones []tombstone) *v1.StoredTombstones {
	stored := &v1.StoredTombstones{
		IdHashes:      make([]uint64, 0, len(tombstones)),
		ForgetDeltaMs: make([]int64, 0, len(tombstones)),
	}
	previous := int64(0)
	for _, value := range tombstones {
		stored.IdHashes = append(stored.IdHashes, uint64(value.id))
		stored.ForgetDeltaMs = append(stored.ForgetDeltaMs, value.removeAt-previous)
		previous = value.removeAt
	}
	return stored
}

func (c *claims) loadTombstones(stored *v1.StoredTombstones) error {
	if len(stored.GetIdHashes()) != len(stored.GetForgetDeltaMs()) {
		return errors.New("state snapshot has different numbers of tombstone ids and removal times")
	}
	count := len(stored.GetIdHashes())
	c.tombstones = make([]tombstone, 0, count)
	c.tombstoned = newIDSet(count)
	removeAt := int64(0)
	for index, hash := range stored.GetIdHashes() {
		removeAt += stored.GetForgetDeltaMs()[index]
		c.addTombstone(tombstone{id: idHash(hash), removeAt: removeAt})
	}
	return nil
}

func storeDrain(value Drain, _ int) *v1.StoredDrain {
	return &v1.StoredDrain{Address: value.Address, Author: value.Author, SinceUnixMs: value.Since.UnixMilli()}
}

func loadDrain(stored *v1.StoredDrain) Drain {
	return Drain{Address: stored.GetAddress(), Author: stored.GetAuthor(), Since: time.UnixMilli(stored.GetSinceUnixMs())}
}
