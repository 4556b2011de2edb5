//go:build script

package shdaemon

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

// TestDeploymentOfScript sends load to the deployment that scripts/faults.sh
// runs, until the script creates the file "stop", and checks the history. It
// guards against failures that the short scenarios cannot show: those after a
// series of faults in processes of the real program.
func TestDeploymentOfScript(t *testing.T) {
	folder := os.Getenv("SEQUOIAHOLLOW_FAULTS")
	assert.Assert(t, folder != "", "scripts/faults.sh runs this test")
	d := &deployment{t: t, folder: folder, vms: map[shmodel.VM]*vm{}, external: true}
	files, err := filepath.Glob(exampleFolder + "/settings/*.json")
	assert.NilError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		v := &vm{}
		assert.NilError(t, json.Unmarshal(data, &v.settings))
		d.vms[v.settings.VM] = v
	}
	token, err := os.ReadFile(d.path("token"))
	assert.NilError(t, err)
	d.token = strings.TrimSpace(string(token))
	stop := d.startLoad(6)
	for {
		if _, err := os.Stat(d.path("stop")); !errors.Is(err, fs.ErrNotExist) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	stop()
	for _, v := range d.vms {
		_, err := os.Stat(d.path("killed-" + string(v.settings.VM)))
		v.killed = err == nil
	}
	journal, err := os.Open(d.path("journal.jsonl"))
	assert.NilError(t, err)
	defer journal.Close()
	lines := bufio.NewScanner(journal)
	for lines.Scan() {
		_, err := d.history.Write(lines.Bytes())
		assert.NilError(t, err)
	}
	assert.NilError(t, lines.Err())
	for _, l := range d.history.lines {
		d.history.setSlots(l.BackendServer, 3)
	}
	assert.Assert(t, d.history.answers(payments) > 0 && d.history.answers(records) > 0, "nothing was answered")
	d.check()
}
