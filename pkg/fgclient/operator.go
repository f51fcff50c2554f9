// Package fgclient provides the HTTP clients for callers and for operators.
package fgclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// Sentinel errors of calls.
var (
	ErrConflict     = merry.Sentinel("conflict")
	ErrNotFound     = merry.Sentinel("not found")
	ErrInvalid      = merry.Sentinel("refused as invalid")
	ErrUnauthorized = merry.Sentinel("credential refused")
	ErrUnreachable  = merry.Sentinel("unreachable")
	ErrRefused      = merry.Sentinel("refused")
	// ErrOutcomeUnknown means that a call may have taken effect, but its response
	// did not arrive or reports an unknown outcome. The error of a lost response
	// also matches ErrUnreachable.
	ErrOutcomeUnknown = merry.Sentinel("the outcome is unknown")
)

// errNotModified means that a watch ended without a change.
var errNotModified = merry.Sentinel("not modified")

// outcomeUnknown is the outcome of a refusal whose request may have taken effect.
const outcomeUnknown = "unknown"

const (
	// sendTimeout limits one send to one VM, so that time is left for another VM
	// if one does not respond. It is longer than the timeout of the VM's own calls
	// to the platform.
	sendTimeout = 5 * time.Second
	// maxRounds is how many times a call is sent to each address while its outcome
	// is unknown.
	maxRounds = 3
	// roundDelay is the pause between rounds.
	roundDelay = 300 * time.Millisecond
	// watchWait is how long a VM waits for a change before it responds to a watch.
	watchWait = 3 * time.Second
	// maxResponseBytes is the maximum size of the body of a response to operators,
	// which may hold all resources.
	maxResponseBytes = 64 << 20
	// maxLookupBytes is the maximum size of the body of a look-up response.
	maxLookupBytes = 1 << 20
	// maxRefusalBytes is how much of the body of a refusal is read.
	maxRefusalBytes = 64 << 10
)

// OperatorOptions configures an Operator.
type OperatorOptions struct {
	// Addresses are base URLs of VMs, such as "http://127.0.0.1:8082". A call is
	// sent to them in order until one responds.
	Addresses []string
	// Token is the operators' bearer token.
	Token string
	// CAFile is a PEM file with the trusted certificates. If it is empty, the
	// host's certificates are trusted.
	CAFile string
}

// Operator is a client of the operators' interface. It is safe for concurrent
// use.
type Operator struct {
	baseURLs []string
	token    string
	client   http.Client
}

// NewOperator returns a client for operators.
func NewOperator(o OperatorOptions) (*Operator, error) {
	out := &Operator{token: o.Token}
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("%w: operator address is %q; accepted is http://HOST:PORT or https://HOST:PORT", ErrInvalid, address)
		}
		out.baseURLs = append(out.baseURLs, u.Scheme+"://"+u.Host)
	}
	if len(out.baseURLs) == 0 {
		return nil, fmt.Errorf("%w: no operator address is given", ErrInvalid)
	}
	transport, err := newTransport(o.CAFile)
	if err != nil {
		return nil, err
	}
	out.client.Transport = transport
	return out, nil
}

// newTransport returns a transport that trusts the certificates in caFile, or the
// host's if caFile is empty.
func newTransport(caFile string) (http.RoundTripper, error) {
	transport := &http.Transport{MaxResponseHeaderBytes: fgheader.MaxResponseBytes}
	if caFile == "" {
		return fgconn.NewTransport(transport), nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%w: %s holds no certificate in PEM", ErrInvalid, caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return fgconn.NewTransport(transport), nil
}

// Change is an atomic change of the configuration.
type Change struct {
	// ChangeID makes the change idempotent: a retry with the same id is applied
	// once.
	ChangeID string           `json:"changeId"`
	Put      []fgapi.Resource `json:"put,omitempty"`
	Delete   []fgapi.Ref      `json:"delete,omitempty"`
}

// Apply submits a change and returns the configuration generation it creates.
func (o *Operator) Apply(ctx context.Context, c Change) (uint64, error) {
	var out struct {
		Generation uint64 `json:"generation"`
	}
	body, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	err = o.sendWithRetry(ctx, &call{method: http.MethodPost, path: "/v1/changes", body: body, out: &out})
	return out.Generation, err
}

// Get returns resources with their status. An empty kind or name matches all.
func (o *Operator) Get(ctx context.Context, kind fgapi.Kind, name string) ([]fgapi.Resource, error) {
	out, _, err := o.get(ctx, kind, name, "")
	return out, err
}

// Watch waits until the resources that Get returns, or their status, differ from
// those with the given ETag. It returns them with their ETag for the next call.
// With an empty etag it returns at once.
func (o *Operator) Watch(ctx context.Context, kind fgapi.Kind, name, etag string) ([]fgapi.Resource, string, error) {
	for {
		out, next, err := o.get(ctx, kind, name, etag)
		if !errors.Is(err, errNotModified) {
			return out, next, err
		}
	}
}

// get returns resources and their ETag. With an etag, the VM responds only when
// the resources have another one, or after watchWait with errNotModified.
func (o *Operator) get(ctx context.Context, kind fgapi.Kind, name, etag string) ([]fgapi.Resource, string, error) {
	q := url.Values{}
	q.Set("kind", string(kind))
	q.Set("name", name)
	if etag != "" {
		q.Set("wait", watchWait.String())
	}
	var out []fgapi.Resource
	c := call{method: http.MethodGet, path: "/v1/resources?" + q.Encode(), out: &out, etag: etag}
	if err := o.sendWithRetry(ctx, &c); err != nil {
		return nil, etag, err
	}
	if name != "" && len(out) == 0 {
		return nil, "", fmt.Errorf("%s/%s: %w", kind, name, ErrNotFound)
	}
	return out, c.etag, nil
}

// FleetStatus describes the fleet as one VM sees it.
type FleetStatus struct {
	VM         string        `json:"vm"`
	Generation uint64        `json:"generation"`
	Status     *fgapi.Status `json:"status"`
	Members    []Member      `json:"members"`
}

// Member is a registered entry process.
type Member struct {
	VM               string `json:"vm"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	CallerAddress    string `json:"callerAddress"`
	Leaving          bool   `json:"leaving"`
}

// Status returns the fleet's status. With a generation other than 0, it reports
// which members have applied at least that generation.
func (o *Operator) Status(ctx context.Context, generation uint64) (FleetStatus, error) {
	path := "/v1/status"
	if generation > 0 {
		path += "?generation=" + strconv.FormatUint(generation, 10)
	}
	var out FleetStatus
	err := o.sendWithRetry(ctx, &call{method: http.MethodGet, path: path, out: &out})
	return out, err
}

// call is one call of the operators' interface.
type call struct {
	method, path string
	body         []byte
	// out points to the value that the response body is decoded into.
	out any
	// etag is sent as If-None-Match and replaced by the ETag of the response.
	etag string
}

// sendWithRetry sends a call to the addresses in order until one accepts or
// refuses it; status 503 counts as unreachable. A call with an unknown outcome may
// have taken effect. It is retried unchanged, so that a VM recognises a change by
// its id.
func (o *Operator) sendWithRetry(ctx context.Context, c *call) error {
	var err error
	for range maxRounds {
		unknown := false
		for _, baseURL := range o.baseURLs {
			err = o.send(ctx, baseURL, c)
			if err != nil && ctx.Err() != nil {
				return contextError(ctx, err)
			}
			if err == nil || !errors.Is(err, ErrUnreachable) {
				return err
			}
			unknown = unknown || errors.Is(err, ErrOutcomeUnknown)
		}
		if !unknown {
			return err
		}
		select {
		case <-ctx.Done():
			return contextError(ctx, err)
		case <-time.After(roundDelay):
		}
	}
	return err
}

// send sends a call once to one VM and decodes its response.
func (o *Operator) send(ctx context.Context, baseURL string, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, baseURL+c.path, bytes.NewReader(c.body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	res, err := o.client.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return errNotModified
	}
	if res.StatusCode != http.StatusOK {
		return refusalError(res)
	}
	c.etag = res.Header.Get("ETag")
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(c.out); err != nil {
		return transportError(err)
	}
	return nil
}

// contextError returns an error that wraps the error of the caller's ended
// context, and ErrOutcomeUnknown if the outcome of the call is unknown.
func contextError(ctx context.Context, err error) error {
	if errors.Is(err, ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %w: %s", ctx.Err(), ErrOutcomeUnknown, err.Error())
	}
	return fmt.Errorf("%w: %s", ctx.Err(), err.Error())
}

// transportError wraps an error of the HTTP client in ErrUnreachable, and also in
// ErrOutcomeUnknown if the request may have reached a VM. The cause is included
// only as text: the timeout of one send must not match context.DeadlineExceeded,
// which means that the caller's own deadline has expired.
func transportError(err error) error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &certificate) {
		return fmt.Errorf("%w: %s", ErrUnreachable, err.Error())
	}
	return fmt.Errorf("%w: %w: %s", ErrUnreachable, ErrOutcomeUnknown, err.Error())
}

// refusalError returns an error with the code and detail of a refusal.
func refusalError(res *http.Response) error {
	var p struct {
		Code    string `json:"code"`
		Detail  string `json:"detail"`
		Outcome string `json:"outcome"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxRefusalBytes)).Decode(&p); err != nil {
		return fmt.Errorf("%w: status %s", ErrRefused, res.Status)
	}
	if p.Outcome == outcomeUnknown {
		return fmt.Errorf("%w: %w: %s: %s", sentinelForStatus(res.StatusCode), ErrOutcomeUnknown, p.Code, p.Detail)
	}
	return fmt.Errorf("%w: %s: %s", sentinelForStatus(res.StatusCode), p.Code, p.Detail)
}

// sentinelForStatus returns the sentinel error for an HTTP status.
func sentinelForStatus(status int) error {
	switch status {
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return ErrInvalid
	case http.StatusUnauthorized:
		return ErrUnauthorized
	case http.StatusServiceUnavailable:
		return ErrUnreachable
	default:
		return ErrRefused
	}
}
