package gateway

import (
	"bytes"
	"container/heap"
)

// recordBytes is the length of a record; records are ordered byte by byte.
const recordBytes = 16

// greatestRecords returns the greatest records of all parts, greatest first.
// Equal records all count; a remainder shorter than a record is none.
func greatestRecords(parts [][]byte, limit int) []byte {
	kept := make(recordHeap, 0, limit+1)
	for _, body := range parts {
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			record := body[:recordBytes]
			if len(kept) >= limit {
				if limit == 0 || bytes.Compare(record, kept[0]) <= 0 {
					continue
				}
				kept[0] = record
				heap.Fix(&kept, 0)
				continue
			}
			heap.Push(&kept, record)
		}
	}
	merged := make([]byte, len(kept)*recordBytes)
	for position := len(kept) - 1; position >= 0; position-- {
		copy(merged[position*recordBytes:], heap.Pop(&kept).([]byte))
	}
	return merged
}

// recordHeap keeps the least record first.
type recordHeap [][]byte

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)        { *h = append(*h, x.([]byte)) }
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
