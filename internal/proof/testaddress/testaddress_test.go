package testaddress

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// No outgoing connection may take an address that a stopped process wants
// back: neither by its host, which connections to it don't leave from, nor by
// its port, which is not of the range that connections get.
func TestNoConnectionTakesAnAddress(t *testing.T) {
	address := Next()
	listener, err := net.Listen("tcp4", address.String())
	require.NoError(t, err)
	connection, err := net.Dial("tcp4", address.String())
	require.NoError(t, err)
	source := netip.MustParseAddrPort(connection.LocalAddr().String())
	require.NotEqual(t, address.Addr(), source.Addr())
	require.NoError(t, connection.Close())
	require.NoError(t, listener.Close())

	ports, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the system does not say which ports connections get")
	}
	lowest, err := strconv.Atoi(strings.Fields(string(ports))[0])
	require.NoError(t, err)
	require.Less(t, lastPort, lowest)
}

func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for _, address := range List(100) {
		require.False(t, seen[address], address)
		seen[address] = true
	}
	hosts := map[netip.Addr]bool{}
	for _, process := range []int{1, 255, 256, 65535, 65536, 1 << 21, 1<<22 - 1} {
		require.True(t, ofProcess(process).IsLoopback())
		require.False(t, hosts[ofProcess(process)], process)
		hosts[ofProcess(process)] = true
	}
}
