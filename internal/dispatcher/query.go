package dispatcher

import (
	"context"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// queryTimeout bounds how long an entry waits for another entry's part of an answer.
const queryTimeout = 2 * time.Second

// queryTable holds the queries to other entries that have no reply yet.
type queryTable struct {
	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan<- messenger.AdminReply
}

func (t *queryTable) add() (uint64, <-chan messenger.AdminReply) {
	reply := make(chan messenger.AdminReply, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = make(map[uint64]chan<- messenger.AdminReply)
	}
	t.next++
	t.pending[t.next] = reply
	return t.next, reply
}

// take removes a query and returns the channel for its reply, or nil if nothing waits
// for the reply.
func (t *queryTable) take(ticket uint64) chan<- messenger.AdminReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := t.pending[ticket]
	delete(t.pending, ticket)
	return reply
}

// receiveQueries answers another entry's queries and delivers its replies. It is called
// on the goroutine that reads the connection and does not block it.
func (e *Entry) receiveQueries(conn *connector.Conn, f *messenger.Frame) {
	if conn.Hello().Role != messenger.RoleEntry {
		return
	}
	if len(f.Query) > 0 {
		go e.answerQueries(conn, f.Query)
	}
	for _, r := range f.Reports {
		if reply := e.queries.take(r.Ticket); reply != nil {
			reply <- r
		}
	}
}

func (e *Entry) answerQueries(conn *connector.Conn, queries []messenger.AdminQuery) {
	for _, q := range queries {
		reply := messenger.AdminReply{Ticket: q.Ticket}
		body, err := e.localPart(administrator.Call(q.Call), q.Body)
		reply.Body = body
		if err != nil {
			reply.Detail = err.Error()
		}
		conn.Send(&messenger.Frame{Reports: []messenger.AdminReply{reply}})
	}
}

// ask sends a call to one entry and waits for its part of the answer.
func (e *Entry) ask(ctx context.Context, to messenger.Peer, call administrator.Call, body []byte) administrator.Part {
	part := administrator.Part{Peer: to}
	if to == e.settings.Peer {
		var err error
		if part.Body, err = e.localPart(call, body); err != nil {
			part.Detail = err.Error()
		}
		return part
	}
	var conn *connector.Conn
	e.loop.Call(func(time.Time) { conn = e.peers[to] })
	if conn == nil {
		part.Detail = "the entry is not connected"
		return part
	}
	ticket, reply := e.queries.add()
	defer e.queries.take(ticket)
	conn.Send(&messenger.Frame{Query: []messenger.AdminQuery{{Ticket: ticket, Call: string(call), Body: body}}})
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	select {
	case r := <-reply:
		part.Body, part.Detail = r.Body, r.Detail
	case <-ctx.Done():
		part.Detail = "the entry did not answer within " + queryTimeout.String()
	}
	return part
}

// askAll sends a call to all known entries concurrently, this one included. The parts
// are in the order of the entries' names.
func (e *Entry) askAll(ctx context.Context, call administrator.Call, body []byte) []administrator.Part {
	peers := e.knownEntries()
	parts := make([]administrator.Part, len(peers))
	var wg sync.WaitGroup
	for i, peer := range peers {
		wg.Go(func() { parts[i] = e.ask(ctx, peer, call, body) })
	}
	wg.Wait()
	return parts
}
