package provider

import "github.com/daisytide/daisytide/internal/process/membership"

// setWatcher makes f a watcher with links.
func setWatcher(f *Follower) {
	store := membership.StoreUnknown
	f.PublishAccess = func(a membership.StoreAccess) { store = a }
	f.WatcherCount = func() int { return 9 }
	f.View = func() WatchView { return WatchView{Links: 3, Watchers: 1, Lost: store == membership.StoreLost} }
	f.Start()
}
