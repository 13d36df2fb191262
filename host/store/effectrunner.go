package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// watchTimeout bounds a watch. The platform ends a wait after 25 s, so a watch
// without a response for this long has a dead connection.
const watchTimeout = 30 * time.Second

// maxConcurrentShardReads bounds the concurrent shard reads of one effect.
const maxConcurrentShardReads = 4

// ControlLoop is the part of control.Loop that a Caller uses.
type ControlLoop interface {
	Post(event.Body) bool
	Now() model.Instant
}

// Caller carries out the reducer's store effects, each in a goroutine, and posts
// the results as events. It implements control.Store. Create it with NewCaller.
type Caller struct {
	ctx     context.Context
	records Records
	loop    ControlLoop
	timeout time.Duration
	log     *log.Logger

	mu        sync.Mutex
	stopWatch context.CancelFunc
}

// NewCaller returns a Caller whose calls end with ctx and, except for watches,
// after timeout.
func NewCaller(ctx context.Context, s Store, loop ControlLoop, timeout time.Duration, logger *log.Logger) *Caller {
	return &Caller{
		ctx:       ctx,
		records:   Records{Store: s},
		loop:      loop,
		timeout:   timeout,
		log:       logger,
		stopWatch: func() {},
	}
}

// Call starts a store call and returns at once.
func (c *Caller) Call(f effect.Effect) {
	switch f := f.(type) {
	case effect.ReadSlot:
		go c.readSlot(f)
	case effect.SwapSlot:
		go c.swapSlot(f)
	case effect.ReadRoot:
		go c.readRoot()
	case effect.WatchRoot:
		go c.watchRoot(c.replaceWatch(), f)
	case effect.ReadShards:
		go c.readShards(f)
	case effect.DecodeShards:
		go c.decodeShards(f)
	}
}

func (c *Caller) readSlot(f effect.ReadSlot) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	sent := c.loop.Now()
	record, version, err := c.records.Slot(ctx, f.Slot)
	c.logBroken(err)
	c.loop.Post(event.SlotRead{
		Slot: f.Slot, Record: record, Version: version, Error: errorKind(err), SentAt: sent,
	})
}

func (c *Caller) swapSlot(f effect.SwapSlot) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	sent := c.loop.Now()
	version, err := c.records.SwapSlot(ctx, f.Slot, f.Version, f.Record)
	c.logBroken(err)
	c.loop.Post(event.SlotSwapped{
		Slot: f.Slot, Record: f.Record, Version: version, Error: errorKind(err), SentAt: sent,
	})
}

func (c *Caller) readRoot() {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	sent := c.loop.Now()
	root, version, err := c.records.Root(ctx)
	c.logBroken(err)
	c.loop.Post(event.RootRead{Root: root, StoreVersion: version, Error: errorKind(err), SentAt: sent})
}

// replaceWatch cancels the previous watch, if any, and returns the context of a
// new one, so that a process has only one watch at a time.
func (c *Caller) replaceWatch() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopWatch()
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopWatch = cancel
	return ctx
}

func (c *Caller) watchRoot(watch context.Context, f effect.WatchRoot) {
	ctx, cancel := context.WithTimeout(watch, watchTimeout)
	defer cancel()
	sent := c.loop.Now()
	root, version, err := c.records.WatchRoot(ctx, f.After)
	if watch.Err() != nil {
		return // replaced by a newer watch, which posts the result
	}
	c.logBroken(err)
	c.loop.Post(event.RootRead{Root: root, StoreVersion: version, Error: errorKind(err), SentAt: sent})
}

func (c *Caller) readShards(f effect.ReadShards) {
	shards := make([]configuration.Shard, len(f.Hashes))
	errs := make([]error, len(f.Hashes))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentShardReads)
	for i, hash := range f.Hashes {
		semaphore <- struct{}{}
		wg.Go(func() {
			shards[i], errs[i] = c.readShard(hash)
			<-semaphore
		})
	}
	wg.Wait()
	c.postShards(f.Hashes, shards, errs)
}

// decodeShards decodes shards that the reducer already has, outside the control
// goroutine.
func (c *Caller) decodeShards(f effect.DecodeShards) {
	shards := make([]configuration.Shard, len(f.Shards))
	errs := make([]error, len(f.Shards))
	hashes := make([]string, len(f.Shards))
	for i, shard := range f.Shards {
		hashes[i] = shard.Hash
		shards[i], errs[i] = DecodeShard(shard.Hash, shard.Encoded)
	}
	c.postShards(hashes, shards, errs)
}

// readShard reads one shard with a timeout of its own, so that a large tree can
// be read even from a slow store.
func (c *Caller) readShard(hash string) (configuration.Shard, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	return c.records.Shard(ctx, hash)
}

func (c *Caller) postShards(hashes []string, shards []configuration.Shard, errs []error) {
	result := event.ShardsRead{}
	for i, err := range errs {
		if err == nil {
			result.Shards = append(result.Shards, shards[i])
			continue
		}
		c.logBroken(err)
		if errors.Is(err, ErrBroken) {
			result.Broken = append(result.Broken, hashes[i])
			continue
		}
		result.Error = event.StoreUnavailable
	}
	c.loop.Post(result)
}

// logBroken logs an error if it is about an invalid record, which an operator has
// to repair. The reducer reports outages.
func (c *Caller) logBroken(err error) {
	if err != nil && errors.Is(err, ErrBroken) {
		c.log.Error().Err(err).Msg("store record is broken")
	}
}
