package operator

import (
	"slices"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

// loadModel adds a model to an endpoint's desired models.
func loadModel(doc *config.Document, s *Statement) ([]string, error) {
	at, models, err := desiredModels(doc, s, s.Load.Model, s.Load.Endpoint)
	if err != nil {
		return nil, err
	}
	model := s.Load.Model.Text
	if slices.Contains(models, model) {
		return nil, nil
	}
	setModels(doc, at, append(models, model))
	return []string{"endpoint " + doc.Endpoints[at].ID + " loads model " + model}, nil
}

// unloadModel removes a model from an endpoint's desired models. An empty list
// means the service's model, so the last model cannot be removed. The model that
// the endpoint's service uses can be removed only once the endpoint drains.
func unloadModel(doc *config.Document, s *Statement) ([]string, error) {
	at, models, err := desiredModels(doc, s, s.Unload.Model, s.Unload.Endpoint)
	if err != nil {
		return nil, err
	}
	endpoint, model, offset := doc.Endpoints[at], s.Unload.Model.Text, s.Unload.Model.Pos.Offset
	switch {
	case !slices.Contains(models, model):
		return nil, nil
	case len(models) == 1:
		return nil, errorAt(BadState, s.Text, offset, "%q is the only model of endpoint %q; drain the endpoint instead", model, endpoint.ID)
	case model == serviceModel(doc, endpoint.Service) && !endpoint.Drain:
		return nil, errorAt(BadState, s.Text, offset, "service %q uses model %q on endpoint %q; drain the endpoint first", endpoint.Service, model, endpoint.ID)
	}
	setModels(doc, at, slices.DeleteFunc(models, func(m string) bool { return m == model }))
	return []string{"endpoint " + endpoint.ID + " unloads model " + model}, nil
}

// desiredModels returns the index of an endpoint and a copy of its desired
// models. It returns an error if the endpoint or the model does not exist or the
// endpoint is not an engine.
func desiredModels(doc *config.Document, s *Statement, model, name Name) (int, []string, error) {
	at, err := endpointIndex(doc, s, name)
	if err != nil {
		return 0, nil, err
	}
	if err := checkName(s, "model", model, modelNames(doc)); err != nil {
		return 0, nil, err
	}
	endpoint := doc.Endpoints[at]
	service := slices.IndexFunc(doc.Services, func(v config.Service) bool { return v.ID == endpoint.Service })
	if service >= 0 && doc.Services[service].Kind == config.KindPlain {
		return 0, nil, errorAt(BadState, s.Text, name.Pos.Offset, "endpoint %q is not an engine", endpoint.ID)
	}
	if len(endpoint.Models) == 0 {
		return at, []string{serviceModel(doc, endpoint.Service)}, nil
	}
	return at, slices.Clone(endpoint.Models), nil
}

func setModels(doc *config.Document, at int, models []string) {
	doc.Endpoints = slices.Clone(doc.Endpoints)
	doc.Endpoints[at].Models = models
}

// serviceModel returns the model that a service uses, which is named like the
// service if its Model is empty.
func serviceModel(doc *config.Document, id string) string {
	for _, service := range doc.Services {
		if service.ID == id && service.Model != "" {
			return service.Model
		}
	}
	return id
}

// modelNames lists the models of all engine services and endpoints.
func modelNames(doc *config.Document) []string {
	var names []string
	for _, service := range doc.Services {
		if service.Kind == config.KindEngine {
			names = append(names, serviceModel(doc, service.ID))
		}
	}
	for _, endpoint := range doc.Endpoints {
		names = append(names, endpoint.Models...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
