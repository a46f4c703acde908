package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
)

// maxRequestBytes limits the JSON of a call. Base64 makes a body of api.MaxBodyBytes a
// third larger.
const maxRequestBytes = 2*api.MaxBodyBytes + 64<<10

// handler returns the worker's HTTP handler.
func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sync", callHandler(w, (*incarnation).sync))
	mux.HandleFunc("POST /v1/tasks", callHandler(w, (*incarnation).dispatch))
	mux.HandleFunc("POST /v1/revoke", callHandler(w, (*incarnation).revoke))
	mux.HandleFunc("POST /v1/stop", callHandler(w, (*incarnation).stop))
	mux.HandleFunc("GET /debug/faults", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.faults.get())
	})
	mux.HandleFunc("POST /debug/faults", w.postFaults)
	return mux
}

// callHandler returns the HTTP handler of one protocol call. The call is executed even if
// the client has disconnected, as in a process that was paused with the request in its
// buffers.
func callHandler[Q, R any](w *Worker, call func(*incarnation, Q) (R, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var request Q
		if e := readJSON(r, &request); e != nil {
			writeJSON(rw, e.Code.HTTPStatus(), e)
			return
		}
		if !w.faults.waitUnfrozen(w.closed) {
			panic(http.ErrAbortHandler)
		}
		response, err := call(w.current(), request)
		if !w.faults.waitUnfrozen(w.closed) {
			panic(http.ErrAbortHandler)
		}
		if w.faults.get().DropAnswers || errors.Is(err, errEnded) {
			panic(http.ErrAbortHandler)
		}
		var apiErr *api.Error
		if errors.As(err, &apiErr) {
			writeJSON(rw, apiErr.Code.HTTPStatus(), apiErr)
			return
		}
		writeJSON(rw, http.StatusOK, response)
	}
}

func readJSON(r *http.Request, into any) *api.Error {
	d := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return api.Errorf(api.CodeBadRequest, "%v", err)
	}
	return nil
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(v)
}

// faultsRequest is the body of POST /debug/faults. It replaces all faults and optionally
// restarts the worker.
type faultsRequest struct {
	Faults
	// Restart is "memory" to restart immediately and replay the journal, "amnesia" to
	// restart immediately without it, or empty for no restart.
	Restart string `json:"restart,omitempty"`
}

func (w *Worker) postFaults(rw http.ResponseWriter, r *http.Request) {
	var request faultsRequest
	if e := readJSON(r, &request); e != nil {
		writeJSON(rw, e.Code.HTTPStatus(), e)
		return
	}
	var err error
	switch request.Restart {
	case "":
	case "memory", "amnesia":
		err = w.Restart(request.Restart == "memory")
	default:
		err = api.Errorf(api.CodeBadRequest, "invalid restart mode %q", request.Restart)
	}
	if err != nil {
		writeJSON(rw, http.StatusBadRequest, api.Errorf(api.CodeBadRequest, "%v", err))
		return
	}
	w.SetFaults(request.Faults)
	writeJSON(rw, http.StatusOK, w.faults.get())
}
