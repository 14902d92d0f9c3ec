package messenger

// MessageKind is the name of one kind of message of a [Frame], as used in metrics.
type MessageKind string

// MessageKinds lists the kinds of messages. A frame is attributed to the first of them
// that it contains, so the kinds that carry work come first.
var MessageKinds = [...]MessageKind{
	"start", "result", "forward", "answer", "handover", "launch", "end",
	"hello", "cancel", "cancel-ack", "capacity", "credit", "fence", "fenced",
	"routes", "config", "settled", "query", "report", "admit", "moved", "expel", "bequest", "bequeathed", "contact",
	"withdraw", "crash", "load", "stamp", "open-job", "recall", "relay", "inquiry", "outstanding-start", "cancellation", "evacuations", "other",
}

// workKinds is the number of kinds at the head of [MessageKinds] that carry work.
const workKinds = 7

// CarriesWork reports whether messages of the kind with the given index carry
// tasks or their results. All others are control traffic.
func CarriesWork(index int) bool { return index < workKinds }

// KindCounts holds the number of messages of each kind, indexed like [MessageKinds].
type KindCounts [len(MessageKinds)]int

// Count returns the number of messages of each kind in the frame.
func (f *Frame) Count() KindCounts {
	n := KindCounts{
		len(f.Starts), len(f.Results), len(f.Forwards), len(f.Answers), boolToInt(f.Handover != nil),
		len(f.Launches), len(f.Ends),
		boolToInt(f.Hello != nil), len(f.Cancels), len(f.CancelAcks), boolToInt(f.Capacity != nil), boolToInt(f.Credit != nil),
		boolToInt(f.Fence != nil), len(f.Fenced), boolToInt(f.Routes != nil), boolToInt(f.Config != nil), len(f.Settled),
		len(f.Query), len(f.Reports), boolToInt(f.Admit != nil), len(f.Moved), boolToInt(f.Expel != nil), len(f.RecordTransfers), len(f.RecordTransferStatuses), boolToInt(f.Contact != nil),
		len(f.Withdraws), len(f.Crashes), boolToInt(f.Load != nil), boolToInt(f.Stamp != nil),
		len(f.OpenJobs), len(f.Recalls), len(f.Relays), len(f.Inquiries), len(f.OutstandingStarts), len(f.Cancellations),
		boolToInt(f.Evacuations != nil),
	}
	if n.Leading() == len(n)-1 {
		n[len(n)-1] = 1
	}
	return n
}

// Leading returns the index of the first kind that occurs, under which the bytes of the
// frame are counted. It is the index of the last kind if none occurs.
func (n *KindCounts) Leading() int {
	for i, count := range n {
		if count > 0 {
			return i
		}
	}
	return len(n) - 1
}

func boolToInt(present bool) int {
	if present {
		return 1
	}
	return 0
}
