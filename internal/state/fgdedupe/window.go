package fgdedupe

import "time"

// WindowLength is the time after which look-up answers give out a new window.
const WindowLength = 60 * time.Second

// WindowAt returns the number of the window at a time.
func WindowAt(t time.Time) uint64 { return uint64(t.Unix()) / uint64(WindowLength.Seconds()) }
