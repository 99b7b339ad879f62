package front

import "encoding/json"

// model is the model object of the API.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct{ data []model }

// Add appends the model with the given id.
func (l *ModelList) Add(id string) {
	l.data = append(l.data, model{ID: id, Object: "model", OwnedBy: "dillroute"})
}

// Bytes returns the list as JSON.
func (l *ModelList) Bytes() []byte {
	data := l.data
	if data == nil {
		data = []model{}
	}
	b, _ := json.Marshal(map[string]any{"object": "list", "data": data}) // strings and numbers always encode
	return b
}

// ModelJSON returns the response to GET /v1/models/ID.
func ModelJSON(id string) []byte {
	b, _ := json.Marshal(model{ID: id, Object: "model", OwnedBy: "dillroute"})
	return b
}
