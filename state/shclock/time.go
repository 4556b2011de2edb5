package shclock

import "time"

// Time returns SinceBoot as a time after the Unix epoch, for code that takes a
// time.Time. It has no monotonic reading, which would stand still during a suspend.
func Time() time.Time { return time.Unix(0, int64(SinceBoot())) }
