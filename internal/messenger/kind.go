package messenger

// MessageKind names one kind of message of a [Frame], as metrics count it.
type MessageKind string

// MessageKinds lists the kinds of messages in the order in which a frame is
// named after them: the kinds that carry work come first.
var MessageKinds = [...]MessageKind{
	"start", "result", "forward", "answer", "handover", "launch", "end",
	"hello", "cancel", "cancel-ack", "capacity", "credit", "fence", "fenced",
	"routes", "config", "settled", "query", "report", "admit", "moved", "expel", "bequest", "bequeathed", "contact",
	"withdraw", "load", "stamp", "other",
}

// workKinds is the number of kinds, from the first, that carry work. All others
// are control traffic.
const workKinds = 7

// CarriesWork reports whether messages of the kind with the given index carry
// tasks or their results. All others are control traffic.
func CarriesWork(index int) bool { return index < workKinds }

// KindCounts has the number of messages of each kind, indexed as [MessageKinds].
type KindCounts [len(MessageKinds)]int

// Count returns the number of messages of each kind in the frame.
func (f *Frame) Count() KindCounts {
	n := KindCounts{
		len(f.Starts), len(f.Results), len(f.Forwards), len(f.Answers), one(f.Handover != nil),
		len(f.Launches), len(f.Ends),
		one(f.Hello != nil), len(f.Cancels), len(f.CancelAcks), one(f.Capacity != nil), one(f.Credit != nil),
		one(f.Fence != nil), len(f.Fenced), one(f.Routes != nil), one(f.Config != nil), len(f.Settled),
		len(f.Query), len(f.Reports), one(f.Admit != nil), len(f.Moved), one(f.Expel != nil), len(f.RecordTransfers), len(f.RecordTransferStatuses), one(f.Contact != nil),
		len(f.Withdraws), one(f.Load != nil), one(f.Stamp != nil),
	}
	if n.Leading() == len(n)-1 {
		n[len(n)-1] = 1
	}
	return n
}

// Leading returns the index of the first kind that occurs. The bytes of a frame
// are counted under this kind. It is the last kind if none occurs.
func (n *KindCounts) Leading() int {
	for i, count := range n {
		if count > 0 {
			return i
		}
	}
	return len(n) - 1
}

func one(present bool) int {
	if present {
		return 1
	}
	return 0
}
