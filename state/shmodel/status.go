package shmodel

// IsFinalStatus reports whether an HTTP status may end an exchange. Any other one is no
// answer: net/http reads every number of three digits as a status, and a backend server
// in trouble may send 000. A status from 100 to 199 precedes an answer, except 101, which
// only a request for another protocol may get.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }
