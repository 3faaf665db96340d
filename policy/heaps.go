package policy

// callHeap orders the calls of one flow by expiry, then by arrival.
type callHeap []*Call

func (h callHeap) Len() int { return len(h) }

func (h callHeap) Less(i, j int) bool {
	if !h[i].Expires.Equal(h[j].Expires) {
		return h[i].Expires.Before(h[j].Expires)
	}
	return h[i].sequence < h[j].sequence
}

func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *callHeap) Push(x any) {
	call := x.(*Call)
	call.index = len(*h)
	*h = append(*h, call)
}

func (h *callHeap) Pop() any {
	old := *h
	call := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	call.index = notQueued
	return call
}

// flowHeap orders the flows that have waiting calls by virtual start time.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].key < h[j].key
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = notQueued
	return f
}
