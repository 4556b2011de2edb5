// Package shmalformed holds answers that HTTP/1.1 does not allow, for tests of the clients
// that read answers of backend servers.
//
// # API
//
// Answers returns the answers by name, Statuses those whose status is none, and All both.
// Write sends one in place of the answer of a handler.
package shmalformed

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	length = "Content-Length: 2\r\n"
	chunks = "Transfer-Encoding: chunked\r\n"
	// writeTimeout bounds the wait for the peer of Write to close.
	writeTimeout = 5 * time.Second
)

// All returns the answers of Answers and Statuses.
func All(fields string) map[string]string {
	answers := Answers(fields)
	maps.Copy(answers, Statuses(fields))
	return answers
}

// Answers returns answers whose head or framing HTTP/1.1 does not allow. Fields is what they
// have in common, as whole field lines.
func Answers(fields string) map[string]string {
	answers := map[string]string{}
	for _, list := range []map[string]string{statusLines(fields), names(fields), values(fields), framings(fields), bodies(fields)} {
		maps.Copy(answers, list)
	}
	return answers
}

// Statuses returns an answer with each status that does not end an exchange.
func Statuses(fields string) map[string]string {
	answers := map[string]string{}
	for status := range 1000 {
		head := fmt.Sprintf("HTTP/1.1 %03d x\r\n", status) + fields
		switch {
		case 200 <= status && status <= 599:
		case 100 <= status && status <= 199 && status != http.StatusSwitchingProtocols:
			answers[fmt.Sprintf("only status %d", status)] = head + "\r\n"
		default:
			answers[fmt.Sprintf("status %03d", status)] = head + length + "\r\nok"
		}
	}
	return answers
}

// statusLines returns answers whose first line is no status line.
func statusLines(fields string) map[string]string {
	answers := map[string]string{}
	for _, line := range []string{
		"HTTP/1.1 200", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 20O OK", "HTTP/1.1 OK", "HTTP/1.1 ",
		"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x1bK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 OK\r",
		"garbage", "",
	} {
		answers[fmt.Sprintf("status line %q", line)] = line + "\r\n" + fields + length + "\r\nok"
	}
	answers["status line without CR"] = "HTTP/1.1 200 OK\n" + fields + length + "\r\nok"
	answers["head of an interim answer"] = "HTTP/1.1 100 Continue\r\nX Y: v\r\n\r\n" + okLine + fields + length + "\r\nok"
	return answers
}

// names returns answers with a field whose name is no token.
func names(fields string) map[string]string {
	answers := map[string]string{}
	add := func(line string) {
		answers[fmt.Sprintf("field line %q", line)] = okLine + fields + length + line + "\r\n\r\nok"
	}
	for c := range 256 {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~0123456789:", rune(c)) {
			add("X" + string([]byte{byte(c)}) + "Y: v")
		}
	}
	for _, line := range []string{": v", "X : v", "X\t: v", " X: v", "\tX: v", " ", "X", "X\r: v", "X\x00: v"} {
		add(line)
	}
	for _, line := range []string{
		"Content-Length : 2", " Content-Length: 2", "Content Length: 2", "Content-Length\x00: 2", "Content-Length\t: 2",
	} {
		answers[fmt.Sprintf("instead of the length %q", line)] = okLine + fields + line + "\r\n\r\nokmore"
	}
	for _, line := range []string{"Transfer-Encoding : chunked", " Transfer-Encoding: chunked", "Transfer-Encoding\x0b: chunked"} {
		answers[fmt.Sprintf("instead of the encoding %q", line)] = okLine + fields + line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	}
	return answers
}

// values returns answers with a field whose value has a control character.
func values(fields string) map[string]string {
	answers := map[string]string{}
	for c := range 0x80 {
		if c == '\t' || ' ' <= c && c < 0x7f {
			continue
		}
		value := "v" + string([]byte{byte(c)}) + "w"
		answers[fmt.Sprintf("value %q", value)] = okLine + fields + "X: " + value + "\r\n" + length + "\r\nok"
	}
	answers["value in two lines"] = okLine + fields + "X: v\r\n w\r\n" + length + "\r\nok"
	answers["field without CR"] = okLine + fields + "X: v\n" + length + "\r\nok"
	answers["end of the head without CR"] = okLine + fields + length + "\nok"
	return answers
}

// framings returns answers whose fields don't tell where the body ends.
func framings(fields string) map[string]string {
	answers := map[string]string{}
	for _, value := range []string{"-1", "+2", "0x2", "2 2", "2, 3", "2;", "two", "", "2.0", "9223372036854775808", "99999999999999999999"} {
		answers[fmt.Sprintf("length %q", value)] = okLine + fields + "Content-Length: " + value + "\r\n\r\nok"
	}
	answers["two lengths"] = okLine + fields + length + "Content-Length: 3\r\n\r\nok"
	const chunked = "2\r\nok\r\n0\r\n\r\n"
	for _, value := range []string{"gzip", "gzip, chunked", "chunked, chunked", "identity", "xchunked", "chunked;x=y", "", ","} {
		answers[fmt.Sprintf("encoding %q", value)] = okLine + fields + "Transfer-Encoding: " + value + "\r\n\r\n" + chunked
	}
	answers["two encodings"] = okLine + fields + chunks + chunks + "\r\n" + chunked
	answers["length and encoding"] = okLine + fields + length + chunks + "\r\n" + chunked
	answers["encoding and length"] = okLine + fields + chunks + length + "\r\n" + chunked
	answers["encoding in HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" + fields + chunks + "\r\n" + chunked
	answers["encoding and keep-alive in HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" + fields + chunks + "Connection: keep-alive\r\n\r\n" + chunked
	answers["204 with a length"] = "HTTP/1.1 204 No Content\r\n" + fields + length + "\r\nok"
	answers["204 with an encoding"] = "HTTP/1.1 204 No Content\r\n" + fields + chunks + "\r\n" + chunked
	answers["100 with a length"] = "HTTP/1.1 100 Continue\r\n" + length + "\r\n" + okLine + fields + length + "\r\nok"
	answers["100 with an encoding"] = "HTTP/1.1 100 Continue\r\n" + chunks + "\r\n" + okLine + fields + length + "\r\nok"
	return answers
}

// bodies returns answers whose body breaks off or is not framed as its head says.
func bodies(fields string) map[string]string {
	answers := map[string]string{
		"nothing":      "",
		"half a head":  okLine + fields,
		"short length": okLine + fields + "Content-Length: 3\r\n\r\nok",
	}
	for _, body := range []string{
		"", "2\r\n", "2\r\nok", "2\r\nok\r\n", "2\r\nok\r\n0", "2\r\nok\r\n0\r\n", // broken off
		"\r\nok\r\n0\r\n\r\n", "x\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "+2\r\nok\r\n0\r\n\r\n",
		"2 x\r\nok\r\n0\r\n\r\n", "10000000000000002\r\nok\r\n0\r\n\r\n", "2\nok\r\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "2\r\nokay\r\n0\r\n\r\n",
		"2\r\nok\n0\r\n\r\n", "2\r\nok\r\n0\n\r\n", "1\r\nok\r\n0\r\n\r\n",
		"2\r\nok\r\n0\r\nX Y: v\r\n\r\n", "2\r\nok\r\n0\r\nX : v\r\n\r\n", "2\r\nok\r\n0\r\nX\x00: v\r\n\r\n", "2\r\nok\r\n0\r\nX\r\n\r\n",
	} {
		answers[fmt.Sprintf("chunks %q", body)] = okLine + fields + chunks + "\r\n" + body
	}
	return answers
}

// Write sends an answer in place of that of a handler, ends the connection behind it and
// waits until the peer closes.
func Write(t testing.TB, w http.ResponseWriter, answer string) {
	c, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	_, _ = buffer.WriteString(answer)
	// The peer may have closed already.
	_ = buffer.Flush()
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(writeTimeout))
	_, _ = io.Copy(io.Discard, c)
}
