package ticket

// Run is the one execution of a request under a ticket. End it with Finish, or with Abandon before dispatch.
type Run struct {
	issuer *Issuer
	record *record
}

// Finish stores the answer and hands it to those who wait. An answer of unknown outcome is stored too: the ticket is
// used up once a byte went to the target.
func (r *Run) Finish(answer Response) {
	i, rec := r.issuer, r.record
	i.mu.Lock()
	defer i.mu.Unlock()
	if rec.finished || rec.abandoned {
		return
	}
	rec.finished = true
	i.store(rec, &answer)
	close(rec.done)
}

// store keeps the answer within the bounds. A record that was dropped meanwhile keeps none.
func (i *Issuer) store(r *record, answer *Response) {
	size := answer.size()
	if answer.Partial || size > MaxResponseBytes || size > i.config.MaxStoredBytes || i.records[r.sequence] != r {
		return
	}
	r.answer = answer
	r.inStored = i.answered.PushBack(r)
	i.bytes += size
	for i.bytes > i.config.MaxStoredBytes || i.answered.Len() > i.config.MaxResponses {
		i.unstore(i.answered.Front().Value.(*record))
	}
}

// Abandon gives the ticket back unused. Call it only when no byte of the request went to the target.
func (r *Run) Abandon() {
	i, rec := r.issuer, r.record
	i.mu.Lock()
	defer i.mu.Unlock()
	if rec.finished || rec.abandoned {
		return
	}
	rec.abandoned = true
	close(rec.done)
	if i.records[rec.sequence] == rec {
		delete(i.records, rec.sequence)
		i.used.Remove(rec.inUsed)
	}
}
