package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"briarspring"
)

// duration is a time.Duration written as "250ms" in JSON.
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = duration(v)
	return err
}

type logFaultsJSON struct {
	Down         bool     `json:"down"`
	Latency      duration `json:"latency"`
	LoseAnswers  float64  `json:"lose-answers"`
	LoseRequests float64  `json:"lose-requests"`
	CutCallers   []string `json:"cut-callers"`
}

type fleetFaultsJSON struct {
	Latency      duration `json:"latency"`
	LoseAnswers  float64  `json:"lose-answers"`
	CutWorkers   []string `json:"cut-workers"`
	CutCallers   []string `json:"cut-callers"`
	DelayedCalls float64  `json:"delayed-calls"`
	Delay        duration `json:"delay"`
}

type executorFaultsJSON struct {
	WrongID    bool     `json:"wrong-id"`
	Hang       duration `json:"hang"`
	HangShare  float64  `json:"hang-share"`
	CloseEarly bool     `json:"close-early"`
	CutAnswer  bool     `json:"cut-answer"`
	CloseAfter bool     `json:"close-after"`
	SlowFactor float64  `json:"slow-factor"`
}

type hostJSON struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Address    string `json:"address"`
	Leaving    bool   `json:"leaving"`
}

type journalJSON struct {
	Time       time.Time `json:"time"`
	Worker     string    `json:"worker"`
	Kind       string    `json:"kind"`
	Name       string    `json:"name"`
	Workload   uint64    `json:"workload"`
	Index      uint32    `json:"index"`
	Attempt    uint32    `json:"attempt"`
	Checkpoint uint64    `json:"checkpoint"`
	Saved      uint64    `json:"saved"`
	MilliCPU   int64     `json:"milli-cpu"`
	MemoryMiB  int64     `json:"memory-mib"`
	CPUs       int64     `json:"capacity-milli-cpu"`
	Memory     int64     `json:"capacity-memory-mib"`
}

// decode reads a JSON body. It answers 400 and returns false when the body is
// malformed or has unknown fields.
func decode(rw http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(v) //nolint:errcheck // The client disconnected.
}

// LogAdmin returns the admin handler of a log: PUT /faults and GET /streams.
func LogAdmin(l *Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, r *http.Request) {
		var f logFaultsJSON
		if !decode(rw, r, &f) {
			return
		}
		l.SetFaults(LogFaults{
			Down: f.Down, Latency: time.Duration(f.Latency), LoseAnswers: f.LoseAnswers,
			LoseRequests: f.LoseRequests, CutCallers: f.CutCallers,
		})
	})
	mux.HandleFunc("GET /streams", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Write([]byte(l.String())) //nolint:errcheck // The client disconnected.
	})
	return mux
}

// HostsAdmin returns the admin handler of a list of hosts: PUT and DELETE
// /hosts/NAME, PUT /hosts/NAME/leaving, /down and /up.
func HostsAdmin(h *Hosts) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /hosts/{name}", func(rw http.ResponseWriter, r *http.Request) {
		var m hostJSON
		if !decode(rw, r, &m) {
			return
		}
		h.Put(briarspring.Host{
			Name: r.PathValue("name"), DataCentre: m.DataCentre, Rack: m.Rack, Address: m.Address, Leaving: m.Leaving,
		})
	})
	mux.HandleFunc("PUT /hosts/{name}/leaving", func(rw http.ResponseWriter, r *http.Request) {
		if !h.SetLeaving(r.PathValue("name"), true) {
			http.NotFound(rw, r)
		}
	})
	mux.HandleFunc("DELETE /hosts/{name}", func(_ http.ResponseWriter, r *http.Request) { h.Remove(r.PathValue("name")) })
	mux.HandleFunc("PUT /down", func(http.ResponseWriter, *http.Request) { h.SetDown(true) })
	mux.HandleFunc("PUT /up", func(http.ResponseWriter, *http.Request) { h.SetDown(false) })
	return mux
}

// FleetAdmin returns the admin handler of a group of workers: PUT /faults, GET
// /journal and /executors, PUT /executors/faults, PUT /workers/NAME/failing,
// DELETE /workers/NAME.
func FleetAdmin(f *Fleet, j *Journal) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, r *http.Request) {
		var m fleetFaultsJSON
		if !decode(rw, r, &m) {
			return
		}
		f.SetFaults(FleetFaults{
			Latency: time.Duration(m.Latency), LoseAnswers: m.LoseAnswers, CutWorkers: m.CutWorkers,
			CutCallers: m.CutCallers, DelayedCalls: m.DelayedCalls, Delay: time.Duration(m.Delay),
		})
	})
	mux.HandleFunc("GET /journal", func(rw http.ResponseWriter, _ *http.Request) {
		out := []journalJSON{}
		for _, e := range j.Entries() {
			out = append(out, encodeJournal(e))
		}
		writeJSON(rw, out)
	})
	mux.HandleFunc("PUT /workers/{name}/failing", func(rw http.ResponseWriter, r *http.Request) {
		w := f.Worker(r.PathValue("name"))
		if w == nil {
			http.NotFound(rw, r)
			return
		}
		failing, _ := strconv.ParseBool(r.URL.Query().Get("on"))
		w.SetFailing(failing)
	})
	mux.HandleFunc("DELETE /workers/{name}", func(rw http.ResponseWriter, r *http.Request) {
		w := f.Worker(r.PathValue("name"))
		if w == nil {
			http.NotFound(rw, r)
			return
		}
		w.Close()
		f.Remove(w.Name())
	})
	mux.HandleFunc("GET /executors", func(rw http.ResponseWriter, r *http.Request) {
		writeJSON(rw, Executors(r.URL.Query().Has("runs")))
	})
	mux.HandleFunc("PUT /executors/faults", func(rw http.ResponseWriter, r *http.Request) {
		var m executorFaultsJSON
		if decode(rw, r, &m) {
			SetExecutorFaults(r.URL.Query().Get("address"), ExecutorFaults{
				WrongID: m.WrongID, Hang: time.Duration(m.Hang), HangShare: m.HangShare, CloseEarly: m.CloseEarly,
				CutAnswer: m.CutAnswer, CloseAfter: m.CloseAfter, SlowFactor: m.SlowFactor,
			})
		}
	})
	return mux
}

func encodeJournal(e JournalEntry) journalJSON {
	return journalJSON{
		Time: e.Time, Worker: e.Worker, Kind: string(e.Kind), Name: e.Name,
		Workload: uint64(e.Attempt.Task.Workload), Index: e.Attempt.Task.Index, Attempt: e.Attempt.Attempt,
		Checkpoint: e.Checkpoint, Saved: e.Saved,
		MilliCPU: e.Resources.MilliCPU(), MemoryMiB: e.Resources.MemoryMiB(),
		CPUs: e.Capacity.MilliCPU(), Memory: e.Capacity.MemoryMiB(),
	}
}

// Executors returns the counts of all executors of this process, including
// those that have ended.
func Executors(withRuns bool) []ExecutorCounts {
	out := []ExecutorCounts{}
	executors.Range(func(_, v any) bool {
		out = append(out, v.(*executor).counts(withRuns))
		return true
	})
	return out
}

// SetExecutorFaults sets the faults of the executor at an address, or of all
// executors of this process when the address is empty.
func SetExecutorFaults(address string, f ExecutorFaults) {
	executors.Range(func(key, v any) bool {
		if address == "" || key == address {
			x := v.(*executor)
			x.mu.Lock()
			x.faults = f
			x.mu.Unlock()
		}
		return true
	})
}
