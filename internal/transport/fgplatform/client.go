// Package fgplatform is the HTTP client of the platform's key-value service
// and VM list.
package fgplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/filbertgap/filbertgap/internal/coordination/fgstore"
	"github.com/filbertgap/filbertgap/internal/protocol/fgheader"
	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

const (
	// callTimeout is the timeout of all calls except watches. A healthy service
	// responds within milliseconds.
	callTimeout = 2 * time.Second
	// watchWait is how long the service waits for a change before it responds to a
	// watch. That response shows that the connection is alive.
	watchWait = time.Second
	// watchTimeout is the timeout of a watch call. It detects an unresponsive
	// connection.
	watchTimeout = watchWait + time.Second
	// maxResponseBytes is how much of a response is read. Values are base64 within
	// JSON, which needs more space than the values.
	maxResponseBytes = 2 * fgstore.MaxValueBytes
)

// Client calls the platform's key-value service and reads its VM list over HTTP.
type Client struct {
	baseURL string
	client  *http.Client
}

var (
	_ fgstore.Store    = (*Client)(nil)
	_ fgstore.VMLister = (*Client)(nil)
)

// New returns a client for the service at a base URL such as
// "http://10.0.0.1:2400".
func New(baseURL string) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platform address: %w", err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("platform address is %q; accepted is http://HOST:PORT or https://HOST:PORT", baseURL)
	}
	return &Client{baseURL: u.Scheme + "://" + u.Host, client: &http.Client{Transport: fgconn.NewTransport(&http.Transport{MaxResponseHeaderBytes: fgheader.MaxResponseBytes})}}, nil
}

// Get returns the value of a key.
func (c *Client) Get(ctx context.Context, key string) (fgstore.Value, error) {
	var v fgstore.Value
	err := c.call(ctx, callTimeout, http.MethodGet, "/kv/"+key, nil, &v)
	return v, err
}

// CompareAndSwap writes data if the key's revision equals expected. It returns
// the new revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) (uint64, error) {
	var v fgstore.Value
	err := c.call(ctx, callTimeout, http.MethodPut, "/kv/"+key+"?revision="+strconv.FormatUint(expected, 10), data, &v)
	return v.Revision, err
}

// Delete removes a key if its revision equals expected.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	return c.call(ctx, callTimeout, http.MethodDelete, "/kv/"+key+"?revision="+strconv.FormatUint(expected, 10), nil, nil)
}

// Watch waits up to watchWait for a revision of the key that is greater than
// after. It returns fgstore.ErrNotFound if the service responds that nothing has
// changed.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (fgstore.Value, error) {
	path := fmt.Sprintf("/watch/%s?after=%d&wait=%s", key, after, watchWait)
	var v fgstore.Value
	err := c.call(ctx, watchTimeout, http.MethodGet, path, nil, &v)
	return v, err
}

// Range returns the keys that start with a prefix.
func (c *Client) Range(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.call(ctx, callTimeout, http.MethodGet, "/range/"+prefix, nil, &keys)
	return keys, err
}

// ListVMs returns the platform's VMs.
func (c *Client) ListVMs(ctx context.Context) ([]fgstore.VM, error) {
	var vms []fgstore.VM
	err := c.call(ctx, callTimeout, http.MethodGet, "/vms", nil, &vms)
	return vms, err
}

// call sends a request and decodes the JSON response into out, unless out is
// nil. It never retries.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", callError(err), err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", fgstore.ErrUnknown, err)
	}
	if err := statusError(res.StatusCode); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%w: %w", fgstore.ErrUnknown, err)
	}
	return nil
}

// callError classifies an error of a call that got no response. If no connection
// was made, the call had no effect. Otherwise, it may have had one.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fgstore.ErrUnavailable
	}
	return fgstore.ErrUnknown
}

// statusError returns the error for an HTTP status, or nil for 200.
func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound, http.StatusNoContent:
		return fgstore.ErrNotFound
	case http.StatusConflict:
		return fgstore.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return fgstore.ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fgstore.ErrUnavailable
	default:
		return fmt.Errorf("%w: status %d", fgstore.ErrUnknown, status)
	}
}
