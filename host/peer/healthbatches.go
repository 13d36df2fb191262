package peer

import (
	"encoding/binary"
	"fmt"
	"math"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// HealthBatches is the wire form of message.HealthBatches. Hosts are referred to by
// their index in the list that both ends of a link keep, services and servers by
// their index in Names. Without this most of a message would be the names of hosts
// and of the few servers that fail, which every batch repeats.
type HealthBatches struct {
	// Forget clears the list of indexed hosts before Added is appended to it.
	Forget bool
	Added  []model.HostRef
	Names  []string
	// Batches has varints: for each batch the origin, the sequence number, the number
	// of its Signals and of its Loads, then these with their fields in order.
	Batches []byte
}

// slownessUnits is the number of units of ServerLoad.Slowness on the wire for 1.
const slownessUnits = 100

func encodeHealthBatches(known *senderHosts, m message.Message) any {
	from := m.(message.HealthBatches)
	w := &batchWriter{names: make(map[string]uint64)}
	w.wire.Forget = known.makeRoom(len(from.Batches))
	for _, b := range from.Batches {
		w.unsigned(known.indexOf(&w.wire.Added, b.Origin), b.Sequence, uint64(len(b.Signals)), uint64(len(b.Loads)))
		for _, s := range b.Signals {
			w.signals(s)
		}
		for _, l := range b.Loads {
			w.unsigned(w.name(string(l.Service)), w.name(string(l.Server)))
			w.signed(l.Running, l.Waiting, l.Slots)
			w.unsigned(ceilMillis(l.Age))
			w.signed(int(l.Start))
			w.unsigned(uint64(math.Round(max(l.Slowness, 0) * slownessUnits)))
		}
	}
	return &w.wire
}

// batchWriter appends to the wire form.
type batchWriter struct {
	wire  HealthBatches
	names map[string]uint64 // indexes in wire.Names
}

func (w *batchWriter) unsigned(values ...uint64) {
	for _, v := range values {
		w.wire.Batches = binary.AppendUvarint(w.wire.Batches, v)
	}
}

func (w *batchWriter) signed(values ...int) {
	for _, v := range values {
		w.wire.Batches = binary.AppendVarint(w.wire.Batches, int64(v))
	}
}

// name returns the index of a name, which is appended if it is new.
func (w *batchWriter) name(s string) uint64 {
	i, ok := w.names[s]
	if !ok {
		i = uint64(len(w.wire.Names))
		w.names[s] = i
		w.wire.Names = append(w.wire.Names, s)
	}
	return i
}

func (w *batchWriter) signals(s message.ServerSignals) {
	w.unsigned(w.name(string(s.Service)), w.name(string(s.Server)), uint64(len(s.Counts)))
	for _, c := range s.Counts {
		w.unsigned(uint64(c.Signal))
		w.signed(c.Count)
	}
	w.signed(s.Unserved)
}

func decodeHealthBatches(known *receiverHosts, v any) (message.Message, error) {
	wire := v.(*HealthBatches)
	if err := known.extend(wire.Forget, wire.Added); err != nil {
		return nil, err
	}
	r := &batchReader{names: wire.Names, data: wire.Batches}
	var m message.HealthBatches
	for len(r.data) > 0 && r.err == nil {
		b, err := r.batch(known)
		if err != nil {
			return nil, err
		}
		m.Batches = append(m.Batches, b)
	}
	return m, r.err
}

// batchReader reads from the wire form. After an error it returns zero values.
type batchReader struct {
	names []string
	data  []byte
	err   error
}

// batch reads one batch. Each element has a byte at least, so that a false number of
// elements ends at the end of the data.
func (r *batchReader) batch(known *receiverHosts) (message.HealthBatch, error) {
	origin, err := known.lookUp(r.unsigned())
	if err != nil {
		return message.HealthBatch{}, err
	}
	b := message.HealthBatch{Origin: origin, Sequence: r.unsigned()}
	signals, loads := r.unsigned(), r.unsigned()
	for ; signals > 0 && r.err == nil; signals-- {
		b.Signals = append(b.Signals, r.signals())
	}
	for ; loads > 0 && r.err == nil; loads-- {
		l := message.ServerLoad{Service: model.ServiceID(r.name()), Server: model.ServerID(r.name())}
		l.Running, l.Waiting, l.Slots = r.signed(), r.signed(), r.signed()
		l.Age = millisToDuration(r.unsigned())
		l.Start = model.WallTime(r.signed())
		l.Slowness = float64(r.unsigned()) / slownessUnits
		b.Loads = append(b.Loads, l)
	}
	return b, r.err
}

func (r *batchReader) signals() message.ServerSignals {
	s := message.ServerSignals{Service: model.ServiceID(r.name()), Server: model.ServerID(r.name())}
	for counts := r.unsigned(); counts > 0 && r.err == nil; counts-- {
		signal := r.unsigned()
		if signal > maxSignalNumber {
			r.fail("health signal")
		}
		s.Counts = append(s.Counts, model.SignalCount{Signal: model.HealthSignal(signal), Count: r.signed()})
	}
	s.Unserved = r.signed()
	return s
}

// maxSignalNumber is the largest number of a model.HealthSignal.
const maxSignalNumber = 1<<8 - 1

func (r *batchReader) unsigned() uint64 {
	v, n := binary.Uvarint(r.data)
	r.skip(n)
	return v
}

func (r *batchReader) signed() int {
	v, n := binary.Varint(r.data)
	r.skip(n)
	return int(v)
}

// skip drops the n bytes of a varint that was read; n is 0 or less if it was invalid.
func (r *batchReader) skip(n int) {
	if n <= 0 {
		r.fail("number")
		return
	}
	r.data = r.data[n:]
}

func (r *batchReader) name() string {
	i := r.unsigned()
	if i >= uint64(len(r.names)) {
		r.fail("index of a name")
		return ""
	}
	return r.names[i]
}

func (r *batchReader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: invalid %s in health batches", errInvalidEnvelope, what)
	}
}
