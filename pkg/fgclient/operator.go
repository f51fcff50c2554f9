// Package fgclient is the client of callers and operators.
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

	"github.com/filbertgap/filbertgap/pkg/fgapi"
)

// Sentinel errors of operators' calls.
var (
	ErrConflict     = merry.Sentinel("conflict")
	ErrNotFound     = merry.Sentinel("not found")
	ErrInvalid      = merry.Sentinel("refused as invalid")
	ErrUnauthorized = merry.Sentinel("credential refused")
	ErrUnreachable  = merry.Sentinel("unreachable")
	ErrRefused      = merry.Sentinel("refused")
	// ErrLost means that a call may have taken effect although its answer did
	// not arrive. It comes with ErrUnreachable.
	ErrLost = merry.Sentinel("the answer was lost")
)

// errNotModified means that a watch saw no change.
var errNotModified = merry.Sentinel("not modified")

// outcomeUnknown is the outcome of a refusal that may hide an effect.
const outcomeUnknown = "unknown"

const (
	// attemptTimeout bounds one call to one VM, so that a silent VM leaves time
	// for another one. It exceeds the VM's own calls to the platform.
	attemptTimeout = 5 * time.Second
	// maxRounds is how often each address is tried after an answer was lost.
	maxRounds = 3
	// roundDelay separates the rounds.
	roundDelay = 300 * time.Millisecond
	// watchWait is how long a VM holds a watch without a change.
	watchWait = 3 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// OperatorOptions configures an Operator.
type OperatorOptions struct {
	// Addresses are base URLs of VMs, such as "http://127.0.0.1:8082". A call
	// goes to the first one that answers.
	Addresses []string
	// Token is the operators' credential.
	Token string
	// CAFile holds certificates to trust, in PEM. Empty means the host's.
	CAFile string
}

// Operator calls the operators' interface of a VM.
type Operator struct {
	bases  []string
	token  string
	client http.Client
}

// NewOperator returns a client.
func NewOperator(o OperatorOptions) (*Operator, error) {
	out := &Operator{token: o.Token}
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("%w: operator address is %q; accepted is http://HOST:PORT or https://HOST:PORT", ErrInvalid, address)
		}
		out.bases = append(out.bases, u.Scheme+"://"+u.Host)
	}
	if len(out.bases) == 0 {
		return nil, fmt.Errorf("%w: no operator address is given", ErrInvalid)
	}
	transport, err := newTransport(o.CAFile)
	if err != nil {
		return nil, err
	}
	out.client.Transport = transport
	return out, nil
}

// newTransport returns a transport that trusts the certificates of a file, or
// the host's.
func newTransport(caFile string) (*http.Transport, error) {
	transport := &http.Transport{}
	if caFile == "" {
		return transport, nil
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
	return transport, nil
}

// Change is a change of the configuration: all of it applies, or none.
type Change struct {
	// ChangeID identifies the change when it is repeated after a lost answer.
	ChangeID string           `json:"changeId"`
	Put      []fgapi.Resource `json:"put,omitempty"`
	Delete   []fgapi.Ref      `json:"delete,omitempty"`
}

// Apply submits a change and returns its generation.
func (o *Operator) Apply(ctx context.Context, c Change) (uint64, error) {
	var out struct {
		Generation uint64 `json:"generation"`
	}
	body, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	err = o.run(ctx, &call{method: http.MethodPost, path: "/v1/changes", body: body, out: &out})
	return out.Generation, err
}

// Get returns resources with their status. Empty kind or name means all.
func (o *Operator) Get(ctx context.Context, kind fgapi.Kind, name string) ([]fgapi.Resource, error) {
	out, _, err := o.get(ctx, kind, name, "")
	return out, err
}

// Watch returns resources like Get, once they or their status differ from what
// the tag stands for, and the tag to continue with. An empty tag returns at once.
func (o *Operator) Watch(ctx context.Context, kind fgapi.Kind, name, tag string) ([]fgapi.Resource, string, error) {
	for {
		out, next, err := o.get(ctx, kind, name, tag)
		if !errors.Is(err, errNotModified) {
			return out, next, err
		}
	}
}

func (o *Operator) get(ctx context.Context, kind fgapi.Kind, name, tag string) ([]fgapi.Resource, string, error) {
	q := url.Values{}
	q.Set("kind", string(kind))
	q.Set("name", name)
	if tag != "" {
		q.Set("wait", watchWait.String())
	}
	var out []fgapi.Resource
	c := call{method: http.MethodGet, path: "/v1/resources?" + q.Encode(), out: &out, tag: tag}
	if err := o.run(ctx, &c); err != nil {
		return nil, tag, err
	}
	if name != "" && len(out) == 0 {
		return nil, "", fmt.Errorf("%s/%s: %w", kind, name, ErrNotFound)
	}
	return out, c.tag, nil
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

// Status returns the fleet's status. A generation other than 0 asks which
// members apply at least that one.
func (o *Operator) Status(ctx context.Context, generation uint64) (FleetStatus, error) {
	path := "/v1/status"
	if generation > 0 {
		path += "?generation=" + strconv.FormatUint(generation, 10)
	}
	var out FleetStatus
	err := o.run(ctx, &call{method: http.MethodGet, path: path, out: &out})
	return out, err
}

// call is one call of the operators' interface.
type call struct {
	method, path string
	body         []byte
	out          any
	// tag is sent as If-None-Match and replaced by the answer's ETag.
	tag string
}

// run tries the addresses in turn. A refusal is final. A call whose answer was
// lost may have taken effect; it is repeated as it was, so that a VM recognises
// a change by its id.
func (o *Operator) run(ctx context.Context, c *call) error {
	var err error
	for range maxRounds {
		lost := false
		for _, base := range o.bases {
			err = o.attempt(ctx, base, c)
			if err != nil && ctx.Err() != nil {
				return ended(ctx, err)
			}
			if err == nil || !errors.Is(err, ErrUnreachable) {
				return err
			}
			lost = lost || errors.Is(err, ErrLost)
		}
		if !lost {
			return err
		}
		select {
		case <-ctx.Done():
			return ended(ctx, err)
		case <-time.After(roundDelay):
		}
	}
	return err
}

func (o *Operator) attempt(ctx context.Context, base string, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path, bytes.NewReader(c.body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	if c.tag != "" {
		req.Header.Set("If-None-Match", c.tag)
	}
	res, err := o.client.Do(req)
	if err != nil {
		return unreachable(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified {
		return errNotModified
	}
	if res.StatusCode != http.StatusOK {
		return refusal(res)
	}
	c.tag = res.Header.Get("ETag")
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(c.out); err != nil {
		return unreachable(err)
	}
	return nil
}

// ended reports that the caller's time ran out during a call.
func ended(ctx context.Context, err error) error {
	if errors.Is(err, ErrLost) {
		return fmt.Errorf("%w: %w: %s", ctx.Err(), ErrLost, err.Error())
	}
	return fmt.Errorf("%w: %s", ctx.Err(), err.Error())
}

// unreachable tells a call that reached no VM from one whose answer was lost.
// The cause is kept as text: the timeout of an attempt is not the caller's.
func unreachable(err error) error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	if errors.As(err, &op) && op.Op == "dial" || errors.As(err, &certificate) {
		return fmt.Errorf("%w: %s", ErrUnreachable, err.Error())
	}
	return fmt.Errorf("%w: %w: %s", ErrUnreachable, ErrLost, err.Error())
}

func refusal(res *http.Response) error {
	var p struct {
		Code    string `json:"code"`
		Detail  string `json:"detail"`
		Outcome string `json:"outcome"`
	}
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return fmt.Errorf("%w: status %s", ErrRefused, res.Status)
	}
	if p.Outcome == outcomeUnknown {
		return fmt.Errorf("%w: %w: %s: %s", sentinel(res.StatusCode), ErrLost, p.Code, p.Detail)
	}
	return fmt.Errorf("%w: %s: %s", sentinel(res.StatusCode), p.Code, p.Detail)
}

func sentinel(status int) error {
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
