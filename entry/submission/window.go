package submission

const (
	wordBits  = 64
	chunkBits = 4096
)

type chunk [chunkBits / wordBits]uint64

// window is a bitset over the newest ids of one client. Sequence numbers only increase;
// when a new chunk begins, the oldest one is dropped.
type window struct {
	next   uint64
	chunks []*chunk
}

func newWindow(chunks int) *window {
	return &window{next: 1, chunks: make([]*chunk, chunks)}
}

// mint returns a sequence number that was never returned before.
func (w *window) mint() uint64 {
	sequence := w.next
	w.next++
	slot := w.slot(sequence)
	if sequence%chunkBits == 0 || *slot == nil {
		*slot = new(chunk)
	}
	return sequence
}

// minted reports whether the number was returned by mint.
func (w *window) minted(sequence uint64) bool {
	return 0 < sequence && sequence < w.next
}

// expired reports whether the bit of a minted number has been dropped.
func (w *window) expired(sequence uint64) bool {
	newest := (w.next - 1) / chunkBits
	return sequence/chunkBits+uint64(len(w.chunks)) <= newest
}

func (w *window) used(sequence uint64) bool {
	word, bit := w.locate(sequence)
	return *word&bit != 0
}

func (w *window) setUsed(sequence uint64, used bool) {
	word, bit := w.locate(sequence)
	if used {
		*word |= bit
		return
	}
	*word &^= bit
}

func (w *window) slot(sequence uint64) **chunk {
	return &w.chunks[sequence/chunkBits%uint64(len(w.chunks))]
}

func (w *window) locate(sequence uint64) (word *uint64, bit uint64) {
	c := *w.slot(sequence)
	offset := sequence % chunkBits
	return &c[offset/wordBits], 1 << (offset % wordBits)
}
