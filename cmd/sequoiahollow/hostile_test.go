package main

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"sequoiahollow/internal/shcrowd"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shsettings"
)

// gaugesUpdated is longer than the time between updates of gauges with labels.
const gaugesUpdated = 3 * time.Second

func peerAddress(s shsettings.Settings) string { return s.PeerAddress }

// announcement returns a request that announces a backend server.
func announcement(name, service string, port int) string {
	body := fmt.Sprintf(`{"backendServer":%q,"service":%q,"address":"127.0.0.1:%d","place":{"region":"tasmania-south","failureDomain":"south-a"},"incarnation":7,"slots":3,"connections":3}`,
		name, service, port)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", shwire.PathAnnouncements, len(body), body)
}

// peerFrame returns a message between VMs.
func peerFrame(message string) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(message)))) + message
}

func pingFrom(address string) string {
	return peerFrame(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"peer.ping","params":{"address":%q}}`, address))
}

// Guards against a process that ends or keeps memory because of names that it gets from
// others.
func TestCrowdNames(t *testing.T) {
	const quoted = `a"b`
	long := strings.Repeat("n", 30<<10)
	var announcements []string
	for i := range 1000 {
		announcements = append(announcements, announcement(fmt.Sprintf("r%d-%s", i, long), fmt.Sprintf("s%d-%s", i, long), 1000+i))
	}
	var pings []string
	for i := range 2000 {
		pings = append(pings, pingFrom(fmt.Sprintf("%s-%d", long, i)))
	}
	for name, c := range map[string]struct {
		address func(shsettings.Settings) string
		heads   []string
		count   int
	}{
		"service with a quote":      {serverAddress, []string{announcement("records-9", quoted, 1000)}, 1},
		"peer address with a quote": {peerAddress, []string{pingFrom(quoted)}, 1},
		"long services":             {serverAddress, announcements, 10},
		"long peer addresses":       {peerAddress, pings, 10},
	} {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDaemon(t)
			crowd := make([]shcrowd.Client, c.count)
			for i := range crowd {
				each := len(c.heads) / c.count
				crowd[i] = shcrowd.Client{Address: c.address(d.settings), Head: strings.Join(c.heads[i*each:(i+1)*each], "")}
			}
			shcrowd.Hold(t, crowd)
			time.Sleep(gaugesUpdated)
			d.process.Check(crowdMemoryMB, crowdFDs)
			d.serves()
			d.process.Check(crowdMemoryMB, crowdFDs)
		})
	}
}

// Guards against a process that runs out of memory because the document of an operator
// decodes to a large value or has many mistakes.
func TestCrowdDecode(t *testing.T) {
	const size = 1 << 20
	for name, body := range map[string]string{
		"numbers":  "[" + strings.Repeat("0,", size/2-1) + "0]",
		"objects":  "[" + strings.Repeat("{},", size/3-1) + "{}]",
		"mistakes": `{"editId":"e","baseRevision":1,"config":{"regions":[` + strings.Repeat("0,", size/2-100) + "0]}}",
	} {
		t.Run(name, func(t *testing.T) {
			d := startCrowdDaemon(t)
			head := fmt.Sprintf("POST /v1/config HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
				d.token, len(body), body)
			crowd := make([]shcrowd.Client, 6)
			for i := range crowd {
				crowd[i] = shcrowd.Client{Address: d.settings.OperatorAddress, Head: head}
			}
			shcrowd.Hold(t, crowd)
			d.process.Check(crowdMemoryMB, crowdFDs)
			d.serves()
			d.process.Check(crowdMemoryMB, crowdFDs)
		})
	}
}
