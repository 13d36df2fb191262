package peer

import (
	"encoding/binary"
	"fmt"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// maxKnownHosts bounds the hosts that one link has names for. At the target
// size there are 650 hosts and 1,800 restarts a day.
const maxKnownHosts = 4096

// Heartbeat is the wire form of message.Heartbeat. It names hosts by their
// index in a list that both ends of a link keep, and their ages in
// milliseconds, rounded up. A heartbeat with 64 hosts has 1.9 KB without this,
// which is too much for a few a second.
type Heartbeat struct {
	// Rest is the message without Hosts and Slots.
	Rest message.Heartbeat
	// Forget empties the list of known hosts before Added is appended.
	Forget bool
	Added  []model.HostRef
	// Hosts has two unsigned varints for each host: twice its index, plus 1
	// for a young one, and its age.
	Hosts []byte
	Slots []SlotOwned
}

// SlotOwned is the wire form of message.SlotOwned.
type SlotOwned struct {
	Slot  model.SlotID
	Owner uint64 // index
	Term  uint64
	Age   uint64 // milliseconds
}

// sendHosts is the sender's end of the list of known hosts.
type sendHosts struct {
	index map[model.HostRef]uint64
}

// refer returns the index of a host and adds it to the heartbeat where it is
// new.
func (s *sendHosts) refer(h *Heartbeat, ref model.HostRef) uint64 {
	i, ok := s.index[ref]
	if !ok {
		i = uint64(len(s.index))
		s.index[ref] = i
		h.Added = append(h.Added, ref)
	}
	return i
}

func encodeHeartbeat(known *sendHosts, m message.Message) any {
	from := m.(message.Heartbeat)
	h := &Heartbeat{Rest: from}
	h.Rest.Hosts, h.Rest.Slots = nil, nil
	if known.index == nil || len(known.index)+len(from.Hosts)+len(from.Slots) > maxKnownHosts {
		known.index = make(map[model.HostRef]uint64)
		h.Forget = true
	}
	for _, host := range from.Hosts {
		h.Hosts = binary.AppendUvarint(h.Hosts, known.refer(h, host.Host)<<1|bit(host.Young))
		h.Hosts = binary.AppendUvarint(h.Hosts, roundUp(host.Age))
	}
	for _, s := range from.Slots {
		h.Slots = append(h.Slots, SlotOwned{Slot: s.Slot, Owner: known.refer(h, s.Owner), Term: s.Term, Age: roundUp(s.Age)})
	}
	return h
}

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// roundUp returns an age in whole milliseconds that is not below it.
func roundUp(age time.Duration) uint64 {
	if age <= 0 {
		return 0
	}
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}

// maxAge bounds an age in milliseconds, so that it is a valid duration.
const maxAge = uint64(1<<63-1) / uint64(time.Millisecond)

// knownHosts is the receiver's end of the list of known hosts.
type knownHosts struct{ refs []model.HostRef }

func (k *knownHosts) host(index uint64) (model.HostRef, error) {
	if index >= uint64(len(k.refs)) {
		return model.HostRef{}, fmt.Errorf("%w: host %d of %d", errEnvelope, index, len(k.refs))
	}
	return k.refs[index], nil
}

func decodeHeartbeat(known *knownHosts, v any) (message.Message, error) {
	h := v.(*Heartbeat)
	if h.Forget {
		known.refs = nil
	}
	if len(known.refs)+len(h.Added) > maxKnownHosts {
		return nil, fmt.Errorf("%w: more than %d known hosts", errEnvelope, maxKnownHosts)
	}
	known.refs = append(known.refs, h.Added...)
	m := h.Rest
	m.Hosts, m.Slots = nil, nil
	if err := decodeHosts(known, h.Hosts, &m); err != nil {
		return nil, err
	}
	return m, decodeSlots(known, h.Slots, &m)
}

func decodeHosts(known *knownHosts, data []byte, m *message.Heartbeat) error {
	for len(data) > 0 {
		index, n := binary.Uvarint(data)
		if n <= 0 {
			return fmt.Errorf("%w: hosts", errEnvelope)
		}
		age, k := binary.Uvarint(data[n:])
		if k <= 0 || len(m.Hosts) >= message.MaxHostAges {
			return fmt.Errorf("%w: hosts", errEnvelope)
		}
		ref, err := known.host(index >> 1)
		if err != nil {
			return err
		}
		m.Hosts = append(m.Hosts, message.HostAge{Host: ref, Age: milliseconds(age), Young: index&1 == 1})
		data = data[n+k:]
	}
	return nil
}

func decodeSlots(known *knownHosts, slots []SlotOwned, m *message.Heartbeat) error {
	for _, s := range slots {
		ref, err := known.host(s.Owner)
		if err != nil {
			return err
		}
		m.Slots = append(m.Slots, message.SlotOwned{Slot: s.Slot, Owner: ref, Term: s.Term, Age: milliseconds(s.Age)})
	}
	return nil
}

func milliseconds(n uint64) time.Duration {
	return time.Duration(min(n, maxAge)) * time.Millisecond
}
