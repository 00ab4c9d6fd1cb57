// Package inquirer asks a gateway where a request would go now, and answers such questions. Nothing is sent to an upstream.
package inquirer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Path is where a gateway answers questions, on its control listener.
const Path = "/where"

// pathParameter is the query parameter with the path of the described request. Its headers are those of the question itself,
// so that the listener counts and limits them like every head.
const pathParameter = "path"

const (
	// maxAnswerBytes bounds what is read of an answer: a candidate takes a few hundred bytes.
	maxAnswerBytes = 4 << 20
	// maxErrorBytes bounds the text of an error in a message.
	maxErrorBytes = 500
	// askTimeout bounds a question and its answer. It exceeds the time that the listener allows for an exchange.
	askTimeout = 15 * time.Second
)

// Question describes a request. The header Host names its host.
type Question struct {
	// Path may have a query.
	Path    string
	Headers http.Header
}

// describedRequest returns the request that a question is about, without a body.
func describedRequest(question *http.Request) (*http.Request, error) {
	path := question.URL.Query().Get(pathParameter)
	if !strings.HasPrefix(path, "/") {
		return nil, errors.Newf("the path %q does not begin with a slash; send it in the parameter %s", path, pathParameter)
	}
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errors.Wrap(err, "the path is invalid")
	}
	return &http.Request{
		Method: http.MethodPost, URL: target, RequestURI: path, Host: question.Host, Header: question.Header, Body: http.NoBody,
	}, nil
}

// Handler answers questions by a function, one at a time: the function copies state that the decisions on requests use, and
// a crowd of questions must not delay these. The listener bounds the connections that wait.
func Handler(answer func(*http.Request) Answer) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "send the question with GET", http.StatusMethodNotAllowed)
			return
		}
		described, err := describedRequest(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mu.Lock()
		out := answer(described)
		mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}

// Ask sends a question to the control address of a gateway. It returns the answer and its JSON text.
func Ask(ctx context.Context, client *http.Client, address string, q Question) (Answer, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	target := strings.TrimSuffix(address, "/") + Path + "?" + url.Values{pathParameter: {q.Path}}.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return Answer{}, nil, errors.Wrap(err, "the address of the gateway is invalid; write IP:port or a URL")
	}
	for name, values := range q.Headers {
		for _, v := range values {
			r.Header.Add(name, v)
		}
	}
	if host := r.Header.Get("Host"); host != "" {
		r.Host = host
	}
	resp, err := client.Do(r)
	if err != nil {
		return Answer{}, nil, errors.Wrap(err, "the gateway does not answer; give the control address of a running gateway")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, nil, errors.Wrap(err, "read the answer of the gateway")
	}
	if resp.StatusCode == http.StatusNotFound {
		return Answer{}, nil, errors.New("the gateway does not know this question; give the control address of a gateway of the command's version")
	}
	if resp.StatusCode != http.StatusOK {
		message := strings.TrimSpace(string(text[:min(len(text), maxErrorBytes)]))
		return Answer{}, nil, errors.Newf("the gateway answers with status %d: %s", resp.StatusCode, message)
	}
	var out Answer
	if err := json.Unmarshal(text, &out); err != nil {
		return Answer{}, nil, errors.Wrap(err, "decode the answer; use a command of the gateway's version")
	}
	return out, text, nil
}
