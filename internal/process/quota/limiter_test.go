package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// mesh connects limiters in one process; messages take a millisecond.
type mesh struct {
	mu       sync.Mutex
	limiters map[string]*Limiter
	closed   map[string]bool
	silent   map[string]bool
	calls    int
}

func (m *mesh) Call(ctx context.Context, address, method string, in, out any) error {
	m.mu.Lock()
	l, closed, silent := m.limiters[address], m.closed[address], m.silent[address]
	m.calls++
	m.mu.Unlock()
	if closed || l == nil || method != Method {
		return fmt.Errorf("call %s: %w", address, syscall.ECONNREFUSED)
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	body, err := wire.Marshal(in)
	if err != nil {
		return err
	}
	var a Ask
	if err := wire.Unmarshal(body, &a); err != nil {
		return err
	}
	reply, err := l.HandleAsk(ctx, a)
	if err != nil {
		return err
	}
	if body, err = wire.Marshal(reply); err != nil {
		return err
	}
	return wire.Unmarshal(body, out)
}

func testSnapshot(t testing.TB, number uint64, accounts ...traffic.Account) *snapshot.Snapshot {
	t.Helper()
	envelope, err := (&document.AcceptedConfig{Number: number, Traffic: &traffic.Config{RequireKey: true, Accounts: accounts}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newMesh starts n limiters that know each other.
func newMesh(ctx context.Context, t testing.TB, n int, accounts ...traffic.Account) (*mesh, *sync.WaitGroup) {
	m := &mesh{limiters: map[string]*Limiter{}, closed: map[string]bool{}, silent: map[string]bool{}}
	var records []membership.Record
	for i := range n {
		records = append(records, membership.Record{Address: simAddress(i), State: membership.Alive})
	}
	var running sync.WaitGroup
	for _, r := range records {
		l := &Limiter{
			Self: r.Address, RPC: m, Members: func() []membership.Record { return records },
			Generation: func() uint64 { return 1 }, Joined: func() bool { return true },
		}
		l.Start(1, time.Now())
		l.ApplySnapshot(testSnapshot(t, 1, accounts...))
		m.limiters[r.Address] = l
	}
	for _, l := range m.limiters {
		running.Go(func() { _ = l.Run(ctx) })
	}
	return m, &running
}

// Guards against nodes that each admit a whole quota, against a request that waits
// longer than maxAskWait, and against an account that stays without tokens after its
// owner has ended or fallen silent.
func TestLimitersShareAQuotaOverRPC(t *testing.T) {
	for name, disturb := range map[string]func(m *mesh, owner string){
		"calm":         func(*mesh, string) {},
		"owner ended":  func(m *mesh, owner string) { m.closed[owner] = true },
		"owner silent": func(m *mesh, owner string) { m.silent[owner] = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				m, running := newMesh(ctx, t, 5, acme)
				time.Sleep(5 * time.Second)
				first := m.limiters[simAddress(0)]
				first.mu.Lock()
				owner := first.borrower.current.owner(first.borrower.account(&acme, time.Now()).hash)
				first.mu.Unlock()
				m.mu.Lock()
				disturb(m, owner)
				m.mu.Unlock()
				time.Sleep(4 * time.Second)
				began, admittedCount, refusedCount := time.Now(), 0, 0
				for time.Since(began) < 10*time.Second {
					for address, l := range m.limiters {
						if address == owner {
							continue
						}
						asked := time.Now()
						ok, retryAfter := l.Take(ctx, &acme, asked)
						if waited := time.Since(asked); waited > maxAskWait {
							t.Errorf("waited for %v", waited)
						}
						if ok {
							admittedCount++
						} else if refusedCount++; retryAfter < minRetryAfter/2 {
							t.Errorf("retry delay %v", retryAfter)
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				seconds := time.Since(began).Seconds()
				if most := acme.Rate*seconds + capacity(acme.Rate, acme.Burst); float64(admittedCount) > most || float64(admittedCount) < 0.7*acme.Rate*seconds {
					t.Errorf("admitted %d in %.0f s, want at most %.0f", admittedCount, seconds, most)
				}
				if refusedCount == 0 {
					t.Error("refused none")
				}
				stop()
				running.Wait()
			})
		})
	}
}

// Guards against work for accounts without a limit and against messages in deployments
// that have none.
func TestDeploymentsWithoutLimitsCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		free := traffic.Account{Name: "free"}
		m, running := newMesh(ctx, t, 3, free)
		for range 100 {
			for _, l := range m.limiters {
				if ok, _ := l.Take(ctx, &free, time.Now()); !ok {
					t.Error("refused an account without a limit")
				}
				l.Return(&free, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		if m.calls > 0 {
			t.Errorf("%d messages", m.calls)
		}
		stop()
		running.Wait()
	})
}

// Guards against allocations on the path of each request.
func TestTakeDoesNotAllocate(t *testing.T) {
	l := newLoadedLimiter(t)
	if n := testing.AllocsPerRun(1000, func() { l.takeHeld() }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// loadedLimiter always holds a token.
type loadedLimiter struct {
	*Limiter
	held *account
	now  time.Time
}

func newLoadedLimiter(t testing.TB) *loadedLimiter {
	l := &Limiter{Self: "self"}
	l.Start(1, time.Now())
	l.ApplySnapshot(testSnapshot(t, 1, acme))
	return &loadedLimiter{l, l.borrower.account(&acme, time.Now()), time.Now()}
}

func (l *loadedLimiter) takeHeld() {
	l.held.held, l.held.validUntil = 1, l.now.Add(time.Hour)
	l.now = l.now.Add(time.Millisecond)
	if ok, _ := l.Take(context.Background(), &acme, l.now); !ok {
		panic(errors.New("refused with a token"))
	}
}

func BenchmarkTake(b *testing.B) {
	l := newLoadedLimiter(b)
	b.ReportAllocs()
	for b.Loop() {
		l.takeHeld()
	}
}

// Guards against a series for each of thousands of accounts.
func TestNumberOfAccountSeriesIsBounded(t *testing.T) {
	l := newLoadedLimiter(t)
	for i := range 500 {
		for range i + 1 {
			l.counters.count(fmt.Sprint("a", i), true)
		}
	}
	top := l.topAccounts()
	if len(top) != maxAccountSeries+1 || top[0].name != "a499" || top[maxAccountSeries].name != otherAccounts {
		t.Errorf("%d series, first %+v, last %+v", len(top), top[0], top[len(top)-1])
	}
	total := uint64(0)
	for _, n := range top {
		total += n.admitted
	}
	if total != 500*501/2 {
		t.Errorf("the series sum up to %d requests, want %d", total, 500*501/2)
	}
}
