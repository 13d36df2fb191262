package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// watchTimeout bounds a watch. The platform ends a wait after 25 s or sooner, so a
// watch without a response for this long has a dead connection.
const watchTimeout = 30 * time.Second

// maxConcurrentShardReads bounds the concurrent shard reads of one effect.
const maxConcurrentShardReads = 4

// ControlLoop is the part of control.Loop that an EffectRunner uses.
type ControlLoop interface {
	Post(event.Body) bool
	Now() model.Instant
}

// EffectRunner carries out the reducer's store effects, each in a goroutine,
// and posts the results as events. It implements control.Store. Create it with
// NewEffectRunner.
type EffectRunner struct {
	ctx     context.Context
	records Records
	loop    ControlLoop
	timeout time.Duration
	log     *log.Logger

	mu        sync.Mutex
	stopWatch context.CancelFunc
}

// NewEffectRunner returns an EffectRunner whose calls end with ctx and, except
// for watches, after timeout.
func NewEffectRunner(ctx context.Context, s Store, loop ControlLoop, timeout time.Duration, logger *log.Logger) *EffectRunner {
	return &EffectRunner{
		ctx:       ctx,
		records:   Records{Store: s},
		loop:      loop,
		timeout:   timeout,
		log:       logger,
		stopWatch: func() {},
	}
}

// Call starts a store call and returns at once.
func (r *EffectRunner) Call(f effect.Effect) {
	switch f := f.(type) {
	case effect.ReadSlot:
		go r.readSlot(f)
	case effect.SwapSlot:
		go r.swapSlot(f)
	case effect.ReadRoot:
		go r.readRoot()
	case effect.WatchRoot:
		go r.watchRoot(r.replaceWatch(), f)
	case effect.ReadShards:
		go r.readShards(f)
	case effect.DecodeShards:
		go r.decodeShards(f)
	}
}

func (r *EffectRunner) readSlot(f effect.ReadSlot) {
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	sent := r.loop.Now()
	record, version, err := r.records.Slot(ctx, f.Slot)
	r.logBroken(err)
	r.loop.Post(event.SlotRead{
		Slot: f.Slot, Record: record, Version: version, Error: errorKind(err), SentAt: sent,
		Restores: r.records.Restores(),
	})
}

func (r *EffectRunner) swapSlot(f effect.SwapSlot) {
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	sent := r.loop.Now()
	version, err := r.records.SwapSlot(ctx, f.Slot, f.Version, f.Record)
	r.logBroken(err)
	r.loop.Post(event.SlotSwapped{
		Slot: f.Slot, Record: f.Record, Version: version, Error: errorKind(err), SentAt: sent,
		Restores: r.records.Restores(),
	})
}

func (r *EffectRunner) readRoot() {
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	sent := r.loop.Now()
	reply, err := r.records.Root(ctx)
	r.postRoot(reply, err, sent)
}

func (r *EffectRunner) postRoot(reply RootReply, err error, sent model.Instant) {
	r.logBroken(err)
	r.loop.Post(event.RootRead{
		Root:         reply.Root,
		StoreVersion: reply.Version,
		Error:        errorKind(err),
		Problem:      problemOf(err),
		SentAt:       sent,
		Evacuation:   reply.Evacuation,
		Restores:     r.records.Restores(),
	})
}

// replaceWatch cancels the previous watch, if any, and returns the context of a
// new one, so that a process has only one watch at a time.
func (r *EffectRunner) replaceWatch() context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopWatch()
	ctx, cancel := context.WithCancel(r.ctx)
	r.stopWatch = cancel
	return ctx
}

func (r *EffectRunner) watchRoot(watch context.Context, f effect.WatchRoot) {
	ctx, cancel := context.WithTimeout(watch, watchTimeout)
	defer cancel()
	sent := r.loop.Now()
	reply, err := r.records.WatchRoot(ctx, f.After)
	if watch.Err() != nil {
		return // replaced by a newer watch, which posts the result
	}
	r.postRoot(reply, err, sent)
}

func (r *EffectRunner) readShards(f effect.ReadShards) {
	shards := make([]configuration.Shard, len(f.Hashes))
	errs := make([]error, len(f.Hashes))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentShardReads)
	for i, hash := range f.Hashes {
		semaphore <- struct{}{}
		wg.Go(func() {
			shards[i], errs[i] = r.readShard(hash)
			<-semaphore
		})
	}
	wg.Wait()
	r.postShards(f.Hashes, shards, errs)
}

// decodeShards decodes shards that the reducer already has, outside the control
// goroutine.
func (r *EffectRunner) decodeShards(f effect.DecodeShards) {
	shards := make([]configuration.Shard, len(f.Shards))
	errs := make([]error, len(f.Shards))
	hashes := make([]string, len(f.Shards))
	for i, shard := range f.Shards {
		hashes[i] = shard.Hash
		shards[i], errs[i] = DecodeShard(shard.Hash, shard.Encoded)
	}
	r.postShards(hashes, shards, errs)
}

// readShard reads one shard with a timeout of its own, so that a large tree can
// be read even from a slow store.
func (r *EffectRunner) readShard(hash string) (configuration.Shard, error) {
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	return r.records.Shard(ctx, hash)
}

func (r *EffectRunner) postShards(hashes []string, shards []configuration.Shard, errs []error) {
	result := event.ShardsRead{}
	for i, err := range errs {
		if err == nil {
			result.Shards = append(result.Shards, shards[i])
			continue
		}
		r.logBroken(err)
		if errors.Is(err, ErrBroken) {
			result.Broken = append(result.Broken, hashes[i])
			continue
		}
		result.Error = shardErrorKind(result.Error, err)
	}
	r.loop.Post(result)
}

// shardErrorKind returns the kind of failure of a read of several shards, from that of the
// reads before and the error of one. A replaced shard says that the store answers.
func shardErrorKind(before event.StoreError, err error) event.StoreError {
	if before == event.StoreReplaced || errors.Is(err, ErrReplaced) {
		return event.StoreReplaced
	}
	return event.StoreUnavailable
}

// problemOf returns what is wrong with an invalid record, empty for other errors.
func problemOf(err error) string {
	if !errors.Is(err, ErrBroken) {
		return ""
	}
	if cause := merry.Cause(err); cause != nil {
		return cause.Error()
	}
	return err.Error()
}

// logBroken logs an error if it is about an invalid record, which an operator has
// to repair. The reducer reports outages.
func (r *EffectRunner) logBroken(err error) {
	if err != nil && errors.Is(err, ErrBroken) {
		r.log.Error().Err(err).Msg("store record is broken")
	}
}
