package router

import (
	"net/http"
	"sort"

	"kitetiller/internal/api"
)

// serveModels lists the available models in the format of the OpenAI API.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	current := s.view.Load()
	if _, reqErr := s.authenticate(r, current); reqErr != nil {
		s.reject(w, r, requestID(r), reqErr)
		return
	}
	list := api.ModelList{Object: api.ObjectList, Data: []api.Model{}}
	for name, service := range current.models {
		list.Data = append(list.Data, api.Model{ID: name, Object: api.ObjectModel, OwnedBy: service})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	writeJSON(w, list)
}
