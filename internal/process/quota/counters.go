package quota

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// maxAccountSeries is the number of accounts with series of their own: those with the
// most requests. The others are summed up under otherAccounts.
const (
	maxAccountSeries = 16
	otherAccounts    = "other"
)

// Outcomes of a request with an account, as labels.
const (
	outcomeAdmitted = "admitted"
	outcomeRefused  = "refused"
)

// accountCount counts the requests of an account.
type accountCount struct {
	name              string
	admitted, refused uint64
}

// counters are totals since the start of the process.
type counters struct {
	accounts map[string]*accountCount
	rest     accountCount

	sent, failed, answered, waits atomic.Uint64
}

func (c *counters) init() { c.accounts = map[string]*accountCount{} }

// maxCounted bounds the number of accounts that are counted one by one.
const maxCounted = 1 << 14

// count counts a request; the caller holds the limiter's lock.
func (c *counters) count(account string, ok bool) {
	n := c.accounts[account]
	if n == nil {
		if len(c.accounts) >= maxCounted {
			n = &c.rest
		} else {
			n = &accountCount{name: account}
			c.accounts[account] = n
		}
	}
	if ok {
		n.admitted++
	} else {
		n.refused++
	}
}

// Metrics is the Prometheus collector of a limiter.
type Metrics struct {
	limiter *Limiter
}

var (
	requestsDesc = prometheus.NewDesc("daisytide_quota_requests", "Requests since the start by client account and outcome; the accounts with the most requests and the others.", []string{"account", "outcome"}, nil)
	messagesDesc = prometheus.NewDesc("daisytide_quota_messages_total", "Messages on quotas since the start by kind.", []string{"kind"}, nil)
	waitsDesc    = prometheus.NewDesc("daisytide_quota_waits_total", "Requests that waited for the owner of their account.", nil, nil)
)

// Metrics returns the collector of the limiter.
func (l *Limiter) Metrics() *Metrics { return &Metrics{limiter: l} }

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, messagesDesc, waitsDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	for _, n := range m.limiter.topAccounts() {
		ch <- prometheus.MustNewConstMetric(requestsDesc, prometheus.GaugeValue, float64(n.admitted), n.name, outcomeAdmitted)
		ch <- prometheus.MustNewConstMetric(requestsDesc, prometheus.GaugeValue, float64(n.refused), n.name, outcomeRefused)
	}
	c := &m.limiter.counters
	for kind, v := range map[string]uint64{"sent": c.sent.Load(), "failed": c.failed.Load(), "answered": c.answered.Load()} {
		ch <- prometheus.MustNewConstMetric(messagesDesc, prometheus.CounterValue, float64(v), kind)
	}
	ch <- prometheus.MustNewConstMetric(waitsDesc, prometheus.CounterValue, float64(c.waits.Load()))
}

// topAccounts returns the counts of the accounts with the most requests, and the sum
// of the others if there are any.
func (l *Limiter) topAccounts() []accountCount {
	l.mu.Lock()
	all := make([]accountCount, 0, len(l.counters.accounts))
	for _, n := range l.counters.accounts {
		all = append(all, *n)
	}
	rest := l.counters.rest
	l.mu.Unlock()
	slices.SortFunc(all, func(a, b accountCount) int {
		return cmp.Or(cmp.Compare(b.admitted+b.refused, a.admitted+a.refused), cmp.Compare(a.name, b.name))
	})
	for _, n := range all[min(len(all), maxAccountSeries):] {
		rest.admitted += n.admitted
		rest.refused += n.refused
	}
	all = all[:min(len(all), maxAccountSeries)]
	if rest.admitted+rest.refused > 0 {
		rest.name = otherAccounts
		all = append(all, rest)
	}
	return all
}
