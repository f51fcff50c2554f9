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

	"github.com/filbertgap/filbertgap/internal/transport/fgconn"
)

// VM is one VM of a look-up response.
type VM struct {
	// VM is the name of the VM.
	VM               string `json:"vm"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// IDPrefix is the prefix of the Idempotency-Key of requests that are first sent
	// to this VM.
	IDPrefix string `json:"idPrefix"`
}

// Lookup is the response to a look-up request: the VMs that a caller should use,
// in order of preference.
type Lookup struct {
	VMs []VM `json:"vms"`
	// LifetimeSeconds is how long the response may be cached.
	LifetimeSeconds int `json:"lifetimeSeconds"`
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Addresses are base URLs of VMs that serve the first look-up.
	Addresses []string
	// Key is the caller's key. If it is empty, requests carry no key.
	Key string
	// CAFile is a PEM file with the trusted certificates. If it is empty, the
	// host's certificates are trusted. It is ignored if Transport is set.
	CAFile string
	// Transport replaces the default transport. Only the default one recognises a response
	// without a length that was reset.
	Transport http.RoundTripper
}

// Client sends requests to the system on behalf of a caller. It is safe for
// concurrent use.
type Client struct {
	options ClientOptions
	scheme  string
	client  http.Client

	mu sync.Mutex
	// lookup is the last look-up response, which may be used until expires.
	lookup  Lookup
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
	} else {
		transport = fgconn.Transport{RoundTripper: transport}
	}
	c := &Client{options: o, client: http.Client{Transport: transport}}
	// A redirect is returned to the caller like any response of an upstream.
	// Following it could send the key to another server.
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

// Lookup returns the VMs to use. It caches the last response for its lifetime,
// and continues to use it after that while no VM responds.
func (c *Client) Lookup(ctx context.Context) (Lookup, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.lookup, nil
	}
	baseURLs := c.options.Addresses
	for _, vm := range c.lookup.VMs {
		baseURLs = append(baseURLs[:len(baseURLs):len(baseURLs)], c.scheme+"://"+vm.Address)
	}
	var errs []error
	for _, baseURL := range baseURLs {
		lookup, err := c.fetchLookup(ctx, baseURL)
		if err == nil {
			c.lookup = lookup
			c.expires = time.Now().Add(time.Duration(lookup.LifetimeSeconds) * time.Second)
			return lookup, nil
		}
		errs = append(errs, err)
	}
	if len(c.lookup.VMs) > 0 {
		return c.lookup, nil
	}
	return Lookup{}, fmt.Errorf("%w: %w", ErrUnreachable, errors.Join(errs...))
}

func (c *Client) fetchLookup(ctx context.Context, baseURL string) (Lookup, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/fg/v1/lookup", nil)
	if err != nil {
		return Lookup{}, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return Lookup{}, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Lookup{}, refusalError(res)
	}
	var lookup Lookup
	if err := json.NewDecoder(io.LimitReader(res.Body, maxLookupBytes)).Decode(&lookup); err != nil {
		return Lookup{}, err
	}
	if len(lookup.VMs) == 0 {
		return Lookup{}, errors.New("the look-up response contains no VM")
	}
	return lookup, nil
}

// Do sends a request to the first VM of the look-up response that accepts a
// connection. It replaces the scheme and the host of the URL. Unless the method is
// GET or HEAD, it sets the header Idempotency-Key if the caller has not. Do does not
// retry a request whose response was lost: the caller can retry it with the same
// Idempotency-Key. A request whose body cannot be read again, because GetBody is
// nil, is sent to the first VM only.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	lookup, err := c.Lookup(r.Context())
	if err != nil {
		return nil, err
	}
	if c.options.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Key)
	}
	hasIdempotencyKey := r.Header.Get("Idempotency-Key") != ""
	for i, vm := range lookup.VMs {
		if i > 0 && r.Body != nil && r.Body != http.NoBody {
			// The failed send has closed the body.
			if r.GetBody == nil {
				return nil, err
			}
			if r.Body, err = r.GetBody(); err != nil {
				return nil, err
			}
		}
		r.URL.Scheme, r.URL.Host, r.Host = c.scheme, vm.Address, vm.Address
		if !hasIdempotencyKey && r.Method != http.MethodGet && r.Method != http.MethodHead {
			r.Header.Set("Idempotency-Key", vm.IDPrefix+"-"+randomSuffix())
		}
		var res *http.Response
		res, err = c.client.Do(r)
		if err == nil {
			return res, nil
		}
		err = transportError(err)
		if errors.Is(err, ErrOutcomeUnknown) {
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
