package decision

import (
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// configState is how the host follows the configuration.
type configState struct {
	root   configuration.Root
	shards map[string]configuration.Shard // by hash
}

func newConfigState() configState {
	return configState{shards: make(map[string]configuration.Shard)}
}

func (s *State) startConfig() { s.emit(effect.ReadRoot{}) }

func (s *State) onRootRead(e event.RootRead)     {}
func (s *State) onShardsRead(e event.ShardsRead) {}
func (s *State) onConfigTimer(id uint64)         {}

func (s *State) onConfigOffer(from model.HostRef, m message.ConfigOffer) {}
func (s *State) onShardAsk(from model.HostRef, m message.ShardAsk)       {}
func (s *State) onShards(from model.HostRef, m message.Shards)           {}

// configHeard is called with the version that a peer's heartbeat names.
func (s *State) configHeard(from model.HostRef, version uint64) {}
