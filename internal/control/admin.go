package control

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/listen"
)

const (
	adminTimeout      = 5 * time.Second
	maxAdminBodyBytes = 32 << 20
	// PathAdmin is the path of operators' requests.
	PathAdmin = "/v1/control"
)

// listenAdmin starts the admin API, if configured. Every replica serves it and forwards changes and reads to the leader.
func (s *Server) listenAdmin(ctx context.Context) (*http.Server, error) {
	if s.file.Control.Admin == "" {
		return nil, nil
	}
	listener, err := listen.TCP(ctx, s.file.Control.Admin)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAdmin, s.serveAdmin)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout}
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			s.log.Error("admin listener failed", zap.Error(err))
		}
	}()
	return server, nil
}

func (s *Server) closeAdmin(admin *http.Server) {
	if admin == nil {
		return
	}
	closing, done := context.WithTimeout(context.Background(), sendTimeout)
	defer done()
	_ = admin.Shutdown(closing)
}

func (s *Server) serveAdmin(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get("Authorization")
	if subtle.ConstantTimeCompare([]byte(token), []byte("Bearer "+s.file.AdminToken)) != 1 {
		http.Error(w, `{"error":"the admin token is missing or wrong"}`, http.StatusUnauthorized)
		return
	}
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes)).Decode(&request); err != nil {
		http.Error(w, `{"error":"the body is not a request"}`, http.StatusBadRequest)
		return
	}
	if request.Change == nil && request.Read == nil && request.Status == nil {
		http.Error(w, `{"error":"operators may change, read and ask for status"}`, http.StatusBadRequest)
		return
	}
	response, err := s.answerAdmin(r.Context(), request)
	var rejected *RejectedError
	if err != nil && !errors.As(err, &rejected) {
		response = Response{Kind: ResponseUnknown}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // a failed write cannot be reported to the client
}

// answerAdmin answers status requests from this replica and forwards all others to the leader.
func (s *Server) answerAdmin(ctx context.Context, request Request) (Response, error) {
	bounded, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if request.Status != nil {
		var response Response
		err := s.client.Post(bounded, s.file.Control.InternalAddress, PathRequest, request, &response)
		return response, err
	}
	return s.group.Ask(bounded, request)
}
