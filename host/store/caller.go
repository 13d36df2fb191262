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

// watchTimeout bounds a watch. The platform ends a wait after 25 s, so that a
// watch without an answer for this long is on a dead connection.
const watchTimeout = 30 * time.Second

// shardReads bounds the shard reads of one effect that run at a time.
const shardReads = 4

// Loop is the part of the control loop that takes answers.
type Loop interface {
	Post(event.Body) bool
	Now() model.Instant
}

// Caller carries out the reducer's store effects, each in a goroutine, and
// posts the answers. It implements control.Store. Make it with NewCaller.
type Caller struct {
	ctx     context.Context
	records Records
	loop    Loop
	timeout time.Duration
	log     *log.Logger

	mu        sync.Mutex
	stopWatch context.CancelFunc
}

// NewCaller returns a caller whose calls end with ctx and take at most
// timeout, watches excepted.
func NewCaller(ctx context.Context, s Store, loop Loop, timeout time.Duration, logger *log.Logger) *Caller {
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
		go c.watchRoot(c.newWatch(), f)
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
	c.note(err)
	c.loop.Post(event.SlotRead{
		Slot: f.Slot, Record: record, Version: version, Error: errorKind(err), SentAt: sent,
	})
}

func (c *Caller) swapSlot(f effect.SwapSlot) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	sent := c.loop.Now()
	version, err := c.records.SwapSlot(ctx, f.Slot, f.Version, f.Record)
	c.note(err)
	c.loop.Post(event.SlotSwapped{
		Slot: f.Slot, Record: f.Record, Version: version, Error: errorKind(err), SentAt: sent,
	})
}

func (c *Caller) readRoot() {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	sent := c.loop.Now()
	root, version, err := c.records.Root(ctx)
	c.note(err)
	c.loop.Post(event.RootRead{Root: root, StoreVersion: version, Error: errorKind(err), SentAt: sent})
}

// newWatch ends the watch before, if any, so that a process has one watch
// however often the reducer asks for it.
func (c *Caller) newWatch() context.Context {
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
		return // replaced by a newer watch, which will answer
	}
	c.note(err)
	c.loop.Post(event.RootRead{Root: root, StoreVersion: version, Error: errorKind(err), SentAt: sent})
}

func (c *Caller) readShards(f effect.ReadShards) {
	shards := make([]configuration.Shard, len(f.Hashes))
	errs := make([]error, len(f.Hashes))
	var wait sync.WaitGroup
	slots := make(chan struct{}, shardReads)
	for i, hash := range f.Hashes {
		slots <- struct{}{}
		wait.Go(func() {
			shards[i], errs[i] = c.readShard(hash)
			<-slots
		})
	}
	wait.Wait()
	c.postShards(f.Hashes, shards, errs)
}

// decodeShards decodes shards that the reducer holds, away from the control
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

// readShard has the time of a call for itself, so that a slow store still
// gives a large tree.
func (c *Caller) readShard(hash string) (configuration.Shard, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	return c.records.Shard(ctx, hash)
}

func (c *Caller) postShards(hashes []string, shards []configuration.Shard, errs []error) {
	answer := event.ShardsRead{}
	for i, err := range errs {
		if err == nil {
			answer.Shards = append(answer.Shards, shards[i])
			continue
		}
		c.note(err)
		if errors.Is(err, ErrBroken) {
			answer.Broken = append(answer.Broken, hashes[i])
			continue
		}
		answer.Error = event.StoreUnavailable
	}
	c.loop.Post(answer)
}

// note logs records that are broken; an operator has to repair them. Outages
// are the reducer's to report.
func (c *Caller) note(err error) {
	if err != nil && errors.Is(err, ErrBroken) {
		c.log.Error().Err(err).Msg("store record is broken")
	}
}
