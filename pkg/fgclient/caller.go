package fgclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// VM is one VM of a look-up answer.
type VM struct {
	VM               string `json:"vm"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// IDPrefix begins the Idempotency-Key of requests sent to this VM.
	IDPrefix string `json:"idPrefix"`
}

// Lookup tells a caller which VMs to use, in order.
type Lookup struct {
	VMs             []VM `json:"vms"`
	LifetimeSeconds int  `json:"lifetimeSeconds"`
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses are base URLs of VMs that are asked for the first look-up.
	Addresses []string
	// Key is the caller's key. Empty means that none is sent.
	Key string
	// CAFile holds certificates to trust, in PEM. Empty means the host's. It is
	// not used with a Transport.
	CAFile string
	// Transport replaces the default transport.
	Transport http.RoundTripper
}

// Client sends requests to the system on behalf of a caller. It is safe for
// concurrent use.
type Client struct {
	options ClientOptions
	scheme  string
	client  http.Client

	mu      sync.Mutex
	answer  Lookup
	expires time.Time
}

// NewClient returns a client for callers.
func NewClient(o ClientOptions) (*Client, error) {
	transport := o.Transport
	if transport == nil {
		var err error
		if transport, err = newTransport(o.CAFile); err != nil {
			return nil, err
		}
	}
	c := &Client{options: o, client: http.Client{Transport: transport}}
	// A redirect is an upstream's answer like any other; following it could
	// take the key elsewhere.
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("%w: address is %q; accepted is http://HOST:PORT or https://HOST:PORT", ErrInvalid, address)
		}
		c.scheme = u.Scheme
	}
	if c.scheme == "" {
		return nil, fmt.Errorf("%w: no address is given", ErrInvalid)
	}
	return c, nil
}

// Lookup returns which VMs to use. It asks again when the lifetime of the last
// answer has ended, and keeps that answer when no VM replies.
func (c *Client) Lookup(ctx context.Context) (Lookup, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.answer, nil
	}
	bases := c.options.Addresses
	for _, vm := range c.answer.VMs {
		bases = append(bases[:len(bases):len(bases)], c.scheme+"://"+vm.Address)
	}
	var errs []error
	for _, base := range bases {
		answer, err := c.fetchLookup(ctx, base)
		if err == nil {
			c.answer = answer
			c.expires = time.Now().Add(time.Duration(answer.LifetimeSeconds) * time.Second)
			return answer, nil
		}
		errs = append(errs, err)
	}
	if len(c.answer.VMs) > 0 {
		return c.answer, nil
	}
	return Lookup{}, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(errs...))
}

func (c *Client) fetchLookup(ctx context.Context, base string) (Lookup, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/fg/v1/lookup", nil)
	if err != nil {
		return Lookup{}, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return Lookup{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Lookup{}, refusal(res)
	}
	var answer Lookup
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return Lookup{}, err
	}
	if len(answer.VMs) == 0 {
		return Lookup{}, errors.New("the look-up answer names no VM")
	}
	return answer, nil
}

// Do sends a request to the first VM of the look-up answer that accepts a
// connection. The host of the URL is replaced. A request whose answer was lost
// is not sent again: the caller repeats it with the Idempotency-Key that Do has
// set in its header. A request whose body cannot be read again goes to the first
// VM only.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	answer, err := c.Lookup(r.Context())
	if err != nil {
		return nil, err
	}
	if c.options.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
	chosen := r.Header.Get("Idempotency-Key") != ""
	for i, vm := range answer.VMs {
		if i > 0 && r.Body != nil && r.Body != http.NoBody {
			// The failed attempt has closed the body.
			if r.GetBody == nil {
				return nil, err
			}
			if r.Body, err = r.GetBody(); err != nil {
				return nil, err
			}
		}
		r.URL.Scheme, r.URL.Host, r.Host = c.scheme, vm.Address, vm.Address
		if !chosen && r.Method != http.MethodGet && r.Method != http.MethodHead {
			r.Header.Set("Idempotency-Key", vm.IDPrefix+"-"+randomSuffix())
		}
		var res *http.Response
		res, err = c.client.Do(r)
		if err == nil {
			return res, nil
		}
		err = unreachable(err)
		if errors.Is(err, ErrLost) {
			return nil, err
		}
	}
	return nil, err
}

func randomSuffix() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
