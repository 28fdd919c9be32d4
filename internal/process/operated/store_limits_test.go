package operated

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/process/settings"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/platform"
)

// Guards against a change that is late because the watch waits for its token behind the
// other calls of its node.
func TestChangeIsInForceInTimeBesideManyCallsOfItsNode(t *testing.T) {
	const (
		applyLimit = 2 * time.Second
		callers    = 12
	)
	address := func(port int) string {
		return fmt.Sprintf("127.%d.%d.250:%d", 201+(os.Getpid()>>8)%50, os.Getpid()%250, 7700+port)
	}
	cfg, faults := settings.Parse(fmt.Sprintf("[node]\nregion = r\ndata-centre = a\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = nodes-share-this-key\n"+
		"[operators]\nlisten = %s\ntoken = operators-have-this-token\n[store]\naddress = http://127.0.0.1:1\nrate = 4\n"+
		"[operated]\nenabled = true\ngate = %s\nready = %s\nservice = s\nupstream = %s\n",
		address(0), address(1), address(2), address(3), address(4), address(5)))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	s := store.New(1)
	n, err := New(cfg, s, platform.Adapter{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		for _, l := range n.listeners {
			_ = l.Close()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range callers {
		go func() {
			for ctx.Err() == nil {
				_, _ = n.store.Get(ctx, fmt.Sprint("other/", i))
			}
		}()
	}
	go func() { _ = n.provider.Run(ctx) }()
	for number := 1; number <= 4; number++ {
		value := fmt.Sprintf(`{"version":"%x","routes":{},"services":{},"limits":{}}`, number)
		e, err := s.Get(ctx, platform.KeyConfig)
		if err == nil {
			_, err = s.CompareAndSwap(ctx, platform.KeyConfig, e.Revision, []byte(value), "")
		}
		if err != nil {
			t.Fatal(err)
		}
		for written := time.Now(); n.holder.Current().Number() < uint64(number); time.Sleep(10 * time.Millisecond) {
			if late := time.Since(written); late > applyLimit && number > 1 {
				t.Fatalf("configuration %d is not in force %v after it was written", number, late)
			}
		}
	}
}
