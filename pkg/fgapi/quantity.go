package fgapi

import (
	"encoding/json"
	"errors"
	"math/big"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// BitRate is a rate in bits per second. Its text form has a decimal unit, for
// example "300Mbit".
type BitRate int64

// bitUnits lists the units of a BitRate, largest first.
var bitUnits = []struct {
	name   string
	factor int64
}{
	{"Tbit", 1e12},
	{"Gbit", 1e9},
	{"Mbit", 1e6},
	{"kbit", 1e3},
	{"bit", 1},
}

const (
	acceptedBitRate  = "a number of bits per second with bit, kbit, Mbit, Gbit or Tbit, for example 300Mbit"
	acceptedDuration = "a number with ms, s, m or h, for example 500ms or 5s"

	bitsPerByte = 8
)

var quantityPattern = regexp.MustCompile(`^([0-9]{1,18}(?:\.[0-9]{1,9})?) *([A-Za-z/]*)$`)

// String formats the rate in the largest unit of which it is a whole multiple.
func (r BitRate) String() string {
	for _, u := range bitUnits {
		if int64(r)%u.factor == 0 && r != 0 {
			return strconv.FormatInt(int64(r)/u.factor, 10) + u.name
		}
	}
	return strconv.FormatInt(int64(r), 10) + "bit"
}

// MarshalText formats the rate as String does.
func (r BitRate) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses a rate with a unit. A number without a unit is in bits
// per second.
func (r *BitRate) UnmarshalText(text []byte) error {
	m := quantityPattern.FindStringSubmatch(string(text))
	if m == nil {
		return &valueError{text: string(text), accepted: acceptedBitRate}
	}
	unit := m[2]
	if unit == "" {
		unit = "bit"
	}
	for _, u := range bitUnits {
		if u.name != unit {
			continue
		}
		n, ok := scaleToInt(m[1], u.factor)
		if !ok {
			return &valueError{text: string(text), accepted: acceptedBitRate, hint: "the number of bits must be whole and below 2^63"}
		}
		*r = BitRate(n)
		return nil
	}
	return &valueError{text: string(text), accepted: acceptedBitRate, hint: bitRateHint(m[1], unit)}
}

// UnmarshalJSON parses a string with a unit, or a number of bits per second.
func (r *BitRate) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		text = string(data)
	}
	return r.UnmarshalText([]byte(text))
}

// scaleToInt multiplies a decimal number by factor. It returns false if the
// result is not a whole number or overflows an int64.
func scaleToInt(number string, factor int64) (int64, bool) {
	n, ok := new(big.Rat).SetString(number)
	if !ok {
		return 0, false
	}
	n.Mul(n, new(big.Rat).SetInt64(factor))
	if !n.IsInt() || !n.Num().IsInt64() {
		return 0, false
	}
	return n.Num().Int64(), true
}

// bitRateHint suggests an accepted form for a rate whose unit is not accepted,
// or returns "".
func bitRateHint(number, unit string) string {
	base := strings.TrimSuffix(strings.TrimSuffix(unit, "/s"), "ps")
	prefix := ""
	for _, u := range bitUnits {
		if len(u.name) > len("bit") && strings.EqualFold(base[:min(1, len(base))], u.name[:1]) {
			prefix = u.name[:1]
		}
	}
	rest := base[len(prefix):]
	switch {
	case strings.HasPrefix(rest, "i"):
		return "binary units are not accepted"
	case rest == "B", strings.EqualFold(rest, "byte"), strings.EqualFold(rest, "bytes"):
		if n, ok := scaleToInt(number, bitsPerByte); ok {
			return "the unit is bytes; write " + strconv.FormatInt(n, 10) + prefix + "bit"
		}
		return "the unit is bytes"
	case rest == "b", strings.EqualFold(rest, "bit"), strings.EqualFold(rest, "bits"):
		return "write " + number + prefix + "bit"
	default:
		return ""
	}
}

// Duration is a time.Duration whose encoded form is text, for example "5s".
type Duration struct {
	duration time.Duration
}

// NewDuration converts a time.Duration.
func NewDuration(d time.Duration) Duration { return Duration{duration: d} }

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return d.duration }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return d.duration.String() }

// MarshalText formats the duration as String does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.duration.String()), nil }

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return &valueError{text: string(text), accepted: acceptedDuration, hint: durationHint(string(text))}
	}
	d.duration = v
	return nil
}

// durationHint suggests an accepted form for a duration that is not accepted, or
// returns "".
func durationHint(text string) string {
	m := quantityPattern.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	units := []struct{ short, names string }{
		{"s", " sec secs second seconds "},
		{"ms", " msec millis millisecond milliseconds "},
		{"m", " min mins minute minutes "},
		{"h", " hr hrs hour hours "},
	}
	unit := strings.ToLower(m[2])
	for _, u := range units {
		if unit == u.short || unit != "" && strings.Contains(u.names, " "+unit+" ") {
			return "write " + m[1] + u.short
		}
	}
	if days, ok := scaleToInt(m[1], 24); ok && (unit == "d" || unit == "day" || unit == "days") {
		return "write " + strconv.FormatInt(days, 10) + "h"
	}
	if unit == "" {
		return "the unit is missing; for seconds write " + m[1] + "s"
	}
	return ""
}

// asValueError returns the valueError in an error of an UnmarshalText method, or
// wraps the text of another error in one.
func asValueError(err error) *valueError {
	var v *valueError
	if errors.As(err, &v) {
		return v
	}
	return &valueError{accepted: err.Error()}
}
