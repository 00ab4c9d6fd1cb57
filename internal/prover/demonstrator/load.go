package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"currantledge.example/currantledge/internal/prover/launcher"
	"currantledge.example/currantledge/internal/prover/recorder"
)

// mix holds the rates and sizes of the requests of a load.
type mix struct {
	name string
	// modelRate and serviceRate are requests per second.
	modelRate   float64
	serviceRate float64
	// minTokens and maxTokens bound the length of an output.
	minTokens int
	maxTokens int
}

var (
	morning = mix{name: "morning", modelRate: 40, serviceRate: 20, minTokens: 8, maxTokens: 32}
	evening = mix{name: "evening", modelRate: 6, serviceRate: 10, minTokens: 200, maxTokens: 500}
)

// The shares of kinds of requests in percent. chatPercent and nonStreamPercent apply to model requests, idempotentPercent
// to service calls, paymentPercent and keylessPercent to service calls that are not idempotent.
const (
	chatPercent       = 70
	nonStreamPercent  = 10
	idempotentPercent = 50
	paymentPercent    = 20
	keylessPercent    = 10
	// resendPercent is the share of keyed calls that callers send twice at the same time.
	resendPercent = 25
)

// loadConfig configures a load.
type loadConfig struct {
	Plan launcher.Plan
	Seed uint64
	Log  *recorder.Log
	// Pick returns the base URL of an entry.
	Pick func() string
}

// load sends requests at random times, independently of the responses to earlier ones.
type load struct {
	cfg        loadConfig
	ctx        context.Context
	cancel     context.CancelFunc
	caller     *recorder.Caller
	random     *rand.Rand
	totalShare float64
	// number is that of the last model request or service call. Both sends of a resent call have the same number.
	number int
	calls  sync.WaitGroup
	sent   atomic.Int64
	open   atomic.Int64
}

func newLoad(ctx context.Context, cfg loadConfig) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		caller: recorder.NewCaller(cfg.Log),
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	for _, c := range cfg.Plan.Customers {
		l.totalShare += c.Share
	}
	return l
}

func (l *load) close() {
	l.cancel()
	l.calls.Wait()
	l.caller.Close()
}

// finish waits until no request is open. It cancels those that are still open after a timeout.
func (l *load) finish(timeout time.Duration) {
	cancelTimer := time.AfterFunc(timeout, l.cancel)
	defer cancelTimer.Stop()
	l.calls.Wait()
}

func (l *load) counts() (sent, open int64) {
	return l.sent.Load(), l.open.Load()
}

// run sends requests for a duration. Its last requests may still be open when it returns.
func (l *load) run(m mix, duration time.Duration) {
	end := time.NewTimer(duration)
	defer end.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-end.C:
			return
		case <-next.C:
			l.send(m)
			pause := l.random.ExpFloat64() / (m.modelRate + m.serviceRate)
			next.Reset(time.Duration(pause * float64(time.Second)))
		}
	}
}

// send starts one request of a random kind. All random draws are made here, in a fixed order.
func (l *load) send(m mix) {
	l.number++
	customer := l.customer()
	if l.random.Float64()*(m.modelRate+m.serviceRate) < m.modelRate {
		request := l.modelRequest(m, customer)
		l.start(func() { l.caller.SendModelRequest(l.ctx, l.cfg.Pick(), request) })
		return
	}
	call := l.serviceCall(customer)
	resend := call.Key != "" && l.chance(resendPercent)
	l.start(func() { l.caller.SendServiceCall(l.ctx, l.cfg.Pick(), call) })
	if resend {
		l.start(func() { l.caller.SendServiceCall(l.ctx, l.cfg.Pick(), call) })
	}
}

// start sends a request in the background and counts it.
func (l *load) start(request func()) {
	l.sent.Add(1)
	l.open.Add(1)
	l.calls.Go(func() {
		defer l.open.Add(-1)
		request()
	})
}

// chance reports true with a probability in percent.
func (l *load) chance(percent int) bool {
	return l.random.IntN(100) < percent
}

// customer returns a random customer, each with a probability proportional to its share.
func (l *load) customer() launcher.CustomerPlan {
	customers := l.cfg.Plan.Customers
	position := l.random.Float64() * l.totalShare
	for _, c := range customers {
		position -= c.Share
		if position < 0 {
			return c
		}
	}
	return customers[len(customers)-1]
}

func (l *load) modelRequest(m mix, customer launcher.CustomerPlan) recorder.ModelRequest {
	tokens := m.minTokens + l.random.IntN(m.maxTokens-m.minTokens+1)
	endpoint := recorder.EndpointCompletion
	if l.chance(chatPercent) {
		endpoint = recorder.EndpointChat
	}
	group := l.cfg.Plan.Groups[l.random.IntN(len(l.cfg.Plan.Groups))]
	return recorder.ModelRequest{
		Customer:  customer.Name,
		Bearer:    customer.Key,
		Endpoint:  endpoint,
		Model:     group.Model,
		Prompt:    fmt.Sprintf("%s question %d, answer with tokens=%d", m.name, l.number, tokens),
		MaxTokens: tokens,
		Stream:    !l.chance(nonStreamPercent),
	}
}

// serviceCall returns an idempotent stock look-up, an order or a payment. The query of its path is unique.
func (l *load) serviceCall(customer launcher.CustomerPlan) recorder.ServiceCall {
	service := l.cfg.Plan.Services[l.random.IntN(len(l.cfg.Plan.Services))]
	call := recorder.ServiceCall{Customer: customer.Name, Bearer: customer.Key, Service: service.Name}
	if l.chance(idempotentPercent) {
		call.Method = http.MethodGet
		call.Path = fmt.Sprintf("/stock/item?call=%d", l.number)
		call.Idempotent = true
		return call
	}
	call.Method = http.MethodPost
	call.Path = fmt.Sprintf("/orders?call=%d", l.number)
	if l.chance(paymentPercent) {
		call.Path = fmt.Sprintf("/payments?call=%d", l.number)
	}
	call.Body = fmt.Appendf(nil, `{"order":%d}`, l.number)
	if !l.chance(keylessPercent) {
		call.Key = fmt.Sprintf("call-%d", l.number)
	}
	return call
}
