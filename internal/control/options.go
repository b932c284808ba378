package control

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/settings"
)

// Options are the settings of a control voter.
type Options struct {
	DataFolder string   `long:"data-folder" koanf:"data-folder" validate:"required" description:"Folder of the voter's durable state; one process per folder"`
	ID         uint64   `long:"id" koanf:"id" validate:"min=1" description:"Id of this voter; never reused, also not after its disk was lost"`
	Listen     string   `long:"listen" koanf:"listen" validate:"required,ip_port" description:"Address for operators, routers, relays and other voters"`
	Advertise  string   `long:"advertise" koanf:"advertise" validate:"omitempty,ip_port" description:"Address under which others reach this voter; the listen address when empty"`
	Voters     []string `long:"voter" koanf:"voter" description:"ID=IP:PORT of each voter of a new group, this one among them; ignored once the data folder holds a state"`
	Join       bool     `long:"join" koanf:"join" description:"Start without a group and wait to be added by 'voters add'"`

	MetricsListen string `long:"metrics-listen" koanf:"metrics-listen" validate:"omitempty,ip_port" description:"Address of the metrics page; none when empty"`
	StatusListen  string `long:"status-listen" koanf:"status-listen" validate:"omitempty,ip_port" description:"Address of the status page for browsers; none when empty"`
	Platform      string `long:"platform" koanf:"platform" validate:"omitempty,ip_port" description:"Address of the platform's list of machines; none when empty"`
	LogLevel      string `long:"log-level" koanf:"log-level" default:"info" validate:"oneof=debug info warning error" description:"Least level of log lines"`

	Lease           time.Duration `long:"lease" koanf:"lease" default:"10s" validate:"min=5s,max=60s" description:"How long a router may serve without hearing from a confirmed leader; must outlast a confirmation and a renewal at each hop, a second each"`
	Heartbeat       time.Duration `long:"heartbeat" koanf:"heartbeat" default:"100ms" validate:"min=10ms" description:"Pause between a leader's messages to an idle voter"`
	ElectionTimeout time.Duration `long:"election-timeout" koanf:"election-timeout" default:"1s" validate:"min=50ms" description:"Shortest silence of the leader after which a voter asks for an election"`
	ClaimBatch      int           `long:"claim-batch" koanf:"claim-batch" default:"512" validate:"min=1,max=8192" description:"Most claims in one commit"`
	SnapshotEntries uint64        `long:"snapshot-entries" koanf:"snapshot-entries" default:"20000" validate:"min=1" description:"Applied log entries after which the state is stored as a snapshot and the log cut"`
	StopLimit       time.Duration `long:"stop-limit" koanf:"stop-limit" default:"10s" validate:"min=1s" description:"Longest planned stop, handing leadership over included"`

	rpc.SecurityOptions `koanf:",squash"`
}

// address returns the address at which others reach the voter.
func (o *Options) address() string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return o.Listen
}

// initialVoters parses the list of voters. An empty data folder requires either
// the list or join: a machine that lost its data must not create a second group
// beside the one that it belongs to.
func (o *Options) initialVoters() ([]consensus.Member, error) {
	if o.Join {
		if len(o.Voters) > 0 {
			return nil, errors.New("--join and --voter exclude each other")
		}
		return nil, nil
	}
	if len(o.Voters) == 0 {
		if folderIsEmpty(o.DataFolder) {
			return nil, errors.New("the data folder is empty: give --voter for each voter of a new group, or --join")
		}
		return nil, nil
	}
	members := make([]consensus.Member, 0, len(o.Voters))
	for _, text := range o.Voters {
		member, err := parseVoter(text)
		if err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, nil
}

func folderIsEmpty(folder string) bool {
	entries, err := os.ReadDir(folder)
	return err != nil || len(entries) == 0
}

func parseVoter(text string) (consensus.Member, error) {
	idText, address, found := strings.Cut(text, "=")
	id, err := strconv.ParseUint(idText, 10, 64)
	if !found || err != nil || id == 0 {
		return consensus.Member{}, errors.Newf("voter %q is not of the form ID=IP:PORT", text)
	}
	if _, err := settings.ParseAddress(address); err != nil {
		return consensus.Member{}, errors.Wrapf(err, "voter %d", id)
	}
	return consensus.Member{ID: id, Address: address}, nil
}
