package router

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"kitetiller/internal/api"
	"kitetiller/internal/clock"
	"kitetiller/internal/control"
	"kitetiller/internal/core"
	"kitetiller/internal/events"
	"kitetiller/internal/streamorigin"
	"kitetiller/internal/streamorigin/registry"
	"kitetiller/internal/transport"
)

const (
	// streamRecordTTL is how long the record of a stream lasts after the stream began or went on here.
	streamRecordTTL = core.MaxStreamAge
	// maxRecordHolders bounds the routers of a zone that keep records for others.
	maxRecordHolders = 4
)

// newStreams returns the registry of the origins of streams.
func newStreams(client *transport.Client, now clock.Source, zone, address string) *registry.Registry {
	return registry.New(registry.Config{
		Client: client, Zone: zone, Address: address, Now: now,
		Vouch: func(string) (streamorigin.Vouch, bool) { return streamorigin.Vouch{}, false }, // the core knows for itself
	})
}

// recordHolders returns the routers that keep records of streams, by zone.
func recordHolders(peers []control.Peer) []streamorigin.Zone {
	var zones []streamorigin.Zone
	at := map[string]int{}
	for _, peer := range peers {
		if peer.Address == "" {
			continue
		}
		i, known := at[peer.Zone]
		if !known {
			i = len(zones)
			at[peer.Zone] = i
			zones = append(zones, streamorigin.Zone{Name: peer.Zone})
		}
		zones[i].Addresses = append(zones[i].Addresses, peer.Address)
	}
	return streamorigin.Limit(zones, maxRecordHolders)
}

// streamKey returns the key of the stream that a request begins or goes on with; ok is false if it has none.
func (ex *exchange) streamKey() (key streamorigin.Key, ok bool) {
	id := ex.name
	if ex.request.ResumeFrom > 0 {
		id = ex.resumes
	}
	return streamorigin.NewKey(ex.request.Service, ex.request.Tenant, id)
}

// findOrigin sets at which software version the stream began that a request goes on with, if a record of it is found.
func (s *Server) findOrigin(ctx context.Context, ex *exchange, r *http.Request) {
	ex.resumes = r.Header.Get(api.HeaderResumes)
	key, ok := ex.streamKey()
	if ex.request.ResumeFrom == 0 || !ok {
		return
	}
	found, decided := s.streams.FindOwn(key)
	if !decided {
		found = s.streams.Find(ctx, streamorigin.FindRequest{Key: key, Service: ex.request.Service})
	}
	ex.request.Origin = found.Software
	s.log.Info(events.StreamTakenUp, zap.String(events.FieldRequest, ex.name), zap.String(events.FieldResumes, ex.resumes[:min(len(ex.resumes), maxKeyLength)]),
		zap.String(events.FieldOriginSource, string(found.Source)), zap.String(events.FieldOriginSoftware, found.Software.Name()))
}

// recordOrigin records at which software version a request's stream began.
func (s *Server) recordOrigin(action core.ActionRecordOrigin) {
	ex := s.exchange(action.ID)
	if ex == nil {
		return
	}
	if key, ok := ex.streamKey(); ok {
		s.streams.Add(streamorigin.Record{Key: key, Service: ex.request.Service, Software: action.Software, TTL: streamRecordTTL}, action.Replicate)
	}
}
