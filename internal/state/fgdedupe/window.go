package fgdedupe

import "time"

// WindowLength is the length of the time windows whose numbers are part of request
// ids. Look-up responses hand out the number of the current window.
const WindowLength = 60 * time.Second

// WindowAt returns the number of the window that contains a time.
func WindowAt(t time.Time) uint64 { return uint64(t.Unix()) / uint64(WindowLength.Seconds()) }
