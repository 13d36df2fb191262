package peer

import (
	"encoding/binary"
	"fmt"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// maxIndexedHosts limits the host list of one link. At the target size there are
// 650 hosts and 1,800 restarts a day.
const maxIndexedHosts = 4096

// Heartbeat is the wire form of message.Heartbeat. It uses dictionary encoding:
// hosts are referred to by their index in a list that both ends of a link keep,
// with ages in milliseconds, rounded up. Without this a heartbeat with 64 hosts
// has 1.9 KB, which is too much at a few heartbeats per second.
type Heartbeat struct {
	// Rest is the message without Hosts and Slots.
	Rest message.Heartbeat
	// Forget clears the list of indexed hosts before Added is appended to it.
	Forget bool
	Added  []model.HostRef
	// Hosts has two unsigned varints for each host: twice its index, plus 1 if
	// message.HostAge.Young is set, and its age in milliseconds.
	Hosts []byte
	Slots []SlotOwned
}

// SlotOwned is the wire form of message.SlotOwned.
type SlotOwned struct {
	Slot  model.SlotID
	Owner uint64 // index in the list of hosts
	Term  uint64
	Age   uint64 // milliseconds
}

// senderHosts is the sender's copy of the list of indexed hosts.
type senderHosts struct {
	index map[model.HostRef]uint64
}

// makeRoom prepares for a message that refers to up to n hosts. It reports whether
// the list was cleared, because it could grow too long.
func (s *senderHosts) makeRoom(n int) (isCleared bool) {
	if s.index != nil && len(s.index)+n <= maxIndexedHosts {
		return false
	}
	s.index = make(map[model.HostRef]uint64)
	return true
}

// indexOf returns the index of a host. A new host gets the next index and is
// appended to added, a field of the message.
func (s *senderHosts) indexOf(added *[]model.HostRef, ref model.HostRef) uint64 {
	i, ok := s.index[ref]
	if !ok {
		i = uint64(len(s.index))
		s.index[ref] = i
		*added = append(*added, ref)
	}
	return i
}

func encodeHeartbeat(known *senderHosts, m message.Message) any {
	from := m.(message.Heartbeat)
	h := &Heartbeat{Rest: from}
	h.Rest.Hosts, h.Rest.Slots = nil, nil
	h.Forget = known.makeRoom(len(from.Hosts) + len(from.Slots))
	for _, host := range from.Hosts {
		h.Hosts = binary.AppendUvarint(h.Hosts, known.indexOf(&h.Added, host.Host)<<1|boolBit(host.Young))
		h.Hosts = binary.AppendUvarint(h.Hosts, ceilMillis(host.Age))
	}
	for _, s := range from.Slots {
		h.Slots = append(h.Slots, SlotOwned{Slot: s.Slot, Owner: known.indexOf(&h.Added, s.Owner), Term: s.Term, Age: ceilMillis(s.Age)})
	}
	return h
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// ceilMillis returns an age in milliseconds, rounded up.
func ceilMillis(age time.Duration) uint64 {
	if age <= 0 {
		return 0
	}
	return uint64((age + time.Millisecond - 1) / time.Millisecond)
}

// maxAgeMillis is the largest age in milliseconds that fits in a time.Duration.
const maxAgeMillis = uint64(1<<63-1) / uint64(time.Millisecond)

// receiverHosts is the receiver's copy of the list of indexed hosts.
type receiverHosts struct{ refs []model.HostRef }

// extend applies the fields Forget and Added of a message.
func (k *receiverHosts) extend(forget bool, added []model.HostRef) error {
	if forget {
		k.refs = nil
	}
	if len(k.refs)+len(added) > maxIndexedHosts {
		return fmt.Errorf("%w: more than %d known hosts", errInvalidEnvelope, maxIndexedHosts)
	}
	k.refs = append(k.refs, added...)
	return nil
}

func (k *receiverHosts) lookUp(index uint64) (model.HostRef, error) {
	if index >= uint64(len(k.refs)) {
		return model.HostRef{}, fmt.Errorf("%w: host index %d, but only %d hosts are known", errInvalidEnvelope, index, len(k.refs))
	}
	return k.refs[index], nil
}

func decodeHeartbeat(known *receiverHosts, v any) (message.Message, error) {
	h := v.(*Heartbeat)
	if err := known.extend(h.Forget, h.Added); err != nil {
		return nil, err
	}
	m := h.Rest
	m.Hosts, m.Slots = nil, nil
	if err := decodeHosts(known, h.Hosts, &m); err != nil {
		return nil, err
	}
	return m, decodeSlots(known, h.Slots, &m)
}

func decodeHosts(known *receiverHosts, data []byte, m *message.Heartbeat) error {
	for len(data) > 0 {
		index, n := binary.Uvarint(data)
		if n <= 0 {
			return fmt.Errorf("%w: invalid host index", errInvalidEnvelope)
		}
		age, k := binary.Uvarint(data[n:])
		if k <= 0 || len(m.Hosts) >= message.MaxHostAges {
			return fmt.Errorf("%w: invalid host age or too many hosts", errInvalidEnvelope)
		}
		ref, err := known.lookUp(index >> 1)
		if err != nil {
			return err
		}
		m.Hosts = append(m.Hosts, message.HostAge{Host: ref, Age: millisToDuration(age), Young: index&1 == 1})
		data = data[n+k:]
	}
	return nil
}

func decodeSlots(known *receiverHosts, slots []SlotOwned, m *message.Heartbeat) error {
	for _, s := range slots {
		ref, err := known.lookUp(s.Owner)
		if err != nil {
			return err
		}
		m.Slots = append(m.Slots, message.SlotOwned{Slot: s.Slot, Owner: ref, Term: s.Term, Age: millisToDuration(s.Age)})
	}
	return nil
}

func millisToDuration(n uint64) time.Duration {
	return time.Duration(min(n, maxAgeMillis)) * time.Millisecond
}
