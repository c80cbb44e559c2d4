package ticket

// Run is the execution of a request with a ticket. The caller must end it with Finish, or with Abandon if no
// byte of the request was sent to the target.
type Run struct {
	issuer *Issuer
	record *record
}

// Finish stores the response and returns it to waiting retries. It must also be called if the outcome is
// unknown, since a ticket is used up once a byte of the request was sent to the target.
func (r *Run) Finish(response Response) {
	i, rec := r.issuer, r.record
	i.mu.Lock()
	defer i.mu.Unlock()
	if rec.finished || rec.abandoned {
		return
	}
	rec.finished = true
	i.store(rec, &response)
	close(rec.done)
}

// store stores the response unless it is too large, and discards the oldest responses above the bounds. It does
// nothing if the record was evicted in the meantime.
func (i *Issuer) store(r *record, response *Response) {
	size := response.size()
	if response.Partial || size > MaxResponseBytes || size > i.config.MaxStoredBytes || i.records[r.sequence] != r {
		return
	}
	r.response = response
	r.storedElement = i.stored.PushBack(r)
	i.storedBytes += size
	for i.storedBytes > i.config.MaxStoredBytes || i.stored.Len() > i.config.MaxResponses {
		i.discardResponse(i.stored.Front().Value.(*record))
	}
}

// Abandon makes the ticket unused again. It must only be called if no byte of the request was sent to the target.
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
		i.used.Remove(rec.usedElement)
	}
}
