package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"almondstand.dev/contract"
)

// Task is one task of a Job, as encoded in the request.
type Task struct {
	Kind    string `json:"kind"`
	Payload []byte `json:"payload"`
	RunTime string `json:"run_time,omitempty"`
}

// Job is the request body with which a caller submits a job.
type Job struct {
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Tasks      []Task `json:"tasks"`
}

// TaskAnswer is the result or the error of one task.
type TaskAnswer struct {
	Payload []byte `json:"payload"`
	Ran     string `json:"ran"`
	Code    string `json:"code"`
}

// Failure is the error field of an answer.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

// Answer is the response to a caller's request.
type Answer struct {
	Status     int           `json:"-"`
	RetryAfter string        `json:"-"`
	Next       string        `json:"-"`
	Entry      string        `json:"-"`
	Took       time.Duration `json:"-"`
	// Body is the response body before decoding.
	Body       []byte       `json:"-"`
	Submission string       `json:"submission"`
	Outcome    string       `json:"outcome"`
	Error      *Failure     `json:"error"`
	Tasks      []TaskAnswer `json:"tasks"`
}

// OK reports whether the job completed.
func (a *Answer) OK() bool { return a.Status == http.StatusOK }

// Ran returns whether the job as a whole ran, according to the answer: yes, no or unknown.
func (a *Answer) Ran() string {
	if a.Error == nil {
		return "yes"
	}
	return a.Error.Ran
}

// Client is a caller that submits jobs for one client account.
type Client struct {
	ClientAccount string
	HTTP          *http.Client
}

// NewClient returns a Client of the account with its own connection pool.
func NewClient(account string) *Client {
	return &Client{
		ClientAccount: account,
		HTTP:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
}

// Mint has an entry create n submission ids.
func (c *Client) Mint(ctx context.Context, address string, n int) ([]string, error) {
	var out struct {
		Submissions []string `json:"submissions"`
	}
	body, status, err := c.call(ctx, http.MethodPost, address, "/v1/submissions", map[string]int{"count": n})
	if err != nil {
		return nil, err
	}
	if status.StatusCode/100 != 2 {
		return nil, fmt.Errorf("harness: mint submission ids: status %d: %s", status.StatusCode, body)
	}
	return out.Submissions, json.Unmarshal(body, &out)
}

// Run submits a job without a submission id.
func (c *Client) Run(ctx context.Context, address string, j Job) (*Answer, error) {
	return c.requestJob(ctx, http.MethodPost, address, "/v1/jobs", j)
}

// Put submits a job under a submission id, so that the request can be repeated.
func (c *Client) Put(ctx context.Context, address, id string, j Job) (*Answer, error) {
	return c.requestJob(ctx, http.MethodPut, address, "/v1/submissions/"+id, j)
}

// Get fetches the answer to a submission.
func (c *Client) Get(ctx context.Context, address, id string) (*Answer, error) {
	return c.requestJob(ctx, http.MethodGet, address, "/v1/submissions/"+id, nil)
}

// Cancel cancels a submission.
func (c *Client) Cancel(ctx context.Context, address, id string) (*Answer, error) {
	return c.requestJob(ctx, http.MethodDelete, address, "/v1/submissions/"+id, nil)
}

func (c *Client) requestJob(ctx context.Context, method, address, path string, body any) (*Answer, error) {
	start := time.Now()
	text, response, err := c.call(ctx, method, address, path, body)
	if err != nil {
		return nil, err
	}
	a := &Answer{
		Status:     response.StatusCode,
		RetryAfter: response.Header.Get("Retry-After"),
		Next:       response.Header.Get("Almond-Next-Submission"),
		Entry:      response.Header.Get("Almond-Entry"),
		Took:       time.Since(start),
		Body:       text,
	}
	if err := json.Unmarshal(text, a); err != nil {
		return nil, fmt.Errorf("harness: decode answer with status %d %q: %w", a.Status, text, err)
	}
	return a, nil
}

func (c *Client) call(ctx context.Context, method, address, path string, body any) ([]byte, *http.Response, error) {
	return call(ctx, c.HTTP, method, address, path, Token(c.ClientAccount), body)
}

func call(ctx context.Context, h *http.Client, method, address, path, token string, body any) ([]byte, *http.Response, error) {
	var requestBody io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return nil, nil, fmt.Errorf("harness: request: %w", err)
		}
		requestBody = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, requestBody)
	if err != nil {
		return nil, nil, fmt.Errorf("harness: request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	response, err := h.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return text, response, err
}

// Operate calls an entry's operator API, decodes the response into result and returns its
// status. It leaves result unchanged if the status isn't 2xx.
func Operate(ctx context.Context, address, method, path string, body, result any) (int, error) {
	text, response, err := call(ctx, http.DefaultClient, method, address, path, OperatorToken, body)
	if err != nil {
		return 0, err
	}
	if result == nil || response.StatusCode/100 != 2 {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.Unmarshal(text, result)
}

// Apply sets a client account's contract through the first entry, and returns once all
// live entries of the cluster have it.
func (c *Cluster) Apply(ctx context.Context, k contract.Contract) error {
	text, err := json.Marshal(k)
	if err != nil {
		return fmt.Errorf("harness: contract: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut,
		"http://"+c.Entries[0].Operators+"/v1/contracts/"+k.Client, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("harness: contract: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+OperatorToken)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", "*")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("harness: contract: %w", err)
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("harness: contract: %d %s", response.StatusCode, answer)
	}
	return nil
}
