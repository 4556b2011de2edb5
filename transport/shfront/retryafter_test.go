package shfront

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a Retry-After that is misread: it would take a backend server out
// of use, or let requests through that it does not want.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	date := func(d time.Duration) string { return now.Add(d).Format(http.TimeFormat) }
	longest := maxRetryAfterSeconds * time.Second
	for name, c := range map[string]struct {
		fields []string
		date   string
		want   time.Duration
	}{
		"none":           {nil, "", 0},
		"seconds":        {[]string{"3"}, "", 3 * time.Second},
		"fraction":       {[]string{" 0.25 "}, "", 250 * time.Millisecond},
		"several":        {[]string{"1", "x", "2"}, "", 2 * time.Second},
		"date":           {[]string{date(7 * time.Second)}, "", 7 * time.Second},
		"date of answer": {[]string{date(7 * time.Second)}, date(5 * time.Second), 2 * time.Second},
		"past date":      {[]string{date(-7 * time.Second)}, "", 0},
		"zero":           {[]string{"0"}, "", 0},
		"negative":       {[]string{"-3"}, "", 0},
		"not a number":   {[]string{"NaN"}, "", 0},
		"infinite":       {[]string{"Inf"}, "", 0},
		"exponent":       {[]string{"1e3"}, "", 0},
		"hexadecimal":    {[]string{"0x10"}, "", 0},
		"two points":     {[]string{"1.2.3"}, "", 0},
		"empty":          {[]string{""}, "", 0},
		"words":          {[]string{"soon"}, "", 0},
		"very large":     {[]string{"99999999999999"}, "", longest},
		"out of range":   {[]string{strings.Repeat("9", 400)}, "", longest},
		"distant date":   {[]string{now.AddDate(500, 0, 0).Format(http.TimeFormat)}, "", longest},
	} {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"Retry-After": c.fields}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			assert.Equal(t, retryAfter(h, now), c.want)
		})
	}
}
