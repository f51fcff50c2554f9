package fgentry

import "net/http"

// once runs a call that must not run twice. It recognises repeats by the
// call's Idempotency-Key.
func (e *Entry) once(w http.ResponseWriter, r *http.Request, c *call) error {
	return e.run(w, r, c)
}
