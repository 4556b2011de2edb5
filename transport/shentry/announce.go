package shentry

import (
	"encoding/json"
	"net/http"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

const maxAnnouncement = 64 << 10

func (e *Entry) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var a shwire.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		WriteProblem(w, problemOf(http.StatusBadRequest, "malformed announcement", err.Error(), 0, ""), 0)
		return
	}
	if a.Place.Region != e.Place.Region {
		// An entry VM owns only backend servers of its own region. Other
		// regions use their slots by shifts with credits.
		WriteProblem(w, problemOf(http.StatusMisdirectedRequest, "other region", "this entry VM is in "+string(e.Place.Region), 0, ""), 0)
		return
	}
	answer, rejected := e.Slots.Announce(a)
	if rejected != "" {
		e.Log.Warn("announcement rejected", "backendServer", a.BackendServer, "reason", rejected)
		WriteProblem(w, problemOf(http.StatusConflict, "announcement rejected", rejected, 0, ""), 0)
		return
	}
	if len(answer.Owners) == 0 {
		answer.Owners = e.owners(shmodel.BackendServer(a.BackendServer))
	}
	WriteJSON(w, http.StatusOK, answer)
}
