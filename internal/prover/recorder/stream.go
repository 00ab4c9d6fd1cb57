package recorder

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// completion is the body of a response, or the data of one event of a streamed response, of either model endpoint.
type completion struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// completionText returns the text of a completion.
func completionText(raw []byte) ([]byte, error) {
	var c completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, errors.Wrap(err, "decode completion")
	}
	if len(c.Choices) != 1 {
		return nil, errors.Newf("completion has %d choices", len(c.Choices))
	}
	choice := c.Choices[0]
	return []byte(choice.Text + choice.Delta.Content + choice.Message.Content), nil
}

// stream is the content of the events of a streamed response.
type stream struct {
	text []byte
	// done reports whether the end marker has arrived.
	done bool
	// problem holds the problem details of an error event.
	problem []byte
}

// parseStream parses the events of a stream. An event without an empty line after it is incomplete and is ignored.
func parseStream(raw []byte) (stream, error) {
	var s stream
	events := bytes.Split(raw, []byte("\n\n"))
	for _, event := range events[:len(events)-1] {
		if s.done {
			return s, errors.New("event after the end marker")
		}
		if err := s.add(event); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *stream) add(event []byte) error {
	isError := false
	var data []byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.Equal(line, []byte(errorEventLine)) {
			isError = true
		}
		if rest, found := bytes.CutPrefix(line, []byte(dataPrefix)); found {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
	switch {
	case isError:
		s.problem = data
	case bytes.Equal(data, []byte(doneMarker)):
		s.done = true
	case len(data) > 0:
		text, err := completionText(data)
		if err != nil {
			return err
		}
		s.text = append(s.text, text...)
	}
	return nil
}
