package fgkey

import (
	"bytes"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/filbertgap/filbertgap/internal/protocol/fgproblem"
)

const (
	testKey    = "fgk_00112233445566ff_000102030405060708090a0b0c0d0e0f1011121314151617"
	testSecret = "000102030405060708090a0b0c0d0e0f1011121314151617"
)

// percentEncode percent-encodes every byte of text.
func percentEncode(text string) string {
	var b strings.Builder
	for _, c := range []byte(text) {
		b.WriteString("%" + strings.ToUpper(hexDigits(c)))
	}
	return b.String()
}

func hexDigits(c byte) string {
	return string("0123456789abcdef"[c>>4]) + string("0123456789abcdef"[c&15])
}

func base64Encode(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }

// Guards against an encoding of a key that Contains does not find, and against
// false positives, whose values would be removed.
func TestContains(t *testing.T) {
	tests := []struct {
		name string
		text string
		want bool
	}{
		{"plain", testKey, true},
		{"within text", "x=" + testKey + "; y", true},
		{"upper case", strings.ToUpper(testKey), true},
		{"truncated secret", testKey[:30], true},
		{"percent", percentEncode(testKey), true},
		{"percent of one character", strings.Replace(testKey, "_", "%5f", 1), true},
		{"percent twice", percentEncode(percentEncode(testKey)), true},
		{"percent deeper than is decoded", strings.Repeat("%25", 1) + strings.Repeat("25", 8) + "66gk_", true},
		{"base64", base64Encode(testKey), true},
		{"base64 shifted by one", base64Encode("a" + testKey), true},
		{"base64 shifted by two", base64Encode("ab" + testKey), true},
		{"base64 without padding, after other letters", "x/" + strings.TrimRight(base64Encode(testKey), "="), true},
		{"base64 for URLs", base64.RawURLEncoding.EncodeToString([]byte("??>>" + testKey)), true},
		{"base64 twice", base64Encode(base64Encode(testKey)), true},
		{"base64, then percent", percentEncode(base64Encode(testKey)), true},
		{"percent, then base64", base64Encode(percentEncode(testKey)), true},
		{"Basic credentials", "Basic " + base64Encode("user:"+testKey), true},
		{"id only", testKey[:20], false},
		{"prefix only", "fgk_", false},
		{"trace header", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", false},
		{"percent sign", "100% of it", false},
		{"ordinary cookie", "session=dGhpcyBpcyBub3QgYSBrZXkgYXQgYWxs", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Contains(tt.text); got != tt.want {
				t.Errorf("Contains(%q) = %v, want %v", tt.text, got, tt.want)
			}
		})
	}
}

// Guards against passing keys, caller identities or hop-by-hop fields to an
// upstream, and against removing fields that an upstream needs.
func TestScrubHeader(t *testing.T) {
	in := http.Header{
		"Authorization": {"Bearer " + testKey}, "authorization": {"x"}, "AUTHORIZATION": {"Basic " + base64Encode("u:"+testKey)},
		"Connection": {"close, X-Named"}, "X-Named": {"a"}, "x-named": {"b"}, "Keep-Alive": {"1"}, "Te": {"trailers"},
		"Proxy-Authorization": {"a"}, "PROXY-X": {"a"}, "Upgrade": {"a"}, "Forwarded": {"for=1.2.3.4"}, "Via": {"a"},
		"X-Forwarded-For": {"1.2.3.4"}, "x-forwarded-client": {"a"}, "FILBERTGAP-Workspace": {"other"}, "Filbertgap-Key": {"a"},
		"Referer": {"http://a/?k=" + percentEncode(testKey)}, "X-Split": {testKey[:20], testKey[20:]}, "X-Two": {"fine", testKey},
		"Fgk_" + testKey[4:]: {"name"}, "Cookie": {"a=1; k=" + testKey + "; b=2", "c=" + base64Encode(testKey)},
		"Accept": {"text/html"}, "User-Agent": {"browser"}, "Content-Type": {"text/plain"}, "X-Request-Id": {"r1"},
	}
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header = in
	Scrub(r)
	want := http.Header{
		"Accept": {"text/html"}, "User-Agent": {"browser"}, "Content-Type": {"text/plain"}, "X-Request-Id": {"r1"},
		"Cookie": {"a=1; b=2"},
	}
	for name, values := range r.Header {
		if strings.Join(values, "|") != strings.Join(want[name], "|") {
			t.Errorf("header %s is %q, want %q", name, values, want[name])
		}
		delete(want, name)
	}
	if len(want) > 0 {
		t.Errorf("headers are missing: %v", want)
	}
}

// Guards against passing a URL with a key to an upstream, which may log it.
func TestCheckURL(t *testing.T) {
	tests := []struct {
		name, target, host string
		refused            bool
	}{
		{"path", "/a/" + testKey, "", true},
		{"path, encoded", "/a/" + percentEncode(testKey), "", true},
		{"path, encoded twice", "/a/" + percentEncode(percentEncode(testKey)), "", true},
		{"query", "/a?key=" + testKey, "", true},
		{"query, encoded twice", "/a?key=" + percentEncode(percentEncode(testKey)), "", true},
		{"query, base64", "/a?key=" + url.QueryEscape(base64Encode(testKey)), "", true},
		{"user information", "http://u:" + testKey + "@a/", "", true},
		{"host", "/a", testKey + ".example", true},
		{"clean", "/catalogue/frames?page=2&sort=name%20up", "a.example", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, tt.target, nil)
			if tt.host != "" {
				r.Host = tt.host
			}
			err := CheckURL(r)
			var p *fgproblem.Problem
			if errors.As(err, &p) != tt.refused {
				t.Fatalf("CheckURL = %v, want refused = %v", err, tt.refused)
			}
			if tt.refused && (p.Status() != http.StatusBadRequest || p.Code() != fgproblem.CodeKeyInURL || p.Outcome() != fgproblem.NotRun) {
				t.Errorf("refusal is %d %s %s", p.Status(), p.Code(), p.Outcome())
			}
		})
	}
}

// Guards against a key that is not found because it spans several reads, and
// against bodies without a key that are changed or not delivered completely.
func TestScannedBody(t *testing.T) {
	filler := strings.Repeat("f fg fgk fgk_ fgk_00 ", 3000)
	tests := []struct {
		name, body, want string
		refused          bool
	}{
		{"empty", "", "", false},
		{"without a key", filler, filler, false},
		{"ends within a partial key", filler + testKey[:keyLength-1], filler + testKey[:keyLength-1], false},
		{"key alone", testKey, "", true},
		{"key after filler", filler + testKey + "tail", filler, true},
		{"key after a partial key", testKey[:20] + testKey, testKey[:20], true},
		{"upper case", "a" + strings.ToUpper(testKey[:3]) + testKey[3:], "a", true},
	}
	for _, tt := range tests {
		for name, split := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytewise": iotest.OneByteReader, "data with error": iotest.DataErrReader,
		} {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				b := newScannedBody(io.NopCloser(split(strings.NewReader(tt.body))))
				got, err := io.ReadAll(b)
				if string(got) != tt.want {
					t.Errorf("%d bytes passed, want %d", len(got), len(tt.want))
				}
				var p *fgproblem.Problem
				if errors.As(err, &p) != tt.refused || !tt.refused && err != nil {
					t.Errorf("error is %v, want refused = %v", err, tt.refused)
				}
				if tt.refused && p.Outcome() != fgproblem.Unknown {
					t.Errorf("outcome is %s", p.Outcome())
				}
			})
		}
	}
}

// FuzzScrub guards against requests that still contain a key after Scrub. It puts
// the key, surrounded by arbitrary text, into a header, the URL and the body.
func FuzzScrub(f *testing.F) {
	f.Add("X-A", "a", "b", byte(0))
	f.Add("Cookie", "a=1; k=", "; c=2", byte(1))
	f.Add("Referer", "http://a/?", "&b", byte(2))
	f.Add("connection", "x", "y", byte(3))
	f.Add("Filbertgap-A", "%", "%2", byte(7))
	f.Fuzz(func(t *testing.T, name, before, after string, encoding byte) {
		text := before + encodeKey(testKey, encoding) + after
		r := httptest.NewRequest(http.MethodPost, "/a", strings.NewReader(text))
		r.Header[name] = []string{text}
		r.Trailer = http.Header{name: {text}}
		Scrub(r)
		body, _ := io.ReadAll(r.Body)
		if containsTestKey(string(body)) {
			t.Errorf("the body still contains the key: %q", body)
		}
		var header bytes.Buffer
		_ = r.Header.Write(&header)
		_ = r.Trailer.Write(&header)
		if strings.Contains(header.String(), encodeKey(testKey, encoding)) || containsTestKey(header.String()) {
			t.Errorf("the header still contains the key: %q", header.String())
		}
		r.URL.RawQuery = text
		if CheckURL(r) == nil {
			t.Errorf("the query %q is accepted", text)
		}
	})
}

func encodeKey(key string, encoding byte) string {
	// Spaces separate base64 from the surrounding text, as in Basic credentials.
	switch encoding % 5 {
	case 1:
		return percentEncode(key)
	case 2:
		return percentEncode(percentEncode(key))
	case 3:
		return " " + base64Encode(key) + " "
	case 4:
		return " " + base64.RawURLEncoding.EncodeToString([]byte("u:"+key)) + " "
	default:
		return key
	}
}

func containsTestKey(text string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(testKey))
}

// FuzzBody guards against reads that split a body so that a key is not found or a
// body without a key is changed.
func FuzzBody(f *testing.F) {
	f.Add([]byte("a"+testKey), []byte("b"))
	f.Add([]byte(testKey[:40]), []byte(testKey[40:]))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		body := append(append([]byte(nil), first...), second...)
		b := newScannedBody(io.NopCloser(io.MultiReader(bytes.NewReader(first), bytes.NewReader(second))))
		got, err := io.ReadAll(b)
		if !bytes.HasPrefix(body, got) || err == nil && !bytes.Equal(got, body) {
			t.Fatalf("body changed: %q from %q", got, body)
		}
		if _, found := findKey(body); found != (err != nil) {
			t.Fatalf("found %v, error %v", found, err)
		}
		if bytes.Contains(got, []byte(testSecret)) && strings.Contains(string(got), testKey) {
			t.Fatalf("the key was not removed: %q", got)
		}
	})
}

// BenchmarkScrub measures CheckURL and Scrub with a browser's request.
func BenchmarkScrub(b *testing.B) {
	in := httptest.NewRequest(http.MethodGet, "/catalogue/frames?page=2&sort=name%20up", nil)
	in.Header = http.Header{
		"Authorization": {"Bearer " + testKey}, "Accept": {"text/html,application/xhtml+xml,application/xml;q=0.9,*/*;q=0.8"},
		"User-Agent":  {"Mozilla/5.0 (X11; Linux x86_64; rv:140.0) Gecko/20100101 Firefox/140.0"},
		"Cookie":      {"session=dGhpcyBpcyBub3QgYSBrZXkgYXQgYWxs; theme=dark"},
		"Traceparent": {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}, "Accept-Encoding": {"gzip, deflate, br"},
	}
	b.ReportAllocs()
	for b.Loop() {
		r := *in
		if err := CheckURL(&r); err != nil {
			b.Fatal(err)
		}
		Scrub(&r)
	}
}

// BenchmarkBody measures the scan of a body without a key.
func BenchmarkBody(b *testing.B) {
	data := bytes.Repeat([]byte(`{"name":"frame","count":12,"fgk":"no"},`), 27000)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		body := newScannedBody(io.NopCloser(bytes.NewReader(data)))
		if _, err := io.Copy(io.Discard, struct{ io.Reader }{body}); err != nil {
			b.Fatal(err)
		}
	}
}
