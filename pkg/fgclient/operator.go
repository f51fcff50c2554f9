// Package fgclient is the client of callers and operators.
package fgclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

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
)

// Operator calls the operators' interface of one VM.
type Operator struct {
	base   string
	token  string
	client http.Client
}

// NewOperator returns a client for a base URL such as "http://127.0.0.1:8082".
func NewOperator(base, token string) (*Operator, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("%w: operator address is %q; accepted is http://HOST:PORT or https://HOST:PORT", ErrInvalid, base)
	}
	return &Operator{base: u.Scheme + "://" + u.Host, token: token}, nil
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
	err := o.call(ctx, http.MethodPost, "/v1/changes", c, &out)
	return out.Generation, err
}

// Get returns resources with their status. Empty kind or name means all.
func (o *Operator) Get(ctx context.Context, kind fgapi.Kind, name string) ([]fgapi.Resource, error) {
	q := url.Values{}
	q.Set("kind", string(kind))
	q.Set("name", name)
	var out []fgapi.Resource
	if err := o.call(ctx, http.MethodGet, "/v1/resources?"+q.Encode(), nil, &out); err != nil {
		return nil, err
	}
	if name != "" && len(out) == 0 {
		return nil, fmt.Errorf("%s/%s: %w", kind, name, ErrNotFound)
	}
	return out, nil
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

// Status returns the fleet's status.
func (o *Operator) Status(ctx context.Context) (FleetStatus, error) {
	var out FleetStatus
	err := o.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

func (o *Operator) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, o.base+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	res, err := o.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return refusal(res)
	}
	return json.NewDecoder(res.Body).Decode(out)
}

func refusal(res *http.Response) error {
	var p struct {
		Code   string `json:"code"`
		Detail string `json:"detail"`
	}
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		return fmt.Errorf("%w: status %s", ErrRefused, res.Status)
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
